//! JSON format of the leader records that the platform stores.

use failover::{LeaderRecord, RecordState};
use model::{LogPosition, Name, Term};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct RecordText {
    term: Term,
    #[serde(flatten)]
    state: StateText,
}

#[derive(Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum StateText {
    Electing { by: Name },
    Leading { leader: Name, start: LogPosition },
}

pub(crate) fn write_record(record: &LeaderRecord) -> Vec<u8> {
    let state = match record.state.clone() {
        RecordState::Electing { by } => StateText::Electing { by },
        RecordState::Leading { leader, start } => StateText::Leading { leader, start },
    };
    serde_json::to_vec(&RecordText { term: record.term, state }).unwrap_or_default()
}

/// Parses a record; `None` if the bytes are not a valid one.
pub(crate) fn read_record(bytes: &[u8]) -> Option<LeaderRecord> {
    let text: RecordText = serde_json::from_slice(bytes).ok()?;
    let state = match text.state {
        StateText::Electing { by } => RecordState::Electing { by },
        StateText::Leading { leader, start } => RecordState::Leading { leader, start },
    };
    Some(LeaderRecord { term: text.term, state })
}
