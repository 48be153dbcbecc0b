//! Accounting of load by caller, queried with the operators' CLI from real daemons.

#![allow(clippy::unwrap_used)]

mod common;

use common::fleet::{FleetOptions, TestFleet, cluster_name, run_cli};
use common::{code, temporary_file, wait_until};
use postgres::{Client, NoTls};
use serde_json::{Value, json};

/// Runs the operators' CLI with `--json`.
fn run_cli_json(fleet: &TestFleet, arguments: &[&str]) -> Value {
    let arguments: Vec<&str> = ["--json"].iter().chain(arguments).copied().collect();
    let run = run_cli(fleet.platform.address(), &arguments);
    assert_eq!(run.code, 0, "{run:?}");
    serde_json::from_str(&run.out).unwrap()
}

/// Applies a configuration that gives the caller `meters` a label `kind`.
fn apply(fleet: &TestFleet, kind: &str) {
    let mut document: Value = serde_json::from_str(&fleet.configuration(4_000)).unwrap();
    document["callers"] = json!([
        { "matches": "user=hurried", "labels": { "kind": "hurried" } },
        { "matches": "user=meters", "labels": { "kind": kind } },
    ]);
    document["selectors"] = json!([
        // No request can be served within 1 ms.
        { "name": "hurried", "matches": "kind=hurried", "deadline_ms": 1 },
        { "name": "readings", "matches": "kind=reading", "rank": "batch", "max_age_ms": 30_000 },
        { "name": "all", "matches": "", "rank": "interactive", "deadline_ms": 4_000 },
    ]);
    let path = temporary_file("accounting");
    std::fs::write(&path, document.to_string()).unwrap();
    let before = fleet.revision(0);
    let run = run_cli(fleet.platform.address(), &["apply", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(run.code, 0, "{run:?}");
    wait_until("the configuration is active", || {
        (0..fleet.options.nodes).all(|node| fleet.revision(node) > before)
    });
}

fn connect(fleet: &TestFleet, node: usize, user: &str) -> Client {
    let address = fleet.node(node).caller_address;
    let mut config = postgres::Config::new();
    config.host(&address.ip().to_string()).port(address.port()).user(user);
    config.dbname(&cluster_name(0)).connect(NoTls).unwrap()
}

// Guards against load that operators cannot trace to a caller, an explanation that differs from how
// requests are served, and label changes that do not reach open sessions.
#[test]
fn operators_find_the_caller_that_causes_load() {
    let fleet =
        TestFleet::start(FleetOptions { data_centres: 1, nodes: 2, ..FleetOptions::default() });
    apply(&fleet, "till");
    let mut setup = connect(&fleet, 0, "vendor");
    setup.batch_execute("CREATE TABLE tokens (id bigint)").unwrap();
    let mut meters: Vec<Client> = (0..2).map(|node| connect(&fleet, node, "meters")).collect();
    for client in &mut meters {
        for _ in 0..100 {
            client.batch_execute("SELECT 1").unwrap();
        }
    }
    for node in 0..2 {
        let mut hurried = connect(&fleet, node, "hurried");
        let mut retrying = connect(&fleet, node, "retrying");
        for _ in 0..10 {
            let error = hurried.batch_execute("INSERT INTO tokens VALUES (1)").unwrap_err();
            assert_eq!(code(&error), "WK001");
            retrying.batch_execute("INSERT INTO tokens VALUES (2) /*request_key='K2'*/").unwrap();
        }
    }

    let node = fleet.node(1).admin_address.to_string();
    for (measure, user, least) in [
        ("requests", "meters/", 200),
        ("refused", "hurried/", 20),
        ("repeated_keys", "retrying/", 19),
    ] {
        let top = run_cli_json(&fleet, &["top", "--node", &node, "--all", "--measure", measure]);
        let first = &top["rows"][0];
        assert!(first["caller"].as_str().unwrap().starts_with(user), "{measure}: {top}");
        assert!(first["count"].as_u64().unwrap() >= least, "{measure}: {top}");
    }

    // `--measure all` prints one table for each measure.
    let tables = run_cli_json(&fleet, &["top", "--node", &node, "--all", "--measure", "all"]);
    let tables = tables.as_array().unwrap();
    assert_eq!(tables.len(), 6, "{tables:?}");
    let refused = tables.iter().find(|table| table["measure"] == "refused").unwrap();
    assert!(refused["rows"][0]["caller"].as_str().unwrap().starts_with("hurried/"), "{refused}");

    let explain = || {
        let cluster = cluster_name(0);
        run_cli_json(
            &fleet,
            &["explain", "--node", &node, "--cluster", &cluster, "--user", "meters"],
        )
    };
    let primary = fleet.groups[0].primary().unwrap();
    let before = explain();
    assert_eq!(before["selector"], "all");
    assert_eq!(before["rank"], "interactive");
    assert_eq!(before["max_age_ms"], 0);
    assert_eq!(before["read"]["database"], primary.as_str());
    assert_eq!(before["read"]["reason"], "the read accepts no data age");
    assert_eq!(before["write"]["reason"], "writes go to the primary");

    apply(&fleet, "reading");
    let after = explain();
    assert_eq!(after["selector"], "readings");
    assert_eq!(after["rank"], "batch");
    assert_eq!(after["max_age_ms"], 30_000);
    // These sessions were opened before the change.
    for client in &mut meters {
        client.batch_execute("SELECT 1").unwrap();
    }
    for node in 0..2 {
        let dump = fleet.node(node).get("/v1/dump");
        let idle = dump["sessions"]["idle"].as_array().unwrap();
        let is_meters = |row: &&Value| row["caller"].as_str().unwrap().starts_with("meters/");
        let session = idle.iter().find(is_meters).unwrap();
        assert_eq!(session["rank"], "batch", "{session}");
        assert_eq!(session["selector"], "readings", "{session}");
        let path = format!("/v1/explain?session={}", session["session"]);
        let explained = fleet.node(node).get(&path);
        let requests = explained["requests"].as_array().unwrap();
        assert_eq!(requests.last().unwrap()["rank"], "batch", "{explained}");
    }

    let matched = run_cli_json(&fleet, &["match", "kind=reading", "--node", &node, "--all"]);
    assert_eq!(matched["callers"].as_array().unwrap().len(), 1, "{matched}");
    assert_eq!(matched["sessions"].as_array().unwrap().len(), 2, "{matched}");
    let matched = run_cli_json(&fleet, &["match", "kind=till", "--node", &node, "--all"]);
    assert_eq!(matched["sessions"], json!([]), "{matched}");
}
