//! Rate limits of accounts: tokens for operations, and the sessions between nodes that carry them.
//!
//! An operation is charged once, at the node that sends it to a database, immediately before its
//! first send. A request that a database did not run is sent again without another charge.
//! Without an account that has a limit, this module does nothing. See docs/design/rate-limits.md.

use std::collections::{BTreeMap, BTreeSet};

use account::RateLimit;
use allot::{AllotmentGrant, AllotmentNode, AllotmentPolicy, AllotmentRequest, TokenTake};
use bytes::Bytes;
use model::{FastMap, Micros, Name};

use crate::action::GateAction;
use crate::backend::{AnswerEnd, BackendAnswer, BackendCommand};
use crate::database::CommandPurpose;
use crate::event::{ConnectionId, SessionId, SessionOrigin};
use crate::request::{RequestId, RequestStage};
use crate::statement::{ErrorCode, TransactionState};
use crate::{Gate, fields};

/// Database name of the sessions in which nodes request tokens from each other.
pub const ALLOTMENT_SESSION: &str = "*allotments";

/// First version of the protocol between nodes with such sessions. Nodes of former versions are no
/// home nodes.
const ALLOTMENT_PROTOCOL: u32 = 2;

/// Time that a request waits for the answer of a home node, and that a node waits for the answer to
/// its own request. Reserves are usable before it has passed.
pub(crate) const ALLOTMENT_TIMEOUT: Micros = Micros::from_millis(300);

/// Time without a refusal, or without use of a reserve, after which the state counts as over. It is
/// the usual window of a limit.
const STATE_TTL: Micros = Micros::from_millis(5_000);

/// Maximum number of accounts whose state above the limit is logged at the same time.
const MAX_LOGGED_ACCOUNTS: usize = 100;

const UNCHECKED_TEXT: &str =
    "not run, the limit of the account could not be checked, retry after 300 ms";

/// Tokens of this node, and the requests that wait for some.
#[derive(Debug, Default)]
pub(crate) struct AllotmentState {
    /// `None` if no account has a limit.
    node: Option<AllotmentNode>,
    /// The nodes, their addresses or the configuration have changed.
    pub(crate) outdated: bool,
    /// Requests that wait for a token, by account, in the order of arrival.
    waiting: FastMap<Name, Vec<RequestId>>,
    /// The nodes among which homes are chosen, with the incarnations of their processes.
    nodes: BTreeMap<Name, u64>,
    /// When accounts that are logged as above their limit were last refused.
    above_limit: FastMap<Name, Micros>,
    /// When a reserve was last used, while that is logged.
    reserve_used: Option<Micros>,
}

impl Gate {
    /// Charges a request that is about to be sent to a database. Returns false if it must not be
    /// sent: it was refused, or waits for a token.
    pub(crate) fn charge_operation(&mut self, id: RequestId) -> bool {
        let now = self.now;
        let Some((account, limit)) = self.charged_account(id) else { return true };
        let take = self.allotments.node.as_mut().map(|node| node.take(now, &account));
        // A slot that is returned before the operation was sent tells nothing about service times.
        match take {
            Some(TokenTake::Taken | TokenTake::TakenFromReserve) => {
                self.record_charge(id, take);
                true
            }
            Some(TokenTake::Refused { retry_after }) => {
                self.abandon_slot(id);
                self.refuse_above_limit(id, &account, limit, retry_after);
                false
            }
            Some(TokenTake::Wait) | None => {
                self.abandon_slot(id);
                self.wait_for_allotment(id, &account);
                false
            }
        }
    }

    /// Returns the account and the limit that a request still has to be charged to.
    fn charged_account(&self, id: RequestId) -> Option<(Name, RateLimit)> {
        self.allotments.node.as_ref()?;
        let request = self.requests.get(&id)?;
        // The node that sends to the database charges forwarded requests.
        if request.is_charged
            || request.database.as_ref().is_some_and(|database| self.is_peer(database))
        {
            return None;
        }
        let account = request.account()?.clone();
        let limit = self.table.accounts.as_ref()?.limit_of(&account)?;
        Some((account, limit))
    }

