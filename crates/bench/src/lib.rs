//! Experiments in virtual time and capacity slopes.
//!
//! [`rank`] measures the service of each rank under overload, [`overhead`] the cost of the way
//! through a proxy.

pub mod overhead;
pub mod rank;
mod surroundings;
