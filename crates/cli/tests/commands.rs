//! Runs the program against a fake HTTP server for the platform and the nodes, and compares the whole
//! output. Guards against lost changes and against changed exit codes or output that scripts rely on.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use tiny_http::{Method, Request, Response, Server};

const CONFIG_KEY: &str = "/v1/kv/cicadawick/config";
const TOKEN_KEYS_KEY: &str = "/v1/kv/cicadawick/token-keys";

/// Fault injected into the next write.
#[derive(Clone, Default)]
enum WriteFault {
    #[default]
    None,
    /// The write is applied but not answered.
    LostAnswer,
    /// The write is not applied, and the answer does not tell the outcome.
    LostRequest,
    /// Another operator's value is stored just before the write.
    Race(Vec<u8>),
    /// The write is applied and then replaced by another change, and the answer does not tell the outcome.
    Replaced,
}

#[derive(Default)]
struct FakeServerState {
    index: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    fault: WriteFault,
    /// Answers of a fake node by method and URL.
    routes: BTreeMap<String, (u16, String)>,
    writes: usize,
}

struct FakeServer {
    address: SocketAddr,
    state: Arc<Mutex<FakeServerState>>,
}

impl FakeServer {
    fn start() -> Self {
        let server = Server::http("127.0.0.1:0").unwrap();
        let address = server.server_addr().to_ip().unwrap();
        let state = Arc::new(Mutex::new(FakeServerState { index: 5, ..Default::default() }));
        let shared = state.clone();
        std::thread::spawn(move || {
            for request in server.incoming_requests() {
                handle_request(request, &mut shared.lock().unwrap());
            }
        });
        FakeServer { address, state }
    }

    fn route(&self, call: &str, value: Value) {
        self.state.lock().unwrap().routes.insert(call.to_string(), (200, value.to_string()));
    }

    fn store(&self, key: &str, value: &Value) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let entry = (value.to_string().into_bytes(), state.index);
        state.keys.insert(key.to_string(), entry);
    }

    fn stored(&self, key: &str) -> Value {
        serde_json::from_slice(&self.state.lock().unwrap().keys[key].0).unwrap()
    }

    fn fault(&self, fault: WriteFault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Runs the program with this server as the platform.
    fn run(&self, arguments: &[&str]) -> String {
        let platform = self.address.to_string();
        self.tidy(run_with(Some(&platform), arguments))
    }

    /// Replaces the server's address, which differs between runs.
    fn tidy(&self, text: String) -> String {
        text.replace(&self.address.to_string(), "FAKE-SERVER")
    }
}

fn handle_request(mut request: Request, state: &mut FakeServerState) {
    let url = request.url().to_string();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body).unwrap();
    if !path.starts_with("/v1/kv/") {
        let call = format!("{} {url}", request.method());
        let unknown = (404, json!({ "error": format!("no such path: {call}") }).to_string());
        let (status, text) = state.routes.get(&call).cloned().unwrap_or(unknown);
        request.respond(Response::from_string(text).with_status_code(status)).unwrap();
        return;
    }
    if *request.method() == Method::Put {
        state.writes += 1;
        let fault = std::mem::take(&mut state.fault);
        if let WriteFault::Race(other) = &fault {
            state.index += 1;
            state.keys.insert(path.to_string(), (other.clone(), state.index));
        }
        let stored_index = state.keys.get(path).map_or(0, |(_, index)| *index);
        let accepted =
            query == format!("cas={stored_index}") && !matches!(fault, WriteFault::LostRequest);
        if accepted {
            state.index += 1;
            if let WriteFault::Replaced = fault {
                let mut next: Value = serde_json::from_slice(&body).unwrap();
                let replaced_change = json!({
                    "revision": next["revision"], "change_id": next["change_id"],
                    "author": next["author"], "written_at": next["written_at"],
                });
                next["history"] = json!([replaced_change]);
                next["revision"] = json!(next["revision"].as_u64().unwrap() + 1);
                next["change_id"] = json!("successor");
                body = next.to_string().into_bytes();
            }
            state.keys.insert(path.to_string(), (body, state.index));
        }
        let response = match fault {
            WriteFault::LostAnswer => {
                drop(request.into_writer());
                return;
            }
            // Like a missing answer, a status of class 5xx leaves the outcome open.
            WriteFault::LostRequest | WriteFault::Replaced => {
                Response::from_string("").with_status_code(500)
            }
            _ => Response::from_string(accepted.to_string()),
        };
        request.respond(response).unwrap();
        return;
    }
    let response = match state.keys.get(path) {
        Some((bytes, index)) => {
            let value = BASE64_STANDARD.encode(bytes);
            Response::from_string(json!([{ "Value": value, "ModifyIndex": index }]).to_string())
        }
        None => Response::from_string("").with_status_code(404),
    };
    request.respond(response).unwrap();
}

