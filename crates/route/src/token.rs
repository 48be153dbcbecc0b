//! Signed session tokens.

use std::collections::BTreeMap;

use model::{Name, SessionFloor};

/// A secret that tokens are signed with.
#[derive(Clone, PartialEq, Eq)]
pub struct TokenKey {
    pub id: u32,
    pub secret: [u8; 32],
}

/// Accepted keys; the last one signs.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct TokenKeys(pub Vec<TokenKey>);

/// What a session carries between proxies: a floor for each cluster it wrote to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionToken {
    pub floors: BTreeMap<Name, SessionFloor>,
}

/// Why a token counts as absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    #[error("token is not well formed")]
    Malformed,
    #[error("token is signed with an unknown key")]
    UnknownKey,
    #[error("token signature does not match")]
    BadSignature,
}

impl SessionToken {
    /// Signs the token; `None` if there is no key.
    pub fn sign(&self, _keys: &TokenKeys) -> Option<String> {
        None
    }

    /// Checks and reads a token.
    ///
    /// # Errors
    ///
    /// Returns why the token must be treated as absent.
    pub fn verify(_text: &str, _keys: &TokenKeys) -> Result<SessionToken, TokenError> {
        Err(TokenError::Malformed)
    }
}
