//! The group's control port.
//!
//! `GET /` returns all databases, `GET /databases/NAME` one, `GET /tables/TABLE` the committed
//! content of a table. `POST /databases/NAME/{kill,restart,freeze,thaw}` does what the method of
//! [`DatabaseGroup`](super::DatabaseGroup) of that name does; `cut` and `join` disconnect and reconnect
//! replication. `POST /databases/NAME/set` takes a JSON object with any of `receive_ms`, `apply_ms`,
//! `connections`, `slots`, `open_ms` and `service_ms`.

use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use serde::Deserialize;
use serde_json::{Value, json};

use super::GroupCore;
use crate::http::ControlRequest;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DatabaseChange {
    receive_ms: Option<f64>,
    apply_ms: Option<f64>,
    connections: Option<u32>,
    slots: Option<u32>,
    open_ms: Option<f64>,
    service_ms: Option<f64>,
}

impl GroupCore {
    pub(crate) fn control(self: &Arc<Self>, request: &ControlRequest) -> anyhow::Result<Value> {
        let parts: Vec<&str> = request.path.split('/').filter(|part| !part.is_empty()).collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", []) => {
                let databases: Vec<Value> =
                    self.names.iter().map(|name| self.render(name)).collect::<Result<_, _>>()?;
                Ok(json!({ "databases": databases }))
            }
            ("GET", ["databases", name]) => self.render(name),
            ("GET", ["tables", table]) => Ok(serde_json::to_value(self.table(table)?)?),
            ("POST", ["databases", name, action]) => {
                match *action {
                    "kill" => self.kill(name)?,
                    "restart" => self.restart(name)?,
                    "freeze" => self.update(name, |state| state.frozen = true)?,
                    "thaw" => self.update(name, |state| state.frozen = false)?,
                    "cut" => self.update(name, |state| state.replication_disconnected = true)?,
                    "join" => self.update(name, |state| state.replication_disconnected = false)?,
                    "set" => self.set(name, serde_json::from_str(&request.body)?)?,
                    _ => bail!("no action {action}"),
                }
                self.render(name)
            }
            _ => bail!("no resource {} {}", request.method, request.path),
        }
    }

    fn set(&self, name: &str, change: DatabaseChange) -> anyhow::Result<()> {
        let time = |millis: f64| Duration::from_secs_f64(millis.clamp(0.0, 1e9) / 1e3);
        self.update(name, |state| {
            state.receive_delay = change.receive_ms.map_or(state.receive_delay, time);
            state.apply_lag = change.apply_ms.map_or(state.apply_lag, time);
            state.open_time = change.open_ms.map_or(state.open_time, time);
            state.service_time = change.service_ms.map_or(state.service_time, time);
            state.connection_limit = change.connections.unwrap_or(state.connection_limit);
            state.slot_limit = change.slots.unwrap_or(state.slot_limit);
        })
    }

    fn render(&self, name: &str) -> anyhow::Result<Value> {
        let at = self.find(name)?;
        let state = self.databases[at].lock();
        Ok(json!({
            "name": state.name,
            "address": self.addresses[at],
            "report": state.report(),
            "counters": state.counters,
            "following": state.following,
            "alive": state.alive,
            "frozen": state.frozen,
            "cut": state.replication_disconnected,
            "connection_limit": state.connection_limit,
            "slot_limit": state.slot_limit,
            "receive_ms": state.receive_delay.as_secs_f64() * 1e3,
            "apply_ms": state.apply_lag.as_secs_f64() * 1e3,
            "open_ms": state.open_time.as_secs_f64() * 1e3,
            "service_ms": state.service_time.as_secs_f64() * 1e3,
        }))
    }
}
