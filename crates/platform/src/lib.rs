//! Client of the platform's HTTP key-value service.
//!
//! Implements the parts of Consul's published HTTP API that the proxy needs: values with a modify index,
//! compare-and-swap with `?cas=`, and blocking queries with `?index=` and `?wait=`. All calls block, so
//! the daemon makes them on separate threads connected by pipes. The operators' program makes them
//! directly.
//!
//! Every call opens a new connection, as calls are rare. On a reused connection that the platform has
//! closed, a write could fail without showing whether the platform received it.

mod answer;

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;
use ureq::http::Response;

use crate::answer::{HealthRow, KeyRow};

/// Maximum size of an answer. A value of 1 MB grows by a third in base64; a list of 2,000 VMs takes about
/// 3 MB.
const ANSWER_LIMIT_BYTES: u64 = 16 * 1024 * 1024;

/// A value and its modify index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    pub bytes: Vec<u8>,
    /// Modify index, for compare-and-swap.
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

/// Error of a call to the platform.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The outcome is unknown: the call may have taken effect.
    #[error("failed to reach the platform at {address}: {message}")]
    Unreachable { address: SocketAddr, message: String },
    /// The platform answered with an error; the call had no effect.
    #[error("the platform at {address} answered status {status}")]
    Refused { address: SocketAddr, status: u16 },
    #[error("the platform at {address} sent an answer that cannot be read: {message}")]
    Unreadable { address: SocketAddr, message: String },
}

/// Client of the platform at one address. For a blocking query, the timeout is added to the waiting time.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
    agent: Agent,
}

impl PlatformClient {
    /// Creates a client without making a call.
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
        let (status, _, bytes) = self.get_path(&key_path(key), "", self.timeout)?;
        self.stored_value(status, &bytes)
    }

    /// Waits at most `wait` until the key's index differs from `index`. Returns the value and the index
    /// for the next call. With index 0 the call does not wait.
    ///
    /// The returned index is 0 if the platform's index went backwards, as after a restore from a backup.
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
        let (status, next, bytes) = self.blocking_query(&key_path(key), index, wait)?;
        Ok((self.stored_value(status, &bytes)?, next))
    }

    /// Writes a key if its modify index is `expected` (0: the key does not exist). Returns whether the key
    /// was written.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers with an error. After
    /// [`PlatformError::Unreachable`] the write may have taken effect. Status codes of class 5xx also give
    /// this error, because the platform sends them when it loses its leader during a write.
    pub fn put(&self, key: &str, bytes: &[u8], expected: u64) -> Result<bool, PlatformError> {
        let url = format!("http://{}{}?cas={expected}", self.address, key_path(key));
        let request = self.agent.put(url).config().timeout_global(Some(self.timeout)).build();
        let response = request.send(bytes).map_err(|error| self.unreachable(&error.to_string()))?;
        let (status, _, body) = self.read_response(response)?;
        match (status, body.trim_ascii()) {
            (200, b"true") => Ok(true),
            (200, b"false") => Ok(false),
            (200, _) => Err(self.unreachable("the answer to a write is neither true nor false")),
            (500.., _) => Err(self.unreachable(&format!("status {status} in response to a write"))),
            _ => Err(PlatformError::Refused { address: self.address, status }),
        }
    }

    /// Waits for a change of the list of VMs and returns the list; see [`PlatformClient::watch`].
    ///
    /// A VM is leaving if it is in maintenance mode. Rows without a usable address are omitted.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers with an error.
    pub fn watch_vms(
        &self,
        index: u64,
        wait: Duration,
    ) -> Result<(Vec<ListedVm>, u64), PlatformError> {
        let (status, next, bytes) =
            self.blocking_query("/v1/health/service/cicadawick", index, wait)?;
        if status != 200 {
            return Err(PlatformError::Refused { address: self.address, status });
        }
        let rows: Vec<HealthRow> = self.decode(&bytes)?;
        Ok((rows.into_iter().filter_map(HealthRow::into_listed).collect(), next))
    }

    fn blocking_query(
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
        // The platform extends a wait by up to a sixteenth, so that not all waits end at the same time.
        let timeout = self.timeout + wait + wait / 16;
        let (status, current_index, bytes) = self.get_path(path, &query, timeout)?;
        let Some(current_index) = current_index else {
            if status != 200 && status != 404 {
                return Err(PlatformError::Refused { address: self.address, status });
            }
            return Err(self.unreadable("no valid X-Consul-Index header"));
        };
        // The next call would not wait with index 0, which would turn the watch into a busy loop.
        let next = if current_index < index { 0 } else { current_index.max(1) };
        Ok((status, next, bytes))
    }

    fn get_path(
        &self,
        path: &str,
        query: &str,
        timeout: Duration,
    ) -> Result<(u16, Option<u64>, Vec<u8>), PlatformError> {
        let url = format!("http://{}{path}{query}", self.address);
        let request = self.agent.get(url).config().timeout_global(Some(timeout)).build();
        self.read_response(request.call().map_err(|error| self.unreachable(&error.to_string()))?)
    }

    /// Reads the status, index header and body of a response.
    fn read_response(
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

/// Returns the URL path of a key. All bytes except `/` and unreserved characters are percent-encoded.
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
