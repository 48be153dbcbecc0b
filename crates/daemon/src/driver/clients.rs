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
    REPLACEABLE_AGE, SessionEntry, is_transient, process_id, session_candidates,
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
        let is_full = self.sessions.len() >= limit;
        let has_place = !is_full || self.replace_silent_session(cx);
        if !has_place && self.sessions.len() >= limit + REFUSED_CONNECTION_LIMIT {
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
            over_limit: !has_place,
            scratch: self.scratch.clone(),
            space: self.request_space.clone(),
            statement_space: self.statement_space.clone(),
            started: self.started,
        };
        let driver = cx.this().clone();
        let session = actor!(cx, ClientSession::init(driver, setup), ret_nop!());
        let opened_at = cx.now();
        let entry = SessionEntry { session, secret, request: 0, opened_at, started: false };
        self.sessions.insert(id, entry);
    }

    /// Closes the connection that has waited longest without a start-up packet, if it is old enough. Returns whether its
    /// place is free for another one.
    fn replace_silent_session(&mut self, cx: CX![]) -> bool {
        let now = cx.now();
        let silent = self.sessions.iter_mut().filter(|(_, entry)| {
            !entry.started && now.saturating_duration_since(entry.opened_at) >= REPLACEABLE_AGE
        });
        let Some((_, entry)) = silent.min_by_key(|(id, entry)| (entry.opened_at, **id)) else {
            return false;
        };
        entry.started = true;
        call!([entry.session, cx], end_without_startup());
        self.counters.add("sessions.replaced", 1);
        true
    }

    /// Ends the reservation of a session, and lets those that wait for space read on.
    pub(crate) fn release_request_space(&mut self, cx: CX![], session: SessionId) {
        if !self.request_space.borrow_mut().release(session) {
            return;
        }
        let now = self.now(cx);
        loop {
            let admitted = self.request_space.borrow_mut().admit(now);
            let Some(entry) = admitted.and_then(|session| self.sessions.get(&session)) else {
                return;
            };
            call!([entry.session, cx], space_reserved());
        }
    }

    /// Closes the sessions whose clients do not send the rest of a request while others wait for its space.
    pub(super) fn close_stalled_sessions(&mut self, cx: CX![]) {
        let stalled = self.request_space.borrow().stalled(self.now(cx));
        for session in stalled {
            if let Some(entry) = self.sessions.get(&session) {
                call!([entry.session, cx], close_stalled());
                self.counters.add("sessions.stalled", 1);
            }
        }
    }

    /// Called when a client has sent its start-up packet.
    pub(crate) fn session_started(&mut self, _: CX![], session: SessionId) {
        if let Some(entry) = self.sessions.get_mut(&session) {
            entry.started = true;
        }
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
        self.release_request_space(cx, session);
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
