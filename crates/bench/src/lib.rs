//! Experiments in virtual time and capacity slopes.
//!
//! [`rank`] measures the service of each rank under overload, [`share`] the ways in which several proxies
//! can share one database, [`decision`] the processor time of single decisions, [`overhead`] the cost of
//! the way through a proxy, [`control`] the control work of one node.

pub mod control;
pub mod decision;
pub mod meter;
pub mod overhead;
pub mod rank;
pub mod share;
mod surroundings;
pub mod wire;
