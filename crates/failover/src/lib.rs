//! Leadership proofs, data-age proofs and failover of a database cluster.
//!
//! [`ClusterWatch`] monitors one cluster's databases in report rounds. [`Supervisor`] orders the
//! cluster's promotions. Both are state machines without clock or sockets: the driver executes their
//! actions and passes in the time of its monotonic clock.

mod monitor;
mod supervisor;

pub use model::DatabaseRole;
pub use monitor::{
    ClusterWatch, CommitId, DatabaseReport, FloorState, LeaderView, MonitorFaults, TermStart,
    WatchAction, WatchConfig, WatchEvent,
};
pub use supervisor::{
    LeaderRecord, RecordState, Supervisor, SupervisorAction, SupervisorEvent, SupervisorFaults,
};