fn run_with(platform: Option<&str>, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cicadawick"));
    command.current_dir(env!("CARGO_MANIFEST_DIR")).args(arguments);
    command.env_remove("CICADAWICK_PLATFORM").env("USER", "nangula");
    if let Some(platform) = platform {
        command.env("CICADAWICK_PLATFORM", platform);
    }
    let output = command.output().unwrap();
    let mut text = String::from_utf8(output.stdout).unwrap();
    let notes = String::from_utf8(output.stderr).unwrap();
    if !notes.is_empty() {
        text.push_str(&format!("--- stderr\n{notes}"));
    }
    text.push_str(&format!("--- exit {}\n", output.status.code().unwrap()));
    // Change ids are random. No other hexadecimal text in the output has 32 digits.
    let mut tidied = String::new();
    for word in text.split_inclusive(|character: char| !character.is_ascii_hexdigit()) {
        let digits = word.trim_end_matches(|character: char| !character.is_ascii_hexdigit());
        match digits.len() {
            32 => tidied.push_str(&word.replace(digits, "CHANGE-ID")),
            _ => tidied.push_str(word),
        }
    }
    tidied
}

/// Writes an input file in a separate directory and returns its path.
fn input_file(test: &str, text: &str) -> String {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.join("fleet.jsonc");
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_string()
}

fn fleet_text(slots: u32) -> String {
    format!(
        r#"{{
  "clusters": [
    {{ "name": "billing-1", "databases": [
      {{ "name": "a", "data_centre": "n", "address": "10.0.0.1:5432", "slots": {slots},
        "connections": 16, "labels": {{ "disk": "fast" }} }},
      {{ "name": "b", "data_centre": "s", "address": "10.0.0.2:5432", "slots": 2,
        "connections": 16 }}
    ] }}
  ],
  "callers": [
    {{ "matches": "user in (kiosk-app, till)", "labels": {{ "kind": "kiosk" }} }},
    {{ "matches": "user=reports", "labels": {{ "kind": "report" }} }}
  ],
  // Purchases first.
  "selectors": [{{ "name": "purchases", "matches": "kind=kiosk", "rank": "urgent" }}]
}}
"#
    )
}

fn envelope(revision: u64, text: &str) -> Value {
    json!({
        "revision": revision, "change_id": format!("id-{revision}"), "author": "tuyeni",
        "written_at": 1_700_000_000, "text": text,
    })
}

/// Shortens the path of the input file in the output of a run.
fn tidy_path(text: String, path: &str) -> String {
    text.replace(path, "fleet.jsonc")
}

#[test]
fn help_and_usage() {
    insta::assert_snapshot!(run_with(None, &["--help"]));
    insta::assert_snapshot!(run_with(None, &["aply"]));
    insta::assert_snapshot!(run_with(None, &["get"]));
    insta::assert_snapshot!(run_with(Some("nowhere"), &["get"]));
    insta::assert_snapshot!(run_with(None, &["check"]));
    insta::assert_snapshot!(run_with(None, &["top", "--node", "127.0.0.1:1", "--rows", "0"]));
    insta::assert_snapshot!(run_with(None, &["check", "/nowhere/fleet.jsonc"]));
    insta::assert_snapshot!(run_with(None, &["match", "kind", "--all"]));
}

