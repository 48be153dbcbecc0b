//! Which account a request belongs to.
//!
//! The key of a session is resolved for each operation, by the version in force, so that a key that
//! operators remove stops open sessions, too. A forwarded request carries the key and the version by
//! which the other node resolved it. The newer version of the two decides.
//!
//! A transaction runs on a connection of the account that held the key at its first statement. When a
//! configuration takes the key from that account, each node that takes part rolls the transaction
//! back as soon as it has the version, at rest or with a statement on its way. A commit that has been
//! sent is not recalled: its answer is awaited and passed on.

use account::ApiKey;
use model::Name;

use crate::event::{ConnectionId, SessionId, SessionOrigin};
use crate::request::{ActiveRequest, RequestId, RequestKind, RequestStage};
use crate::session::{OpenTransaction, RollbackNotice, Transaction};
use crate::statement::{CallerIdentity, ErrorCode};
use crate::{Gate, fields};

pub(crate) const INVALID_KEY_TEXT: &str = "not run, no account holds this key";

const INVALID_KEY: (ErrorCode, &str) = (ErrorCode::NotAuthorized, INVALID_KEY_TEXT);

const KEY_REMOVED_TEXT: &str = "rolled back, no account holds this key any more";

const KEY_MOVED_TEXT: &str = "rolled back, another account holds this key now, retry at once";

const UNKNOWN_KEY: (ErrorCode, &str) =
    (ErrorCode::Busy, "not run, this node may not know the newest keys, retry at once");

const MISSING_CALLER: (ErrorCode, &str) =
    (ErrorCode::Misrouted, "not run, the forwarded request names no caller");

impl Gate {
    /// Returns the refusal of a client whose key no account holds.
    pub(crate) fn key_error(
        &self,
        database: &Name,
        key: &ApiKey,
        origin: SessionOrigin,
    ) -> Option<(ErrorCode, &'static str)> {
        match origin {
            SessionOrigin::Client => self.identify_client(key, database).err(),
            // Each request of another node carries its own caller.
            SessionOrigin::Peer => None,
        }
    }

    /// Returns the caller of an operation, `None` if the deployment does not identify its clients.
    pub(crate) fn identify(
        &self,
        session: SessionId,
        forwarded: Option<&CallerIdentity>,
    ) -> Result<Option<CallerIdentity>, (ErrorCode, &'static str)> {
        let Some(session) = self.sessions.get(&session) else { return Ok(None) };
        match (session.origin, forwarded) {
            (SessionOrigin::Client, _) => self.identify_client(&session.key, &session.database),
            (SessionOrigin::Peer, Some(caller)) if caller.version > self.table.version => {
                Ok(Some(caller.clone()))
            }
            (SessionOrigin::Peer, Some(caller)) => {
                self.identify_key(&caller.key, &session.database)
            }
            (SessionOrigin::Peer, None) if self.table.accounts.is_some() => Err(MISSING_CALLER),
            (SessionOrigin::Peer, None) => Ok(None),
        }
    }

    /// Resolves the key of a request again if the configuration has changed since its caller was
    /// identified. Returns true if the request belongs to another account now.
    pub(crate) fn renew_identity(
        &mut self,
        id: RequestId,
    ) -> Result<bool, (ErrorCode, &'static str)> {
        let Some(request) = self.requests.get(&id) else { return Ok(false) };
        let caller = match &request.caller {
            Some(caller) if caller.version >= self.table.version => return Ok(false),
            Some(caller) => self.identify_key(&caller.key, &request.route.database)?,
            None if self.table.accounts.is_none() => return Ok(false),
            // The configuration had no accounts when the request arrived.
            None => self.identify(request.session, None)?,
        };
        let Some(request) = self.requests.get_mut(&id) else { return Ok(false) };
        let former = request.account().cloned();
        request.caller = caller;
        Ok(request.account() != former.as_ref())
    }

