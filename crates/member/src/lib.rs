//! Membership of the fleet, choice of owners, and spread of documents.
//!
//! Each node sends one heartbeat a second to a bounded number of contacts. Changes and new document
//! revisions are forwarded to the contacts at once; heartbeats repair what was missed.

mod contact;
mod hash;
mod layout;
mod spread;
mod table;

pub use hash::{owner_score, rank_owners};
pub use table::{
    Heartbeat, MemberAction, MemberConfig, MemberEvent, MemberInfo, MemberState, MemberTable,
    PlatformVm,
};