#[test]
fn check_reports_all_errors() {
    let good = input_file("check-good", &fleet_text(2));
    insta::assert_snapshot!(tidy_path(run_with(None, &["check", &good]), &good));
    let bad = input_file("check-bad", &fleet_text(20).replace("\"rank\"", "\"rnak\""));
    insta::assert_snapshot!(tidy_path(run_with(None, &["check", &bad]), &bad));
    insta::assert_snapshot!(tidy_path(run_with(None, &["check", "--json", &bad]), &bad));
    let example = run_with(None, &["check", "--example", "settings"]);
    let settings = input_file("check-settings", example.split("--- exit").next().unwrap());
    let checked = run_with(None, &["check", "--settings", &settings]);
    insta::assert_snapshot!(tidy_path(checked, &settings));
}

#[test]
fn changes_are_applied_once() {
    let platform = FakeServer::start();
    let first = input_file("apply-first", &fleet_text(2));
    let second = input_file("apply-second", &fleet_text(3));
    assert_eq!(
        platform.run(&["get"]),
        "--- stderr\nerror: no configuration has been applied yet\n--- exit 1\n"
    );
    let dry = platform.run(&["apply", &first, "--dry-run"]);
    assert!(dry.ends_with("dry run: this would be revision 1\n--- exit 0\n"), "{dry}");
    assert_eq!(platform.state.lock().unwrap().writes, 0);
    let applied = platform.run(&["apply", &first]);
    assert!(applied.ends_with("applied revision 1\n--- exit 0\n"), "{applied}");
    insta::assert_snapshot!(tidy_path(
        platform.run(&["apply", &second, "--author", "ndapewa"]),
        &second
    ));
    insta::assert_snapshot!(tidy_path(platform.run(&["apply", &second]), &second));
    insta::assert_snapshot!(tidy_path(platform.run(&["diff", &first]), &first));
    assert_eq!(platform.run(&["diff", &second]), "no difference to revision 2\n--- exit 0\n");
    assert_eq!(platform.run(&["get"]), fleet_text(3) + "--- exit 0\n");
    assert_eq!(platform.run(&["get", "--revision"]), "2\n--- exit 0\n");
    let history = platform.run(&["history"]);
    let rows: Vec<Vec<&str>> =
        history.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(rows[0], ["REVISION", "WRITTEN", "AUTHOR", "CHANGE"]);
    assert_eq!((rows[1][0], rows[1][2], rows[1][3]), ("2", "ndapewa", "CHANGE-ID"));
    assert_eq!((rows[2][0], rows[2][2], rows[2][3]), ("1", "nangula", "CHANGE-ID"));
    // Nodes read only the envelope.
    let stored = config_envelope(&platform);
    assert_eq!((stored.revision, stored.text), (2, fleet_text(3)));
    let bad = input_file("apply-bad", "{}");
    assert!(platform.run(&["apply", &bad]).ends_with("--- exit 3\n"));
}

fn config_envelope(platform: &FakeServer) -> config::ChangeEnvelope {
    let bytes = platform.stored(CONFIG_KEY).to_string().into_bytes();
    config::ChangeEnvelope::from_bytes(&bytes).unwrap()
}

#[test]
fn history_keeps_twenty_earlier_changes() {
    let platform = FakeServer::start();
    for slots in 1..=16 {
        for blank_lines in 0..2 {
            let text = fleet_text(slots) + &"\n".repeat(blank_lines);
            let file = input_file("history", &text);
            assert!(platform.run(&["apply", &file]).ends_with("--- exit 0\n"));
        }
    }
    let stored = platform.stored(CONFIG_KEY);
    assert_eq!(stored["history"].as_array().unwrap().len(), 20);
    assert_eq!(stored["history"][0]["revision"], 31);
    let mut old = envelope(7, "");
    old["history"] =
        json!([{ "revision": 6, "change_id": "id-6", "author": "x", "written_at": 951_827_696 }]);
    platform.store(CONFIG_KEY, &old);
    insta::assert_snapshot!(platform.run(&["history"]));
}

/// Guards against a lost update: when another operator's change is stored first, a change must not
/// overwrite it, and the error must name its author.
#[test]
fn concurrent_change_gives_a_conflict() {
    let platform = FakeServer::start();
    platform.store(CONFIG_KEY, &envelope(4, &fleet_text(1)));
    let winner = envelope(5, &fleet_text(9));
    platform.fault(WriteFault::Race(winner.to_string().into_bytes()));
    let file = input_file("race", &fleet_text(2));
    insta::assert_snapshot!(tidy_path(platform.run(&["apply", &file]), &file));
    assert_eq!(platform.stored(CONFIG_KEY), winner);
}