    fn record_charge(&mut self, id: RequestId, take: Option<TokenTake>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_charged = true;
        }
        self.count("allotments_charged");
        if take == Some(TokenTake::TakenFromReserve) {
            self.count("allotments_from_reserve");
            if self.allotments.reserve_used.replace(self.now).is_none() {
                self.log("allotment_reserve", fields!["used" => true]);
            }
        }
    }

    /// Refuses a request before it is queued if its account is known to be above its limit, so that
    /// a flood fills no queue. Returns true if it was refused.
    pub(crate) fn refuse_flood(&mut self, id: RequestId) -> bool {
        let Some((account, limit)) = self.charged_account(id) else { return false };
        let node = self.allotments.node.as_ref();
        let wait = node.and_then(|node| node.refused_for(self.now, &account));
        if let Some(retry_after) = wait {
            self.refuse_above_limit(id, &account, limit, retry_after);
        }
        wait.is_some()
    }

    fn refuse_above_limit(
        &mut self,
        id: RequestId,
        account: &Name,
        limit: RateLimit,
        retry_after: Micros,
    ) {
        self.count("allotments_refused");
        let state = &mut self.allotments.above_limit;
        if state.contains_key(account) || state.len() < MAX_LOGGED_ACCOUNTS {
            let is_new = state.insert(account.clone(), self.now).is_none();
            if is_new {
                self.log("account_above_limit", fields!["account" => account, "above" => true]);
            }
        }
        let (rate, wait) = (limit.rate_per_s, retry_after.as_millis().max(1));
        let text = format!(
            "not run, the account \"{account}\" is above its limit of {rate} operations a second, \
             retry after {wait} ms"
        );
        if let Some(request) = self.requests.get_mut(&id) {
            request.database = None;
        }
        self.refuse(id, ErrorCode::Busy, &text);
    }

    fn wait_for_allotment(&mut self, id: RequestId, account: &Name) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = RequestStage::WaitingForAllotment { since: now };
        request.database = None;
        self.allotments.waiting.entry(account.clone()).or_default().push(id);
        self.count("allotment_waits");
        let home = self.allotments.node.as_ref().and_then(|node| node.home_of(account).cloned());
        if let Some(home) = home {
            self.send_allotment_requests(&[home]);
        }
    }

    /// Refuses a request whose home node did not answer in time.
    pub(crate) fn refuse_unchecked(&mut self, id: RequestId) {
        self.count("allotments_unanswered");
        self.refuse(id, ErrorCode::Busy, UNCHECKED_TEXT);
    }

    /// Sends the waiting requests of an account for which there are tokens, and refuses those for
    /// which there will be none in time.
    fn resume_allotment_waiters(&mut self, name: &Name) {
        let now = self.now;
        let Some(waiting) = self.allotments.waiting.remove(name) else { return };
        // Requests of the account in queues, which may take a token when they are sent.
        let mut claimed = self.queued_operations(name);
        for id in waiting {
            let Some(request) = self.requests.get(&id) else { continue };
            let RequestStage::WaitingForAllotment { since } = request.stage else { continue };
            let Some((account, limit)) = self.charged_account(id) else {
                self.route_request(id);
                continue;
            };
            let Some(node) = &mut self.allotments.node else { continue };
            let available = node.available(now, &account);
            if available > claimed {
                self.route_request(id);
                claimed += u32::from(self.is_queued_uncharged(id));
                continue;
            }
            // Nothing is taken here: whichever request of the account is sent first uses the token.
            let take = if available > 0 { TokenTake::Wait } else { node.take(now, &account) };
            match take {
                TokenTake::Refused { retry_after } => {
                    self.refuse_above_limit(id, &account, limit, retry_after);
                }
                TokenTake::Wait
                    if now >= since + ALLOTMENT_TIMEOUT && !node.is_answered(now, &account) =>
                {
                    self.refuse_unchecked(id);
                }
                _ => self.allotments.waiting.entry(account).or_default().push(id),
            }
        }
    }

    /// Returns how many requests of an account wait in the queues of databases.
    fn queued_operations(&self, account: &Name) -> u32 {
        let databases = self.databases.values().filter(|database| database.peer.is_none());
        let queued: usize = databases.map(|database| database.queue.waiting_of(account)).sum();
        u32::try_from(queued).unwrap_or(u32::MAX)
    }

    /// Returns true if a request waits in a queue and has not been charged.
    fn is_queued_uncharged(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.stage == RequestStage::Queued && !request.is_charged)
    }

    /// Updates homes, requests tokens and resumes requests. Called at each timer event.
    pub(crate) fn maintain_allotments(&mut self) {
        self.refresh_allotments();
        let (now, has_contact) = (self.now, self.has_store_contact());
        let Some(node) = &mut self.allotments.node else { return };
        if has_contact {
            node.record_store_contact(now);
        }
        let waiting: Vec<Name> = self.allotments.waiting.keys().cloned().collect();
        waiting.iter().for_each(|account| self.resume_allotment_waiters(account));
        let others = self.allotments.node.as_ref().map(|node| node.others().to_vec());
        self.send_allotment_requests(&others.unwrap_or_default());
        self.end_allotment_states();
    }

    /// Updates homes and limits if changes have been seen since the last update.
    pub(crate) fn refresh_allotments(&mut self) {
        if std::mem::take(&mut self.allotments.outdated) {
            self.update_allotments();
        }
    }

    fn update_allotments(&mut self) {
        let limits: Vec<(Name, RateLimit)> = match &self.table.accounts {
            Some(directory) => directory.limits().collect(),
            None => Vec::new(),
        };
        if limits.is_empty() {
            self.allotments.node = None;
            return self.resume_unlimited_waiters();
        }
        // Without the list of nodes, this one would be the home of every account.
        if self.registration.listed.is_some() && !self.awaits_nodes() {
            self.allotments.nodes = self.allotting_nodes();
        }
        let leaving = self.registry.others().filter(|(_, record)| record.leaving);
        let leaving: BTreeSet<Name> = leaving.map(|(node, _)| node.clone()).collect();
        let nodes = &self.allotments.nodes;
        let settings = &self.settings;
        let node = self.allotments.node.get_or_insert_with(|| {
            AllotmentNode::new(settings.node.clone(), AllotmentPolicy::new(settings.quota))
        });
        let changed = node.update(self.now, nodes, &leaving, limits);
        if changed > 0 {
            self.out
                .push(GateAction::Count { counter: "allotment_homes_changed", amount: changed });
            let nodes = u64::try_from(nodes.len()).unwrap_or(u64::MAX);
            self.log("allotment_homes", fields!["changed" => changed, "nodes" => nodes]);
        }
    }

    /// Continues the requests that waited for tokens when the last limit was removed.
    fn resume_unlimited_waiters(&mut self) {
        for id in std::mem::take(&mut self.allotments.waiting).into_values().flatten() {
            let stage = self.requests.get(&id).map(|request| request.stage);
            if matches!(stage, Some(RequestStage::WaitingForAllotment { .. })) {
                self.route_request(id);
            }
        }
    }

    /// Returns the nodes among which homes are chosen, with the incarnations of their processes: the
    /// strong owners, or all nodes of a small deployment. Weak nodes own connections for a short time
    /// only, while strong ones restart. As homes they would change the homes of all accounts, and a
    /// connection to each home costs them a large part of their processor share.
    fn allotting_nodes(&self) -> BTreeMap<Name, u64> {
        let own = &self.settings.node;
        let owning = self.owners.owning_nodes();
        let is_candidate = |node: &Name| owning.as_ref().is_none_or(|owning| owning.contains(node));
        let others = self.registry.others().filter(|(node, record)| {
            is_candidate(node) && !record.leaving && record.peer_protocol >= ALLOTMENT_PROTOCOL
        });
        let mut nodes: Vec<(&Name, u32, u64)> =
            others.map(|(node, record)| (node, record.capacity, record.incarnation)).collect();
        if is_candidate(own) && self.drain.since.is_none() {
            nodes.push((own, self.settings.capacity, self.settings.incarnation));
        }
        let strongest = nodes.iter().map(|(_, capacity, _)| *capacity).max().unwrap_or_default();
        let strong = nodes.iter().filter(|(_, capacity, _)| *capacity >= strongest / 2);
        strong.map(|(node, _, incarnation)| ((*node).clone(), *incarnation)).collect()
    }

    /// Sends the due requests to home nodes, and opens the connections that they need.
    fn send_allotment_requests(&mut self, homes: &[Name]) {
        let now = self.now;
        let lacks_store = !self.has_store_contact();
        for home in homes {
            let node = self.allotments.node.as_ref();
            if *home == self.settings.node || !node.is_some_and(|node| node.may_request(now, home))
            {
                continue;
            }
            let waiting = self.waiting_by_account(home);
            let Some(node) = &mut self.allotments.node else { return };
            let Some(request) = node.next_request(now, home, &waiting, lacks_store) else {
                continue;
            };
            let Some(connection) = self.idle_allotment_connection(home) else { continue };
            let Some(node) = &mut self.allotments.node else { return };
            node.request_sent(now, home, &request);
            self.count("allotment_requests");
            self.send(connection, vec![BackendCommand::Allot(request)], CommandPurpose::Allot);
        }
    }

    /// Returns the operations that wait for tokens of a home node, by account, and as many of those in
    /// queues as will use the tokens that this node holds.
    fn waiting_by_account(&mut self, home: &Name) -> FastMap<Name, u32> {
        let now = self.now;
        let mut waiting = FastMap::<Name, u32>::default();
        let Some(node) = &self.allotments.node else { return waiting };
        for (account, requests) in &self.allotments.waiting {
            if node.home_of(account) != Some(home) {
                continue;
            }
            let requests = requests.iter().filter_map(|id| self.requests.get(id));
            let count = requests
                .filter(|request| matches!(request.stage, RequestStage::WaitingForAllotment { .. }))
                .count();
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            waiting.insert(account.clone(), count);
        }
        for (account, count) in &mut waiting {
            let held = self.allotments.node.as_mut().map_or(0, |node| node.held(now, account));
            let claimed = if held > 0 { held.min(self.queued_operations(account)) } else { 0 };
            *count = count.saturating_add(claimed);
        }
        waiting
    }

    /// Returns an idle connection for requests to a home node; opens one if there is none.
    fn idle_allotment_connection(&mut self, home: &Name) -> Option<ConnectionId> {
        let now = self.now;
        let name = self.peer_entry(home, &Name::from(ALLOTMENT_SESSION))?;
        let entry = self.databases.get_mut(&name)?;
        if let Some(connection) = entry.idle.pop() {
            return Some(connection);
        }
        if entry.connections.is_empty() && now >= entry.open_retry_at {
            self.open_connection(&name, None);
        }
        None
    }

    /// Handles that a connection to another node was opened.
    pub(crate) fn allotment_connection_opened(&mut self, entry: &Name) {
        let Some(entry) = self.databases.get(entry) else { return };
        if &*entry.listed.cluster == ALLOTMENT_SESSION
            && let Some(home) = entry.peer.clone()
        {
            self.send_allotment_requests(&[home]);
        }
    }

    pub(crate) fn allotments_answered(
        &mut self,
        connection: ConnectionId,
        grants: &[AllotmentGrant],
    ) {
        let now = self.now;
        let Some(state) = self.connections.get(&connection) else { return };
        let sent = state.pending.front().map(|pending| pending.sent).unwrap_or(now);
        let home = self.databases.get(&state.database).and_then(|entry| entry.peer.clone());
        if let (Some(home), Some(node)) = (&home, &mut self.allotments.node) {
            node.answered(now, home, sent, grants);
        }
        let granted: u64 = grants.iter().map(|grant| u64::from(grant.granted)).sum();
        if granted > 0 {
            self.out.push(GateAction::Count { counter: "allotments_granted", amount: granted });
        }
        let answer = BackendAnswer {
            rows: Vec::new(),
            end: AnswerEnd::Done(Bytes::new()),
            state: TransactionState::Idle,
            position: None,
            report: None,
        };
        self.connection_answered(connection, answer);
        grants.iter().for_each(|grant| self.resume_allotment_waiters(&grant.account));
        if let Some(home) = home {
            self.send_allotment_requests(&[home]);
        }
    }

    /// Handles that a request on a connection will not be answered any more.
    pub(crate) fn allotment_request_ended(&mut self, entry: &Name) {
        let home = self.databases.get(entry).and_then(|entry| entry.peer.clone());
        if let (Some(home), Some(node)) = (home, &mut self.allotments.node) {
            node.request_lost(&home);
        }
    }

    /// Returns the refusal of a session for requests of tokens.
    pub(crate) fn allotment_session_error(
        &self,
        origin: SessionOrigin,
    ) -> Option<(ErrorCode, &'static str)> {
        match origin {
            SessionOrigin::Peer if self.allotments.node.is_some() => None,
            SessionOrigin::Peer => Some((ErrorCode::Busy, "no account has a limit")),
            SessionOrigin::Client => Some((ErrorCode::NoDatabase, "no route for this database")),
        }
    }

    /// Answers another node's request for tokens.
    pub(crate) fn answer_allotments(&mut self, id: SessionId, request: &AllotmentRequest) {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return };
        if session.origin != SessionOrigin::Peer || &*session.database != ALLOTMENT_SESSION {
            return self.reply_error(id, ErrorCode::Malformed, "not a session of a node");
        }
        // The start-up message of a node names the node and then the entry that stands for this one.
        let node = session.key.as_str().split(' ').next().map(Name::from).unwrap_or_default();
        let ledger = self.allotments.node.as_mut();
        let grants = ledger.map(|ledger| ledger.answer(now, &node, id.0, request));
        let grants = grants.unwrap_or_default();
        self.out.push(GateAction::ReplyAllotments { session: id, grants });
    }

    /// Logs the accounts that are no longer above their limit, and the end of the use of reserves.
    fn end_allotment_states(&mut self) {
        let now = self.now;
        let ended = self.allotments.above_limit.extract_if(|_, at| now >= *at + STATE_TTL);
        let ended: Vec<Name> = ended.map(|(account, _)| account).collect();
        for account in ended {
            self.log("account_above_limit", fields!["account" => &account, "above" => false]);
        }
        if self.allotments.reserve_used.take_if(|at| now >= *at + STATE_TTL).is_some() {
            self.log("allotment_reserve", fields!["used" => false]);
        }
    }
}
