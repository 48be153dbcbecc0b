//! Which account a request belongs to.
//!
//! The key of a session is resolved for each operation, by the version in force, so that a key that
//! operators remove stops open sessions, too. A forwarded request carries the key and the version by
//! which the other node resolved it. The newer version of the two decides.

use model::Name;

use crate::Gate;
use crate::event::{SessionId, SessionOrigin};
use crate::request::{ActiveRequest, RequestId, RequestKind, RequestStage};
use crate::session::Transaction;
use crate::statement::{CallerIdentity, ErrorCode};

pub(crate) const INVALID_KEY_TEXT: &str = "not run, no account holds this key";

const INVALID_KEY: (ErrorCode, &str) = (ErrorCode::NotAuthorized, INVALID_KEY_TEXT);

const UNKNOWN_KEY: (ErrorCode, &str) =
    (ErrorCode::Busy, "not run, this node may not know the newest keys, retry at once");

const MISSING_CALLER: (ErrorCode, &str) =
    (ErrorCode::Misrouted, "not run, the forwarded request names no caller");

impl Gate {
    /// Returns the refusal of a client whose key no account holds.
    pub(crate) fn key_error(
        &self,
        database: &Name,
        key: &Name,
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

    /// Queues a waiting request under its new account.
    fn queue_again(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.stage == RequestStage::Queued {
            self.release_slot(id);
            self.route_request(id);
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
        key: &Name,
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
        key: &Name,
        database: &Name,
    ) -> Result<Option<CallerIdentity>, (ErrorCode, &'static str)> {
        let Some(directory) = &self.table.accounts else { return Ok(None) };
        let account = directory.account_of(key);
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
