//! Experiments in virtual time and capacity slopes.
//!
//! - [`rank`]: service of each rank under overload.
//! - [`share`]: designs in which several proxies share one database.
//! - [`decision`]: processor time of single decisions.
//! - [`overhead`]: latency, throughput and memory that a proxy adds.
//! - [`control`]: control traffic and processor time of one node.

pub mod control;
pub mod decision;
pub mod meter;
pub mod overhead;
mod proxy_setup;
pub mod rank;
pub mod share;
pub mod wire;