    /// Resolves the keys of all requests that have not been sent, after a change of configuration, so
    /// that none waits for a connection of an account that it does not belong to any more.
    pub(crate) fn renew_waiting_identities(&mut self) {
        let waiting = self.requests.iter().filter(|(_, request)| {
            let in_transaction = matches!(request.kind, RequestKind::Continue);
            request.stage != RequestStage::Sent && !in_transaction
        });
        let waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            match self.renew_identity(id) {
                Err((code, text)) => self.refuse_unidentified_request(id, code, text),
                Ok(true) => self.queue_again(id),
                Ok(false) => {}
            }
        }
    }

    /// Rolls back the open transactions whose key was taken from their account.
    pub(crate) fn end_unauthorized_transactions(&mut self) {
        let open = self.sessions.iter().filter(|(_, session)| {
            matches!(&session.transaction, Transaction::Open(open)
                if self.revocation_text(&session.key, session.origin, open).is_some())
        });
        let open: Vec<SessionId> = open.map(|(id, _)| *id).collect();
        for id in open {
            self.end_unauthorized_transaction(id);
        }
    }

    /// Rolls back the open transaction of a session if its key was taken from its account.
    pub(crate) fn end_unauthorized_transaction(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Transaction::Open(open) = &session.transaction else { return };
        let Some(text) = self.revocation_text(&session.key, session.origin, open) else { return };
        let (connection, version) = (open.connection, self.table.version);
        let active = session.active_request;
        let request = active.and_then(|active| self.requests.get(&active));
        let commits = request.is_some_and(ActiveRequest::is_commit);
        let statement = request.map(|request| request.client_request.id.clone());
        let record = fields![
            "session" => id.0,
            "database" => &open.route.database,
            "version" => version,
            "statement" => &statement.unwrap_or_default(),
            "commits" => commits,
            "reason" => text
        ];
        self.log("transaction_unauthorized", record);
        if commits {
            return;
        }
        self.count("transactions_unauthorized");
        if let Some(active) = active {
            return self.fail_transaction(active, ErrorCode::Aborted, text);
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.transaction = Transaction::RolledBack(RollbackNotice { text, version });
        }
        self.release_transaction(connection, id);
    }

    /// Returns why a transaction may not go on by the version in force: its key is not that of the account
    /// that its connection serves. Without an account, a route that is no longer public counts from the next
    /// transaction on.
    fn revocation_text(
        &self,
        key: &ApiKey,
        origin: SessionOrigin,
        open: &OpenTransaction,
    ) -> Option<&'static str> {
        let directory = self.table.accounts.as_ref()?;
        let (key, account) = match (&open.caller, origin) {
            (Some(caller), _) if caller.version >= self.table.version => return None,
            (Some(caller), _) => (&caller.key, caller.account.as_ref()),
            (None, SessionOrigin::Client) => (key, None),
            // The node that forwards knows the key.
            (None, SessionOrigin::Peer) => return None,
        };
        match (account, directory.account_of(key.as_str())) {
            (former, present) if former == present.as_ref() && open.caller.is_some() => None,
            (_, Some(_)) => Some(KEY_MOVED_TEXT),
            (None, None) if open.route.public => None,
            (_, None) => Some(KEY_REMOVED_TEXT),
        }
    }

    /// Queues a waiting request under its new account.
    fn queue_again(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.stage == RequestStage::Queued {
            self.release_slot(id);
            self.route_request(id);
        }
    }

    /// Sends the first statement of a transaction whose `BEGIN` was answered. If its key belongs to
    /// another account since `BEGIN` was sent, or may do so, the transaction begins again.
    pub(crate) fn send_first_statement(&mut self, id: RequestId, connection: ConnectionId) {
        match self.renew_identity(id) {
            Ok(false) if !self.is_outdated(id) => self.send_statement(id, connection, false),
            Ok(_) => {
                self.restore_pending_transaction(id, connection);
                self.retry_request(id, None, ErrorCode::NotAuthorized, ErrorCode::Busy);
            }
            Err((code, text)) => {
                self.count("requests_unidentified");
                self.fail_transaction(id, code, text);
            }
        }
    }

    /// Returns true if another node refused a request because no account holds its key. It has run
    /// nothing of the request then.
    pub(crate) fn is_unidentified_at_peer(&self, request: &ActiveRequest, code: ErrorCode) -> bool {
        code == ErrorCode::NotAuthorized
            && request.database.as_ref().is_some_and(|entry| self.is_peer(entry))
    }

    fn identify_client(
        &self,
        key: &ApiKey,
        database: &Name,
    ) -> Result<Option<CallerIdentity>, (ErrorCode, &'static str)> {
        let result = self.identify_key(key, database);
        if result.is_err()
            && !self.store_view.is_current(self.now, self.settings.configuration_bound)
        {
            return Err(UNKNOWN_KEY);
        }
        result
    }

    /// Resolves a key by the version in force, also for a transaction that began by an older one.
    fn identify_key(
        &self,
        key: &ApiKey,
        database: &Name,
    ) -> Result<Option<CallerIdentity>, (ErrorCode, &'static str)> {
        let Some(directory) = &self.table.accounts else { return Ok(None) };
        let account = directory.account_of(key.as_str());
        let is_public = self.table.routes.get(database).is_some_and(|route| route.public);
        if account.is_none() && !is_public {
            return Err(INVALID_KEY);
        }
        Ok(Some(CallerIdentity { version: self.table.version, account, key: key.clone() }))
    }

    /// Refuses the first statement of an operation whose caller is not known.
    pub(crate) fn refuse_unidentified(
        &mut self,
        id: SessionId,
        code: ErrorCode,
        text: &'static str,
    ) {
        self.count("requests_unidentified");
        if let Some(session) = self.sessions.get_mut(&id)
            && matches!(session.transaction, Transaction::Pending { .. })
        {
            session.transaction = Transaction::Failed;
        }
        self.reply_error(id, code, text);
    }

    /// Refuses a request that has not been sent and whose caller is not known any more. The database
    /// is not dispatched again, so that many such requests in a row do not nest.
    pub(crate) fn refuse_unidentified_request(
        &mut self,
        id: RequestId,
        code: ErrorCode,
        text: &'static str,
    ) {
        self.count("requests_unidentified");
        self.release_slot(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.database = None;
        }
        self.refuse(id, code, text);
    }
}
