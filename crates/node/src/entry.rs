//! Entry side: classification, routing, retries and the end of client requests.
//!
//! A declined request has not been sent to a backend server, so it may be sent to another one until its
//! deadline. A request that may have been sent is retried only if that cannot change its effect: reads
//! of which nothing was relayed, and writes with a request key.

mod finish;
mod retry;
mod target;

use std::collections::BTreeSet;
use std::sync::Arc;

use admit::{RequestId, RetryBudget};
use bytes::Bytes;
use model::{FastMap, Micros, Name};
use route::{RequestPolicy, StatementClass, classify};
use stats::CallerMeasure;

use crate::Node;
use crate::frames::{ProxyAnswer, executes, proxy_answer};
use crate::hints::HintTable;
use crate::id::{CallId, SessionId};
use crate::request::{ClientRequest, ErrorReply};
use crate::session::Session;
use crate::step::PendingStep;

/// First backoff after all databases of a cluster declined a request; it doubles up to
/// [`MAX_BACKOFF`]. It need not be short, because a new leader ends it at once.
const MIN_BACKOFF: Micros = Micros::from_millis(20);
const MAX_BACKOFF: Micros = Micros::from_millis(500);

/// Time after the deadline at which a peer that has not answered counts as lost. Covers the
/// cancellation of a running statement (1 s) and the wait for an acknowledgement (3 s).
const ANSWER_GRACE: Micros = Micros::from_secs(5);

/// Time for which a session reads from the primary after a replica had not reached its required
/// position. It avoids attempts at a replica that would decline again, and is short compared with the
/// lag at which replicas still serve reads.
const REPLICA_LAG_BACKOFF: Micros = Micros::from_millis(100);

/// An attempt in progress: the database, its owner and the path to it.
#[derive(Clone, Debug)]
pub(crate) struct EntryAttempt {
    pub database: Name,
    pub owner: Name,
    pub path: AttemptPath,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptPath {
    Local(RequestId),
    Remote(CallId),
}

/// The request in progress of a session.
#[derive(Debug)]
pub(crate) struct EntryRequest {
    pub request: ClientRequest,
    pub read: bool,
    pub commits: bool,
    /// The statement may write, so the COMMIT of its transaction has to be acknowledged.
    may_write: bool,
    pub key: Option<Name>,
    pub policy: Arc<RequestPolicy>,
    arrived: Micros,
    pub deadline: Micros,
    pub attempt: Option<EntryAttempt>,
    retry_at: Option<Micros>,
    /// The time of the valid entry in the timer heap.
    pub timer_due: Option<Micros>,
    backoff: Micros,
    /// Databases that declined since the last backoff.
    declined_by: Vec<Name>,
    /// The request is sent to the primary only, for example after a replica lacked a proof.
    primary_only: bool,
    /// The request was last declined because no primary was available.
    no_primary: bool,
    /// A keyed write may have run, so it must not be reported as not run.
    may_have_run: bool,
    /// A read was sent and its answer was interrupted.
    interrupted: bool,
    cancelled: bool,
    route: (Name, &'static str),
}

/// A forwarded call.
#[derive(Debug)]
pub(crate) struct ForwardedCall {
    pub session: SessionId,
    pub to: Name,
}

/// State of the entry side, apart from the sessions.
#[derive(Debug, Default)]
pub(crate) struct EntryState {
    pub calls: FastMap<CallId, ForwardedCall>,
    pub hints: HintTable,
    pub budget: RetryBudget,
    /// Sessions with a request that waits for a primary, by cluster.
    waiting: FastMap<Name, BTreeSet<SessionId>>,
}

impl EntryState {
    pub(crate) fn stop_waiting(&mut self, cluster: &str, session: SessionId) {
        if let Some(sessions) = self.waiting.get_mut(cluster) {
            sessions.remove(&session);
            if sessions.is_empty() {
                self.waiting.remove(cluster);
            }
        }
    }
}

fn error(code: &str, message: impl Into<String>) -> ErrorReply {
    ErrorReply { code: code.into(), message: message.into() }
}

impl Node {
    pub(crate) fn request_arrived(&mut self, id: SessionId, request: ClientRequest) {
        let Some(mut session) = self.sessions.remove(&id) else { return };
        if session.request.is_some() {
            // The I/O driver sends one request at a time; a second one would end twice.
            self.count("requests.out_of_turn", 1);
            self.sessions.insert(id, session);
            return;
        }
        if session.revision != self.fleet.revision() {
            self.refresh_labels(&mut session);
        }
        self.count("requests", 1);
        let rank = session.policy.rank;
        self.accounts.count(self.now, &session.caller, rank, CallerMeasure::Requests, 1);
        let (class, key) = classify(&request.text);
        let own_answer = match &class {
            StatementClass::Session(command) => {
                Some(self.run_command(&mut session, &request, command))
            }
            StatementClass::Empty => Some(Ok(proxy_answer(&request, ProxyAnswer::EmptyQuery))),
            StatementClass::Unsupported(reason) => {
                // The client expects an error to end its transaction, so the transaction is dropped.
                if let Some(transaction) = session.transaction.take() {
                    self.drop_transaction(id, &transaction);
                }
                Some(Err(error("0A000", *reason)))
            }
            StatementClass::Commit | StatementClass::Rollback
                if session.transaction.is_none() && !has_several_statements(&request.text) =>
            {
                session.notices.push(error("25P01", "there is no transaction in progress"));
                let tag = if class == StatementClass::Commit { "COMMIT" } else { "ROLLBACK" };
                Some(Ok(proxy_answer(&request, ProxyAnswer::Complete { tag })))
            }
            _ => None,
        };
        match own_answer {
            Some(answer) => {
                self.sessions.insert(id, session);
                let (frames, error) = match answer {
                    Ok(frames) => (frames, None),
                    Err(error) => (Bytes::new(), Some(error)),
                };
                self.finish_request(id, error, frames);
            }
            None => {
                let request = self.prepare_request(&mut session, request, &class, key);
                let (read, rank) = (request.read, request.policy.rank);
                session.request = Some(request);
                self.sessions.insert(id, session);
                if read {
                    self.entry.budget.count_first_attempt(self.now, rank);
                }
                self.arm_session(id);
                self.steps.push_back(PendingStep::Route(id));
            }
        }
    }

