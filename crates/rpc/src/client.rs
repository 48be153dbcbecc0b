//! Client side of the protocol between nodes: calls to peers.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use failover::LeaderView;
use futures::channel::oneshot;
use futures::future::{self, AbortHandle, Either};
use futures::io::{BufReader, BufWriter};
use member::{Heartbeat, MemberInfo};
use model::{FastMap, SocketAddress};
use node::{OwnerReply, RoutedRequest};
use schema::peer_capnp::{answer_sink, lane, peer};
use stakker::{Core, Deferrer, FixedTimerKey};
use stakker_mio::MioPoll;
use stakker_mio::mio::net::TcpStream;

use crate::codec;
use crate::compress::decompress;
use crate::permit::ChunkPermit;
use crate::pool::TaskPool;
use crate::server::reader_options;
use crate::stream::RpcStream;

/// Time after which a connection without calls and lanes is closed as idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of consecutive timeouts after which a connection is closed. A network path that drops packets
/// raises no error, and TCP may wait many seconds to retransmit after the path recovers.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 3;

/// Error of a call to a peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerCallError {
    /// No byte of the call was sent, so it did not reach the peer.
    #[error("failed to reach peer {address}: {message}")]
    NotSent { address: SocketAddress, message: String },
    /// The call may have reached the peer.
    #[error("call to peer {address} failed after it may have been sent: {message}")]
    Interrupted { address: SocketAddress, message: String },
    #[error("peer {address} did not answer before the call's timeout")]
    TimedOut { address: SocketAddress },
}

impl PeerCallError {
    /// Returns whether the call may have reached the peer.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self, PeerCallError::NotSent { .. })
    }
}

/// Result of a forwarded request.
pub struct ForwardReply {
    pub reply: OwnerReply,
    /// The lane of the transaction, if it is still open.
    pub lane: Option<LaneHandle>,
}

/// Handle of a lane: the backend connection that a peer keeps pinned for an open transaction. Dropping
/// the last clone releases the connection.
#[derive(Clone)]
pub struct LaneHandle {
    client: lane::Client,
    connection: Rc<PeerConnection>,
    _in_use: Rc<()>,
}

/// A call in progress. Dropping the guard abandons the call.
#[must_use]
pub struct CallGuard {
    abort: AbortHandle,
    /// Cleared when the call ends; chunks that arrive later are dropped.
    sink_open: Rc<Cell<bool>>,
    pool: TaskPool,
    /// The connection and the call's number on it; `None` if no connection could be opened.
    call: Option<(Rc<PeerConnection>, u64)>,
}

