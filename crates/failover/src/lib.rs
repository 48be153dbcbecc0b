//! Evidence that a primary still leads, proofs of data age, and the order of a promotion.
//!
//! [`ClusterWatch`] collects reports of one cluster's databases in rounds. [`Supervisor`] runs one
//! promotion. Neither has a clock or a socket; times are on the caller's monotonic clock.

mod supervisor;
mod watch;

pub use model::DatabaseRole;
pub use supervisor::{
    LeaderRecord, RecordState, Supervisor, SupervisorAction, SupervisorEvent, SupervisorFaults,
};
pub use watch::{
    ClusterWatch, CommitId, DatabaseReport, FloorState, LeaderView, TermStart, WatchAction,
    WatchConfig, WatchEvent, WatchFaults,
};
