//! Proxies in several data centres whose backend connections pass through a fault proxy, and clients
//! that send raw protocol messages.

#![allow(dead_code, clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use config::ChangeEnvelope;
use fake::fakedb::{DatabaseGroup, GroupOptions};
use fake::fakeplatform::FakePlatform;
use fake::faultproxy::FaultProxy;
use platform::PlatformClient;
use postgres::{Client, SimpleQueryMessage};
use serde_json::{Value, json};

use crate::common::{ProxyProcess, code, start_proxy, wait_until};

/// Configuration of a [`SessionFleet`].
pub struct FleetSetup {
    pub group: GroupOptions,
    /// Data centre of each proxy.
    pub proxies: Vec<&'static str>,
    /// Data centre of each database.
    pub databases: Vec<&'static str>,
    pub selectors: Value,
}

impl FleetSetup {
    /// Three databases and `proxies` proxies in one data centre; writes are durable.
    pub fn new(proxies: usize) -> Self {
        FleetSetup {
            group: GroupOptions::new("billing", 3),
            proxies: vec!["dc1"; proxies],
            databases: vec!["dc1"; 3],
            selectors: json!([{
                "name": "all", "matches": "", "rank": "urgent", "deadline_ms": 10_000,
                "durable": true,
            }]),
        }
    }
}

/// A database group behind a fault proxy, a platform and proxies. The links are named after the
/// databases.
pub struct SessionFleet {
    pub proxies: Vec<ProxyProcess>,
    pub links: FaultProxy,
    pub group: DatabaseGroup,
    pub platform: FakePlatform,
}

impl SessionFleet {
    pub fn start(setup: FleetSetup) -> Self {
        let group = DatabaseGroup::start(setup.group.clone()).unwrap();
        let platform = FakePlatform::start(0).unwrap();
        let upstreams: Vec<(String, SocketAddr)> =
            group.names().iter().cloned().zip(group.addresses().iter().copied()).collect();
        let links = FaultProxy::start(&upstreams, 0).unwrap();
        let databases: Vec<Value> = links
            .addresses()
            .iter()
            .zip(&setup.databases)
            .map(|((name, address), data_centre)| {
                json!({
                    "name": name, "data_centre": data_centre, "address": address.to_string(),
                    "slots": setup.group.slots, "connections": setup.group.connections,
                })
            })
            .collect();
        let text = json!({
            "clusters": [{ "name": "billing", "databases": databases }],
            "selectors": setup.selectors,
        });
        let mut fleet = SessionFleet { proxies: Vec::new(), links, group, platform };
        fleet.put_config(1, &text);
        fleet.put_token_keys(&json!([{ "id": 1, "secret": "5a".repeat(32) }]), 0);
        for data_centre in &setup.proxies {
            fleet.add_proxy(data_centre);
        }
        fleet.wait_until_serving();
        fleet
    }

    fn put_config(&self, revision: u64, text: &Value) {
        let envelope = ChangeEnvelope {
            revision,
            change_id: format!("change-{revision}"),
            author: "test".to_owned(),
            written_at: 0,
            text: text.to_string(),
        };
        let client = self.platform_client();
        assert!(client.put("cicadawick/config", &envelope.to_bytes(), 0).unwrap());
    }

    pub fn platform_client(&self) -> PlatformClient {
        PlatformClient::new(self.platform.address(), Duration::from_secs(2))
    }

    /// Replaces the version of the token keys with index `index`.
    pub fn put_token_keys(&self, keys: &Value, index: u64) {
        let client = self.platform_client();
        let text = keys.to_string();
        assert!(client.put("cicadawick/token-keys", text.as_bytes(), index).unwrap());
    }

    pub fn add_proxy(&mut self, data_centre: &str) {
        let number = self.proxies.len() + 1;
        let peers: Vec<String> =
            self.proxies.iter().map(|proxy| proxy.peer_address.to_string()).collect();
        let settings = json!({
            "name": format!("vm-{number}"),
            "data_centre": data_centre,
            "caller_address": "127.0.0.1:5432",
            "peer_address": "127.0.0.1:7400",
            "admin_address": "127.0.0.1:7401",
            "platform_address": self.platform.address().to_string(),
            "peers": peers,
            "drain_timeout_ms": 5_000,
            "log_level": std::env::var("CICADAWICK_TEST_LOG").unwrap_or("error".to_owned()),
        });
        self.proxies.push(start_proxy(&settings));
    }