    fn prepare_request(
        &mut self,
        session: &mut Session,
        request: ClientRequest,
        class: &StatementClass,
        comment_key: Option<Name>,
    ) -> EntryRequest {
        let executes = executes(&request);
        let several = has_several_statements(&request.text);
        let in_transaction = session.transaction.is_some();
        // Messages that only prepare and describe a statement never write.
        let read = !executes || *class == StatementClass::Read;
        let has_written =
            session.transaction.as_ref().is_some_and(|transaction| transaction.has_written);
        let commits = executes
            && match class {
                StatementClass::Write => !in_transaction,
                StatementClass::Commit => !in_transaction || has_written || several,
                _ => false,
            };
        let may_write = executes
            && match class {
                StatementClass::Write => true,
                StatementClass::Begin { read_only: false } => several,
                _ => false,
            };
        let key = match executes && *class == StatementClass::Write {
            true => comment_key.or_else(|| session.request_key.take()),
            false => None,
        };
        let policy = session.policy.clone();
        EntryRequest {
            read,
            commits,
            may_write,
            key,
            arrived: self.now,
            deadline: self.now + policy.deadline,
            attempt: None,
            retry_at: None,
            timer_due: None,
            backoff: MIN_BACKOFF,
            declined_by: Vec::new(),
            primary_only: !executes || self.now < session.primary_until,
            no_primary: false,
            may_have_run: false,
            interrupted: false,
            cancelled: false,
            route: (Name::default(), ""),
            policy,
            request,
        }
    }

    fn request_mut(&mut self, id: SessionId) -> Option<&mut EntryRequest> {
        self.sessions.get_mut(&id)?.request.as_mut()
    }
}

/// Returns whether a text may contain more than one statement: a semicolon before its end.
fn has_several_statements(text: &str) -> bool {
    text.trim_end().trim_end_matches([';', ' ', '\n', '\t', '\r']).contains(';')
}
