//! The protocol between nodes: capnp-rpc over non-blocking sockets of the stakker event loop.
//!
//! [`TaskPool`] runs the futures of capnp-rpc on the event loop's thread: a waker schedules a poll of
//! the pool, so no other executor or thread is needed. [`RpcStream`] adapts a `stakker_mio` socket to
//! the stream type that capnp-rpc expects. [`PeerClients`] calls each peer over one connection;
//! [`serve_peer`] answers a peer's calls by passing [`PeerRequest`]s to the daemon.
//!
//! A *lane* is the backend connection that a peer keeps pinned for an open transaction. Later requests
//! of the transaction are calls on its [`LaneHandle`].
//!
//! An answer is sent in chunks of at most [`CHUNK_BYTES`]. Each chunk has a [`ChunkPermit`], which
//! returns the chunk's share of the source's flow-control window once the chunk is written to the
//! client's socket or dropped. A slow client therefore stops the source, also from one node to another.

mod client;
mod codec;
mod compress;
mod dial;
mod input;
mod permit;
mod pool;
mod server;
mod size;
mod space;
mod stream;

pub use client::{CallGuard, ForwardReply, LaneHandle, PeerCallError, PeerClients};
pub use dial::dial_address;
pub use permit::ChunkPermit;
pub use pool::TaskPool;
pub use server::{AnswerPart, CallIds, PeerRequest, serve_peer};
pub use size::{document_bytes, heartbeat_bytes, members_bytes};
pub use space::{PeerSpace, SpaceSweep};
pub use stream::RpcStream;

/// Maximum size of one chunk of an answer.
pub const CHUNK_BYTES: usize = 64 * 1024;
