//! Experiments in virtual time and capacity slopes.
//!
//! [`rank`] measures the service of each rank under overload.

pub mod rank;
