//! Experiments in virtual time and capacity slopes.
//!
//! [`rank`] measures the service of each rank under overload, [`decision`] the processor time of single
//! decisions, [`overhead`] the cost of the way through a proxy.

pub mod decision;
pub mod overhead;
pub mod rank;
mod surroundings;
