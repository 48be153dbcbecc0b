//! capnp-rpc over non-blocking streams polled from the stakker loop.
//!
//! [`TaskPool`] runs the futures of capnp-rpc on the loop's thread: a waker schedules a poll of the
//! pool, so no other executor or thread is needed. [`RpcStream`] gives capnp-rpc a stream over a
//! `stakker_mio` socket. [`PeerClients`] calls peers over one connection each; [`serve_peer`] answers
//! a peer's calls by passing [`PeerRequest`]s to the daemon.
//!
//! An answer travels in chunks of at most [`CHUNK_BYTES`]. Each chunk has a [`ChunkPermit`], which
//! returns its share of the source's window when the chunk was written to the caller's socket or
//! dropped. A slow caller therefore stops the source, across the link as well.

mod client;
mod codec;
mod compress;
mod dial;
mod permit;
mod pool;
mod server;
mod size;
mod stream;

pub use client::{CallGuard, ForwardReply, LaneHandle, PeerCallError, PeerClients};
pub use dial::dial_address;
pub use permit::ChunkPermit;
pub use pool::TaskPool;
pub use server::{AnswerPart, CallIds, PeerRequest, serve_peer};
pub use size::{document_bytes, heartbeat_bytes, members_bytes};
pub use stream::RpcStream;

/// Largest part of an answer in one message.
pub const CHUNK_BYTES: usize = 64 * 1024;
