//! Peers: accepting their connections, calls to them, and calls from them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use model::SocketAddress;
use node::{
    AnswerTarget, CallId, LaneId, NodeAction, NodeEvent, OwnerReply, RoutedRequest, SessionId,
};
use rpc::{AnswerPart, ChunkPermit, ForwardReply, PeerCallError, PeerRequest, RpcStream};
use stakker::{CX, after, call, fwd_to};
use stakker_mio::{MioPoll, Ready};

use super::{
    ACCEPT_BACKOFF, FORWARD_GRACE, HEARTBEAT_TIMEOUT, IoDriver, PULL_TIMEOUT, VIEW_TIMEOUT,
    event_on_reply, is_transient,
};

impl IoDriver {
    pub(super) fn accept_peers(&mut self, cx: CX![], _: Ready) {
        self.accept_pending_peers(cx);
    }

    pub(super) fn accept_pending_peers(&mut self, cx: CX![]) {
        loop {
            match self.peer_listener.accept() {
                Ok((stream, address)) => {
                    let poll: MioPoll = cx.anymap_get();
                    match RpcStream::new(&poll, stream) {
                        Ok(stream) => {
                            let requests = fwd_to!([cx], peer_request() as (PeerRequest));
                            let (ids, space) = (self.call_ids.clone(), &self.peer_space);
                            if !rpc::serve_peer(&self.pool, stream, requests, ids, space) {
                                self.counters.add("peers.refused", 1);
                            }
                        }
                        Err(error) => {
                            log::warn!(
                                "failed to register a peer connection address={address} error={error}"
                            );
                        }
                    }
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) if is_transient(&error) => {}
                Err(error) => {
                    log::warn!("failed to accept a peer connection error={error}");
                    after!(ACCEPT_BACKOFF, [cx], accept_pending_peers());
                    return;
                }
            }
        }
    }

    pub(super) fn execute_peer_action(&mut self, cx: CX![], action: NodeAction) {
        let driver = cx.this().clone();
        match action {
            NodeAction::SendHeartbeat { to, heartbeat } => {
                let name = to.name;
                let address = to.peer_address;
                let done = event_on_reply(driver, move |answer| match answer {
                    Ok(heartbeat) => Some(NodeEvent::HeartbeatAnswered(heartbeat)),
                    Err(_) => Some(NodeEvent::HeartbeatFailed { to: name }),
                });
                self.peer_clients.heartbeat(cx, address, &heartbeat, HEARTBEAT_TIMEOUT, done);
            }
            NodeAction::PullTable { from } => {
                let done = event_on_reply(driver, |table: Result<_, _>| {
                    table.ok().map(NodeEvent::TableArrived)
                });
                self.peer_clients.pull_table(cx, from.peer_address, PULL_TIMEOUT, done);
            }
            NodeAction::PullDocument { from, document } => {
                let name = document.clone();
                let done = event_on_reply(driver, move |pulled: Result<Option<_>, _>| {
                    let (revision, bytes) = pulled.ok()??;
                    Some(NodeEvent::DocumentArrived { document, revision, bytes })
                });
                self.peer_clients.pull_document(cx, from.peer_address, &name, PULL_TIMEOUT, done);
            }
            NodeAction::RequestView { to, cluster } => {
                let name = cluster.clone();
                let from = to.name;
                let done = event_on_reply(driver, move |view: Result<Option<_>, _>| {
                    Some(NodeEvent::ViewAnswered { cluster, from, view: view.unwrap_or(None) })
                });
                self.peer_clients.view(cx, to.peer_address, &name, VIEW_TIMEOUT, done);
            }
            NodeAction::Forward { call, session, to, lane, request } => {
                self.forward(cx, call, session, to.peer_address, lane, &request);
            }
            NodeAction::CancelForward { call } => {
                if let Some((guard, _)) = self.forwards.get(&call) {
                    guard.cancel();
                }
            }
            NodeAction::AnswerForward { call, reply, lane } => {
                self.discard_held(AnswerTarget::Call(call));
                if let Some(answers) = self.peer_calls.remove(&call) {
                    // Fails if the peer dropped the call, which another event reports to the node.
                    let _ = answers.unbounded_send(AnswerPart::End(reply, lane));
                }
            }
            NodeAction::DropLane { lane } => {
                self.lanes.remove(&lane);
            }
            _ => {}
        }
    }