impl CallGuard {
    /// Asks the peer to cancel the request. The call still ends with a reply or an error.
    pub fn cancel(&self) {
        if let Some((connection, number)) = &self.call {
            let mut request = connection.client.cancel_request();
            request.get().set_call(*number);
            let answer = request.send().promise;
            // Only a failed connection makes this fail, and the call itself reports that.
            self.pool.spawn(async move {
                let _ = answer.await;
            });
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        // Chunks still in transit belong to no request any more.
        self.sink_open.set(false);
        self.abort.abort();
    }
}

/// Receives the chunks of an answer.
type ChunkHandler = Rc<dyn Fn(Bytes, ChunkPermit)>;

struct PeerConnection {
    address: SocketAddress,
    client: peer::Client,
    stream: RpcStream,
    /// Cloned by every call and lane; a strong count of 1 means that the connection is idle.
    in_use: Rc<()>,
    last_use: Cell<Instant>,
    ended: Rc<Cell<bool>>,
    consecutive_timeouts: Cell<u32>,
    next_call_number: Cell<u64>,
}

impl PeerConnection {
    fn next_call_number(&self) -> u64 {
        let number = self.next_call_number.get();
        self.next_call_number.set(number + 1);
        number
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.stream.close();
    }
}

/// Connections to peers, one per address, opened on demand. Clones share the connections.
#[derive(Clone)]
pub struct PeerClients {
    pool: TaskPool,
    connections: Rc<RefCell<FastMap<SocketAddress, Rc<PeerConnection>>>>,
}

impl PeerClients {
    /// Creates a set without connections.
    pub fn new(pool: TaskPool) -> Self {
        PeerClients { pool, connections: Rc::default() }
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Closes connections that were idle for 30 s, and removes those that ended.
    pub fn close_idle(&self, core: &Core) {
        let now = core.now();
        self.connections.borrow_mut().retain(|_, connection| {
            let idle = Rc::strong_count(&connection.in_use) == 1
                && now.saturating_duration_since(connection.last_use.get()) >= IDLE_TIMEOUT;
            !connection.ended.get() && !idle
        });
    }

    /// Sends a heartbeat. `done` receives the peer's heartbeat.
    pub fn heartbeat(
        &self,
        core: &mut Core,
        address: SocketAddress,
        heartbeat: &Heartbeat,
        timeout: Duration,
        done: impl FnOnce(Result<Heartbeat, PeerCallError>) + 'static,
    ) {
        let send = |client: &peer::Client| {
            let mut request = client.heartbeat_request();
            codec::write_heartbeat(request.get().init_heartbeat(), heartbeat);
            let answer = request.send().promise;
            async move { codec::read_heartbeat(answer.await?.get()?.get_answer()?) }
        };
        self.call(core, address, timeout, send, done);
    }

    /// Fetches the peer's member table.
    pub fn pull_table(
        &self,
        core: &mut Core,
        address: SocketAddress,
        timeout: Duration,
        done: impl FnOnce(Result<Vec<MemberInfo>, PeerCallError>) + 'static,
    ) {
        let send = |client: &peer::Client| {
            let answer = client.pull_table_request().send().promise;
            async move { codec::read_members(answer.await?.get()?.get_members()?) }
        };
        self.call(core, address, timeout, send, done);
    }

    /// Fetches a document: its revision and bytes, or `None` if the peer does not hold it.
    pub fn pull_document(
        &self,
        core: &mut Core,
        address: SocketAddress,
        document: &str,
        timeout: Duration,
        done: impl FnOnce(Result<Option<(u64, Arc<[u8]>)>, PeerCallError>) + 'static,
    ) {
        let send = |client: &peer::Client| {
            let mut request = client.pull_document_request();
            request.get().set_document(document);
            let answer = request.send().promise;
            async move {
                let answer = answer.await?;
                let answer = answer.get()?;
                if !answer.has_document() {
                    return Ok(None);
                }
                let document = answer.get_document()?;
                Ok(Some((document.get_revision(), Arc::from(decompress(document.get_bytes()?)?))))
            }
        };
        self.call(core, address, timeout, send, done);
    }

    /// Fetches the peer's view of a cluster's leader.
    pub fn view(
        &self,
        core: &mut Core,
        address: SocketAddress,
        cluster: &str,
        timeout: Duration,
        done: impl FnOnce(Result<Option<LeaderView>, PeerCallError>) + 'static,
    ) {
        let send = |client: &peer::Client| {
            let mut request = client.view_request();
            request.get().set_cluster(cluster);
            let answer = request.send().promise;
            async move {
                let answer = answer.await?;
                let answer = answer.get()?;
                match answer.has_view() {
                    true => Ok(Some(codec::read_view(answer.get_view()?)?)),
                    false => Ok(None),
                }
            }
        };
        self.call(core, address, timeout, send, done);
    }

    /// Forwards a request. `chunks` receives the answer; a chunk counts as delivered when its permit is
    /// dropped.
    #[allow(clippy::too_many_arguments)]
    pub fn execute(
        &self,
        core: &mut Core,
        address: SocketAddress,
        sender: &str,
        routed: &RoutedRequest,
        timeout: Duration,
        chunks: impl Fn(Bytes, ChunkPermit) + 'static,
        done: impl FnOnce(Result<ForwardReply, PeerCallError>) + 'static,
    ) -> CallGuard {
        let connection = self.connection(core, address);
        let number = connection.as_ref().map_or(0, |connection| connection.next_call_number());
        let (sink, sink_open) = new_sink(chunks);
        let send = |connection: &Result<Rc<PeerConnection>, PeerCallError>| {
            let connection = connection.as_ref().ok()?;
            let mut request = connection.client.execute_request();
            request.get().set_sender(sender);
            request.get().set_call(number);
            codec::write_routed_request(request.get().init_work(), routed);
            request.get().set_sink(sink);
            let answer = request.send().promise;
            let connection = connection.clone();
            Some(async move {
                let answer = answer.await?;
                let answer = answer.get()?;
                let reply = codec::read_reply(answer.get_reply()?)?;
                let lane = match answer.has_lane() {
                    true => Some(LaneHandle {
                        client: answer.get_lane()?,
                        _in_use: connection.in_use.clone(),
                        connection,
                    }),
                    false => None,
                };
                Ok(ForwardReply { reply, lane })
            })
        };
        let answer = send(&connection);
        self.start_forward(core, connection, number, answer, timeout, sink_open, done)
    }

    /// Forwards a request to the transaction on a lane; see [`PeerClients::execute`].
    pub fn execute_on_lane(
        &self,
        core: &mut Core,
        lane: &LaneHandle,
        routed: &RoutedRequest,
        timeout: Duration,
        chunks: impl Fn(Bytes, ChunkPermit) + 'static,
        done: impl FnOnce(Result<ForwardReply, PeerCallError>) + 'static,
    ) -> CallGuard {
        let number = lane.connection.next_call_number();
        let (sink, sink_open) = new_sink(chunks);
        let mut request = lane.client.execute_request();
        request.get().set_call(number);
        codec::write_routed_request(request.get().init_work(), routed);
        request.get().set_sink(sink);
        let answer = request.send().promise;
        let lane = lane.clone();
        // On a connection that ended nothing can be sent, and the peer has released the lane.
        let connection = match lane.connection.ended.get() {
            true => Err(PeerCallError::NotSent {
                address: lane.connection.address,
                message: "the connection had already ended".to_owned(),
            }),
            false => Ok(lane.connection.clone()),
        };
        let answer = async move {
            let answer = answer.await?;
            let answer = answer.get()?;
            let reply = codec::read_reply(answer.get_reply()?)?;
            Ok(ForwardReply { reply, lane: answer.get_open().then_some(lane) })
        };
        self.start_forward(core, connection, number, Some(answer), timeout, sink_open, done)
    }

    #[allow(clippy::too_many_arguments)]
    fn start_forward(
        &self,
        core: &mut Core,
        connection: Result<Rc<PeerConnection>, PeerCallError>,
        number: u64,
        answer: Option<impl Future<Output = Result<ForwardReply, Error>> + 'static>,
        timeout: Duration,
        sink_open: Rc<Cell<bool>>,
        done: impl FnOnce(Result<ForwardReply, PeerCallError>) + 'static,
    ) -> CallGuard {
        let open = sink_open.clone();
        let done = move |result| {
            open.set(false);
            done(result);
        };
        let call = connection.as_ref().ok().map(|connection| (connection.clone(), number));
        let abort = self.start_call(core, connection, answer, timeout, done);
        CallGuard { abort, sink_open, pool: self.pool.clone(), call }
    }

    fn call<F, T>(
        &self,
        core: &mut Core,
        address: SocketAddress,
        timeout: Duration,
        send: impl FnOnce(&peer::Client) -> F,
        done: impl FnOnce(Result<T, PeerCallError>) + 'static,
    ) where
        F: Future<Output = Result<T, Error>> + 'static,
        T: 'static,
    {
        let connection = self.connection(core, address);
        let answer = connection.as_ref().ok().map(|connection| send(&connection.client));
        self.start_call(core, connection, answer, timeout, done);
    }

    fn start_call<T: 'static>(
        &self,
        core: &mut Core,
        connection: Result<Rc<PeerConnection>, PeerCallError>,
        answer: Option<impl Future<Output = Result<T, Error>> + 'static>,
        timeout: Duration,
        done: impl FnOnce(Result<T, PeerCallError>) + 'static,
    ) -> AbortHandle {
        let timer = CallTimer::start(core, timeout);
        let task = async move {
            let result = match (connection, answer) {
                (Ok(connection), Some(answer)) => connection.await_answer(answer, timer).await,
                (Err(error), _) => Err(error),
                (Ok(connection), None) => {
                    Err(connection.call_error("the call was not created".to_owned()))
                }
            };
            done(result);
        };
        let (task, abort) = future::abortable(task);
        self.pool.spawn(async move {
            let _ = task.await;
        });
        abort
    }

