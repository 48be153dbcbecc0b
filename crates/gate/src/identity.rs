//! Which account a request belongs to.
//!
//! The key of a session is resolved for each operation, by the version in force, so that a key that
//! operators remove stops open sessions, too. A forwarded request carries the key and the version by
//! which the other node resolved it. The newer version of the two decides.

use model::Name;

use crate::Gate;
use crate::event::{SessionId, SessionOrigin};
use crate::request::RequestId;
use crate::route::RouteConfig;
use crate::session::Transaction;
use crate::statement::{CallerIdentity, ErrorCode};

const INVALID_KEY: (ErrorCode, &str) = (ErrorCode::NotAuthorized, "no account holds this key");

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
        let route = self.table.routes.get(database)?;
        match origin {
            SessionOrigin::Client => self.identify_client(key, route).err(),
            // Each request of another node carries its own caller.
            SessionOrigin::Peer => None,
        }
    }

    /// Returns the caller of an operation, `None` if the deployment does not identify its clients.
    pub(crate) fn identify(
        &self,
        session: SessionId,
        forwarded: Option<&CallerIdentity>,
        route: &RouteConfig,
    ) -> Result<Option<CallerIdentity>, (ErrorCode, &'static str)> {
        let Some(session) = self.sessions.get(&session) else { return Ok(None) };
        match (session.origin, forwarded) {
            (SessionOrigin::Client, _) => self.identify_client(&session.key, route),
            (SessionOrigin::Peer, Some(caller)) if caller.version > self.table.version => {
                Ok(Some(caller.clone()))
            }
            (SessionOrigin::Peer, Some(caller)) => self.identify_key(&caller.key, route),
            (SessionOrigin::Peer, None) if self.table.accounts.is_some() => Err(MISSING_CALLER),
            (SessionOrigin::Peer, None) => Ok(None),
        }
    }

    /// Returns true if the request may still be sent: if the configuration has changed since its
    /// caller was identified, the key is resolved again.
    pub(crate) fn renew_identity(
        &mut self,
        id: RequestId,
    ) -> Result<(), (ErrorCode, &'static str)> {
        let Some(request) = self.requests.get(&id) else { return Ok(()) };
        let Some(caller) = &request.caller else { return Ok(()) };
        if caller.version >= self.table.version {
            return Ok(());
        }
        let caller = self.identify_key(&caller.key, &request.route)?;
        if let Some(request) = self.requests.get_mut(&id) {
            request.caller = caller;
        }
        Ok(())
    }

    fn identify_client(
        &self,
        key: &Name,
        route: &RouteConfig,
    ) -> Result<Option<CallerIdentity>, (ErrorCode, &'static str)> {
        let result = self.identify_key(key, route);
        if result.is_err()
            && !self.store_view.is_current(self.now, self.settings.configuration_bound)
        {
            return Err(UNKNOWN_KEY);
        }
        result
    }

    fn identify_key(
        &self,
        key: &Name,
        route: &RouteConfig,
    ) -> Result<Option<CallerIdentity>, (ErrorCode, &'static str)> {
        let Some(directory) = &self.table.accounts else { return Ok(None) };
        let account = directory.account_of(key);
        if account.is_none() && !route.public {
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
}
