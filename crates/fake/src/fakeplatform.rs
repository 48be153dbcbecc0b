//! A fake of the platform's key-value service and list of VMs, with the published HTTP API of Consul.
//!
//! An HTTP server listens on an internal port; clients reach it through a relay of
//! [`faultproxy`](crate::faultproxy), which refuses, holds or closes their connections to simulate an
//! outage or a lost answer. Control calls under `/control/` work on both ports, so the internal port
//! still accepts them during an outage.
//!
//! Not modelled: lock delays, access tokens, several data centres of the key-value store. A session
//! expires exactly at its time to live; the real service may take up to twice as long.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use model::SeededRandom;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::{Header, Request, Response, Server};

use crate::faultproxy::RelayLink;
use crate::http::{ControlRequest, answer_control, listen};

/// Largest value in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Times to live of a session that the API accepts.
const SESSION_TTL_RANGE: std::ops::RangeInclusive<Duration> =
    Duration::from_secs(10)..=Duration::from_secs(86_400);

/// Wait of a blocking query that specifies none.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
/// Longest wait of a blocking query.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Name of the service whose instances are the VMs.
const SERVICE_NAME: &str = "cicadawick";

/// Effect of an outage on clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutageMode {
    #[default]
    None,
    /// Connections are reset and new ones refused.
    Refuse,
    /// Connections are accepted, but nothing is answered.
    Hang,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FakeVm {
    pub name: String,
    pub data_centre: String,
    pub peer_address: SocketAddr,
    pub admin_port: u16,
    #[serde(default)]
    pub leaving: bool,
}

/// Counters of calls. A blocking query counts once, when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounters {
    pub get: u64,
    /// Blocking queries of a key.
    pub watch: u64,
    pub put: u64,
    /// PUT with `cas`.
    pub put_cas: u64,
    /// PUT with `acquire` or `release`.
    pub put_lock: u64,
    pub delete: u64,
    pub session: u64,
    pub list: u64,
    /// Blocking queries of the list of VMs.
    pub watch_list: u64,
    /// Answers that were dropped as an injected fault.
    pub lost: u64,
    pub total: u64,
}

#[derive(Debug, Default)]
struct KeyEntry {
    bytes: Vec<u8>,
    create_index: u64,
    modify_index: u64,
    lock_index: u64,
    session: Option<String>,
}

#[derive(Debug)]
struct LockSession {
    name: String,
    ttl: Option<Duration>,
    expires_at: Option<Instant>,
    deletes_keys: bool,
}

#[derive(Debug, Default)]
struct PlatformStore {
    index: u64,
    entries: BTreeMap<String, KeyEntry>,
    /// Index at which each deleted key was deleted.
    deleted: HashMap<String, u64>,
    sessions: HashMap<String, LockSession>,
    next_session: u64,
    vms: BTreeMap<String, FakeVm>,
    /// Changes that the list does not show yet, with the time from which it does; `None` removes.
    pending_vm_changes: VecDeque<(Instant, String, Option<FakeVm>)>,
    /// VMs as the control calls last set them.
    current_vms: BTreeMap<String, FakeVm>,
    vm_index: u64,

    list_lag: Duration,
    answer_delay: Duration,
    outage: OutageMode,
    answers_to_drop: u64,
    dropped_share: f64,
    random: SeededRandom,
    counters: CallCounters,
    /// Number of the next blocking query, and of the first one that is answered.
    next_query: u64,
    first_answered_query: u64,
    stopping: bool,
}

impl PlatformStore {
    fn next_index(&mut self) -> u64 {
        self.index += 1;
        self.index
    }

