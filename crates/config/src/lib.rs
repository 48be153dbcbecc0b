//! Settings and configuration: reading, checking, and versioned documents.
//!
//! Both are JSON with comments. The schema in `schema/` says which keys exist, which ranges they
//! accept, and which defaults and units they have; every error names file, line, column, key and the
//! accepted range.

mod change;
mod document;
mod fleet;
mod node;

pub use change::{ChangeEnvelope, ChangeError};
pub use document::{DocumentOffer, DocumentStore};
pub use fleet::parse_fleet;
pub use node::parse_settings;

/// One error in a settings or configuration text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {key}: {message}")]
pub struct SettingsError {
    pub file: String,
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
    /// Path of the key, such as `clusters[0].databases[1].slots`.
    pub key: String,
    pub message: String,
}
