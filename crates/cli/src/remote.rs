//! Client of the nodes' HTTP interface.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

use crate::error::{CommandError, ErrorKind};

/// Timeout of a call to a node. A node answers within 5 s, if only with an error.
const NODE_TIMEOUT: Duration = Duration::from_secs(6);

/// Number of nodes that are queried at the same time.
const PARALLEL_CALLS: usize = 32;

/// Maximum size of a node's answer.
const ANSWER_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// The nodes that a command queries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeQuery {
    pub(crate) node: SocketAddr,
    /// Whether to query all members that the node knows.
    pub(crate) all: bool,
}

/// A node's answer to one call.
pub(crate) struct NodeAnswer {
    pub(crate) name: String,
    /// State of the member in the queried node's member table; `None` if only that node was queried.
    pub(crate) state: Option<String>,
    pub(crate) result: Result<Value, CommandError>,
}

/// A member listed in a node's dump.
struct ListedMember {
    name: String,
    state: String,
    address: Option<SocketAddr>,
}

impl NodeQuery {
    pub(crate) fn new(node: SocketAddr, all: bool) -> Self {
        NodeQuery { node, all }
    }

    /// Makes a GET call to the node, or to all members. Dead members are not called.
    ///
    /// # Errors
    ///
    /// Fails if the call to the named node fails, or if its dump lists no members. Failures of members are
    /// in their answers.
    pub(crate) fn get(
        &self,
        path: &str,
        parameters: &[(&str, String)],
    ) -> Result<Vec<NodeAnswer>, CommandError> {
        if !self.all {
            let value = call_node(self.node, "GET", path, parameters)?;
            let name = value.get("node").and_then(Value::as_str);
            let name = name.map_or_else(|| self.node.to_string(), str::to_string);
            return Ok(vec![NodeAnswer { name, state: None, result: Ok(value) }]);
        }
        let dump = call_node(self.node, "GET", "/v1/dump", &[])?;
        let members = listed_members(&dump).ok_or_else(|| {
            let message = format!("the node at {} lists no members in its dump", self.node);
            CommandError::new(ErrorKind::Failed, message)
        })?;
        let next = Mutex::new(members.into_iter());
        let answers = Mutex::new(Vec::new());
        let worker = || {
            loop {
                let Some(member) = next.lock().ok().and_then(|mut members| members.next()) else {
                    return;
                };
                let result = match (member.state.as_str(), member.address) {
                    ("dead", _) => Err(CommandError::new(ErrorKind::Failed, "the member is dead")),
                    (_, Some(address)) => call_node(address, "GET", path, parameters),
                    (_, None) => {
                        Err(CommandError::new(ErrorKind::Failed, "no admin address is listed"))
                    }
                };
                let answer = NodeAnswer { name: member.name, state: Some(member.state), result };
                if let Ok(mut answers) = answers.lock() {
                    answers.push(answer);
                }
            }
        };
        std::thread::scope(|scope| {
            for _ in 0..PARALLEL_CALLS {
                scope.spawn(worker);
            }
        });
        let mut answers = answers.into_inner().unwrap_or_default();
        answers.sort_by(|left, right| left.name.cmp(&right.name));
        Ok(answers)
    }
}

fn listed_members(dump: &Value) -> Option<Vec<ListedMember>> {
    let members = dump.get("members")?.as_array()?.iter().filter_map(|member| {
        Some(ListedMember {
            name: member.get("name")?.as_str()?.to_string(),
            state: member.get("state")?.as_str()?.to_lowercase(),
            address: member.get("admin_address").and_then(|text| text.as_str()?.parse().ok()),
        })
    });
    Some(members.collect())
}

/// Makes one call to a node.
///
/// # Errors
///
/// Fails if the node cannot be reached, or with the error that the node answers.
pub(crate) fn call_node(
    address: SocketAddr,
    method: &str,
    path: &str,
    parameters: &[(&str, String)],
) -> Result<Value, CommandError> {
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .proxy(None)
        .timeout_global(Some(NODE_TIMEOUT))
        .user_agent("cicadawick")
        .build()
        .new_agent();
    let url = format!("http://{address}{path}");
    let answer = match method {
        "POST" => agent.post(url).send_empty(),
        _ => parameters
            .iter()
            .fold(agent.get(url), |request, (key, value)| request.query(key, value))
            .call(),
    };
    let unreachable = |error: ureq::Error| {
        let message = format!("failed to reach the node at {address}: {error}");
        CommandError::new(ErrorKind::Unreachable, message)
    };
    let mut response = answer.map_err(unreachable)?;
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(ANSWER_LIMIT_BYTES).read_to_vec();
    let body = body.map_err(unreachable)?;
    let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let error_text = value.get("error").and_then(Value::as_str).map(str::to_string);
    match (status, error_text) {
        (200, None) if value.is_null() => {
            let message = format!("the node at {address} sent an answer that cannot be read");
            Err(CommandError::new(ErrorKind::Failed, message))
        }
        (200, None) => Ok(value),
        (400, Some(error_text)) => Err(CommandError::new(ErrorKind::Usage, error_text)),
        (503, Some(error_text)) => {
            let message = format!("the node at {address} is not available: {error_text}");
            Err(CommandError::new(ErrorKind::Unreachable, message))
        }
        (_, Some(error_text)) => Err(CommandError::new(ErrorKind::Failed, error_text)),
        (status, None) => {
            let message = format!("the node at {address} answered status {status}");
            Err(CommandError::new(ErrorKind::Failed, message))
        }
    }
}
