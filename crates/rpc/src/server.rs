//! Server side of the protocol between nodes: answers a peer's calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use capnp::Error;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use failover::LeaderView;
use futures::channel::{mpsc, oneshot};
use futures::io::BufWriter;
use futures::stream::{FuturesUnordered, StreamExt};
use member::{Heartbeat, MemberInfo};
use model::{FastMap, Micros, Name};
use node::{CallId, DeclineReason, LaneId, OwnerReply, RoutedRequest};
use schema::peer_capnp::{answer_sink, lane, peer};
use stakker::Fwd;

use crate::codec;
use crate::compress::compress;
use crate::input::PeerInput;
use crate::permit::ChunkPermit;
use crate::pool::TaskPool;
use crate::space::PeerSpace;
use crate::stream::RpcStream;

/// Maximum size of a message from a peer, in words of 8 bytes. It leaves room for a request of 1 MB and
/// a document of 1 MB with the other fields of their messages.
pub(crate) const MESSAGE_LIMIT_WORDS: usize = 1 << 20;

/// What a call in progress holds apart from its request.
const CALL_BYTES: usize = 8 * 1024;

/// Reader options that bound how much a message from a peer can make this node allocate.
pub(crate) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_LIMIT_WORDS));
    options
}

/// Allocates ids for calls that arrive and counts the unfinished ones. The ids have the highest bit
/// set, so that they differ from the ids that the node gives to its own calls.
#[derive(Clone, Debug)]
pub struct CallIds {
    next: Rc<Cell<u64>>,
    unfinished: Rc<Cell<usize>>,
}

impl Default for CallIds {
    fn default() -> Self {
        CallIds { next: Rc::new(Cell::new(1 << 63)), unfinished: Rc::default() }
    }
}

impl CallIds {
    /// Returns an id that was not used before.
    pub fn next(&self) -> u64 {
        let id = self.next.get();
        self.next.set(id + 1);
        id
    }

    /// Returns the number of calls whose answer the peer has not completely received.
    pub fn unfinished_count(&self) -> usize {
        self.unfinished.get()
    }
}

/// A part of the answer to a call that arrived.
pub enum AnswerPart {
    /// At most [`crate::CHUNK_BYTES`].
    Chunk(Bytes, ChunkPermit),
    /// End of the answer, with the lane of a transaction that stays open.
    End(OwnerReply, Option<LaneId>),
}

/// A call or notification from a peer, passed to the daemon.
pub enum PeerRequest {
    Heartbeat {
        heartbeat: Heartbeat,
        reply: oneshot::Sender<Heartbeat>,
    },
    PullTable {
        reply: oneshot::Sender<Vec<MemberInfo>>,
    },
    PullDocument {
        document: Name,
        reply: oneshot::Sender<Option<(u64, Arc<[u8]>)>>,
    },
    View {
        cluster: Name,
        reply: oneshot::Sender<Option<LeaderView>>,
    },
    Execute {
        call: CallId,
        from: Name,
        lane: Option<LaneId>,
        request: Box<RoutedRequest>,
        answers: mpsc::UnboundedSender<AnswerPart>,
    },
    /// The peer asked to cancel the call and still waits for its reply.
    CallCancelled {
        call: CallId,
    },
    /// The peer dropped the call, or its connection was lost.
    CallDropped {
        call: CallId,
    },
    /// The peer has received all chunks of a call's answer, so that only the reply remains, or the call
    /// ended without an answer.
    CallFinished,
    /// The peer dropped the lane, or its connection was lost.
    LaneDropped {
        lane: LaneId,
    },
}

