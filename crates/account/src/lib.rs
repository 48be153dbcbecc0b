//! Client accounts: which account holds an API key, and how much an account may send.
//!
//! [`AccountDirectory`] is one accepted version of the operators' list of accounts. It is built once
//! for each version of the configuration and checked as a whole, so that a bad list leaves the
//! version in force.

use std::fmt;
use std::sync::Arc;

use model::{FastMap, Name};

/// Maximum length of a name or a key. A start-up message holds both in one line.
const MAX_WORD_BYTES: usize = 4 * 1024;

/// Maximum length of a key that an account can hold.
pub const MAX_KEY_BYTES: usize = MAX_WORD_BYTES;

/// Length to which a name that is not valid is shortened in an error.
const MAX_REPORTED_BYTES: usize = 64;

/// The limit of an account over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Operations a second.
    pub rate_per_s: f64,
    /// Operations that may come at once.
    pub burst: f64,
}

impl RateLimit {
    /// Checks a burst of an account.
    ///
    /// # Errors
    ///
    /// Fails if the burst is not a finite number of at least 1.
    pub fn check_burst(name: &Name, burst: f64) -> Result<(), AccountError> {
        if burst.is_finite() && burst >= 1.0 {
            return Ok(());
        }
        Err(AccountError::InvalidBurst { name: name.clone(), burst })
    }
}

/// An account as operators configure it.
#[derive(Clone, PartialEq)]
pub struct AccountConfig {
    pub name: Name,
    /// May be empty: no client can use the account then.
    pub keys: Vec<Name>,
    /// `None` for an account without a limit.
    pub limit: Option<RateLimit>,
}

// Keys are credentials, so they must not reach logs or state dumps.
impl fmt::Debug for AccountConfig {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AccountConfig")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("limit", &self.limit)
            .finish()
    }
}

/// Why a list of accounts is not valid. No message contains a key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum AccountError {
    #[error("account {name:?} is listed twice")]
    DuplicateAccount { name: Name },
    #[error("one key belongs to account {first:?} and to account {second:?}")]
    SharedKey { first: Name, second: Name },
    #[error(
        "account name {name:?} is empty, contains white space or exceeds {MAX_WORD_BYTES} bytes"
    )]
    InvalidName { name: Name },
    #[error(
        "a key of account {name:?} is empty, contains line breaks or exceeds {MAX_WORD_BYTES} bytes"
    )]
    InvalidKey { name: Name },
    #[error("account {name:?} has the rate {rate} per second; it must be a finite number above 0")]
    InvalidRate { name: Name, rate: f64 },
    #[error("account {name:?} has the burst {burst}; it must be a finite number of at least 1")]
    InvalidBurst { name: Name, burst: f64 },
}

/// The accounts of one version of the configuration.
///
/// ```
/// use account::{AccountConfig, AccountDirectory};
///
/// let account = AccountConfig { name: "kiosks".into(), keys: vec!["k1".into()], limit: None };
/// let directory = AccountDirectory::new(vec![account])?;
/// assert_eq!(directory.account_of("k1").as_deref(), Some("kiosks"));
/// assert_eq!(directory.account_of("k2"), None);
/// # Ok::<(), account::AccountError>(())
/// ```
#[derive(Clone, Default, PartialEq)]
pub struct AccountDirectory {
    holders: FastMap<Name, Name>,
    limits: FastMap<Name, Option<RateLimit>>,
}

impl fmt::Debug for AccountDirectory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AccountDirectory")
            .field("accounts", &self.limits.len())
            .field("keys", &self.holders.len())
            .finish()
    }
}

impl AccountDirectory {
    /// Checks a list of accounts and indexes it by key.
    ///
    /// # Errors
    ///
    /// Fails if a name, key or limit is not valid, or if two accounts share a name or a key.
    pub fn new(accounts: Vec<AccountConfig>) -> Result<Self, AccountError> {
        let mut directory = AccountDirectory::default();
        for account in accounts {
            directory.add(account)?;
        }
        Ok(directory)
    }

    fn add(&mut self, account: AccountConfig) -> Result<(), AccountError> {
        let AccountConfig { name, keys, limit } = account;
        if name.is_empty() || name.len() > MAX_WORD_BYTES || name.contains(char::is_whitespace) {
            return Err(AccountError::InvalidName { name: shortened(&name) });
        }
        if let Some(RateLimit { rate_per_s, burst }) = limit {
            if !rate_per_s.is_finite() || rate_per_s <= 0.0 {
                return Err(AccountError::InvalidRate { name, rate: rate_per_s });
            }
            RateLimit::check_burst(&name, burst)?;
        }
        for key in keys {
            if key.is_empty() || key.len() > MAX_WORD_BYTES || key.contains(['\r', '\n']) {
                return Err(AccountError::InvalidKey { name });
            }
            match self.holders.insert(key, name.clone()) {
                Some(first) if first != name => {
                    return Err(AccountError::SharedKey { first, second: name });
                }
                _ => {}
            }
        }
        if self.limits.insert(name.clone(), limit).is_some() {
            return Err(AccountError::DuplicateAccount { name });
        }
        Ok(())
    }

    /// Returns the account that holds a key. The lookup compares the whole key, so that no other key
    /// is taken for it.
    pub fn account_of(&self, key: &str) -> Option<Name> {
        self.holders.get(key).cloned()
    }

    /// Returns the limit of an account; `None` if it has none or does not exist.
    pub fn limit_of(&self, account: &str) -> Option<RateLimit> {
        self.limits.get(account).copied().flatten()
    }

    /// Returns the accounts that have a limit.
    pub fn limits(&self) -> impl Iterator<Item = (Name, RateLimit)> {
        self.limits.iter().filter_map(|(account, limit)| Some((account.clone(), (*limit)?)))
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns true if there is no account.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}

/// Returns the beginning of a name for an error, because a name may be as long as a configuration.
fn shortened(name: &Name) -> Name {
    let end =
        (0..=MAX_REPORTED_BYTES.min(name.len())).rev().find(|end| name.is_char_boundary(*end));
    Name::from(&name[..end.unwrap_or_default()])
}

/// Shared directory; tables of routes are cloned for each change.
pub type SharedDirectory = Arc<AccountDirectory>;
