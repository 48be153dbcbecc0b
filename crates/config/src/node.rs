//! Parsing and validation of a node's settings.

use std::net::SocketAddr;

use capnp::dynamic_value::Builder;
use model::{Micros, NodeSettings};
use schema::settings_capnp::{LogLevel, node_settings};

use crate::ConfigError;
use crate::parser::SchemaParser;

/// Parses and validates a settings text.
///
/// # Errors
///
/// Returns all errors, in the order of the text.
///
/// ```
/// let errors = config::parse_settings("settings.jsonc", "{ \"nmae\": \"vm-1\" }").unwrap_err();
/// assert_eq!(
///     errors.iter().find(|error| error.key == "nmae").map(|error| error.to_string()).as_deref(),
///     Some("settings.jsonc:1:3: nmae: unknown key, did you mean \"name\"?"),
/// );
/// ```
pub fn parse_settings(file: &str, text: &str) -> Result<NodeSettings, Vec<ConfigError>> {
    let mut message = capnp::message::Builder::new_default();
    let mut root = message.init_root::<node_settings::Builder<'_>>();
    let mut parser = SchemaParser::new(file, text);
    if let Builder::Struct(builder) = Builder::from(root.reborrow()) {
        parser.parse(builder);
    }
    let reader = root.into_reader();
    check_addresses(&mut parser, reader);
    parser.finish()?;
    convert_settings(reader).map_err(|error| vec![crate::schema_error(file, &error)])
}

/// Reports listeners with the same port and overlapping IP addresses, which one process cannot open
/// together.
fn check_addresses(parser: &mut SchemaParser<'_>, reader: node_settings::Reader<'_>) {
    let keys = [
        ("caller_address", reader.get_caller_address()),
        ("peer_address", reader.get_peer_address()),
        ("admin_address", reader.get_admin_address()),
    ];
    let listeners: Vec<(&str, SocketAddr)> = keys
        .into_iter()
        .filter_map(|(key, text)| Some((key, text.ok()?.to_str().ok()?.parse().ok()?)))
        .collect();
    for (index, (key, address)) in listeners.iter().enumerate() {
        let shares_port = |other: &&(&str, SocketAddr)| {
            let ip = other.1.ip();
            let overlaps = ip.is_unspecified() || address.ip().is_unspecified();
            other.1.port() == address.port() && (overlaps || ip == address.ip())
        };
        if let Some((other, _)) = listeners[..index].iter().find(shares_port) {
            parser.reject(key, format!("same port as {other}: {address}"));
        }
    }
}

fn convert_settings(reader: node_settings::Reader<'_>) -> capnp::Result<NodeSettings> {
    let mut peers = Vec::new();
    for peer in reader.get_peers()? {
        peers.push(crate::parse_address(peer?)?);
    }
    let metrics = reader.get_metrics_address()?;
    let log_level = match reader.get_log_level()? {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    };
    Ok(NodeSettings {
        name: reader.get_name()?.to_str()?.into(),
        data_centre: reader.get_data_centre()?.to_str()?.into(),
        caller_address: crate::parse_address(reader.get_caller_address()?)?,
        peer_address: crate::parse_address(reader.get_peer_address()?)?,
        admin_address: crate::parse_address(reader.get_admin_address()?)?,
        platform_address: crate::parse_address(reader.get_platform_address()?)?,
        peers,
        metrics_address: if metrics.is_empty() {
            None
        } else {
            Some(crate::parse_address(metrics)?)
        },
        database_user: reader.get_database_user()?.to_str()?.into(),
        caller_limit: reader.get_caller_limit(),
        request_limit_bytes: reader.get_request_limit_bytes(),
        drain_timeout: Micros::from_millis(reader.get_drain_timeout_ms().into()),
        log_level: log_level.into(),
    })
}
