//! Clients: accepting their connections, passing requests to the node, and closing sessions.

use std::time::Duration;

use bytes::Bytes;
use model::SocketAddress;
use node::{AnswerTarget, ClientRequest, NodeEvent, SessionId};
use stakker::{CX, actor, after, call, ret_nop};
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use super::{
    ACCEPT_BACKOFF, IoDriver, KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, REFUSED_CONNECTION_LIMIT,
    SessionEntry, is_transient, process_id, session_candidates,
};
use crate::session::{ClientSession, SessionSetup};

impl IoDriver {
    pub(super) fn accept_clients(&mut self, cx: CX![], _: Ready) {
        self.accept_pending_clients(cx);
    }

    pub(super) fn accept_pending_clients(&mut self, cx: CX![]) {
        loop {
            let Some(listener) = &self.client_listener else { return };
            match listener.accept() {
                Ok((stream, address)) => self.add_session(cx, stream, address),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) if is_transient(&error) => {}
                Err(error) => {
                    log::warn!("failed to accept a client connection error={error}");
                    after!(ACCEPT_BACKOFF, [cx], accept_pending_clients());
                    return;
                }
            }
        }
    }

    pub(super) fn add_session(&mut self, cx: CX![], stream: TcpStream, address: SocketAddress) {
        let limit = self.settings.caller_limit as usize;
        if self.sessions.len() >= limit + REFUSED_CONNECTION_LIMIT {
            self.counters.add("sessions.refused", 1);
            return;
        }
        let mut secret = [0; 4];
        if let Err(error) = getrandom::fill(&mut secret) {
            log::error!("failed to get random bytes error={error}");
            return;
        }
        let secret = i32::from_be_bytes(secret);
        // Detects clients whose VM stopped without closing the connection.
        let keepalive = socket2::TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL);
        if let Err(error) = socket2::SockRef::from(&stream).set_tcp_keepalive(&keepalive) {
            log::debug!("failed to set keepalive address={address} error={error}");
        }
        let id = SessionId(self.next_session);
        self.next_session += 1;
        self.counters.add("sessions.opened", 1);
        let setup = SessionSetup {
            id,
            stream,
            address: address.ip().to_string().into(),
            process_id: process_id(id),
            secret,
            request_limit: self.settings.request_limit_bytes as usize,
            over_limit: self.sessions.len() >= limit,
            scratch: self.scratch.clone(),
        };
        let driver = cx.this().clone();
        let session = actor!(cx, ClientSession::init(driver, setup), ret_nop!());
        self.sessions.insert(id, SessionEntry { session, secret, request: 0 });
    }

    /// Called when a client has sent its next request.
    pub(crate) fn request_arrived(
        &mut self,
        cx: CX![],
        session: SessionId,
        number: u64,
        request: ClientRequest,
    ) {
        if let Some(entry) = self.sessions.get_mut(&session) {
            entry.request = number;
            self.node_event(cx, NodeEvent::RequestArrived { session, request });
        }
    }

    /// Handles a cancel request, which is ignored unless it matches a session's process id and
    /// secret.
    pub(crate) fn cancel_arrived(&mut self, cx: CX![], process_id: i32, secret: Bytes) {
        let session = session_candidates(process_id, self.next_session).find(|id| {
            self.sessions.get(id).is_some_and(|entry| secret[..] == entry.secret.to_be_bytes())
        });
        match session {
            Some(session) => {
                self.counters.add("cancels.accepted", 1);
                self.node_event(cx, NodeEvent::CancelArrived { session });
            }
            None => self.counters.add("cancels.ignored", 1),
        }
    }

    /// Called when a client's connection has ended.
    pub(crate) fn session_ended(&mut self, cx: CX![], session: SessionId) {
        if self.sessions.remove(&session).is_some() {
            self.counters.add("sessions.closed", 1);
            self.discard_held(AnswerTarget::Session(session));
            self.node_event(cx, NodeEvent::SessionClosed { session });
            self.finish_if_empty(cx);
        }
    }

    pub(super) fn close_session(
        &mut self,
        cx: CX![],
        session: SessionId,
        error: Option<node::ErrorReply>,
    ) {
        self.discard_held(AnswerTarget::Session(session));
        if let Some(entry) = self.sessions.get(&session) {
            call!([entry.session, cx], close(error));
        }
    }
}
