//! Conversion between the node's types and the Cap'n Proto messages between peers.

use std::sync::Arc;

use bytes::Bytes;
use capnp::Error;
use failover::LeaderView;
use member::{Heartbeat, MemberInfo, MemberState};
use model::{LabelSet, LogPosition, Micros, Name, Rank, RequiredPosition, SocketAddress, Term};
use node::{
    ClientRequest, DeclineReason, ErrorReply, OwnerReply, RequestKind, RoutedRequest,
    TransactionState,
};
use schema::peer_capnp as wire;

fn text(reader: capnp::text::Reader<'_>) -> Result<&str, Error> {
    Ok(reader.to_str()?)
}

fn name(reader: capnp::text::Reader<'_>) -> Result<Name, Error> {
    Ok(text(reader)?.into())
}

fn optional_name(reader: capnp::text::Reader<'_>) -> Result<Option<Name>, Error> {
    let text = text(reader)?;
    Ok((!text.is_empty()).then(|| text.into()))
}

fn address(reader: capnp::text::Reader<'_>) -> Result<SocketAddress, Error> {
    let text = text(reader)?;
    text.parse().map_err(|_| Error::failed(format!("invalid address {text:?}")))
}

pub(crate) fn write_member(mut builder: wire::member::Builder<'_>, member: &MemberInfo) {
    builder.set_name(member.name.as_str());
    builder.set_data_centre(member.data_centre.as_str());
    builder.set_peer_address(member.peer_address.to_string());
    builder.set_admin_address(member.admin_address.to_string());
    builder.set_incarnation(member.incarnation);
    builder.set_state(match member.state {
        MemberState::Alive => wire::MemberState::Alive,
        MemberState::Leaving => wire::MemberState::Leaving,
        MemberState::Suspected => wire::MemberState::Suspected,
        MemberState::Dead => wire::MemberState::Dead,
    });
}

pub(crate) fn read_member(reader: wire::member::Reader<'_>) -> Result<MemberInfo, Error> {
    Ok(MemberInfo {
        name: name(reader.get_name()?)?,
        data_centre: name(reader.get_data_centre()?)?,
        peer_address: address(reader.get_peer_address()?)?,
        admin_address: address(reader.get_admin_address()?)?,
        incarnation: reader.get_incarnation(),
        state: match reader.get_state()? {
            wire::MemberState::Alive => MemberState::Alive,
            wire::MemberState::Leaving => MemberState::Leaving,
            wire::MemberState::Suspected => MemberState::Suspected,
            wire::MemberState::Dead => MemberState::Dead,
        },
    })
}

pub(crate) fn write_members(
    mut builder: capnp::struct_list::Builder<'_, wire::member::Owned>,
    members: &[MemberInfo],
) {
    for (index, member) in members.iter().enumerate() {
        write_member(builder.reborrow().get(index as u32), member);
    }
}

pub(crate) fn read_members(
    reader: capnp::struct_list::Reader<'_, wire::member::Owned>,
) -> Result<Vec<MemberInfo>, Error> {
    reader.iter().map(read_member).collect()
}

pub(crate) fn write_heartbeat(mut builder: wire::heartbeat::Builder<'_>, heartbeat: &Heartbeat) {
    write_member(builder.reborrow().init_sender(), &heartbeat.from);
    builder.set_digest(heartbeat.digest);
    let mut revisions = builder.reborrow().init_revisions(heartbeat.revisions.len() as u32);
    for (index, (document, revision)) in heartbeat.revisions.iter().enumerate() {
        let mut entry = revisions.reborrow().get(index as u32);
        entry.set_document(document.as_str());
        entry.set_revision(*revision);
    }
    write_members(builder.init_changes(heartbeat.changes.len() as u32), &heartbeat.changes);
}

pub(crate) fn read_heartbeat(reader: wire::heartbeat::Reader<'_>) -> Result<Heartbeat, Error> {
    let mut revisions = Vec::new();
    for entry in reader.get_revisions()? {
        revisions.push((name(entry.get_document()?)?, entry.get_revision()));
    }
    Ok(Heartbeat {
        from: read_member(reader.get_sender()?)?,
        digest: reader.get_digest(),
        revisions,
        changes: read_members(reader.get_changes()?)?,
    })
}

pub(crate) fn write_view(mut builder: wire::view::Builder<'_>, view: &LeaderView) {
    builder.set_term(view.term.0);
    builder.set_leader(view.leader.as_ref().map_or("", |leader| leader.as_str()));
    match view.confirmed_ago {
        Some(ago) => builder.get_confirmed().set_ago(ago.0),
        None => builder.get_confirmed().set_never(()),
    }
}

pub(crate) fn read_view(reader: wire::view::Reader<'_>) -> Result<LeaderView, Error> {
    Ok(LeaderView {
        term: Term(reader.get_term()),
        leader: optional_name(reader.get_leader()?)?,
        confirmed_ago: match reader.get_confirmed().which()? {
            wire::view::confirmed::Never(()) => None,
            wire::view::confirmed::Ago(ago) => Some(Micros(ago)),
        },
    })
}