    fn connection(
        &self,
        core: &mut Core,
        address: SocketAddress,
    ) -> Result<Rc<PeerConnection>, PeerCallError> {
        let mut connections = self.connections.borrow_mut();
        if let Some(connection) = connections.get(&address)
            && !connection.ended.get()
        {
            connection.last_use.set(core.now());
            return Ok(connection.clone());
        }
        let poll: MioPoll = core.anymap_get();
        let stream = TcpStream::connect(crate::dial_address(address))
            .and_then(|stream| RpcStream::new(&poll, stream))
            .map_err(|error| PeerCallError::NotSent { address, message: error.to_string() })?;
        let network = twoparty::VatNetwork::new(
            BufReader::new(stream.clone()),
            BufWriter::new(stream.clone()),
            Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        // Every call on the connection receives the error itself.
        system.set_background_error_handler(|_| {});
        let client: peer::Client = system.bootstrap(Side::Server);
        let ended = Rc::new(Cell::new(false));
        let system_ended = ended.clone();
        let system_stream = stream.clone();
        self.pool.spawn(async move {
            let _ = system.await;
            system_ended.set(true);
            system_stream.close();
        });
        let connection = Rc::new(PeerConnection {
            address,
            client,
            stream,
            in_use: Rc::new(()),
            last_use: Cell::new(core.now()),
            ended,
            consecutive_timeouts: Cell::new(0),
            next_call_number: Cell::new(0),
        });
        connections.insert(address, connection.clone());
        Ok(connection)
    }
}

impl PeerConnection {
    async fn await_answer<T>(
        &self,
        answer: impl Future<Output = Result<T, Error>>,
        timer: CallTimer,
    ) -> Result<T, PeerCallError> {
        let _in_use = self.in_use.clone();
        let answer = std::pin::pin!(answer);
        match future::select(answer, timer).await {
            Either::Left((Ok(answer), _)) => {
                self.consecutive_timeouts.set(0);
                Ok(answer)
            }
            Either::Left((Err(error), _)) => {
                if error.kind == capnp::ErrorKind::Disconnected {
                    self.ended.set(true);
                }
                Err(self.call_error(error.to_string()))
            }
            Either::Right(_) => {
                self.consecutive_timeouts.set(self.consecutive_timeouts.get() + 1);
                let sent = self.stream.has_written();
                if self.consecutive_timeouts.get() >= MAX_CONSECUTIVE_TIMEOUTS || !sent {
                    self.ended.set(true);
                    self.stream.close();
                }
                match sent {
                    true => Err(PeerCallError::TimedOut { address: self.address }),
                    false => Err(self.call_error("no byte was sent before the timeout".to_owned())),
                }
            }
        }
    }