    pub(super) fn forward(
        &mut self,
        cx: CX![],
        call: CallId,
        session: SessionId,
        address: SocketAddress,
        lane: Option<LaneId>,
        request: &RoutedRequest,
    ) {
        let sink = self.answer_sink(AnswerTarget::Session(session));
        let deferrer = cx.deferrer();
        let relayed = Rc::new(Cell::new(false));
        let chunk_relayed = relayed.clone();
        let chunks = move |bytes: Bytes, permit: ChunkPermit| {
            chunk_relayed.set(true);
            if let Some(sink) = sink.clone() {
                deferrer.defer(move |stakker| sink.send(stakker, bytes, permit));
            }
        };
        let driver = cx.this().clone();
        let done = move |result: Result<ForwardReply, PeerCallError>| {
            let deferred = driver.clone();
            driver.defer(move |stakker| {
                call!([deferred, stakker], forward_answered(call, lane, result))
            });
        };
        let timeout = Duration::from_micros(request.time_left.0.min(3_600_000_000)) + FORWARD_GRACE;
        let guard = match lane {
            None => {
                let name = self.settings.name.clone();
                self.peer_clients.execute(cx, address, &name, request, timeout, chunks, done)
            }
            Some(lane) => match self.lanes.get(&lane) {
                Some(lane) => {
                    self.peer_clients.execute_on_lane(cx, lane, request, timeout, chunks, done)
                }
                None => {
                    let event = NodeEvent::ForwardFailed { call, sent: false };
                    call!([cx], node_event(event));
                    return;
                }
            },
        };
        self.forwards.insert(call, (guard, relayed));
    }

    pub(super) fn forward_answered(
        &mut self,
        cx: CX![],
        call: CallId,
        lane: Option<LaneId>,
        result: Result<ForwardReply, PeerCallError>,
    ) {
        let Some((_guard, relayed)) = self.forwards.remove(&call) else { return };
        match result {
            Ok(ForwardReply { reply, lane: handle }) => {
                let lane = match (lane, handle) {
                    (Some(lane), Some(_)) => Some(lane),
                    (None, Some(handle)) => {
                        let lane = LaneId(self.call_ids.next());
                        self.lanes.insert(lane, handle);
                        Some(lane)
                    }
                    (Some(lane), None) => {
                        self.lanes.remove(&lane);
                        None
                    }
                    (None, None) => None,
                };
                self.node_event(cx, NodeEvent::ForwardAnswered { call, reply, lane });
            }
            Err(error) => {
                log::debug!("failed to forward a request error={:?}", error.to_string());
                self.counters.add("forwards.failed", 1);
                if let Some(lane) = lane {
                    self.lanes.remove(&lane);
                }
                let event = if relayed.get() {
                    let reply =
                        OwnerReply::AnswerInterrupted { relayed: true, message: error.to_string() };
                    NodeEvent::ForwardAnswered { call, reply, lane: None }
                } else {
                    NodeEvent::ForwardFailed { call, sent: error.may_have_arrived() }
                };
                self.node_event(cx, event);
            }
        }
    }

    pub(super) fn peer_request(&mut self, cx: CX![], request: PeerRequest) {
        match request {
            PeerRequest::Heartbeat { heartbeat, reply } => {
                self.node_event(cx, NodeEvent::HeartbeatArrived(heartbeat));
                if let Some(heartbeat) = self.node.heartbeat() {
                    // Fails if the peer dropped the call.
                    let _ = reply.send(heartbeat);
                }
            }
            PeerRequest::PullTable { reply } => {
                let _ = reply.send(self.node.members());
            }
            PeerRequest::PullDocument { document, reply } => {
                let _ = reply.send(self.node.document(&document));
            }
            PeerRequest::View { cluster, reply } => {
                let _ = reply.send(self.node.view(self.now(cx), &cluster));
            }
            PeerRequest::Execute { call, from, lane, request, answers } => {
                self.peer_calls.insert(call, answers);
                self.node_event(cx, NodeEvent::ForwardArrived { call, from, lane, request });
            }
            PeerRequest::CallCancelled { call } => {
                if self.peer_calls.contains_key(&call) {
                    self.node_event(cx, NodeEvent::ForwardCancelled { call });
                }
            }
            PeerRequest::CallDropped { call } => {
                if self.peer_calls.remove(&call).is_some() {
                    self.discard_held(AnswerTarget::Call(call));
                    self.node_event(cx, NodeEvent::ForwardCancelled { call });
                }
            }
            PeerRequest::CallFinished => self.finish_if_empty(cx),
            PeerRequest::LaneDropped { lane } => {
                self.node_event(cx, NodeEvent::LaneDropped { lane });
            }
        }
    }
}
