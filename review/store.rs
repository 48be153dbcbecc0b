//! The platform's store and its promotion interface, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::database::Cluster;
use crate::json::{self, Value};
use crate::record;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and text of each event.
    events: Vec<(u64, String)>,
    next_lease: u64,
    /// End and time to live.
    leases: BTreeMap<u64, (Instant, Duration)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
    clusters: Vec<Arc<Cluster>>,
    pub doors: Mutex<Vec<Door>>,
}

/// An address of the store that only one machine uses, so that the store can treat this machine differently.
#[derive(Default)]
pub struct Door {
    /// The calls of the machine are refused with 503.
    pub refuses: bool,
    /// The answer of the next write to this key is lost, and the write is done late.
    pub lost_write: Option<(String, Duration)>,
    /// When a lease was last renewed.
    pub renewed: Option<Instant>,
}

impl Store {
    pub fn start(clusters: Vec<Arc<Cluster>>) -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Store {
            state: Mutex::new(State { revision: 1, ..State::default() }),
            changed: Condvar::new(),
            address: listener.local_addr().unwrap(),
            clusters,
            doors: Mutex::default(),
        });
        store.listen(listener, None);
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.expire();
            }
        });
        store
    }

    fn listen(self: &Arc<Self>, listener: TcpListener, door: Option<usize>) {
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream, door);
                });
            }
        });
    }

    /// Opens a door and returns its number and address.
    pub fn open_door(self: &Arc<Self>, door: Door) -> (usize, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut doors = self.doors.lock().unwrap();
        doors.push(door);
        let number = doors.len() - 1;
        self.listen(listener, Some(number));
        (number, address)
    }

    /// Returns true if there is an item.
    pub fn contains(&self, key: &str) -> bool {
        self.state.lock().unwrap().items.contains_key(key)
    }

    /// Writes as the operator or as a database.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        write(&mut state, key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        state.leases.retain(|_, (end, _)| now < *end);
        let expired: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !state.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            remove(&mut state, &key);
            self.changed.notify_all();
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, door: Option<usize>) -> std::io::Result<()> {
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream.try_clone()?);
        let mut line = String::new();
        input.read_line(&mut line)?;
        let mut words = line.split(' ');
        let (method, url) =
            (words.next().unwrap_or("").to_string(), words.next().unwrap_or("").to_string());
        let (mut length, mut holder, mut fence) = (0, String::new(), String::new());
        loop {
            let mut header = String::new();
            if input.read_line(&mut header)? == 0 || header.trim().is_empty() {
                break;
            }
            if let Some((name, value)) = header.trim().split_once(':') {
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().unwrap_or(0),
                    "duty-holder" => holder = value.trim().to_string(),
                    "fencing-token" => fence = value.trim().to_string(),
                    _ => {}
                }
            }
        }
        let mut body = vec![0; length];
        input.read_exact(&mut body)?;
        thread::sleep(ANSWER_TIME);
        let mut refused = false;
        if let Some(door) = door {
            let mut doors = self.doors.lock().unwrap();
            let door = &mut doors[door];
            refused = door.refuses;
            if url.starts_with("/kv-keep") && !refused {
                door.renewed = Some(Instant::now());
            }
            let lost = door.lost_write.take_if(|(key, _)| {
                url == "/kv-txn" && String::from_utf8_lossy(&body).contains(key.as_str())
            });
            drop(doors);
            if let Some((key, delay)) = lost {
                record(&format!("the answer to a write of {key} is lost, and it is done later"));
                thread::sleep(delay);
                let (status, _) = self.answer(&method, &url, &body, &holder, &fence);
                record(&format!("the write of {key} is done, status {status}"));
                return Ok(());
            }
        }
        let (status, answer) = match refused {
            true => (503, "{}".to_string()),
            false => self.answer(&method, &url, &body, &holder, &fence),
        };
        let mut output = stream;
        write!(
            output,
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{answer}",
            answer.len()
        )
    }

    fn answer(
        &self,
        method: &str,
        url: &str,
        body: &[u8],
        holder: &str,
        fence: &str,
    ) -> (u16, String) {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let field = |name: &str| {
            let parts = query.split('&').filter_map(|part| part.split_once('='));
            parts.clone().find(|(key, _)| *key == name).map_or(String::new(), |(_, v)| decode(v))
        };
        let body = json::parse(body).unwrap_or(Value::Null);
        match path {
            "/kv-range" => {
                let (prefix, after) = (field("path-prefix"), field("after"));
                let state = self.state.lock().unwrap();
                let mut rest = state.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && (after.is_empty() || **key > after)
                });
                let items: Vec<String> =
                    rest.by_ref().take(500).map(|(key, item)| item_json(key, item)).collect();
                let truncated = rest.next().is_some();
                let text = format!(
                    "{{\"items\":[{}],\"truncated\":{truncated},\"store-revision\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, text)
            }
            "/kv-watch" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait = field("wait-ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.lock().unwrap();
                while state.revision <= after && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                let new = state.events.iter().filter(|(revision, _)| *revision > after);
                let events: Vec<&str> = new.map(|(_, text)| text.as_str()).collect();
                let events = events.join(",");
                let revision = state.revision;
                (200, format!("{{\"events\":[{events}],\"store-revision\":{revision}}}"))
            }
            "/kv-txn" => self.transact(&body),
            "/kv-lease" => {
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl = body.get("ttl-ms").and_then(Value::number).unwrap_or(1_000);
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + time, time));
                (200, format!("{{\"lease\":{lease},\"ttl-ms\":{ttl}}}"))
            }
            "/promote" => {
                let service = body.get("service").and_then(Value::text).unwrap_or("");
                let id = body.get("id").and_then(Value::text).unwrap_or("");
                let cluster = self.clusters.iter().find(|cluster| cluster.name == service);
                let known = cluster.is_some_and(|cluster| cluster.promote(id));
                record(&format!(
                    "promote service={service} id={id} holder={holder} fence={fence} accepted={known}"
                ));
                (if known { 200 } else { 409 }, "{}".to_string())
            }
            _ => {
                let Some((call, lease)) = path.rsplit_once('/') else { return (404, "{}".into()) };
                let lease: u64 = lease.parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                let now = Instant::now();
                let known = state.leases.get(&lease).is_some_and(|(end, _)| now < *end);
                if known && call == "/kv-lease-end" && method == "DELETE" {
                    state.leases.remove(&lease);
                } else if known && let Some((end, ttl)) = state.leases.get_mut(&lease) {
                    *end = now + *ttl;
                }
                drop(state);
                self.expire();
                (if known { 200 } else { 404 }, "{}".to_string())
            }
        }
    }

    fn transact(&self, body: &Value) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let list = |name: &str| body.get(name).map(Value::list).unwrap_or_default();
        for row in list("expect") {
            let key = row.get("key").and_then(Value::text).unwrap_or("");
            let wanted = row.get("revision").and_then(Value::number).unwrap_or(0);
            if state.items.get(key).map_or(0, |item| item.revision) != wanted {
                let item = state.items.get(key).map(|item| item_json(key, item));
                return (412, format!("{{\"items\":[{}]}}", item.unwrap_or_default()));
            }
        }
        for row in list("writes") {
            let lease = row.get("lease").and_then(Value::number).unwrap_or(0);
            let alive = state.leases.get(&lease).is_some_and(|(end, _)| Instant::now() < *end);
            if lease != 0 && !alive {
                return (404, "{}".to_string());
            }
        }
        for row in list("writes") {
            let key = row.get("key").and_then(Value::text).unwrap_or("");
            let value = row.get("value").and_then(Value::text).unwrap_or("");
            let lease = row.get("lease").and_then(Value::number).unwrap_or(0);
            write(&mut state, key, json::from_base64(value), lease);
        }
        for key in list("remove") {
            remove(&mut state, key.text().unwrap_or(""));
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

fn write(state: &mut State, key: &str, value: Vec<u8>, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item { value, revision, created, lease };
    state.events.push((revision, item_json(key, &item)));
    state.items.insert(key.to_string(), item);
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let revision = state.revision;
        let text =
            format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", json::quote(key));
        state.events.push((revision, text));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        json::quote(key),
        json::to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
