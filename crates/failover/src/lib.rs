//! Leadership proofs, data-age proofs and failover of a database cluster.
//!
//! [`ClusterMonitor`] monitors one cluster's databases in report rounds. [`Supervisor`] orders the
//! cluster's promotions. Both are state machines without clock or sockets: the driver executes their
//! actions and passes in the time of its monotonic clock.

mod monitor;
mod supervisor;

pub use model::DatabaseRole;
pub use monitor::{
    ClusterMonitor, CommitId, DatabaseReport, LeaderView, MonitorAction, MonitorConfig,
    MonitorEvent, MonitorFaults, RequiredPositionState, TermStart,
};
pub use supervisor::{
    LeaderRecord, RecordState, Supervisor, SupervisorAction, SupervisorEvent, SupervisorFaults,
};
