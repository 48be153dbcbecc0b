//! Signed session tokens.
//!
//! A token is the URL-safe base64 text of: version byte, key id, number of required positions, the
//! positions (length and bytes of the cluster's name, term, log position), and an HMAC-SHA256 over all
//! of it. It does not expire: a position that a cluster has long passed is met at once.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use model::{LogPosition, Name, RequiredPosition, Term};
use sha2::Sha256;

/// A secret that tokens are signed with.
#[derive(Clone, PartialEq, Eq)]
pub struct TokenKey {
    pub id: u32,
    pub secret: [u8; 32],
}

/// Accepted keys; the last one signs.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct TokenKeys(pub Vec<TokenKey>);

/// Required position of a session in each cluster that it wrote to; carried between proxies by the
/// client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionToken {
    pub required_positions: BTreeMap<Name, RequiredPosition>,
}

/// Why a token is treated as absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    #[error("token is malformed")]
    Malformed,
    #[error("token is signed with an unknown key")]
    UnknownKey,
    #[error("token signature does not match")]
    BadSignature,
}

const TOKEN_VERSION: u8 = 1;
const HEADER_BYTES: usize = 6;
const SIGNATURE_BYTES: usize = 32;

/// Separates the signatures of tokens from other uses of the same keys.
const MAC_DOMAIN: &[u8] = b"cicadawick session token";

/// A session belongs to one cluster, so a token holds more than one position only if the client reuses
/// it for other clusters. 32 positions with names of 63 bytes stay below [`MAX_TOKEN_BYTES`].
const MAX_POSITIONS: usize = 32;

/// Longest accepted token, in characters.
const MAX_TOKEN_BYTES: usize = 4_096;

/// Longest cluster name in bytes.
const MAX_NAME_BYTES: usize = 63;

impl SessionToken {
    /// Signs the token with the last key; `None` if there is no key. The token holds the positions in
    /// at most 32 clusters with names of at most 63 bytes, the first by name.
    ///
    /// ```
    /// use route::{SessionToken, TokenKey, TokenKeys};
    /// let keys = TokenKeys(vec![TokenKey { id: 1, secret: [7; 32] }]);
    /// let text = SessionToken::default().sign(&keys).unwrap();
    /// assert_eq!(SessionToken::verify(&text, &keys), Ok(SessionToken::default()));
    /// ```
    pub fn sign(&self, keys: &TokenKeys) -> Option<String> {
        let key = keys.0.last()?;
        let positions: Vec<_> = self
            .required_positions
            .iter()
            .filter(|(name, _)| name.len() <= MAX_NAME_BYTES)
            .take(MAX_POSITIONS)
            .collect();
        let mut bytes = vec![TOKEN_VERSION];
        bytes.extend_from_slice(&key.id.to_be_bytes());
        bytes.push(positions.len() as u8);
        for (name, required) in positions {
            bytes.push(name.len() as u8);
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(&required.term.0.to_be_bytes());
            bytes.extend_from_slice(&required.position.0.to_be_bytes());
        }
        let signature = key.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&signature);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Verifies and parses a token. The comparison of signatures takes constant time.
    ///
    /// # Errors
    ///
    /// Returns why the token must be treated as absent.
    pub fn verify(text: &str, keys: &TokenKeys) -> Result<SessionToken, TokenError> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        if bytes.len() < HEADER_BYTES + SIGNATURE_BYTES || bytes[0] != TOKEN_VERSION {
            return Err(TokenError::Malformed);
        }
        let (body, signature) = bytes.split_at(bytes.len() - SIGNATURE_BYTES);
        let id = u32::from_be_bytes([body[1], body[2], body[3], body[4]]);
        let key = keys.0.iter().find(|key| key.id == id).ok_or(TokenError::UnknownKey)?;
        key.mac(body).verify_slice(signature).map_err(|_| TokenError::BadSignature)?;
        parse_positions(body[5], &body[HEADER_BYTES..]).ok_or(TokenError::Malformed)
    }
}

impl TokenKey {
    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        // HMAC pads keys below its block size of 64 bytes with zeros.
        let mut block = [0; 64];
        block[..self.secret.len()].copy_from_slice(&self.secret);
        let mut mac = Hmac::<Sha256>::new(&block.into());
        mac.update(MAC_DOMAIN);
        mac.update(bytes);
        mac
    }
}

fn parse_positions(count: u8, mut bytes: &[u8]) -> Option<SessionToken> {
    let mut token = SessionToken::default();
    for _ in 0..count {
        let (length, rest) = bytes.split_first()?;
        let (name, rest) = rest.split_at_checked(usize::from(*length))?;
        let (term, rest) = rest.split_first_chunk::<8>()?;
        let (position, rest) = rest.split_first_chunk::<8>()?;
        let name = std::str::from_utf8(name).ok()?;
        let required = RequiredPosition {
            term: Term(u64::from_be_bytes(*term)),
            position: LogPosition(u64::from_be_bytes(*position)),
        };
        token.required_positions.insert(name.into(), required);
        bytes = rest;
    }
    bytes.is_empty().then_some(token)
}
