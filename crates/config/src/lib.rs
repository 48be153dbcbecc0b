//! Settings and configuration: reading, checking, and versioned documents.
//!
//! Both are JSON with comments. The schema in `schema/` says which keys exist, which ranges they
//! accept, and which defaults and units they have; every error names file, line, column, key and the
//! accepted range.

mod change;
mod diff;
mod document;
mod fleet;
mod key;
mod node;
mod render;
mod walk;

pub use change::{ChangeEnvelope, ChangeError};
pub use diff::diff_lines;
pub use document::{DocumentOffer, DocumentStore};
pub use fleet::parse_fleet;
pub use node::parse_settings;
pub use render::{ExampleFile, render_example};

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

/// Reports a message that the schema's own code refuses, which only a fault of this crate causes.
fn schema_error(file: &str, error: &capnp::Error) -> SettingsError {
    SettingsError {
        file: file.to_string(),
        line: 1,
        column: 1,
        key: "(document)".to_string(),
        message: format!("failed to apply the schema: {error}"),
    }
}

fn address(text: capnp::text::Reader<'_>) -> capnp::Result<model::SocketAddress> {
    text.to_str()?
        .parse()
        .map_err(|error: std::net::AddrParseError| capnp::Error::failed(error.to_string()))
}