    fn key_index(&self, key: &str) -> u64 {
        let entry = self.entries.get(key).map(|entry| entry.modify_index);
        entry.or_else(|| self.deleted.get(key).copied()).unwrap_or(1)
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            let index = self.next_index();
            self.deleted.insert(key.to_string(), index);
        }
    }

    fn write(&mut self, key: &str, bytes: Vec<u8>) -> &mut KeyEntry {
        let index = self.next_index();
        let entry = self.entries.entry(key.to_string()).or_default();
        if entry.create_index == 0 {
            entry.create_index = index;
        }
        entry.modify_index = index;
        entry.bytes = bytes;
        entry
    }

    fn end_session(&mut self, id: &str) {
        let Some(session) = self.sessions.remove(id) else { return };
        let locked_keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.session.as_deref() == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in locked_keys {
            if session.deletes_keys {
                self.remove(&key);
            } else {
                let index = self.next_index();
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.session = None;
                    entry.modify_index = index;
                }
            }
        }
    }

    /// Expires sessions and applies VM changes that are due; returns when the next of them is due.
    fn apply_due_changes(&mut self, now: Instant) -> Option<Instant> {
        let ended: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.expires_at.is_some_and(|expires_at| expires_at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.end_session(&id);
        }
        while self.pending_vm_changes.front().is_some_and(|(due, _, _)| *due <= now) {
            if let Some((_, name, vm)) = self.pending_vm_changes.pop_front() {
                match vm {
                    Some(vm) => drop(self.vms.insert(name, vm)),
                    None => drop(self.vms.remove(&name)),
                }
                self.vm_index = self.next_index();
            }
        }
        let session = self.sessions.values().filter_map(|session| session.expires_at).min();
        let change = self.pending_vm_changes.front().map(|(due, _, _)| *due);
        session.into_iter().chain(change).min()
    }

    fn schedule_vm_change(&mut self, name: &str, vm: Option<FakeVm>) {
        match &vm {
            Some(vm) => drop(self.current_vms.insert(name.to_string(), vm.clone())),
            None => drop(self.current_vms.remove(name)),
        }
        let due = Instant::now() + self.list_lag;
        // Keeps the order of changes when the lag is reduced.
        let due = self.pending_vm_changes.back().map_or(due, |(last, _, _)| due.max(*last));
        self.pending_vm_changes.push_back((due, name.to_string(), vm));
    }

    /// Decides whether the answer to a change is dropped.
    fn drops_answer(&mut self) -> bool {
        // Draws for every change, so that a seed drops the same answers in every run.
        let by_share = self.random.unit() < self.dropped_share;
        let is_dropped = self.answers_to_drop > 0 || by_share;
        self.answers_to_drop = self.answers_to_drop.saturating_sub(1);
        self.counters.lost += u64::from(is_dropped);
        is_dropped
    }
}

#[derive(Debug)]
struct PlatformCore {
    store: Mutex<PlatformStore>,
    changed: Condvar,
    link: Arc<RelayLink>,
}

/// A running fake platform; dropping it stops it.
///
/// ```
/// use fake::fakeplatform::{FakePlatform, FakeVm};
/// let platform = FakePlatform::start(0)?;
/// platform.put_vm(FakeVm {
///     name: "vm-1".into(),
///     data_centre: "dc-1".into(),
///     peer_address: "127.0.0.1:7000".parse()?,
///     admin_port: 7001,
///     leaving: false,
/// });
/// # Ok::<(), anyhow::Error>(())
/// ```
pub struct FakePlatform {
    core: Arc<PlatformCore>,
    server: Arc<Server>,
    control_address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl std::fmt::Debug for FakePlatform {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "FakePlatform({})", self.address())
    }
}

impl FakePlatform {
    /// Starts a platform on `port`; 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound.
    pub fn start(port: u16) -> anyhow::Result<Self> {
        let (server, control_address) = listen(0)?;
        let link = RelayLink::start(port, control_address)?;
        let store = PlatformStore { index: 1, vm_index: 1, ..PlatformStore::default() };
        let core =
            Arc::new(PlatformCore { store: Mutex::new(store), changed: Condvar::new(), link });
        let (worker, shared) = (server.clone(), core.clone());
        let request_thread = std::thread::spawn(move || {
            for request in worker.incoming_requests() {
                // Blocking queries wait for minutes, so each request gets its own thread.
                let core = shared.clone();
                std::thread::spawn(move || core.answer(request));
            }
        });
        let shared = core.clone();
        let timer_thread = std::thread::spawn(move || shared.run_timer());
        let threads = vec![request_thread, timer_thread];
        Ok(FakePlatform { core, server, control_address, threads })
    }

    /// Returns the address for clients.
    pub fn address(&self) -> SocketAddr {
        self.core.link.address()
    }

    /// Returns the internal address, which accepts control calls also during an outage.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Adds or replaces a VM; the list shows it after the list lag.
    pub fn put_vm(&self, vm: FakeVm) {
        self.core.change(|store| store.schedule_vm_change(&vm.name.clone(), Some(vm)));
    }

    /// Marks a VM as leaving; the list shows it after the list lag.
    ///
    /// # Errors
    ///
    /// Fails if there is no VM of that name.
    pub fn mark_leaving(&self, name: &str) -> anyhow::Result<()> {
        self.core.mark_leaving(name)
    }

