//! Client sessions: start-up, labels, tokens and session commands.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use model::{LabelSet, Micros, Name, RequiredPosition};
use route::{RequestPolicy, SessionCommand, SessionToken};
use serde_json::Value;

use crate::Node;
use crate::action::NodeAction;
use crate::entry::EntryRequest;
use crate::frames::{ProxyAnswer, proxy_answer};
use crate::id::{LaneId, SessionId};
use crate::request::{ClientRequest, ErrorReply, SessionStart, TransactionState};

/// Number of past requests that `explain` shows for a session.
const HISTORY_LENGTH: usize = 8;

/// Maximum number of labels that a session adds, each of at most 126 bytes: twice as many as a state dump shows.
const MAX_SESSION_LABELS: usize = 64;

/// PostgreSQL start-up parameters that client libraries send. A pool can accept them because they are
/// fixed for all connections or do not change the effect of a statement.
const ACCEPTED_PARAMETERS: &[&str] = &[
    "application_name",
    "client_encoding",
    "client_min_messages",
    "database",
    "datestyle",
    "extra_float_digits",
    "fallback_application_name",
    "intervalstyle",
    "standard_conforming_strings",
    "timezone",
    "user",
];

/// An open transaction and the node that its connection belongs to.
#[derive(Clone, Debug)]
pub(crate) struct SessionTransaction {
    pub database: Name,
    pub owner: Name,
    /// Lane at the owner; `None` if this node is the owner.
    pub lane: Option<LaneId>,
    pub state: TransactionState,
    /// A statement that may have changed something was sent.
    pub has_written: bool,
}

/// One client connection.
#[derive(Debug)]
pub(crate) struct Session {
    pub cluster: Name,
    pub user: Name,
    /// User, application and address, joined; used for accounting and fair shares.
    pub caller: Name,
    pub attributes: LabelSet,
    pub session_labels: LabelSet,
    /// Accepted data age set by the client; it can only lower the limit of the selector.
    pub max_age: Option<Micros>,
    /// Key for the next write.
    pub request_key: Option<Name>,
    pub token: SessionToken,
    /// The client sent a valid token.
    pub has_token: bool,
    pub arrived: Micros,
    /// Time until which reads go to the primary, because a replica had not reached the session's
    /// required position.
    pub primary_until: Micros,
    /// Revision of the configuration from which `labels` and `policy` were computed.
    pub revision: u64,
    pub labels: LabelSet,
    pub policy: Arc<RequestPolicy>,
    pub transaction: Option<SessionTransaction>,
    pub request: Option<EntryRequest>,
    pub notices: Vec<ErrorReply>,
    pub token_changed: bool,
    pub history: VecDeque<Value>,
}

impl Session {
    pub(crate) fn required_position(&self) -> Option<RequiredPosition> {
        self.token.required_positions.get(&self.cluster).copied()
    }

    /// Raises the required position for the session's cluster; a lower position is ignored.
    pub(crate) fn raise_required_position(&mut self, required: RequiredPosition) {
        let current = self.token.required_positions.entry(self.cluster.clone()).or_default();
        if required > *current {
            *current = required;
            self.token_changed = true;
        }
    }

    /// Applies the required position of a reply. A lost write lowers it and adds a notice for the client.
    pub(crate) fn update_required_position(
        &mut self,
        required_position: Option<RequiredPosition>,
        replacement_position: Option<RequiredPosition>,
    ) {
        if let Some(replacement) = replacement_position {
            self.token.required_positions.insert(self.cluster.clone(), replacement);
            self.token_changed = true;
            self.notices.push(lost_write_notice(replacement));
        }
        if let Some(required) = required_position {
            self.raise_required_position(required);
        }
    }

    pub(crate) fn transaction_state(&self) -> TransactionState {
        self.transaction.as_ref().map(|transaction| transaction.state).unwrap_or_default()
    }

    pub(crate) fn record_request(&mut self, entry: Value) {
        if self.history.len() == HISTORY_LENGTH {
            self.history.pop_front();
        }
        self.history.push_back(entry);
    }
}

/// Merges labels; operators' labels and client attributes override session labels.
pub(crate) fn merge_labels(session: &LabelSet, caller: &LabelSet) -> LabelSet {
    let mut labels = session.clone();
    labels.merge(caller);
    labels
}

fn error(code: &str, message: impl Into<String>) -> ErrorReply {
    ErrorReply { code: code.into(), message: message.into() }
}

fn lost_write_notice(replacement: RequiredPosition) -> ErrorReply {
    error(
        "01000",
        format!(
            "a write of this session may have been lost in a failover; reads now start \
             at term {} position {}",
            replacement.term, replacement.position
        ),
    )
}