/// Guards against two lists of databases in use at the same time of which a majority of one shares no database
/// with a majority of the other, so that a replaced primary goes on acknowledging.
#[test]
fn a_change_replaces_no_two_databases_of_a_cluster() {
    let platform = FakeServer::start();
    platform.store(CONFIG_KEY, &envelope(4, &fleet_text(1)));
    let replaced = fleet_text(1).replace("\"b\"", "\"c\"");
    let file = input_file("replace", &replaced);
    for arguments in [&["apply", &file][..], &["apply", &file, "--dry-run"][..]] {
        let refused = platform.run(arguments);
        assert!(refused.contains("added: [c], removed: [b]"), "{refused}");
        assert!(refused.ends_with("--- exit 3\n"), "{refused}");
    }
    assert_eq!(platform.state.lock().unwrap().writes, 0);
    // One at a time is accepted.
    let added = fleet_text(1).replace(
        "\"connections\": 16 }\n",
        "\"connections\": 16 },\n      { \"name\": \"c\", \"data_centre\": \"s\", \
         \"address\": \"10.0.0.3:5432\", \"slots\": 2, \"connections\": 16 }\n",
    );
    for text in [&added, &fleet_text(1)] {
        let file = input_file("replace-one", text);
        let applied = platform.run(&["apply", &file]);
        assert!(applied.ends_with("--- exit 0\n"), "{applied}");
    }
}

/// Guards against a lost answer that makes an applied change fail or be applied twice.
#[test]
fn outcome_of_an_unanswered_write_is_resolved() {
    let platform = FakeServer::start();
    platform.store(CONFIG_KEY, &envelope(4, &fleet_text(1)));
    let file = input_file("lost", &fleet_text(2));
    platform.fault(WriteFault::LostAnswer);
    insta::assert_snapshot!(tidy_path(platform.run(&["apply", &file]), &file));
    assert_eq!(platform.state.lock().unwrap().writes, 1);
    let file = input_file("lost-request", &fleet_text(3));
    platform.fault(WriteFault::LostRequest);
    insta::assert_snapshot!(tidy_path(platform.run(&["apply", &file]), &file));
    assert_eq!(config_envelope(&platform).revision, 6);
    let file = input_file("lost-replaced", &fleet_text(4));
    platform.fault(WriteFault::Replaced);
    insta::assert_snapshot!(tidy_path(platform.run(&["apply", &file]), &file));
}

#[test]
fn unreachable_platform() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let text = run_with(Some(&closed.to_string()), &["get"]).replace(&closed.to_string(), "CLOSED");
    insta::assert_snapshot!(text);
}

#[test]
fn keys_are_rotated() {
    let platform = FakeServer::start();
    for id in 1..=3 {
        let text = platform.run(&["keys", "rotate"]);
        assert!(text.starts_with(&format!("key {id} signs from now on")), "{text}");
    }
    let stored = platform.stored(TOKEN_KEYS_KEY);
    assert_eq!(stored["revision"], 3);
    let keys = stored["keys"].as_array().unwrap();
    assert_eq!((keys.len(), &keys[0]["id"], &keys[1]["id"]), (2, &json!(2), &json!(3)));
    assert_eq!(keys[1]["secret"].as_str().unwrap().len(), 64);
    assert_ne!(keys[0]["secret"], keys[1]["secret"]);
    platform.fault(WriteFault::LostAnswer);
    insta::assert_snapshot!(platform.run(&["keys", "rotate", "--json"]));
    platform.fault(WriteFault::Race(json!({ "revision": 9, "keys": [] }).to_string().into_bytes()));
    insta::assert_snapshot!(platform.run(&["keys", "rotate"]));
}

