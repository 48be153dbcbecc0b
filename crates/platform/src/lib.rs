//! Client of the platform's HTTP key-value service.
//!
//! Speaks the published HTTP API of the Consul key-value store: values with a modify index,
//! compare-and-swap with `?cas=`, and blocking queries with `?index=` and `?wait=`. Calls block, so
//! the daemon makes them on piped threads and the operators' client directly.
//!
//! Every call opens its own connection. Calls are rare, and on a kept connection that the platform
//! has closed a write could fail without a way to tell whether it was received.

mod answer;

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;
use ureq::http::Response;

use crate::answer::{HealthRow, KeyRow};

/// Largest answer that is read, in bytes. A value of 1 MB grows by a third in base64; a list of 2,000
/// VMs takes about 3 MB.
const ANSWER_LIMIT_BYTES: u64 = 16 * 1024 * 1024;

/// A value and its index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    pub bytes: Vec<u8>,
    /// Index for compare-and-swap.
    pub modify_index: u64,
}

/// A row of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    pub name: String,
    pub data_centre: String,
    pub peer_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub leaving: bool,
}

/// A failed call.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The call may have taken effect.
    #[error("failed to reach the platform at {address}: {message}")]
    Unreachable { address: SocketAddr, message: String },
    /// The platform answered with an error; the call had no effect.
    #[error("the platform at {address} answered status {status}")]
    Refused { address: SocketAddr, status: u16 },
    #[error("the platform at {address} sent an answer that cannot be read: {message}")]
    Unreadable { address: SocketAddr, message: String },
}

/// Client with one address and a timeout for calls that do not wait.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
    agent: Agent,
}

