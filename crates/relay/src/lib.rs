//! Relays of the store's changes within a data centre.
//!
//! In a large deployment, a watch of each node on the store would cost one call per node for every
//! change. Instead, the nodes that own connections watch the store themselves and relay its changes
//! to the other nodes of their data centre, the followers. A follower lists the store itself, and a
//! relay sends only what came after a revision; a relay that does not know everything since then
//! says so, and the follower makes the missing calls to the store itself.
//!
//! A relay may be cut off from the store, paused or dead while a follower is not. It therefore
//! tells in every frame, and at least every [`HEARTBEAT_INTERVAL`], how long ago the store answered
//! it. A follower leaves a relay that is silent for [`FRAME_TIMEOUT`] or whose contact is older than
//! [`MAX_CONTACT_AGE`], tries another one, and watches the store itself if there is none.
//!
//! - [`history`]: the changes that a relay keeps.
//! - [`frame`]: the messages between relay and follower.
//! - [`server`]: the relay.
//! - [`follower`]: the choice of a relay, and its use.
//!
//! [`HEARTBEAT_INTERVAL`]: server::HEARTBEAT_INTERVAL
//! [`FRAME_TIMEOUT`]: follower::FRAME_TIMEOUT
//! [`MAX_CONTACT_AGE`]: follower::MAX_CONTACT_AGE

pub mod follower;
pub mod frame;
pub mod history;
pub mod server;

pub use follower::{FollowOutcome, RelayCandidate, RelayFollower};
pub use history::{ChangeBatch, ChangeHistory, HistoryAnswer};
pub use server::ChangeRelay;
