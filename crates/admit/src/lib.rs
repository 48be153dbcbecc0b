//! Admission control of a database: order of requests, early refusal, connections and retries.
//!
//! The owner of a database has one [`SlotQueue`] for it. Urgent requests go first; every other rank
//! receives its minimum share of slot time while it has requests; inside a rank the callers take
//! turns. A request whose deadline cannot be met is refused before any byte of it is sent, so the
//! client is told correctly that it was not run.

mod budget;
mod pool;
mod queue;

pub use budget::RetryBudget;
pub use pool::{ConnectionId, ConnectionPool, PoolAction, PoolConfig, PoolStats};
pub use queue::{
    QueueConfig, QueueStats, RefusalReason, RequestId, SlotGrant, SlotQueue, SlotRequest,
    WaitingCaller,
};