    fn wait_until_serving(&self) {
        for proxy in &self.proxies {
            wait_until("the proxies know each other", || {
                let dump = proxy.get("/v1/dump");
                dump["members"].as_array().is_some_and(|list| list.len() == self.proxies.len())
            });
            wait_until("the proxy serves writes", || {
                proxy.try_connect("billing", "").is_ok_and(|mut client| {
                    client.batch_execute("CREATE TABLE IF NOT EXISTS ready (id bigint)").is_ok()
                })
            });
        }
    }

    /// Connects to a database without going through a proxy.
    pub fn connect_directly(&self, database: &str) -> Client {
        let address = self.group.address(database).unwrap();
        let mut config = postgres::Config::new();
        config.host(&address.ip().to_string()).port(address.port()).user("checker");
        config.dbname("billing").connect(postgres::NoTls).unwrap()
    }

    /// Returns the sum of a counter over the proxies' state dumps.
    pub fn counter(&self, section: &str, name: &str) -> u64 {
        let read =
            |proxy: &ProxyProcess| proxy.get("/v1/dump")[section][name].as_u64().unwrap_or(0);
        self.proxies.iter().map(read).sum()
    }
}

/// Sets the stop flag on drop, so that a scope's threads also end when an assertion fails.
pub struct StopGuard<'a>(pub &'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Outcome of a request as reported to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Row count of the command tag.
    Done(u64),
    Error(String),
}

impl RequestOutcome {
    pub fn is_not_run(&self) -> bool {
        matches!(self, RequestOutcome::Error(code) if code.starts_with("WK"))
    }

    pub fn is_unknown(&self) -> bool {
        matches!(self, RequestOutcome::Error(code) if code == "08007" || code == "closed")
    }
}

/// Runs a simple query.
pub fn run(client: &mut Client, sql: &str) -> RequestOutcome {
    match client.simple_query(sql) {
        Ok(messages) => {
            let tags = messages.iter().filter_map(|message| match message {
                SimpleQueryMessage::CommandComplete(count) => Some(*count),
                _ => None,
            });
            RequestOutcome::Done(tags.last().unwrap_or(0))
        }
        Err(error) => RequestOutcome::Error(code(&error)),
    }
}

/// A client on a plain TCP connection, without a client library.
pub struct RawClient {
    pub stream: TcpStream,
}

impl RawClient {
    /// Opens a session and reads up to its first `ReadyForQuery`.
    pub fn open(proxy: &ProxyProcess) -> Self {
        let mut packet = BytesMut::new();
        pg::put_startup(&mut packet, &[("user", "vendor"), ("database", "billing")]);
        let mut client = RawClient::start(proxy, &packet);
        client.read_until(b'Z');
        client
    }

    /// Connects and sends the first packet.
    pub fn start(proxy: &ProxyProcess, packet: &[u8]) -> Self {
        let mut stream = TcpStream::connect(proxy.caller_address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.write_all(packet).unwrap();
        RawClient { stream }
    }

    pub fn query(&mut self, sql: &str) {
        let mut packet = BytesMut::new();
        pg::put_query(&mut packet, sql);
        self.stream.write_all(&packet).unwrap();
    }

    /// Reads the next message; `None` at the end of the stream.
    pub fn next(&mut self) -> Option<(u8, Vec<u8>)> {
        let mut header = [0; 5];
        self.stream.read_exact(&mut header).ok()?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let mut body = vec![0; length as usize - 4];
        self.stream.read_exact(&mut body).ok()?;
        Some((header[0], body))
    }

    /// Reads messages up to one of the given kind; returns all of them.
    pub fn read_until(&mut self, wanted: u8) -> Vec<(u8, Vec<u8>)> {
        let mut messages = Vec::new();
        loop {
            let message = self.next();
            let Some(message) = message else { panic!("the stream ended after {messages:?}") };
            let kind = message.0;
            messages.push(message);
            if kind == wanted {
                return messages;
            }
        }
    }

    /// Reads up to a `ReadyForQuery` or the end of the stream and renders one message per line.
    pub fn transcript(&mut self) -> String {
        let mut lines = Vec::new();
        while let Some((kind, body)) = self.next() {
            lines.push(match kind {
                b'E' | b'N' => {
                    let error = pg::read_error(&body).unwrap();
                    format!("{} {}: {}", error.severity, error.code, error.message)
                }
                b'C' => format!("complete {}", pg::read_command_tag(&body).unwrap()),
                b'D' => format!("row {:?}", pg::read_data_row(&body).unwrap()),
                b'Z' => format!("ready {}", char::from(body[0])),
                b'S' | b'K' | b'R' | b'T' => continue,
                other => format!("message {}", char::from(other)),
            });
            if kind == b'Z' {
                return lines.join("\n");
            }
        }
        lines.push("closed".to_owned());
        lines.join("\n")
    }
}