fn write_optional_time(mut builder: wire::optional_time::Builder<'_>, time: Option<Micros>) {
    match time {
        Some(time) => builder.set_micros(time.0),
        None => builder.set_none(()),
    }
}

fn read_optional_time(reader: wire::optional_time::Reader<'_>) -> Result<Option<Micros>, Error> {
    Ok(match reader.which()? {
        wire::optional_time::None(()) => None,
        wire::optional_time::Micros(micros) => Some(Micros(micros)),
    })
}

fn write_required_position(mut builder: wire::floor::Builder<'_>, required: RequiredPosition) {
    builder.set_term(required.term.0);
    builder.set_position(required.position.0);
}

fn read_required_position(reader: wire::floor::Reader<'_>) -> RequiredPosition {
    RequiredPosition { term: Term(reader.get_term()), position: LogPosition(reader.get_position()) }
}

pub(crate) fn write_routed_request(mut builder: wire::work::Builder<'_>, routed: &RoutedRequest) {
    builder.set_database(routed.database.as_str());
    builder.set_caller(routed.caller.as_str());
    let mut labels = builder.reborrow().init_labels(routed.labels.0.len() as u32);
    for (index, (key, value)) in routed.labels.0.iter().enumerate() {
        let mut label = labels.reborrow().get(index as u32);
        label.set_key(key.as_str());
        label.set_value(value.as_str());
    }
    builder.set_selector(routed.selector.as_str());
    builder.set_rank(match routed.rank {
        Rank::Urgent => wire::Rank::Urgent,
        Rank::Interactive => wire::Rank::Interactive,
        Rank::Batch => wire::Rank::Batch,
    });
    builder.set_time_left(routed.time_left.0);
    builder.set_read(routed.read);
    builder.set_commits(routed.commits);
    builder.set_durable(routed.durable);
    write_optional_time(builder.reborrow().init_max_age(), routed.max_age);
    if let Some(required) = routed.required_position {
        write_required_position(builder.reborrow().init_floor(), required);
    }
    write_optional_time(builder.reborrow().init_arrived_ago(), routed.session_age);
    if let Some(key) = &routed.request_key {
        builder.set_has_request_key(true);
        builder.set_request_key(key.as_str());
    }
    builder.set_user(routed.user.as_str());
    builder.set_kind(match routed.request.kind {
        RequestKind::Simple => wire::RequestKind::Simple,
        RequestKind::Extended => wire::RequestKind::Extended,
    });
    builder.set_text(&*routed.request.text);
    builder.set_frames(&routed.request.frames);
}

pub(crate) fn read_routed_request(reader: wire::work::Reader<'_>) -> Result<RoutedRequest, Error> {
    let mut labels = LabelSet::default();
    for label in reader.get_labels()? {
        labels.0.insert(name(label.get_key()?)?, name(label.get_value()?)?);
    }
    let required_position = match reader.has_floor() {
        true => Some(read_required_position(reader.get_floor()?)),
        false => None,
    };
    let request_key = match reader.get_has_request_key() {
        true => Some(name(reader.get_request_key()?)?),
        false => None,
    };
    Ok(RoutedRequest {
        database: name(reader.get_database()?)?,
        caller: name(reader.get_caller()?)?,
        labels,
        selector: name(reader.get_selector()?)?,
        rank: match reader.get_rank()? {
            wire::Rank::Urgent => Rank::Urgent,
            wire::Rank::Interactive => Rank::Interactive,
            wire::Rank::Batch => Rank::Batch,
        },
        time_left: Micros(reader.get_time_left()),
        read: reader.get_read(),
        commits: reader.get_commits(),
        durable: reader.get_durable(),
        max_age: read_optional_time(reader.get_max_age()?)?,
        required_position,
        session_age: read_optional_time(reader.get_arrived_ago()?)?,
        request_key,
        user: name(reader.get_user()?)?,
        request: ClientRequest {
            kind: match reader.get_kind()? {
                wire::RequestKind::Simple => RequestKind::Simple,
                wire::RequestKind::Extended => RequestKind::Extended,
            },
            text: Arc::from(text(reader.get_text()?)?),
            frames: Bytes::copy_from_slice(reader.get_frames()?),
        },
    })
}

fn write_decline_reason(mut builder: wire::decline::Builder<'_>, reason: &DeclineReason) {
    match reason {
        DeclineReason::NotLeader { leader } => {
            builder.set_not_leader(leader.as_ref().map_or("", |leader| leader.as_str()));
        }
        DeclineReason::NoProof => builder.set_no_proof(()),
        DeclineReason::NotOwner { owner } => builder.set_not_owner(owner.as_str()),
        DeclineReason::Unavailable => builder.set_unavailable(()),
        DeclineReason::QueueFull { limit } => builder.set_queue_full(*limit),
        DeclineReason::DeadlineUnreachable { expected } => builder.set_deadline(expected.0),
        DeclineReason::ShuttingDown => builder.set_leaving(()),
    }
}

