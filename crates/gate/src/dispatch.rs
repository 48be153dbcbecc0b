//! Sending requests: granting connections, and giving a connection the session's state first.

use model::Name;

use crate::Gate;
use crate::backend::BackendCommand;
use crate::database::CommandPurpose;
use crate::event::{LinkId, SessionId};
use crate::request::{RequestKind, RequestStage, WorkId};
use crate::session::Transaction;
use crate::statement::{ErrorCode, Statement};

impl Gate {
    /// Grants idle connections of a database to waiting requests and opens connections as needed.
    pub(crate) fn dispatch_queued(&mut self, name: &Name) {
        let now = self.now;
        let Some(database) = self.databases.get(name) else { return };
        let nodes = match database.peer {
            Some(_) => 1,
            None => self.sharing_nodes(&database.listed.cluster),
        };
        let Some(database) = self.databases.get_mut(name) else { return };
        database.set_concurrency(nodes);
        for (id, reason) in database.queue.expire(now) {
            self.refuse_queued(id, reason);
        }
        self.send_wanted_report(name);
        while let Some(database) = self.databases.get_mut(name) {
            if database.idle.is_empty() {
                break;
            }
            let Some(grant) = database.queue.grant(now) else { break };
            let id = grant.work;
            let Some(request) = self.requests.get(&id) else {
                database.queue.finish(now, id);
                continue;
            };
            let (session, cluster, need) =
                (request.session, request.route.cluster.clone(), request.need);
            if need.is_some_and(|need| !self.is_proved(&cluster, name, need)) {
                // The leader was replaced while the request waited.
                self.release_slot(id);
                self.route_request(id);
                continue;
            }
            let Some(database) = self.databases.get_mut(name) else { return };
            let values = self.sessions.get(&session).map(|session| &session.values);
            let best = (0..database.idle.len()).min_by_key(|index| {
                let link = self.links.get(&database.idle[*index]);
                match (link, values) {
                    (Some(link), Some(values)) => link.distance(values),
                    _ => usize::MAX,
                }
            });
            let Some(index) = best else { break };
            let link = database.idle.swap_remove(index);
            self.dispatch_request(id, link);
        }
        self.open_links(name);
    }

    /// Sends a request on a connection that is free.
    pub(crate) fn dispatch_request(&mut self, id: WorkId, link: LinkId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.link = Some(link);
        request.sent = Some(now);
        request.tries += 1;
        request.stage = RequestStage::Sent;
        match request.kind.clone() {
            RequestKind::Begin { begin, .. } => {
                let after = request.after;
                let session = request.session;
                let Some(setup) = self.setup_commands(session, link) else { return };
                self.send(link, setup, CommandPurpose::Setup);
                if let Some(state) = self.links.get_mut(&link) {
                    state.pinned = Some(session);
                }
                let command = BackendCommand::Run { id: begin.id, text: begin.text, after };
                self.send(link, vec![command], CommandPurpose::Begin(id));
            }
            RequestKind::Read | RequestKind::Write | RequestKind::Continue => {
                self.send_statement(id, link, true);
            }
        }
    }

    pub(crate) fn setup_commands(
        &mut self,
        session: SessionId,
        link: LinkId,
    ) -> Option<Vec<BackendCommand>> {
        let session = self.sessions.get(&session)?;
        Some(self.links.get_mut(&link)?.adopt(&session.values))
    }

    /// Sends the statement itself, behind the commands that give the connection the session's state.
    pub(crate) fn send_statement(&mut self, id: WorkId, link: LinkId, outside_transaction: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.sent = Some(self.now);
        request.stage = RequestStage::Sent;
        let after = if outside_transaction { request.after } else { None };
        let (session, client_request) = (request.session, request.client_request.clone());
        let Some(mut setup) = self.setup_commands(session, link) else { return };
        let command = match &client_request.statement {
            Statement::Execute { name, arguments } => {
                let prepared = self.sessions.get(&session).and_then(|s| s.prepared.get(name));
                let (Some((access, shape)), Some(state)) = (prepared, self.links.get_mut(&link))
                else {
                    return;
                };
                let prepared = state.prepare(*access, shape, &mut setup);
                let arguments = arguments.clone();
                BackendCommand::Execute { id: client_request.id, prepared, arguments, after }
            }
            _ => BackendCommand::Run { id: client_request.id, text: client_request.text, after },
        };
        self.send(link, setup, CommandPurpose::Setup);
        self.send(link, vec![command], CommandPurpose::Run(id));
    }

    pub(crate) fn continue_transaction(&mut self, id: WorkId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(session) = self.sessions.get(&request.session) else { return };
        let Transaction::Open(open) = &session.transaction else { return };
        let link = open.link;
        let lost = match self.links.get(&link) {
            Some(state) => state.doomed || !state.open,
            None => true,
        };
        request.link = Some(link);
        request.database = self.links.get(&link).map(|link| link.database.clone());
        if lost {
            return self.fail_transaction(id, ErrorCode::Aborted, "the connection was lost");
        }
        request.tries += 1;
        self.send_statement(id, link, false);
    }
}