/// Two fake nodes and the address of an unreachable node. The first node also lists a dead member.
fn nodes() -> (FakeServer, FakeServer, String) {
    let (one, two) = (FakeServer::start(), FakeServer::start());
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let member = |name: &str, address: &str, state: &str| json!({ "name": name, "admin_address": address, "state": state });
    let members = json!([
        member("vm-1", &one.address.to_string(), "alive"),
        member("vm-2", &two.address.to_string(), "leaving"),
        member("vm-3", &closed.to_string(), "alive"),
        member("vm-4", &closed.to_string(), "dead"),
    ]);
    let session = |id: u64, kind: &str| json!({ "id": id, "labels": { "kind": kind } });
    one.route(
        "GET /v1/dump",
        json!({ "node": "vm-1", "members": members,
        "shell": { "sessions": [session(7, "kiosk"), session(8, "report"), { "id": 9 }] } }),
    );
    two.route(
        "GET /v1/dump",
        json!({ "node": "vm-2", "members": [],
        "shell": { "sessions": [session(3, "kiosk")] } }),
    );
    one.route("GET /v1/rollout", json!({ "node": "vm-1", "revision": 6, "rejected": null }));
    two.route("GET /v1/rollout", json!({ "node": "vm-2", "revision": 4, "rejected": 5 }));
    (one, two, closed.to_string())
}

/// Runs a command against the first node.
fn run_nodes(
    nodes: &(FakeServer, FakeServer, String),
    platform: Option<&str>,
    arguments: &[&str],
) -> String {
    let node = nodes.0.address.to_string();
    let arguments: Vec<&str> = arguments
        .iter()
        .map(|argument| if *argument == "NODE" { node.as_str() } else { argument })
        .collect();
    run_with(platform, &arguments).replace(&node, "NODE-1").replace(&nodes.2, "NODE-3")
}

#[test]
fn rollout_shows_the_slowest_node() {
    let nodes = nodes();
    nodes.0.store(CONFIG_KEY, &envelope(6, &fleet_text(1)));
    let platform = nodes.0.address.to_string();
    insta::assert_snapshot!(run_nodes(&nodes, None, &["rollout", "status", "--node", "NODE"]));
    let all = ["rollout", "status", "--all", "--node", "NODE"];
    insta::assert_snapshot!(run_nodes(&nodes, Some(&platform), &all));
    insta::assert_snapshot!(run_nodes(
        &nodes,
        None,
        &["--json", "rollout", "status", "--all", "--node", "NODE"]
    ));
}

#[test]
fn top_sums_counts_of_all_nodes() {
    let nodes = nodes();
    let row = |caller: &str, rank: &str, count: u64, error: u64| json!({ "caller": caller, "rank": rank, "count": count, "error": error });
    let one = [row("till", "urgent", 900, 0), row("reports", "batch", 300, 20)];
    let two = [row("reports", "batch", 700, 5)];
    nodes.0.route("GET /v1/top?measure=requests&rows=20", json!({ "node": "vm-1", "rows": one }));
    nodes.0.route("GET /v1/top?measure=refused&rows=8", json!({ "node": "vm-1", "rows": one }));
    nodes.1.route("GET /v1/top?measure=refused&rows=8", json!({ "node": "vm-2", "rows": two }));
    insta::assert_snapshot!(run_nodes(&nodes, None, &["top", "--node", "NODE"]));
    let all = ["top", "--node", "NODE", "--all", "--measure", "refused", "--rows", "2", "--json"];
    let text = run_nodes(&nodes, None, &all);
    assert!(text.ends_with("--- exit 5\n"), "{text}");
    let shown: Value = serde_json::from_str(text.split("--- stderr").next().unwrap()).unwrap();
    let parts = [json!(one), json!(two)].map(|rows| serde_json::from_value(rows).unwrap());
    let merged = stats::CallerTable::merge(parts.into(), 2);
    assert_eq!(shown["rows"], serde_json::to_value(merged).unwrap());
}

