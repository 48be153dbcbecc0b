//! Admission to a database: who waits, who runs next, and who is refused early.
//!
//! The pool owner of a database has one [`SlotQueue`]. Urgent work goes first; every other rank keeps
//! its floor share of slot time while it has work; inside a rank the callers take turns. A request
//! whose deadline cannot be met is refused before a byte of it is sent, so "not run" is true.

mod budget;
mod pool;
mod queue;

pub use budget::RetryBudget;
pub use pool::{ConnectionId, ConnectionPool, PoolAction, PoolConfig, PoolStats};
pub use queue::{QueueConfig, QueueStats, RefusalReason, SlotGrant, SlotQueue, WorkId, WorkTicket};