    fn call_error(&self, message: String) -> PeerCallError {
        let address = self.address;
        match self.stream.has_written() {
            true => PeerCallError::Interrupted { address, message },
            false => PeerCallError::NotSent { address, message },
        }
    }
}

/// Resolves after the timeout. Dropping it removes the timer from the event loop.
struct CallTimer {
    key: FixedTimerKey,
    deferrer: Deferrer,
    expired: oneshot::Receiver<()>,
}

impl CallTimer {
    fn start(core: &mut Core, timeout: Duration) -> Self {
        let (sender, expired) = oneshot::channel();
        let key = core.timer_add(core.now() + timeout, move |_| {
            let _ = sender.send(());
        });
        CallTimer { key, deferrer: core.deferrer(), expired }
    }
}

impl Future for CallTimer {
    type Output = ();

    fn poll(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<()> {
        std::pin::Pin::new(&mut self.expired).poll(context).map(|_| ())
    }
}

impl Drop for CallTimer {
    fn drop(&mut self) {
        let key = self.key;
        self.deferrer.defer(move |stakker| {
            stakker.timer_del(key);
        });
    }
}

struct SinkServer {
    chunks: ChunkHandler,
    open: Rc<Cell<bool>>,
}

fn new_sink(
    chunks: impl Fn(Bytes, ChunkPermit) + 'static,
) -> (answer_sink::Client, Rc<Cell<bool>>) {
    let open = Rc::new(Cell::new(true));
    let server = SinkServer { chunks: Rc::new(chunks), open: open.clone() };
    (capnp_rpc::new_client(server), open)
}

impl answer_sink::Server for SinkServer {
    fn write(
        self: Rc<Self>,
        params: answer_sink::WriteParams,
        _results: answer_sink::WriteResults,
    ) -> impl Future<Output = Result<(), Error>> + 'static {
        // The chunk is delivered before the future is polled, which keeps the order of the calls.
        let written = self.deliver(&params);
        async move {
            if let Some(written) = written? {
                // Dropping the permit drops the sender, so this always ends with a cancelled receiver.
                let _ = written.await;
            }
            Ok(())
        }
    }
}

impl SinkServer {
    fn deliver(
        &self,
        params: &answer_sink::WriteParams,
    ) -> Result<Option<oneshot::Receiver<()>>, Error> {
        if !self.open.get() {
            return Ok(None);
        }
        let chunk = Bytes::copy_from_slice(params.get()?.get_chunk()?);
        let (sender, written) = oneshot::channel::<()>();
        (self.chunks)(chunk, ChunkPermit::new(move || drop(sender)));
        Ok(Some(written))
    }
}
