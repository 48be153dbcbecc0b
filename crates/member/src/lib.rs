//! Fleet membership, choice of owners, and dissemination of document revisions.
//!
//! Each node sends one heartbeat a second to a bounded number of contacts. Changes and new document
//! revisions are forwarded to the contacts at once; later heartbeats make up for lost messages.

mod contact;
mod gossip;
mod hash;
mod layout;
mod table;

pub use hash::{owner_score, rank_owners};
pub use table::{
    Heartbeat, MemberAction, MemberConfig, MemberEvent, MemberInfo, MemberState, MemberTable,
    PlatformVm,
};
