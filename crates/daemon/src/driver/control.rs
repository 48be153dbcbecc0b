//! Answers of the platform, operators' requests, and shutdown.

use std::time::Duration;

use node::NodeEvent;
use serde_json::json;
use stakker::{Actor, CX, StopCause, after, call};

use super::{DRAIN_GRACE, DUMP_ROW_LIMIT, FINAL_FLUSH_TIMEOUT, FINAL_REPLY_GRACE, IoDriver};
use crate::admin::{AdminCall, AdminRequest};
use crate::platform_threads::RecordCall;

impl IoDriver {
    pub(super) fn start_record_call(&mut self, cx: CX![], request: RecordCall) {
        let driver = cx.this().clone();
        if let Err(cluster) = self.platform_threads.start_record_call(cx, &driver, request) {
            let event = NodeEvent::PlatformAnswered(node::PlatformAnswer::RecordFailed { cluster });
            call!([cx], node_event(event));
        }
    }

    /// Called when the platform has answered a call about a cluster's record.
    pub(crate) fn record_answered(&mut self, cx: CX![], answer: node::PlatformAnswer) {
        self.platform_threads.record_answered();
        self.platform_answered(cx, answer);
    }

    /// Passes an answer of the platform to the node.
    pub(crate) fn platform_answered(&mut self, cx: CX![], answer: node::PlatformAnswer) {
        self.node_event(cx, NodeEvent::PlatformAnswered(answer));
    }

    // Operators' requests and shutdown.

    pub(super) fn admin_request(&mut self, cx: CX![], request: AdminRequest) {
        let AdminRequest { call, reply } = request;
        let answer = match call {
            AdminCall::Node(query) => self.node.answer(self.now(cx), &query),
            AdminCall::Health => json!({
                "node": self.settings.name,
                "status": if self.draining { "draining" } else { "ready" },
                "sessions": self.sessions.len(),
            }),
            AdminCall::Drain => {
                self.drain(cx);
                json!({ "node": self.settings.name, "status": "draining" })
            }
            AdminCall::Dump => {
                self.dump(cx, reply);
                return;
            }
        };
        // The operator's connection may have timed out.
        let _ = reply.send(answer);
    }

    /// Collects the descriptions of the session and backend actors, then answers.
    pub(super) fn dump(&mut self, cx: CX![], reply: std::sync::mpsc::Sender<serde_json::Value>) {
        let rows = std::rc::Rc::new(std::cell::RefCell::new((Vec::new(), Vec::new())));
        for entry in self.sessions.values().take(DUMP_ROW_LIMIT) {
            let session = Actor::clone(&entry.session);
            let rows = rows.clone();
            cx.defer(move |stakker| {
                if let Some(row) = session.query(stakker, |session, _| session.describe()) {
                    rows.borrow_mut().0.push(row);
                }
            });
        }
        for backend in self.backends.values().take(DUMP_ROW_LIMIT) {
            let backend = Actor::clone(backend);
            let rows = rows.clone();
            cx.defer(move |stakker| {
                if let Some(row) = backend.query(stakker, |backend, _| backend.describe()) {
                    rows.borrow_mut().1.push(row);
                }
            });
        }
        let mut dump = self.node.answer(self.now(cx), &node::OperatorQuery::Dump);
        let daemon_dump = json!({
            "uptime_ms": self.now(cx).as_millis(),
            "draining": self.draining,
            "session_count": self.sessions.len(),
            "backend_count": self.backends.len(),
            "run_count": self.exchanges.len(),
            "held_answers": self.held_answers.len(),
            "held_bytes": self.held_answers.values().map(|entry| entry.answer.bytes.len()).sum::<usize>(),
            "report_connections": self.report_connections.len(),
            "peer_connections": self.peer_clients.connection_count(),
            "peer_tasks": self.pool.len(),
            "calls_received": self.peer_calls.len(),
            "calls_sent": self.forwards.len(),
            "lanes": self.lanes.len(),
            "platform_watches": self.platform_threads.watch_count(),
            "counters": self.counters.values(),
        });
        cx.defer(move |_| {
            let (sessions, backends) = rows.take();
            let mut daemon_dump = daemon_dump;
            daemon_dump["sessions"] = sessions.into();
            daemon_dump["backends"] = backends.into();
            if !dump.is_object() {
                dump = json!({ "node": dump });
            }
            dump["shell"] = daemon_dump;
            let _ = reply.send(dump);
        });
    }

    /// Starts a graceful shutdown.
    pub(crate) fn drain(&mut self, cx: CX![]) {
        if self.draining {
            return;
        }
        self.draining = true;
        log::info!("draining sessions={}", self.sessions.len());
        let timeout = Duration::from_micros(self.settings.drain_timeout.0) + DRAIN_GRACE;
        after!(timeout, [cx], drain_timed_out());
        self.node_event(cx, NodeEvent::DrainRequested);
    }

    pub(super) fn drain_timed_out(&mut self, cx: CX![]) {
        log::warn!(
            "drain timed out sessions={} runs={}",
            self.sessions.len(),
            self.exchanges.len()
        );
        cx.shutdown(StopCause::Stopped);
    }

    pub(super) fn shutdown_complete(&mut self, cx: CX![]) {
        self.finished = true;
        // Closes the port, so that new clients connect to another node.
        self.client_listener = None;
        after!(FINAL_FLUSH_TIMEOUT, [cx], stop_process());
        call!([cx], finish_if_empty());
    }

    pub(super) fn stop_process(&mut self, cx: CX![]) {
        cx.shutdown(StopCause::Stopped);
    }

    pub(super) fn finish_if_empty(&mut self, cx: CX![]) {
        if self.finished && self.sessions.is_empty() && self.call_ids.unfinished_count() == 0 {
            self.counters.flush();
            // The last message of an answer to a peer may not have been written yet.
            after!(FINAL_REPLY_GRACE, [cx], stop_process());
        }
    }
}