    /// Removes a VM; the list shows it after the list lag.
    pub fn remove_vm(&self, name: &str) {
        self.core.change(|store| store.schedule_vm_change(name, None));
    }

    /// Sets the delay after which the list shows the changes made by control calls.
    pub fn set_list_lag(&self, lag: Duration) {
        self.core.change(|store| store.list_lag = lag);
    }

    /// Delays each answer by this time, after the change took effect.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.core.change(|store| store.answer_delay = delay);
    }

    /// Starts or ends an outage.
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be bound again at the end of an outage.
    pub fn set_outage(&self, mode: OutageMode) -> anyhow::Result<()> {
        self.core.set_outage(mode)
    }

    /// Never answers the blocking queries that are waiting, as if their connections had gone silent.
    pub fn silence_waiting_queries(&self) {
        self.core.change(|store| store.first_answered_query = store.next_query);
    }

    /// Drops the answers to the next `count` changes (PUT and DELETE): the change takes effect and the
    /// connection closes without an answer.
    pub fn drop_next_answers(&self, count: u64) {
        self.core.change(|store| store.answers_to_drop = count);
    }

    /// Drops the answers to a share (0 to 1) of all changes; the seed determines which ones.
    pub fn drop_answers_by_share(&self, share: f64, seed: u64) {
        self.core.change(|store| {
            store.dropped_share = share;
            store.random = SeededRandom::new(seed);
        });
    }

    /// Reads the counters of calls.
    pub fn counters(&self) -> CallCounters {
        self.core.lock().counters
    }

    /// Reads a key's value and modify index without a call.
    pub fn value(&self, key: &str) -> Option<(Vec<u8>, u64)> {
        let store = self.core.lock();
        store.entries.get(key).map(|entry| (entry.bytes.clone(), entry.modify_index))
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.core.change(|store| store.stopping = true);
        self.core.link.stop();
        self.server.unblock();
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
    }
}

/// Decoded path and query parameters of a request.
struct RequestTarget {
    path: String,
    params: HashMap<String, String>,
}

impl RequestTarget {
    fn parse(url: &str) -> Self {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let pairs = query.split('&').filter(|pair| !pair.is_empty());
        let params = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        RequestTarget {
            path: decode_percent(path),
            params: params.map(|(key, value)| (key.into(), decode_percent(value))).collect(),
        }
    }

    fn number(&self, name: &str) -> Result<Option<u64>, HttpAnswer> {
        let text = self.params.get(name);
        text.map(|text| text.parse().map_err(|_| HttpAnswer::text(400, "Invalid number")))
            .transpose()
    }