/// Serves the calls of one peer until its connection ends. Returns `false` and closes the connection if there are too
/// many others.
pub fn serve_peer(
    pool: &TaskPool,
    stream: RpcStream,
    requests: Fwd<PeerRequest>,
    ids: CallIds,
    space: &PeerSpace,
) -> bool {
    let Some(connection) = space.admit(stream.clone()) else {
        stream.close();
        return false;
    };
    let server = PeerServer { requests, ids, calls: Rc::default(), space: space.clone() };
    let client: peer::Client = capnp_rpc::new_client(server);
    let network = twoparty::VatNetwork::new(
        PeerInput::new(stream.clone(), space.clone(), connection),
        BufWriter::new(stream),
        Side::Server,
        reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    // The node learns of a lost connection from the calls and lanes that are dropped with it.
    system.set_background_error_handler(|_| {});
    pool.spawn(async move {
        let _ = system.await;
    });
    true
}

fn stopping_error<T>(_: T) -> Error {
    Error::overloaded("the node is stopping".to_owned())
}

/// The reply to a call for which there is no space: it was not run.
fn declined_for_space(space: &PeerSpace) -> OwnerReply {
    let limit = u32::try_from(space.limit_bytes() / CALL_BYTES).unwrap_or(u32::MAX);
    let reason = DeclineReason::QueueFull { limit };
    OwnerReply::Declined { reason, age: None, wait: Micros(0) }
}

#[derive(Clone)]
struct PeerServer {
    requests: Fwd<PeerRequest>,
    ids: CallIds,
    /// Calls in progress, by the peer's call number.
    calls: Rc<RefCell<FastMap<u64, CallId>>>,
    space: PeerSpace,
}

/// Counts a call as unfinished until it is dropped.
struct UnfinishedCall {
    server: PeerServer,
}

impl UnfinishedCall {
    fn new(server: PeerServer) -> Self {
        let unfinished = &server.ids.unfinished;
        unfinished.set(unfinished.get() + 1);
        UnfinishedCall { server }
    }
}

impl Drop for UnfinishedCall {
    fn drop(&mut self) {
        let unfinished = &self.server.ids.unfinished;
        unfinished.set(unfinished.get() - 1);
        self.server.requests.fwd(PeerRequest::CallFinished);
    }
}

/// Reports a call as dropped if it ends without an answer.
struct DropReporter {
    call: CallId,
    number: u64,
    server: PeerServer,
    answered: bool,
}

impl Drop for DropReporter {
    fn drop(&mut self) {
        self.server.calls.borrow_mut().remove(&self.number);
        if !self.answered {
            self.server.requests.fwd(PeerRequest::CallDropped { call: self.call });
        }
    }
}

impl PeerServer {
    async fn execute_request(
        self,
        from: Name,
        number: u64,
        lane: Option<LaneId>,
        request: RoutedRequest,
        sink: answer_sink::Client,
    ) -> Result<(OwnerReply, Option<LaneId>), Error> {
        let bytes = CALL_BYTES + 2 * (request.request.text.len() + request.request.frames.len());
        let _reservation = match self.space.reserve(bytes) {
            Some(reservation) => reservation,
            // The number of open transactions has a limit of its own.
            None if lane.is_some() => self.space.reserve_always(bytes),
            None => return Ok((declined_for_space(&self.space), None)),
        };
        let _unfinished = UnfinishedCall::new(self.clone());
        let call = CallId(self.ids.next());
        let (answers, mut parts) = mpsc::unbounded();
        self.calls.borrow_mut().insert(number, call);
        let mut reporter = DropReporter { call, number, server: self.clone(), answered: false };
        let request = Box::new(request);
        self.requests.fwd(PeerRequest::Execute { call, from, lane, request, answers });
        // The flow-control window of the answer's source bounds the number of writes in flight.
        let mut writes = FuturesUnordered::new();
        let end = loop {
            futures::select! {
                part = parts.next() => match part {
                    Some(AnswerPart::Chunk(chunk, permit)) => {
                        let mut request = sink.write_request();
                        request.get().set_chunk(&chunk);
                        let written = request.send().promise;
                        writes.push(async move {
                            let result = written.await;
                            drop(permit);
                            result.map(|_| ())
                        });
                    }
                    Some(AnswerPart::End(reply, lane)) => break (reply, lane),
                    None => return Err(stopping_error(())),
                },
                result = writes.select_next_some() => result?,
            }
        };
        reporter.answered = true;
        while let Some(result) = writes.next().await {
            result?;
        }
        Ok(end)
    }
}

impl peer::Server for PeerServer {
    async fn heartbeat(
        self: Rc<Self>,
        params: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> Result<(), Error> {
        let heartbeat = codec::read_heartbeat(params.get()?.get_heartbeat()?)?;
        let (reply, answer) = oneshot::channel();
        self.requests.fwd(PeerRequest::Heartbeat { heartbeat, reply });
        let heartbeat = answer.await.map_err(stopping_error)?;
        codec::write_heartbeat(results.get().init_answer(), &heartbeat);
        Ok(())
    }

    async fn pull_table(
        self: Rc<Self>,
        _params: peer::PullTableParams,
        mut results: peer::PullTableResults,
    ) -> Result<(), Error> {
        let (reply, answer) = oneshot::channel();
        self.requests.fwd(PeerRequest::PullTable { reply });
        let members = answer.await.map_err(stopping_error)?;
        codec::write_members(results.get().init_members(members.len() as u32), &members);
        Ok(())
    }

    async fn pull_document(
        self: Rc<Self>,
        params: peer::PullDocumentParams,
        mut results: peer::PullDocumentResults,
    ) -> Result<(), Error> {
        let document = params.get()?.get_document()?.to_str()?.into();
        let (reply, answer) = oneshot::channel();
        self.requests.fwd(PeerRequest::PullDocument { document, reply });
        if let Some((revision, bytes)) = answer.await.map_err(stopping_error)? {
            let mut document = results.get().init_document();
            document.set_revision(revision);
            document.set_bytes(&compress(&bytes)?);
        }
        Ok(())
    }

    async fn view(
        self: Rc<Self>,
        params: peer::ViewParams,
        mut results: peer::ViewResults,
    ) -> Result<(), Error> {
        let cluster = params.get()?.get_cluster()?.to_str()?.into();
        let (reply, answer) = oneshot::channel();
        self.requests.fwd(PeerRequest::View { cluster, reply });
        if let Some(view) = answer.await.map_err(stopping_error)? {
            codec::write_view(results.get().init_view(), &view);
        }
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: peer::CancelParams,
        _results: peer::CancelResults,
    ) -> Result<(), Error> {
        let call = self.calls.borrow().get(&params.get()?.get_call()).copied();
        if let Some(call) = call {
            self.requests.fwd(PeerRequest::CallCancelled { call });
        }
        Ok(())
    }

    async fn execute(
        self: Rc<Self>,
        params: peer::ExecuteParams,
        mut results: peer::ExecuteResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let from: Name = params.get_sender()?.to_str()?.into();
        let request = codec::read_routed_request(params.get_work()?)?;
        let sink = params.get_sink()?;
        let server = PeerServer::clone(&self);
        let (reply, lane) = server
            .clone()
            .execute_request(from.clone(), params.get_call(), None, request, sink)
            .await?;
        let mut results = results.get();
        codec::write_reply(results.reborrow().init_reply(), &reply);
        if let Some(lane) = lane {
            results.set_lane(capnp_rpc::new_client(LaneServer { lane, from, server }));
        }
        Ok(())
    }
}

struct LaneServer {
    lane: LaneId,
    from: Name,
    server: PeerServer,
}

impl Drop for LaneServer {
    fn drop(&mut self) {
        self.server.requests.fwd(PeerRequest::LaneDropped { lane: self.lane });
    }
}

impl lane::Server for LaneServer {
    async fn execute(
        self: Rc<Self>,
        params: lane::ExecuteParams,
        mut results: lane::ExecuteResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let request = codec::read_routed_request(params.get_work()?)?;
        let sink = params.get_sink()?;
        let (from, number) = (self.from.clone(), params.get_call());
        let answer =
            self.server.clone().execute_request(from, number, Some(self.lane), request, sink);
        let (reply, lane) = answer.await?;
        let mut results = results.get();
        codec::write_reply(results.reborrow().init_reply(), &reply);
        results.set_open(lane.is_some());
        Ok(())
    }
}
