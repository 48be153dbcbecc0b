//! Tests of the client against a small HTTP server that implements the platform's published API.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use platform::{PlatformClient, PlatformError};
use tiny_http::{Header, Method, Request, Response, Server};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Fault injected into the next write.
#[derive(Clone, Copy, PartialEq)]
enum WriteFault {
    None,
    /// The write is applied but not answered.
    LostAnswer,
    Status(u16),
}

struct KeyState {
    index: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    fault: WriteFault,
    vms: String,
}

struct KeyServer {
    address: SocketAddr,
    state: Arc<(Mutex<KeyState>, Condvar)>,
}

impl KeyServer {
    fn start() -> Self {
        let server = Server::http("127.0.0.1:0").unwrap();
        let address = server.server_addr().to_ip().unwrap();
        let keys = KeyState {
            index: 10,
            keys: BTreeMap::new(),
            fault: WriteFault::None,
            vms: "[]".to_string(),
        };
        let state = Arc::new((Mutex::new(keys), Condvar::new()));
        let shared = state.clone();
        std::thread::spawn(move || {
            for request in server.incoming_requests() {
                let state = shared.clone();
                std::thread::spawn(move || handle_request(request, &state));
            }
        });
        KeyServer { address, state }
    }

    fn client(&self) -> PlatformClient {
        PlatformClient::new(self.address, TIMEOUT)
    }

    fn change(&self, change: impl FnOnce(&mut KeyState)) {
        change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
    }
}

fn handle_request(mut request: Request, state: &(Mutex<KeyState>, Condvar)) {
    let url = request.url().to_string();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let number = |name: &str| -> Option<u64> {
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair?.trim_end_matches(['m', 's']).parse().ok()
    };
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body).unwrap();
    let mut keys = state.0.lock().unwrap();
    if *request.method() == Method::Put {
        let stored_index = keys.keys.get(path).map_or(0, |(_, index)| *index);
        let accepted = number("cas") == Some(stored_index);
        let fault = std::mem::replace(&mut keys.fault, WriteFault::None);
        if accepted && !matches!(fault, WriteFault::Status(_)) {
            keys.index += 1;
            let index = keys.index;
            keys.keys.insert(path.to_string(), (body, index));
        }
        drop(keys);
        state.1.notify_all();
        match fault {
            WriteFault::None => {
                request.respond(Response::from_string(accepted.to_string())).unwrap()
            }
            WriteFault::LostAnswer => drop(request.into_writer()),
            WriteFault::Status(status) => {
                request.respond(Response::empty(status)).unwrap();
            }
        }
        return;
    }
    if let Some(index) = number("index") {
        let wait = number("wait").unwrap();
        let wait = match query.ends_with("ms") {
            true => Duration::from_millis(wait),
            false => Duration::from_secs(wait),
        };
        let start = Instant::now();
        while keys.index == index && start.elapsed() < wait {
            keys = state.1.wait_timeout(keys, wait.saturating_sub(start.elapsed())).unwrap().0;
        }
    }
    let header = Header::from_bytes("X-Consul-Index", keys.index.to_string()).unwrap();
    let response = if path == "/v1/health/service/cicadawick" {
        Response::from_string(keys.vms.clone())
    } else if let Some((bytes, index)) = keys.keys.get(path) {
        let value = BASE64_STANDARD.encode(bytes);
        Response::from_string(format!(
            r#"[{{"LockIndex":0,"Key":"k","Flags":0,"Value":"{value}","CreateIndex":1,"ModifyIndex":{index}}}]"#
        ))
    } else {
        Response::from_string("").with_status_code(404)
    };
    drop(keys);
    let _ = request.respond(response.with_header(header));
}

/// Guards against a write that overwrites a concurrent one.
#[test]
fn compare_and_swap() {
    let server = KeyServer::start();
    let client = server.client();
    assert_eq!(client.get("cicadawick/config").unwrap(), None);
    assert!(client.put("cicadawick/config", b"one", 0).unwrap());
    assert!(!client.put("cicadawick/config", b"lost", 0).unwrap());
    let stored = client.get("cicadawick/config").unwrap().unwrap();
    assert_eq!((stored.bytes.as_slice(), stored.modify_index), (&b"one"[..], 11));
    assert!(client.put("cicadawick/config", &vec![7; 1_000_000], stored.modify_index).unwrap());
    assert!(!client.put("cicadawick/config", b"lost", stored.modify_index).unwrap());
    assert_eq!(client.get("cicadawick/config").unwrap().unwrap().bytes.len(), 1_000_000);
}

