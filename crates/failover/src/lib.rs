//! Leadership proofs, data-age proofs and failover of a database cluster.
//!
//! [`ClusterWatch`] monitors one cluster's databases in report rounds. [`Supervisor`] orders the cluster's
//! promotions. Both are state machines without clock or sockets: the driver executes their actions and
//! passes in the time of its monotonic clock.

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
