//! Types shared by all other crates.
//!
//! Names, labels and selectors identify who sends a request; ranks, deadlines and ages say how it is
//! served; terms and log positions say what a database holds. Time is [`Micros`] on the node's own
//! monotonic clock, so state machines run the same in a daemon and in virtual time.

mod fleet;
mod label;
mod map;
mod memory;
mod name;
mod position;
mod random;
mod rank;
mod role;
mod settings;
mod time;

pub use fleet::{
    CallerLabels, ClusterConfig, DatabaseConfig, FleetConfig, RankConfig, SelectorConfig,
};
pub use label::{LabelError, LabelSelector, LabelSet, MatchOperator, MatchRule};
pub use map::{FastMap, FastSet};
pub use memory::{MemoryBudget, MemoryCharge};
pub use name::Name;
pub use position::{LogPosition, RequiredPosition, Term};
pub use random::SeededRandom;
pub use rank::{Rank, RankMap};
pub use role::DatabaseRole;
pub use settings::{NodeSettings, SocketAddress};
pub use time::Micros;