/// Guards against a watch that returns early, misses a change or never ends.
#[test]
fn blocking_query_wakes_up() {
    let server = KeyServer::start();
    let client = server.client();
    let (value, index) = client.watch("k", 0, Duration::from_secs(10)).unwrap();
    assert_eq!((value, index), (None, 10));
    let waiting = std::thread::spawn({
        let client = client.clone();
        move || (client.watch("k", index, Duration::from_secs(20)).unwrap(), Instant::now())
    });
    std::thread::sleep(Duration::from_millis(100));
    let written = Instant::now();
    assert!(client.put("k", b"v", 0).unwrap());
    let ((value, index), woken) = waiting.join().unwrap();
    assert!(woken.duration_since(written) < Duration::from_secs(5));
    assert_eq!((value.unwrap().bytes.as_slice(), index), (&b"v"[..], 11));
    let start = Instant::now();
    let (value, index) = client.watch("k", index, Duration::from_millis(150)).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(150));
    assert_eq!((value.unwrap().bytes.as_slice(), index), (&b"v"[..], 11));
}

/// Guards against a lost answer or a status of class 5xx being reported as a refusal, although the write
/// may have taken effect.
#[test]
fn lost_answer_is_unreachable() {
    let server = KeyServer::start();
    let client = PlatformClient::new(server.address, Duration::from_secs(1));
    server.change(|keys| keys.fault = WriteFault::LostAnswer);
    let error = client.put("k", b"v", 0).unwrap_err();
    assert!(matches!(error, PlatformError::Unreachable { .. }), "{error}");
    assert_eq!(client.get("k").unwrap().unwrap().bytes, b"v");
    server.change(|keys| keys.fault = WriteFault::Status(500));
    let error = client.put("k", b"w", 11).unwrap_err();
    assert!(matches!(error, PlatformError::Unreachable { .. }), "{error}");
    server.change(|keys| keys.fault = WriteFault::Status(429));
    let error = client.put("k", b"w", 11).unwrap_err();
    assert!(matches!(error, PlatformError::Refused { status: 429, .. }), "{error}");
}

#[test]
fn closed_port_and_silent_server_are_unreachable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let client = PlatformClient::new(address, Duration::from_millis(200));
    let start = Instant::now();
    assert!(matches!(client.get("k"), Err(PlatformError::Unreachable { .. })));
    assert!(start.elapsed() < Duration::from_secs(4));
    drop(listener);
    assert!(matches!(client.get("k"), Err(PlatformError::Unreachable { .. })));
}

/// Guards against a watch that waits forever on an index from before a restore.
#[test]
fn index_is_reset_when_it_goes_backwards() {
    let server = KeyServer::start();
    let client = server.client();
    let (_, index) = client.watch("k", 0, TIMEOUT).unwrap();
    server.change(|keys| keys.index = 3);
    assert_eq!(client.watch("k", index, TIMEOUT).unwrap().1, 0);
    assert_eq!(client.watch("k", 0, TIMEOUT).unwrap().1, 3);
    server.change(|keys| keys.index = 0);
    assert_eq!(client.watch("k", 0, TIMEOUT).unwrap().1, 1);
}

#[test]
fn vms_are_listed() {
    let server = KeyServer::start();
    server.change(|keys| {
        keys.vms = r#"[
 {"Node":{"Node":"vm-1","Address":"10.0.0.9","Datacenter":"north"},
  "Service":{"Service":"cicadawick","Address":"10.0.0.1","Port":7400,"Meta":{"admin_port":"7401"}},
  "Checks":[{"CheckID":"serfHealth","Status":"critical"}]},
 {"Node":{"Node":"vm-2","Address":"10.0.0.2","Datacenter":"south"},
  "Service":{"Service":"cicadawick","Address":"","Port":7400,"Meta":{"admin_port":"7401"}},
  "Checks":[{"CheckID":"_node_maintenance","Status":"critical"}]},
 {"Node":{"Node":"vm-3","Address":"nowhere","Datacenter":"south"},
  "Service":{"Service":"cicadawick","Address":"","Port":7400,"Meta":null}}]"#
            .to_string();
    });
    let (vms, index) = server.client().watch_vms(0, TIMEOUT).unwrap();
    assert_eq!(index, 10);
    let rows: Vec<String> = vms
        .iter()
        .map(|vm| {
            let (peer, admin) = (vm.peer_address, vm.admin_address);
            format!("{} {} {peer} {admin} {}", vm.name, vm.data_centre, vm.leaving)
        })
        .collect();
    assert_eq!(
        rows,
        [
            "vm-1 north 10.0.0.1:7400 10.0.0.1:7401 false",
            "vm-2 south 10.0.0.2:7400 10.0.0.2:7401 true"
        ]
    );
}

#[test]
fn malformed_answer_is_unreadable() {
    let server = KeyServer::start();
    server.change(|keys| keys.vms = "{".to_string());
    let error = server.client().watch_vms(0, TIMEOUT).unwrap_err();
    assert!(matches!(error, PlatformError::Unreadable { .. }), "{error}");
}
