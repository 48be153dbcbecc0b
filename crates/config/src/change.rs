//! The envelope of an accepted change.

use serde::{Deserialize, Serialize};

/// The value stored at the platform under `cicadawick/config`, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEnvelope {
    /// One more than the revision that the change replaces.
    pub revision: u64,
    /// Random; tells after a lost answer whether the own change took effect.
    pub change_id: String,
    pub author: String,
    /// Seconds since 1970, for display only.
    pub written_at: u64,
    /// The configuration, as JSON with comments.
    pub text: String,
}

/// An envelope that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("failed to read the configuration envelope")]
pub struct ChangeError(#[from] serde_json::Error);

impl ChangeEnvelope {
    /// Writes the envelope.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads an envelope.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an envelope.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ChangeError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}