// Guards against `--measure all` omitting a measure or not reporting a node that failed.
#[test]
fn top_shows_all_measures() {
    let nodes = nodes();
    let path = |measure: &str, rows: u32| format!("GET /v1/top?measure={measure}&rows={rows}");
    let measures = [
        "requests",
        "slot_time",
        "refused",
        "replica_declined",
        "repeated_keys",
        "outcome_unknown",
    ];
    for (number, measure) in measures.into_iter().enumerate() {
        let row = json!({ "caller": "till", "rank": "urgent", "count": number, "error": 0 });
        let rows = if number == 0 { json!([]) } else { json!([row]) };
        nodes.0.route(&path(measure, 20), json!({ "node": "vm-1", "rows": rows }));
        nodes.0.route(&path(measure, 80), json!({ "node": "vm-1", "rows": rows }));
        nodes.1.route(&path(measure, 80), json!({ "node": "vm-2", "rows": rows }));
    }
    insta::assert_snapshot!(run_nodes(
        &nodes,
        None,
        &["top", "--node", "NODE", "--measure", "all"]
    ));
    let all = ["top", "--node", "NODE", "--all", "--measure", "all", "--json"];
    let text = run_nodes(&nodes, None, &all);
    assert!(text.ends_with("--- exit 5\n"), "{text}");
    let shown: Value = serde_json::from_str(text.split("--- stderr").next().unwrap()).unwrap();
    let named: Vec<_> = shown.as_array().unwrap().iter().map(|table| &table["measure"]).collect();
    assert_eq!(named, measures);
    assert_eq!(shown[2]["rows"][0]["count"], 4);
}

#[test]
fn explain_dump_and_drain() {
    let nodes = nodes();
    nodes.0.route(
        "GET /v1/explain?cluster=billing-1&user=till&labels=kind%3Dkiosk%2C%20town%3Dnorth",
        json!({
            "node": "vm-1", "revision": 6, "labels": { "kind": "kiosk", "user": "till" },
            "selector": "purchases", "rank": "urgent", "max_age_ms": 0, "deadline_ms": 2000,
            "durable": true, "servers": "", "read": { "database": "a", "reason": "leader" },
            "write": null,
            "databases": {
                "a": { "owner": "vm-1", "leader": true, "age_ms": null, "wait_us": 30 },
                "b": { "owner": "vm-2", "leader": false, "age_ms": 12, "wait_us": 0 },
            },
        }),
    );
    let explain = [
        "explain",
        "--node",
        "NODE",
        "--cluster",
        "billing-1",
        "--user",
        "till",
        "--labels",
        "kind=kiosk, town=north",
    ];
    insta::assert_snapshot!(run_nodes(&nodes, None, &explain));
    nodes.0.route(
        "GET /v1/explain?cluster=nowhere",
        json!({ "error": "cluster \"nowhere\" is not configured" }),
    );
    insta::assert_snapshot!(run_nodes(
        &nodes,
        None,
        &["explain", "--node", "NODE", "--cluster", "nowhere"]
    ));
    let dump = run_nodes(&nodes, None, &["dump", "--node", "NODE"]);
    assert!(dump.starts_with("{\n  \"members\"") && dump.ends_with("--- exit 0\n"), "{dump}");
    let dumps = run_nodes(&nodes, None, &["dump", "--all", "--node", "NODE"]);
    let dumps: Value = serde_json::from_str(dumps.split("--- stderr").next().unwrap()).unwrap();
    assert_eq!(dumps.as_object().unwrap().keys().collect::<Vec<_>>(), ["vm-1", "vm-2"]);
    nodes.0.route("POST /v1/drain", json!({ "draining": true }));
    insta::assert_snapshot!(run_nodes(&nodes, None, &["drain", "--node", "NODE"]));
    let silent = ["drain", "--node", nodes.2.as_str()];
    insta::assert_snapshot!(run_nodes(&nodes, None, &silent));
}

#[test]
fn selectors_are_matched() {
    let nodes = nodes();
    nodes.0.store(CONFIG_KEY, &envelope(6, &fleet_text(1)));
    let platform = Some(nodes.0.address.to_string());
    insta::assert_snapshot!(run_nodes(
        &nodes,
        platform.as_deref(),
        &["match", "user=till, kind=kiosk"]
    ));
    insta::assert_snapshot!(run_nodes(&nodes, platform.as_deref(), &["match", "disk=fast"]));
    insta::assert_snapshot!(run_nodes(
        &nodes,
        platform.as_deref(),
        &["match", "kind=kiosk", "--node", "NODE", "--all"]
    ));
    insta::assert_snapshot!(run_nodes(&nodes, platform.as_deref(), &["match", "kind in (kiosk"]));
}
