//! Steps that follow an event. They are queued and run in order after it, which avoids recursion.

use model::Name;

use crate::entry::AttemptPath;
use crate::id::{LaneId, SessionId};
use crate::request::OwnerReply;

#[derive(Debug)]
pub(crate) enum PendingStep {
    /// Route a session's request.
    Route(SessionId),
    /// Pass the local owner's reply to a session.
    Reply { session: SessionId, path: AttemptPath, reply: OwnerReply, lane: Option<LaneId> },
    /// Grant slots and connections of a database to waiting requests.
    ServeQueue(Name),
}
