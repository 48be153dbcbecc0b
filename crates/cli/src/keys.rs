//! Commands for the signing keys of session tokens.

use platform::{PlatformClient, PlatformError};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::CommandOutput;
use crate::change::{RESOLVE_ATTEMPTS, RESOLVE_INTERVAL, random_hex};
use crate::error::{CommandError, ErrorKind};

const TOKEN_KEYS_KEY: &str = "cicadawick/token-keys";

/// Number of keys kept. The older one verifies tokens that were signed before the last rotation.
const MAX_KEYS: usize = 2;

/// The stored value. New tokens are signed with the last key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct StoredKeys {
    revision: u64,
    keys: Vec<StoredKey>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredKey {
    id: u32,
    /// 32 bytes as hexadecimal digits.
    secret: String,
}

/// `keys rotate`: adds a random key and keeps the last two.
pub(crate) fn rotate(
    platform: &PlatformClient,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let (mut stored, index) = read_keys(platform)?;
    let id = stored.keys.iter().map(|key| key.id).max().unwrap_or(0).wrapping_add(1);
    let secret = random_hex::<32>()?;
    stored.keys.push(StoredKey { id, secret: secret.clone() });
    let surplus = stored.keys.len().saturating_sub(MAX_KEYS);
    stored.keys.drain(..surplus);
    stored.revision += 1;
    let bytes = serde_json::to_vec(&stored).map_err(|error| {
        CommandError::new(ErrorKind::Failed, format!("failed to write the keys: {error}"))
    })?;
    write_keys(platform, &bytes, index, &secret, output)?;
    let ids: Vec<u32> = stored.keys.iter().map(|key| key.id).collect();
    if json {
        output.json(&json!({ "revision": stored.revision, "key_ids": ids, "signing": id }));
    } else {
        let ids: Vec<String> = ids.iter().map(u32::to_string).collect();
        output.line(format!("key {id} signs from now on, accepted keys: {}", ids.join(", ")));
    }
    Ok(())
}

fn read_keys(platform: &PlatformClient) -> Result<(StoredKeys, u64), CommandError> {
    let Some(value) = platform.get(TOKEN_KEYS_KEY)? else {
        return Ok((StoredKeys::default(), 0));
    };
    // The parser's message is omitted because it could quote a secret.
    let keys = serde_json::from_slice(&value.bytes).map_err(|_| {
        CommandError::new(ErrorKind::Failed, format!("failed to read the keys at {TOKEN_KEYS_KEY}"))
    })?;
    Ok((keys, value.modify_index))
}

/// Writes the keys by compare-and-swap. After a lost answer, the new secret shows whether the write took
/// effect.
fn write_keys(
    platform: &PlatformClient,
    bytes: &[u8],
    index: u64,
    secret: &str,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    for attempt in 1..=RESOLVE_ATTEMPTS {
        match platform.put(TOKEN_KEYS_KEY, bytes, index) {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(PlatformError::Unreachable { address, message }) => {
                output.note(format!("no answer from the platform at {address}: {message}"));
            }
            Err(error) => return Err(error.into()),
        }
        match read_keys(platform) {
            Ok((stored, _)) if stored.keys.iter().any(|key| key.secret == secret) => return Ok(()),
            Ok((stored, found)) if found != index => {
                let message = format!(
                    "conflict: keys revision {} was written first; nothing was changed",
                    stored.revision
                );
                return Err(CommandError::new(ErrorKind::Conflict, message));
            }
            Ok(_) => {}
            Err(error) if error.kind == ErrorKind::Unreachable => {
                output.note(format!("failed to check whether the write took effect: {error}"));
            }
            Err(error) => return Err(error),
        }
        if attempt < RESOLVE_ATTEMPTS {
            std::thread::sleep(RESOLVE_INTERVAL);
        }
    }
    let message = "outcome unknown: the platform did not answer; the keys may have been rotated";
    Err(CommandError::new(ErrorKind::Unreachable, message))
}