impl PlatformClient {
    /// Creates a client; no call is made.
    ///
    /// ```
    /// use std::time::Duration;
    /// let address = "127.0.0.1:8500".parse()?;
    /// let client = platform::PlatformClient::new(address, Duration::from_millis(1500));
    /// assert_eq!(client.address(), address);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections(0)
            .proxy(None)
            .user_agent("cicadawick")
            .build()
            .new_agent();
        PlatformClient { address, timeout, agent }
    }

    /// Returns the platform's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers with an error.
    pub fn get(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        let (status, _, bytes) = self.read(&key_path(key), "", self.timeout)?;
        self.stored_value(status, &bytes)
    }

    /// Waits until the key's index differs from `index`, at most `wait`; returns the value and the
    /// index to wait on next. Index 0 does not wait.
    ///
    /// The next index is 0 if the platform's index went backwards, as after a restore from a backup.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers with an error.
    pub fn watch(
        &self,
        key: &str,
        index: u64,
        wait: Duration,
    ) -> Result<(Option<StoredValue>, u64), PlatformError> {
        let (status, next, bytes) = self.wait_for(&key_path(key), index, wait)?;
        Ok((self.stored_value(status, &bytes)?, next))
    }

    /// Writes a key if its index is `expected` (0: does not exist); returns whether it did.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers with an error. After
    /// [`PlatformError::Unreachable`] the write may have taken effect. This includes answers of class
    /// 5xx, which the platform also sends when it loses its leader in the middle of a write.
    pub fn put(&self, key: &str, bytes: &[u8], expected: u64) -> Result<bool, PlatformError> {
        let url = format!("http://{}{}?cas={expected}", self.address, key_path(key));
        let request = self.agent.put(url).config().timeout_global(Some(self.timeout)).build();
        let response = request.send(bytes).map_err(|error| self.unreachable(&error.to_string()))?;
        let (status, _, body) = self.receive(response)?;
        match (status, body.trim_ascii()) {
            (200, b"true") => Ok(true),
            (200, b"false") => Ok(false),
            (200, _) => Err(self.unreachable("the answer to a write is neither true nor false")),
            (500.., _) => Err(self.unreachable(&format!("status {status} to a write"))),
            _ => Err(PlatformError::Refused { address: self.address, status }),
        }
    }

    /// Waits for a change of the list of VMs; see [`PlatformClient::watch`].
    ///
    /// A VM is leaving if it is in maintenance mode. Rows without a usable address are left out.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers with an error.
    pub fn watch_vms(
        &self,
        index: u64,
        wait: Duration,
    ) -> Result<(Vec<ListedVm>, u64), PlatformError> {
        let (status, next, bytes) = self.wait_for("/v1/health/service/cicadawick", index, wait)?;
        if status != 200 {
            return Err(PlatformError::Refused { address: self.address, status });
        }
        let rows: Vec<HealthRow> = self.decode(&bytes)?;
        Ok((rows.into_iter().filter_map(HealthRow::into_listed).collect(), next))
    }

    fn wait_for(
        &self,
        path: &str,
        index: u64,
        wait: Duration,
    ) -> Result<(u16, u64, Vec<u8>), PlatformError> {
        let query = match (index, wait.subsec_millis()) {
            (0, _) => String::new(),
            (_, 0) => format!("?index={index}&wait={}s", wait.as_secs()),
            _ => format!("?index={index}&wait={}ms", wait.as_millis()),
        };
        // The platform adds up to a sixteenth of the wait, so that waits do not end all at once.
        let timeout = self.timeout + wait + wait / 16;
        let (status, answered, bytes) = self.read(path, &query, timeout)?;
        let Some(answered) = answered else {
            if status != 200 && status != 404 {
                return Err(PlatformError::Refused { address: self.address, status });
            }
            return Err(self.unreadable("no valid X-Consul-Index header"));
        };
        // An index of 0 would not wait and turn the watch into a busy loop.
        let next = if answered < index { 0 } else { answered.max(1) };
        Ok((status, next, bytes))
    }

    fn read(
        &self,
        path: &str,
        query: &str,
        timeout: Duration,
    ) -> Result<(u16, Option<u64>, Vec<u8>), PlatformError> {
        let url = format!("http://{}{path}{query}", self.address);
        let request = self.agent.get(url).config().timeout_global(Some(timeout)).build();
        self.receive(request.call().map_err(|error| self.unreachable(&error.to_string()))?)
    }

    /// Reads status, index header and body.
    fn receive(
        &self,
        mut response: Response<ureq::Body>,
    ) -> Result<(u16, Option<u64>, Vec<u8>), PlatformError> {
        let status = response.status().as_u16();
        let header = response.headers().get("X-Consul-Index");
        let index = header.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = response.body_mut().with_config().limit(ANSWER_LIMIT_BYTES).read_to_vec();
        Ok((status, index, body.map_err(|error| self.unreachable(&error.to_string()))?))
    }

    fn stored_value(
        &self,
        status: u16,
        bytes: &[u8],
    ) -> Result<Option<StoredValue>, PlatformError> {
        match status {
            200 => {}
            404 => return Ok(None),
            _ => return Err(PlatformError::Refused { address: self.address, status }),
        }
        let rows: Vec<KeyRow> = self.decode(bytes)?;
        let row = rows.into_iter().next().ok_or_else(|| self.unreadable("an empty list"))?;
        row.into_stored().map(Some).map_err(|message| self.unreadable(&message))
    }

    fn decode<T: serde::de::DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, PlatformError> {
        serde_json::from_slice(bytes).map_err(|error| self.unreadable(&error.to_string()))
    }

    fn unreachable(&self, message: &str) -> PlatformError {
        PlatformError::Unreachable { address: self.address, message: message.to_string() }
    }

    fn unreadable(&self, message: &str) -> PlatformError {
        PlatformError::Unreadable { address: self.address, message: message.to_string() }
    }
}

/// Returns the path of a key. Bytes with a meaning in a URL are escaped, except `/`.
fn key_path(key: &str) -> String {
    let mut path = "/v1/kv/".to_string();
    for byte in key.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                path.push(char::from(byte));
            }
            _ => path.push_str(&format!("%{byte:02X}")),
        }
    }
    path
}
