//! Follow-up work of an event, done in order after it so that no function calls itself through others.

use model::Name;

use crate::entry::AttemptPath;
use crate::id::{LaneId, SessionId};
use crate::work::WorkReply;

#[derive(Debug)]
pub(crate) enum PendingStep {
    /// Route a session's request.
    Route(SessionId),
    /// The local owner's reply to a session.
    Reply { session: SessionId, path: AttemptPath, reply: WorkReply, lane: Option<LaneId> },
    /// Grant slots and connections of a database.
    ServeQueue(Name),
}
