//! Rows of the platform's answers. Field names are those of its published API.

use std::net::{IpAddr, SocketAddr};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;

use crate::{ListedVm, StoredValue};

/// Identifier of the check that the platform adds to a node in maintenance mode.
const MAINTENANCE_CHECK: &str = "_node_maintenance";

/// A row of `/v1/kv/KEY`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct KeyRow {
    /// Base64; null for an empty value.
    value: Option<String>,
    modify_index: u64,
}

impl KeyRow {
    pub(crate) fn into_stored(self) -> Result<StoredValue, String> {
        let bytes = match self.value {
            Some(text) => BASE64_STANDARD.decode(text).map_err(|error| error.to_string())?,
            None => Vec::new(),
        };
        Ok(StoredValue { bytes, modify_index: self.modify_index })
    }
}

/// A row of `/v1/health/service/NAME`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct HealthRow {
    node: HealthNode,
    service: HealthService,
    #[serde(default)]
    checks: Vec<HealthCheck>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthNode {
    node: String,
    datacenter: String,
    #[serde(default)]
    address: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthService {
    #[serde(default)]
    address: String,
    port: u16,
    /// Null if the service has no metadata.
    #[serde(default)]
    meta: Option<HealthMeta>,
}

#[derive(Deserialize)]
struct HealthMeta {
    /// The platform stores metadata values as text.
    #[serde(default)]
    admin_port: String,
}

#[derive(Deserialize)]
struct HealthCheck {
    #[serde(rename = "CheckID", default)]
    check_id: String,
    #[serde(rename = "Status", default)]
    status: String,
}

impl HealthRow {
    /// Returns `None` if there is no usable address, so that one invalid registration does not hide the
    /// others.
    pub(crate) fn into_listed(self) -> Option<ListedVm> {
        // If the service has no address, the address of the node applies.
        let address = match self.service.address.as_str() {
            "" => &self.node.address,
            address => address,
        };
        let ip: IpAddr = address.parse().ok()?;
        let admin_port = self.service.meta?.admin_port.parse().ok()?;
        let leaving = self
            .checks
            .iter()
            .any(|check| check.check_id == MAINTENANCE_CHECK && check.status == "critical");
        Some(ListedVm {
            name: self.node.node,
            data_centre: self.node.datacenter,
            peer_address: SocketAddr::new(ip, self.service.port),
            admin_address: SocketAddr::new(ip, admin_port),
            leaving,
        })
    }
}