fn find_parameter<'a>(start: &'a SessionStart, key: &str) -> Option<&'a str> {
    let mut parameters = start.parameters.iter();
    parameters.find(|(name, _)| name.eq_ignore_ascii_case(key)).map(|(_, value)| value.as_str())
}

fn required_parameter(start: &SessionStart, key: &str) -> Result<Name, ErrorReply> {
    find_parameter(start, key)
        .filter(|value| !value.is_empty())
        .map(Name::from)
        .ok_or_else(|| error("28000", format!("start-up parameter {key:?} is missing")))
}

fn application_name(start: &SessionStart) -> &str {
    find_parameter(start, "application_name").unwrap_or_default()
}

/// Returns the known attributes of a client. The others are absent, so that `!application` matches.
fn client_attributes(start: &SessionStart, user: &str, cluster: &str) -> LabelSet {
    let attributes = [
        ("user", user),
        ("application", application_name(start)),
        ("address", start.address.as_str()),
        ("database", cluster),
    ];
    LabelSet::from_pairs(attributes.into_iter().filter(|(_, value)| !value.is_empty()))
}

/// Checks a start-up parameter that the proxy does not define.
fn check_parameter(name: &str, lower: &str, value: &str) -> Result<(), ErrorReply> {
    if !ACCEPTED_PARAMETERS.contains(&lower) {
        return Err(error("42704", format!("unrecognized configuration parameter {name:?}")));
    }
    let encoding = value.trim_matches(['\'', '"']).to_ascii_lowercase();
    if lower == "client_encoding" && !["utf8", "utf-8", "unicode"].contains(&encoding.as_str()) {
        return Err(error("0A000", "the pool's connections use client_encoding UTF8"));
    }
    Ok(())
}

impl Node {
    pub(crate) fn open_session(&mut self, id: SessionId, start: &SessionStart) {
        match self.start_session(start) {
            Ok(session) => {
                let parameters = self.accepted_parameters(&session, start);
                self.sessions.insert(id, session);
                self.emit(NodeAction::AcceptSession { session: id, parameters });
            }
            Err(error) => {
                self.count("sessions.refused", 1);
                self.emit(NodeAction::RefuseSession { session: id, error });
            }
        }
    }

    fn start_session(&mut self, start: &SessionStart) -> Result<Session, ErrorReply> {
        if self.drain.is_draining() {
            return Err(error("57P03", "the proxy is shutting down"));
        }
        let user = required_parameter(start, "user")?;
        let cluster = required_parameter(start, "database")?;
        let Some(fleet) = self.fleet.active.clone() else {
            return Err(error("57P03", "the proxy has not received a configuration yet"));
        };
        if fleet.cluster(&cluster).is_none() {
            return Err(error("3D000", format!("database {cluster:?} does not exist")));
        }
        let mut session = Session {
            caller: format!("{user}/{}/{}", application_name(start), start.address).into(),
            attributes: client_attributes(start, &user, &cluster),
            cluster,
            user,
            session_labels: LabelSet::default(),
            max_age: None,
            request_key: None,
            token: SessionToken::default(),
            has_token: false,
            arrived: self.now,
            primary_until: Micros::ZERO,
            revision: 0,
            labels: LabelSet::default(),
            policy: Arc::default(),
            transaction: None,
            request: None,
            notices: Vec::new(),
            token_changed: false,
            history: VecDeque::new(),
        };
        for (name, value) in &start.parameters {
            let lower = name.to_ascii_lowercase();
            if lower.starts_with("cicadawick.") {
                self.set_parameter(&mut session, &lower, value)?;
            } else {
                check_parameter(name, &lower, value)?;
            }
        }
        self.refresh_labels(&mut session);
        Ok(session)
    }