    fn wait(&self) -> Result<Duration, HttpAnswer> {
        match self.params.get("wait") {
            Some(text) => parse_duration(text)
                .map(|wait| wait.min(MAX_WAIT))
                .ok_or_else(|| HttpAnswer::text(400, "Invalid wait time")),
            None => Ok(DEFAULT_WAIT),
        }
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Parses `10s`, `5m`, `1h` or `500ms`.
fn parse_duration(text: &str) -> Option<Duration> {
    let at = text.find(|character: char| !character.is_ascii_digit() && character != '.')?;
    let number: f64 = text[..at].parse().ok()?;
    let unit = match &text[at..] {
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(number * unit).ok()
}

/// An answer to a call.
struct HttpAnswer {
    status: u16,
    body: String,
    index: Option<u64>,
    is_change: bool,
}

impl HttpAnswer {
    fn text(status: u16, body: &str) -> Self {
        HttpAnswer { status, body: body.to_string(), index: None, is_change: false }
    }

    fn json(value: &Value, index: Option<u64>) -> Self {
        HttpAnswer { status: 200, body: value.to_string(), index, is_change: false }
    }

    fn change(done: bool) -> Self {
        HttpAnswer { status: 200, body: done.to_string(), index: None, is_change: true }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct SessionRequest {
    name: String,
    #[serde(rename = "TTL")]
    ttl: String,
    behavior: String,
}

impl PlatformCore {
    fn lock(&self) -> MutexGuard<'_, PlatformStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change<R>(&self, change: impl FnOnce(&mut PlatformStore) -> R) -> R {
        let result = {
            let mut store = self.lock();
            let result = change(&mut store);
            store.apply_due_changes(Instant::now());
            result
        };
        self.changed.notify_all();
        result
    }

    /// Expires sessions and applies VM changes as they become due, until the platform stops.
    fn run_timer(&self) {
        let mut store = self.lock();
        while !store.stopping {
            let before = store.index;
            let due = store.apply_due_changes(Instant::now());
            if store.index != before {
                self.changed.notify_all();
            }
            let wait = due.map_or(Duration::from_secs(3600), |due| {
                due.saturating_duration_since(Instant::now())
            });
            let waited = self.changed.wait_timeout(store, wait);
            store = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn set_outage(&self, mode: OutageMode) -> anyhow::Result<()> {
        self.lock().outage = mode;
        self.link.set_frozen(mode == OutageMode::Hang);
        self.link.set_refusing(mode == OutageMode::Refuse)?;
        if mode == OutageMode::Refuse {
            self.link.reset_all();
        }
        Ok(())
    }

    fn mark_leaving(&self, name: &str) -> anyhow::Result<()> {
        self.change(|store| {
            let vm = store.current_vms.get(name).cloned();
            let vm = vm.with_context(|| format!("no VM is named {name}"))?;
            store.schedule_vm_change(name, Some(FakeVm { leaving: true, ..vm }));
            Ok(())
        })
    }

    fn answer(&self, mut request: Request) {
        let target = RequestTarget::parse(request.url());
        if target.path.starts_with("/control/") {
            answer_control(request, |control| self.control(control));
            return;
        }
        let mut body = Vec::new();
        let limit = MAX_VALUE_BYTES as u64 + 1;
        if std::io::Read::read_to_end(
            &mut std::io::Read::take(request.as_reader(), limit),
            &mut body,
        )
        .is_err()
        {
            return;
        }
        let method = request.method().to_string();
        let answer = match self.call(&method, &target, body) {
            Ok(answer) | Err(answer) => answer,
        };
        let (answer_delay, is_dropped) = {
            let mut store = self.lock();
            (store.answer_delay, answer.is_change && store.drops_answer())
        };
        std::thread::sleep(answer_delay);
        if is_dropped && let Some(client) = request.remote_addr().copied() {
            // Closes the relayed connection, so the answer does not arrive.
            self.link.drop_connection(client);
        }
        let mut response = Response::from_string(answer.body).with_status_code(answer.status);
        let headers = [
            Some(("Content-Type", "application/json".to_string())),
            answer.index.map(|index| ("X-Consul-Index", index.to_string())),
        ];
        for (name, value) in headers.into_iter().flatten() {
            if let Ok(header) = Header::from_bytes(name, value) {
                response.add_header(header);
            }
        }
        // Fails if the client has disconnected.
        drop(request.respond(response));
    }

    fn call(
        &self,
        method: &str,
        target: &RequestTarget,
        body: Vec<u8>,
    ) -> Result<HttpAnswer, HttpAnswer> {
        self.lock().counters.total += 1;
        let parts: Vec<&str> = target.path.trim_start_matches('/').splitn(3, '/').collect();
        match (method, parts.as_slice()) {
            ("GET", ["v1", "kv", key]) => self.get(key, target),
            ("PUT", ["v1", "kv", key]) => self.put(key, target, body),
            ("DELETE", ["v1", "kv", key]) => self.delete(key, target),
            ("PUT", ["v1", "session", rest]) => self.session(rest, &body),
            ("GET", ["v1", "health", rest]) => match rest.strip_prefix("service/") {
                Some(service) => self.list(service, target),
                None => Err(HttpAnswer::text(404, "not found")),
            },
            _ => Err(HttpAnswer::text(404, "not found")),
        }
    }

    /// Waits until an index exceeds the one in the request, or its wait time ends.
    fn wait_for_index<'a>(
        &'a self,
        mut store: MutexGuard<'a, PlatformStore>,
        target: &RequestTarget,
        index_of: impl Fn(&PlatformStore) -> u64,
    ) -> Result<MutexGuard<'a, PlatformStore>, HttpAnswer> {
        let Some(known) = target.number("index")? else { return Ok(store) };
        let end = Instant::now() + target.wait()?;
        let query = store.next_query;
        store.next_query += 1;
        while known > 0 && !store.stopping {
            let silenced = query < store.first_answered_query;
            let left = end.saturating_duration_since(Instant::now());
            if !silenced && (index_of(&store) > known || left.is_zero()) {
                break;
            }
            let wait = if silenced { MAX_WAIT } else { left };
            let waited = self.changed.wait_timeout(store, wait);
            store = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        Ok(store)
    }

    fn get(&self, key: &str, target: &RequestTarget) -> Result<HttpAnswer, HttpAnswer> {
        let mut store = self.lock();
        match target.params.get("index") {
            Some(index) if index != "0" => store.counters.watch += 1,
            _ => store.counters.get += 1,
        }
        let store = self.wait_for_index(store, target, |store| store.key_index(key))?;
        let index = Some(store.key_index(key));
        Ok(match store.entries.get(key) {
            Some(entry) => {
                let mut value = json!({
                    "LockIndex": entry.lock_index,
                    "Key": key,
                    "Flags": 0,
                    "Value": STANDARD.encode(&entry.bytes),
                    "CreateIndex": entry.create_index,
                    "ModifyIndex": entry.modify_index,
                });
                if let Some(session) = &entry.session {
                    value["Session"] = json!(session);
                }
                HttpAnswer::json(&json!([value]), index)
            }
            None => HttpAnswer { status: 404, body: String::new(), index, is_change: false },
        })
    }

    fn put(
        &self,
        key: &str,
        target: &RequestTarget,
        body: Vec<u8>,
    ) -> Result<HttpAnswer, HttpAnswer> {
        if body.len() > MAX_VALUE_BYTES {
            return Err(HttpAnswer::text(413, "Request body too large, max size: 1048576 bytes."));
        }
        let cas = target.number("cas")?;
        self.change(|store| {
            let found = store.entries.get(key);
            let holder = found.and_then(|entry| entry.session.clone());
            if let Some(cas) = cas {
                store.counters.put_cas += 1;
                if store.entries.get(key).map_or(0, |entry| entry.modify_index) != cas {
                    return Ok(HttpAnswer::change(false));
                }
                store.write(key, body);
            } else if let Some(session) = target.params.get("acquire") {
                store.counters.put_lock += 1;
                if !store.sessions.contains_key(session) {
                    return Err(HttpAnswer::text(500, &format!("invalid session {session:?}")));
                }
                if holder.as_ref().is_some_and(|holder| holder != session) {
                    return Ok(HttpAnswer::change(false));
                }
                let entry = store.write(key, body);
                entry.lock_index += u64::from(holder.is_none());
                entry.session = Some(session.clone());
            } else if let Some(session) = target.params.get("release") {
                store.counters.put_lock += 1;
                if holder.as_ref() != Some(session) {
                    return Ok(HttpAnswer::change(false));
                }
                store.write(key, body).session = None;
            } else {
                store.counters.put += 1;
                store.write(key, body);
            }
            Ok(HttpAnswer::change(true))
        })
    }

    fn delete(&self, key: &str, target: &RequestTarget) -> Result<HttpAnswer, HttpAnswer> {
        let cas = target.number("cas")?;
        self.change(|store| {
            store.counters.delete += 1;
            let index = store.entries.get(key).map_or(0, |entry| entry.modify_index);
            let matches = cas.is_none_or(|cas| cas == index);
            if matches {
                store.remove(key);
            }
            Ok(HttpAnswer::change(matches))
        })
    }

    fn session(&self, rest: &str, body: &[u8]) -> Result<HttpAnswer, HttpAnswer> {
        self.lock().counters.session += 1;
        if rest == "create" {
            return self.create_session(body);
        }
        self.change(|store| match rest.split_once('/') {
            Some(("renew", id)) => {
                let session = store.sessions.get_mut(id);
                let session =
                    session.ok_or_else(|| HttpAnswer::text(404, "Session id not found"))?;
                session.expires_at = session.ttl.map(|ttl| Instant::now() + ttl);
                let ttl = session.ttl.map_or(0, |ttl| ttl.as_secs());
                let value = json!([{ "ID": id, "Name": session.name, "TTL": format!("{ttl}s") }]);
                Ok(HttpAnswer { is_change: true, ..HttpAnswer::json(&value, None) })
            }
            Some(("destroy", id)) => {
                store.end_session(id);
                Ok(HttpAnswer::change(true))
            }
            _ => Err(HttpAnswer::text(404, "not found")),
        })
    }

    fn create_session(&self, body: &[u8]) -> Result<HttpAnswer, HttpAnswer> {
        let request: SessionRequest = if body.is_empty() {
            SessionRequest::default()
        } else {
            serde_json::from_slice(body).map_err(|error| {
                HttpAnswer::text(400, &format!("Request decode failed: {error}"))
            })?
        };
        let ttl = match request.ttl.as_str() {
            "" => None,
            text => {
                let ttl = parse_duration(text).filter(|ttl| SESSION_TTL_RANGE.contains(ttl));
                let message = "Invalid Session TTL, must be between [10s=24h0m0s]";
                Some(ttl.ok_or_else(|| HttpAnswer::text(400, message))?)
            }
        };
        self.change(|store| {
            store.next_session += 1;
            let id = format!("00000000-0000-4000-8000-{:012x}", store.next_session);
            let session = LockSession {
                name: request.name,
                ttl,
                expires_at: ttl.map(|ttl| Instant::now() + ttl),
                deletes_keys: request.behavior == "delete",
            };
            store.sessions.insert(id.clone(), session);
            Ok(HttpAnswer { is_change: true, ..HttpAnswer::json(&json!({ "ID": id }), None) })
        })
    }

    fn list(&self, service: &str, target: &RequestTarget) -> Result<HttpAnswer, HttpAnswer> {
        let mut store = self.lock();
        match target.params.get("index") {
            Some(index) if index != "0" => store.counters.watch_list += 1,
            _ => store.counters.list += 1,
        }
        let store = self.wait_for_index(store, target, |store| store.vm_index)?;
        let vms = store.vms.values().filter(|_| service == SERVICE_NAME);
        let rows: Vec<Value> = vms.map(render_vm).collect();
        Ok(HttpAnswer::json(&json!(rows), Some(store.vm_index)))
    }

    /// Handles `GET /control/state`, `POST /control/vms` with a [`FakeVm`], `POST
    /// /control/vms/NAME/{leaving,remove}`, and `POST /control/set` with a [`PlatformChange`].
    fn control(&self, request: &ControlRequest) -> anyhow::Result<Value> {
        let parts: Vec<&str> = request.path.split('/').filter(|part| !part.is_empty()).collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["control", "state"]) => {}
            ("POST", ["control", "vms"]) => {
                let vm: FakeVm = serde_json::from_str(&request.body)?;
                self.change(|store| store.schedule_vm_change(&vm.name.clone(), Some(vm)));
            }
            ("POST", ["control", "vms", name, "leaving"]) => self.mark_leaving(name)?,
            ("POST", ["control", "vms", name, "remove"]) => {
                self.change(|store| store.schedule_vm_change(name, None));
            }
            ("POST", ["control", "set"]) => {
                let change: PlatformChange = serde_json::from_str(&request.body)?;
                let time = |millis: f64| Duration::from_secs_f64(millis.clamp(0.0, 1e9) / 1e3);
                self.change(|store| {
                    store.list_lag = change.list_lag_ms.map_or(store.list_lag, time);
                    store.answer_delay = change.slow_ms.map_or(store.answer_delay, time);
                    store.answers_to_drop = change.lose_next.unwrap_or(store.answers_to_drop);
                    store.dropped_share = change.lose_share.unwrap_or(store.dropped_share);
                    store.random = change.lose_seed.map_or(store.random, SeededRandom::new);
                });
                if let Some(mode) = change.outage {
                    self.set_outage(mode)?;
                }
            }
            _ => bail!("no resource {} {}", request.method, request.path),
        }
        let store = self.lock();
        Ok(json!({
            "counters": store.counters,
            "list_lag_ms": store.list_lag.as_secs_f64() * 1e3,
            "slow_ms": store.answer_delay.as_secs_f64() * 1e3,
            "outage": store.outage,
            "lose_next": store.answers_to_drop,
            "lose_share": store.dropped_share,
            "keys": store.entries.keys().collect::<Vec<_>>(),
            "vms": store.vms.values().collect::<Vec<_>>(),
        }))
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlatformChange {
    list_lag_ms: Option<f64>,
    slow_ms: Option<f64>,
    outage: Option<OutageMode>,
    lose_next: Option<u64>,
    lose_share: Option<f64>,
    lose_seed: Option<u64>,
}

fn render_vm(vm: &FakeVm) -> Value {
    let check =
        |id: &str, status: &str| json!({ "Node": vm.name, "CheckID": id, "Status": status });
    let mut checks = vec![check("serfHealth", "passing")];
    if vm.leaving {
        checks.push(check("_node_maintenance", "critical"));
    }
    let address = vm.peer_address.ip().to_string();
    json!({
        "Node": { "Node": vm.name, "Datacenter": vm.data_centre, "Address": address },
        "Service": {
            "ID": format!("{SERVICE_NAME}-{}", vm.name),
            "Service": SERVICE_NAME,
            "Address": address,
            "Port": vm.peer_address.port(),
            "Meta": { "admin_port": vm.admin_port.to_string() },
        },
        "Checks": checks,
    })
}