fn read_decline_reason(reader: wire::decline::Reader<'_>) -> Result<DeclineReason, Error> {
    Ok(match reader.which()? {
        wire::decline::NotLeader(leader) => {
            DeclineReason::NotLeader { leader: optional_name(leader?)? }
        }
        wire::decline::NoProof(()) => DeclineReason::NoProof,
        wire::decline::NotOwner(owner) => DeclineReason::NotOwner { owner: name(owner?)? },
        wire::decline::Unavailable(()) => DeclineReason::Unavailable,
        wire::decline::QueueFull(limit) => DeclineReason::QueueFull { limit },
        wire::decline::Deadline(expected) => {
            DeclineReason::DeadlineUnreachable { expected: Micros(expected) }
        }
        wire::decline::Leaving(()) => DeclineReason::ShuttingDown,
    })
}

fn write_transaction_state(state: TransactionState) -> wire::TransactionState {
    match state {
        TransactionState::Idle => wire::TransactionState::Idle,
        TransactionState::Open => wire::TransactionState::Open,
        TransactionState::Failed => wire::TransactionState::Failed,
    }
}

fn read_transaction_state(state: wire::TransactionState) -> TransactionState {
    match state {
        wire::TransactionState::Idle => TransactionState::Idle,
        wire::TransactionState::Open => TransactionState::Open,
        wire::TransactionState::Failed => TransactionState::Failed,
    }
}

pub(crate) fn write_reply(mut builder: wire::reply::Builder<'_>, reply: &OwnerReply) {
    match reply {
        OwnerReply::Done { transaction, required_position, replacement_position, age, wait } => {
            let mut done = builder.init_done();
            done.set_transaction(write_transaction_state(*transaction));
            if let Some(required) = required_position {
                write_required_position(done.reborrow().init_floor(), *required);
            }
            if let Some(replacement) = replacement_position {
                write_required_position(done.reborrow().init_lost(), *replacement);
            }
            done.set_wait(wait.0);
            write_optional_time(done.init_age(), *age);
        }
        OwnerReply::Declined { reason, age, wait } => {
            let mut declined = builder.init_declined();
            write_decline_reason(declined.reborrow().init_reason(), reason);
            declined.set_wait(wait.0);
            write_optional_time(declined.init_age(), *age);
        }
        OwnerReply::Recorded { command_tag, error, transaction, required_position } => {
            let mut recorded = builder.init_recorded();
            if let Some(tag) = command_tag {
                recorded.set_command_tag(tag);
            }
            if let Some(ErrorReply { code, message }) = error {
                let mut error = recorded.reborrow().init_error();
                error.set_code(code.as_str());
                error.set_message(message);
            }
            recorded.set_transaction(write_transaction_state(*transaction));
            if let Some(required) = required_position {
                write_required_position(recorded.init_floor(), *required);
            }
        }
        OwnerReply::RolledBack { message } => builder.set_rolled_back(message),
        OwnerReply::OutcomeUnknown { message } => builder.set_unknown(message),
        OwnerReply::AnswerInterrupted { relayed, message } => {
            let mut failed = builder.init_read_failed();
            failed.set_relayed(*relayed);
            failed.set_message(message);
        }
    }
}

pub(crate) fn read_reply(reader: wire::reply::Reader<'_>) -> Result<OwnerReply, Error> {
    Ok(match reader.which()? {
        wire::reply::Done(done) => OwnerReply::Done {
            transaction: read_transaction_state(done.get_transaction()?),
            required_position: match done.has_floor() {
                true => Some(read_required_position(done.get_floor()?)),
                false => None,
            },
            replacement_position: match done.has_lost() {
                true => Some(read_required_position(done.get_lost()?)),
                false => None,
            },
            age: read_optional_time(done.get_age()?)?,
            wait: Micros(done.get_wait()),
        },
        wire::reply::Declined(declined) => OwnerReply::Declined {
            reason: read_decline_reason(declined.get_reason()?)?,
            age: read_optional_time(declined.get_age()?)?,
            wait: Micros(declined.get_wait()),
        },
        wire::reply::Recorded(recorded) => OwnerReply::Recorded {
            command_tag: match recorded.has_command_tag() {
                true => Some(text(recorded.get_command_tag()?)?.to_owned()),
                false => None,
            },
            error: match recorded.has_error() {
                true => {
                    let error = recorded.get_error()?;
                    let message = text(error.get_message()?)?.to_owned();
                    Some(ErrorReply { code: name(error.get_code()?)?, message })
                }
                false => None,
            },
            transaction: read_transaction_state(recorded.get_transaction()?),
            required_position: match recorded.has_floor() {
                true => Some(read_required_position(recorded.get_floor()?)),
                false => None,
            },
        },
        wire::reply::RolledBack(message) => {
            OwnerReply::RolledBack { message: text(message?)?.to_owned() }
        }
        wire::reply::Unknown(message) => {
            OwnerReply::OutcomeUnknown { message: text(message?)?.to_owned() }
        }
        wire::reply::ReadFailed(failed) => OwnerReply::AnswerInterrupted {
            relayed: failed.get_relayed(),
            message: text(failed.get_message()?)?.to_owned(),
        },
    })
}
