//! Experiments in virtual time and capacity slopes.
//!
//! [`rank`] measures the service of each rank under overload, [`share`] the ways in which several proxies
//! can share one database, [`decision`] the processor time of single decisions.

pub mod decision;
pub mod rank;
pub mod share;
