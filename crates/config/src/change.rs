//! The envelope in which an accepted configuration is stored.

use serde::{Deserialize, Serialize};

/// The value stored on the platform under `cicadawick/config`, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEnvelope {
    /// One more than the revision that the change replaces.
    pub revision: u64,
    /// Random id. After a lost answer it shows whether the writer's own change took effect.
    pub change_id: String,
    pub author: String,
    /// Unix time in seconds, for display only.
    pub written_at: u64,
    /// The configuration, as JSON with comments.
    pub text: String,
}

/// Error for an envelope that cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("failed to read the configuration envelope")]
pub struct EnvelopeError(#[from] serde_json::Error);

impl ChangeEnvelope {
    /// Encodes the envelope as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an envelope in JSON.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, EnvelopeError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}