    /// Returns the parameters that PostgreSQL reports at start-up and client libraries rely on.
    fn accepted_parameters(&self, session: &Session, start: &SessionStart) -> Vec<(Name, String)> {
        let application = application_name(start);
        [
            ("server_version", "16.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("IntervalStyle", "postgres"),
            ("TimeZone", "UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
            ("is_superuser", "off"),
            ("session_authorization", session.user.as_str()),
            ("application_name", application),
        ]
        .into_iter()
        .map(|(name, value)| (name.into(), value.to_string()))
        .collect()
    }

    /// Computes a session's labels and policy from the active configuration.
    pub(crate) fn refresh_labels(&self, session: &mut Session) {
        let caller = self.fleet.selectors.caller_labels(&session.attributes);
        session.labels = merge_labels(&session.session_labels, &caller);
        let mut policy = self.fleet.selectors.policy(&session.labels);
        if let Some(limit) = session.max_age {
            policy.max_age = policy.max_age.min(limit);
        }
        session.policy = Arc::new(policy);
        session.revision = self.fleet.revision();
    }

    fn set_parameter(
        &mut self,
        session: &mut Session,
        parameter: &str,
        value: &str,
    ) -> Result<(), ErrorReply> {
        let invalid = |reason: String| {
            error("22023", format!("invalid value for parameter {parameter:?}: {reason}"))
        };
        match parameter {
            "cicadawick.token" if value.is_empty() => session.token = SessionToken::default(),
            "cicadawick.token" => match SessionToken::verify(value, &self.fleet.keys) {
                Ok(token) => {
                    session.has_token = true;
                    for (cluster, required) in token.required_positions {
                        let current = session.token.required_positions.entry(cluster).or_default();
                        *current = required.max(*current);
                    }
                }
                Err(reason) => {
                    // Without a token the required position is sampled and must cover writes up to now.
                    session.arrived = self.now;
                    self.count("tokens.refused", 1);
                    let message = format!("cicadawick.token is ignored: {reason}");
                    session.notices.push(error("01000", message));
                }
            },
            "cicadawick.labels" => {
                let labels =
                    LabelSet::parse(value).map_err(|reason| invalid(reason.to_string()))?;
                if labels.0.len() > MAX_SESSION_LABELS {
                    return Err(invalid(format!("expected at most {MAX_SESSION_LABELS} labels")));
                }
                session.session_labels = labels;
            }
            "cicadawick.max_age" if value.is_empty() => session.max_age = None,
            "cicadawick.max_age" => {
                let age = parse_age(value).ok_or_else(|| {
                    invalid("expected milliseconds, or a number with the unit ms or s".into())
                })?;
                session.max_age = Some(age);
            }
            "cicadawick.request_key" if value.is_empty() => session.request_key = None,
            "cicadawick.request_key" => {
                if value.len() > 200 || value.contains('\0') {
                    return Err(invalid("expected at most 200 bytes".into()));
                }
                session.request_key = Some(value.into());
            }
            _ => {
                let message = format!("unrecognized configuration parameter {parameter:?}");
                return Err(error("42704", message));
            }
        }
        Ok(())
    }

    fn show_parameter(&self, session: &Session, parameter: &str) -> Result<String, ErrorReply> {
        let text = match parameter {
            "cicadawick.token" => {
                session.token.sign(&self.fleet.signing_key(self.now)).unwrap_or_default()
            }
            "cicadawick.labels" => {
                let pairs: Vec<String> =
                    session.labels.0.iter().map(|(key, value)| format!("{key}={value}")).collect();
                pairs.join(", ")
            }
            "cicadawick.revision" => self.fleet.revision().to_string(),
            "cicadawick.max_age" => {
                session.max_age.map(|age| format!("{}ms", age.as_millis())).unwrap_or_default()
            }
            "cicadawick.request_key" => session.request_key.as_deref().unwrap_or("").to_string(),
            _ => {
                let message = format!("unrecognized configuration parameter {parameter:?}");
                return Err(error("42704", message));
            }
        };
        Ok(text)
    }

    /// Runs a command that sets or shows a parameter of the proxy.
    pub(crate) fn run_command(
        &mut self,
        session: &mut Session,
        request: &ClientRequest,
        command: &SessionCommand,
    ) -> Result<Bytes, ErrorReply> {
        match command {
            SessionCommand::Set { parameter, value } => {
                self.set_parameter(session, parameter, value)?;
                self.refresh_labels(session);
                Ok(proxy_answer(request, ProxyAnswer::Complete { tag: "SET" }))
            }
            SessionCommand::Show { parameter } => {
                let value = self.show_parameter(session, parameter)?;
                Ok(proxy_answer(request, ProxyAnswer::Row { column: parameter, value: &value }))
            }
        }
    }

    /// Releases everything that a session holds after its client connection ended.
    pub(crate) fn close_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.entry.stop_waiting(&session.cluster, id);
        if let Some(attempt) = session.request.and_then(|request| request.attempt) {
            self.abandon_attempt(&attempt);
        }
        if let Some(transaction) = session.transaction {
            self.drop_transaction(id, &transaction);
        }
    }
}

fn parse_age(text: &str) -> Option<Micros> {
    let text = text.trim();
    if let Some(millis) = text.strip_suffix("ms") {
        return millis.trim().parse().ok().filter(|&n: &u64| n < 1 << 40).map(Micros::from_millis);
    }
    if let Some(secs) = text.strip_suffix('s') {
        return secs.trim().parse().ok().filter(|&n: &u64| n < 1 << 40).map(Micros::from_secs);
    }
    text.parse().ok().filter(|&n: &u64| n < 1 << 40).map(Micros::from_millis)
}
