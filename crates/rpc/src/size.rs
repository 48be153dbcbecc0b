//! Sizes of encoded messages, computed without a socket.

use capnp::message::Builder;
use capnp::serialize::compute_serialized_size_in_words;
use member::{Heartbeat, MemberInfo};
use schema::peer_capnp as wire;

use crate::codec;
use crate::compress::compress;

const WORD_BYTES: usize = 8;

/// Returns the size of an encoded heartbeat in bytes, without the envelope of a call.
///
/// ```
/// use member::{Heartbeat, MemberInfo, MemberState};
/// let from = MemberInfo {
///     name: "vm-1".into(), data_centre: "north-1".into(),
///     peer_address: "10.0.0.11:7400".parse()?, admin_address: "10.0.0.11:7401".parse()?,
///     incarnation: 1, state: MemberState::Alive,
/// };
/// let heartbeat = Heartbeat { from, digest: 1, revisions: Vec::new(), changes: Vec::new() };
/// assert!(rpc::heartbeat_bytes(&heartbeat) > 100);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
pub fn heartbeat_bytes(heartbeat: &Heartbeat) -> usize {
    let mut message = Builder::new_default();
    codec::write_heartbeat(message.init_root::<wire::heartbeat::Builder<'_>>(), heartbeat);
    compute_serialized_size_in_words(&message) * WORD_BYTES
}

/// Returns the size of an encoded member table in bytes, without the envelope of an answer.
///
/// ```
/// assert!(rpc::members_bytes(&[]) < 100);
/// ```
pub fn members_bytes(members: &[MemberInfo]) -> usize {
    let mut message = Builder::new_default();
    let results = message.init_root::<wire::peer::pull_table_results::Builder<'_>>();
    codec::write_members(results.init_members(members.len() as u32), members);
    compute_serialized_size_in_words(&message) * WORD_BYTES
}

/// Returns the compressed size of a document in bytes, without the envelope of an answer. Returns 0 if
/// the document cannot be compressed for lack of memory.
///
/// ```
/// assert!(rpc::document_bytes(&[b'a'; 10_000]) < 1_000);
/// ```
pub fn document_bytes(document: &[u8]) -> usize {
    compress(document).map_or(0, |bytes| bytes.len())
}
