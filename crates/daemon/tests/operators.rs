//! The operators' HTTP interface, and a daemon that runs on a thread of the test process.

#![allow(clippy::unwrap_used)]

mod common;

use std::sync::mpsc;
use std::time::Duration;

use common::LocalFleet;
use daemon::{RunOptions, run};

fn status(method: &str, url: &str) -> u16 {
    let agent = ureq::Agent::config_builder().http_status_as_error(false).build().new_agent();
    let answer = match method {
        "POST" => agent.post(url).send_empty(),
        _ => agent.get(url).call(),
    };
    answer.unwrap().status().as_u16()
}

#[test]
fn operators_see_state_and_drain_a_proxy() {
    let mut fleet = LocalFleet::start(1);
    let mut proxy = fleet.proxies.remove(0);
    let mut client = proxy.connect();
    client.batch_execute("SELECT 1").unwrap();
    assert_eq!(proxy.get("/v1/health")["status"], "ready");
    assert_eq!(proxy.get("/v1/rollout")["revision"], 1);
    let top = proxy.get("/v1/top?measure=requests&rows=5");
    assert!(top["rows"].as_array().is_some_and(|rows| !rows.is_empty()), "{top}");
    let explained = proxy.get("/v1/explain?user=vendor&cluster=billing&labels=kind%3Dtill");
    assert!(explained.to_string().contains("\"all\""), "{explained}");
    let dump = proxy.get("/v1/dump");
    let session = &dump["shell"]["sessions"][0];
    assert_eq!(session["state"], "idle");
    assert_eq!(session["buffer_bytes"], 0, "an idle session holds a buffer");
    let by_session = proxy.get(&format!("/v1/explain?session={}", session["id"]));
    assert_eq!(by_session["cluster"], "billing");

    let address = proxy.admin_address;
    for (method, path, expected) in [
        ("GET", "/v1/top?measure=charm", 400),
        ("GET", "/v1/top?rows=0", 400),
        ("GET", "/v1/explain?user=vendor", 400),
        ("GET", "/v1/missing", 404),
        ("GET", "/v1/drain", 405),
        ("POST", "/v1/drain", 200),
    ] {
        assert_eq!(status(method, &format!("http://{address}{path}")), expected, "{path}");
    }
    assert_eq!(proxy.wait().code(), Some(0));
}

#[test]
fn daemon_runs_and_stops_inside_a_process() {
    let (sender, receiver) = mpsc::channel();
    let thread = std::thread::spawn(move || {
        let address = "127.0.0.1:0".parse().unwrap();
        let settings = model::NodeSettings {
            name: "vm-1".into(),
            data_centre: "dc1".into(),
            caller_address: address,
            peer_address: address,
            admin_address: address,
            // Nothing listens at this address: a node starts without the platform.
            platform_address: "127.0.0.1:1".parse().unwrap(),
            peers: Vec::new(),
            metrics_address: Some("127.0.0.1:9".parse().unwrap()),
            database_user: "cicadawick".into(),
            caller_limit: 1,
            request_limit_bytes: 1 << 20,
            drain_timeout: model::Micros::from_secs(1),
            log_level: "info".into(),
        };
        let ready = move |addresses, stop| sender.send((addresses, stop)).unwrap();
        run(settings, RunOptions { ready: Some(Box::new(ready)), handle_signals: false })
    });
    let (addresses, stop) = receiver.recv_timeout(Duration::from_secs(10)).unwrap();
    let admin = addresses.admin_address;
    assert_eq!(status("GET", &format!("http://{admin}/v1/health")), 200);
    // Without a configuration there is no cluster to connect to.
    let mut config = postgres::Config::new();
    config.host("127.0.0.1").port(addresses.caller_address.port()).user("u").dbname("billing");
    assert!(config.connect(postgres::NoTls).is_err());
    stop.stop();
    thread.join().unwrap().unwrap();
}
