//! Parsing and validation of settings and configuration, and a store of versioned documents.
//!
//! Settings and configuration are JSON with comments. The Cap'n Proto schema in the crate `schema`
//! defines the keys with their accepted ranges, defaults and units. Every error gives the file, line,
//! column and key; an error about a value also gives what the key accepts.

mod change;
mod diff;
mod document;
mod fleet;
mod key;
mod node;
mod parser;
mod render;

pub use change::{ChangeEnvelope, EnvelopeError};
pub use diff::diff_lines;
pub use document::{DocumentOffer, DocumentStore};
pub use fleet::parse_fleet;
pub use node::parse_settings;
pub use render::{ExampleFile, render_example};

/// One error in a settings or configuration text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {key}: {message}")]
pub struct ConfigError {
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the key, such as `clusters[0].databases[1].slots`.
    pub key: String,
    pub message: String,
}

/// Converts an error of the schema's generated code, which only a bug in this crate can cause.
fn schema_error(file: &str, error: &capnp::Error) -> ConfigError {
    ConfigError {
        file: file.to_string(),
        line: 1,
        column: 1,
        key: "(document)".to_string(),
        message: format!("failed to apply the schema: {error}"),
    }
}

fn parse_address(text: capnp::text::Reader<'_>) -> capnp::Result<model::SocketAddress> {
    text.to_str()?
        .parse()
        .map_err(|error: std::net::AddrParseError| capnp::Error::failed(error.to_string()))
}
