//! Experiments in virtual time and capacity slopes.
//!
//! [`rank`] measures the service of each rank under overload, [`decision`] the processor time of single
//! decisions.

pub mod decision;
pub mod rank;
