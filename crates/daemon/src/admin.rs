//! The operators' HTTP interface: passes requests to the event loop and waits for answers.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use model::{LabelSet, SocketAddress};
use node::{OperatorQuery, SessionId};
use shell::{HttpAnswer, HttpServer};
use stakker::sync::Channel;
use stats::CallerMeasure;

/// Time in which the event loop must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Default and maximum number of rows of `top`.
const DEFAULT_ROWS: usize = 20;
const MAX_ROWS: usize = 2_048;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AdminCall {
    Node(OperatorQuery),
    /// The node's state dump with the daemon's under `shell`.
    Dump,
    Drain,
    Health,
}

/// A request passed to the event loop, with the channel for its answer.
pub(crate) struct AdminRequest {
    pub(crate) call: AdminCall,
    pub(crate) reply: mpsc::Sender<serde_json::Value>,
}

/// The HTTP server. Dropping it ends it after the answers in progress; without that, the process could exit before the
/// answer to a drain request is sent.
pub(crate) struct AdminServer {
    server: HttpServer,
}

impl AdminServer {
    /// Binds the address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) fn bind(address: SocketAddress) -> std::io::Result<Self> {
        Ok(AdminServer { server: HttpServer::bind(address)? })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts to serve; requests go to `channel`.
    pub(crate) fn start(&mut self, channel: Channel<AdminRequest>) {
        self.server.start(move |request| {
            let (status, body) = answer(&request.method, &request.url, &channel);
            let body = format!("{body:#}\n");
            HttpAnswer { status, content_type: "application/json", body }
        });
    }
}

fn answer(method: &str, url: &str, channel: &Channel<AdminRequest>) -> (u16, serde_json::Value) {
    let error = |status: u16, message: &str| (status, serde_json::json!({ "error": message }));
    let call = match parse_call(method, url) {
        Ok(call) => call,
        Err((status, message)) => return error(status, &message),
    };
    let (reply, answer) = mpsc::channel();
    if !channel.send(AdminRequest { call, reply }) {
        return error(503, "the node is stopping");
    }
    match answer.recv_timeout(ANSWER_TIMEOUT) {
        Ok(body) => (200, body),
        Err(_) => error(503, "the node did not answer in time"),
    }
}

/// Parses the method and URL of a request.
fn parse_call(method: &str, url: &str) -> Result<AdminCall, (u16, String)> {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let query: Vec<(String, String)> = query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (percent_decode(name), percent_decode(value))
        })
        .collect();
    let get =
        |name: &str| query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str());
    let bad = |name: &str, accepted: &str| (400, format!("{name}: expected {accepted}"));
    let (expected, call) = match path {
        "/v1/dump" => ("GET", AdminCall::Dump),
        "/v1/health" => ("GET", AdminCall::Health),
        "/v1/rollout" => ("GET", AdminCall::Node(OperatorQuery::Rollout)),
        "/v1/drain" => ("POST", AdminCall::Drain),
        "/v1/top" => {
            let measure = parse_measure(get("measure").unwrap_or("requests"))
                .ok_or_else(|| bad("measure", MEASURE_NAMES))?;
            let rows = match get("rows") {
                None => DEFAULT_ROWS,
                Some(rows) => rows
                    .parse()
                    .ok()
                    .filter(|rows| (1..=MAX_ROWS).contains(rows))
                    .ok_or_else(|| bad("rows", &format!("a number from 1 to {MAX_ROWS}")))?,
            };
            ("GET", AdminCall::Node(OperatorQuery::Top { measure, rows }))
        }
        "/v1/explain" => {
            let query = match get("session") {
                Some(session) => {
                    let id = session.parse().map_err(|_| bad("session", "a session's number"))?;
                    OperatorQuery::ExplainSession { session: SessionId(id) }
                }
                None => {
                    let attributes = ["user", "application", "address"]
                        .into_iter()
                        .filter_map(|name| Some((name, get(name)?)));
                    let labels = LabelSet::parse(get("labels").unwrap_or(""))
                        .map_err(|error| (400, error.to_string()))?;
                    let cluster =
                        get("cluster").ok_or_else(|| bad("cluster", "a cluster's name"))?;
                    OperatorQuery::Explain {
                        attributes: LabelSet::from_pairs(attributes),
                        labels,
                        cluster: cluster.into(),
                    }
                }
            };
            ("GET", AdminCall::Node(query))
        }
        _ => return Err((404, format!("no such path: {path}"))),
    };
    if method != expected {
        return Err((405, format!("{path}: expected {expected}")));
    }
    Ok(call)
}

const MEASURE_NAMES: &str =
    "requests, slot_time, refused, replica_declined, repeated_keys or outcome_unknown";

fn parse_measure(name: &str) -> Option<CallerMeasure> {
    serde_json::from_value(serde_json::Value::String(name.to_owned())).ok()
}

/// Decodes `+` and `%XX`; invalid escapes are left as they are.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let escape = match first {
            b'%' => tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok()),
            _ => None,
        };
        match (first, escape.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (_, Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (b'+', None) => {
                bytes.push(b' ');
                rest = tail;
            }
            (other, None) => {
                bytes.push(*other);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        /// Guards against a URL that makes the daemon panic, or grows when it is decoded.
        #[test]
        fn any_url_is_parsed_or_refused(
            path in prop_oneof!["/v1/(top|explain|dump|drain|health|rollout)", "[ -~]{0,20}"],
            query in prop_oneof!["((measure|rows|session|labels|cluster|user)=[a-z0-9%&=+]{0,12}&?){0,4}", "\\PC{0,30}"],
        ) {
            for method in ["GET", "POST", "PUT"] {
                let _ = parse_call(method, &format!("{path}?{query}"));
            }
            // An invalid byte is replaced by a character of three bytes.
            prop_assert!(percent_decode(&query).len() <= 3 * query.len());
        }
    }
}
