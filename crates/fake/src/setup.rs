//! Initial configuration of a fleet in front of a fake database group.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use config::ChangeEnvelope;
use platform::PlatformClient;
use serde_json::{Value, json};

use crate::fakedb::{DatabaseGroup, GroupOptions};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Returns a cluster entry of the configuration with all databases of a group.
///
/// ```
/// use fake::fakedb::{DatabaseGroup, GroupOptions};
/// let options = GroupOptions::new("billing", 3);
/// let group = DatabaseGroup::start(options.clone())?;
/// let cluster = fake::cluster_entry("billing", "north-1", &group, &options);
/// assert_eq!(cluster["databases"][2]["name"], "billing-3");
/// # Ok::<(), anyhow::Error>(())
/// ```
pub fn cluster_entry(
    cluster: &str,
    data_centre: &str,
    group: &DatabaseGroup,
    options: &GroupOptions,
) -> Value {
    let databases = group.names().iter().zip(group.addresses()).map(|(name, address)| {
        json!({
            "name": name, "data_centre": data_centre, "address": address.to_string(),
            "slots": options.slots, "connections": options.connections,
        })
    });
    json!({ "name": cluster, "databases": databases.collect::<Vec<Value>>() })
}

/// Writes `text` as revision 1 of the configuration, and a token key, to a platform that has neither.
///
/// # Errors
///
/// Fails if the platform cannot be reached or already has one of them.
pub fn publish_configuration(platform: SocketAddr, text: &str) -> anyhow::Result<()> {
    let envelope = ChangeEnvelope {
        revision: 1,
        change_id: "first".to_owned(),
        author: "setup".to_owned(),
        written_at: 0,
        text: text.to_owned(),
    };
    let keys = json!([{ "id": 1, "secret": "5a".repeat(32) }]).to_string();
    let client = PlatformClient::new(platform, CALL_TIMEOUT);
    let values =
        [("cicadawick/config", envelope.to_bytes()), ("cicadawick/token-keys", keys.into_bytes())];
    for (key, bytes) in values {
        ensure!(client.put(key, &bytes, 0)?, "the platform already has a value for {key}");
    }
    Ok(())
}

/// Waits until a proxy has found the primary of a cluster and serves a write.
///
/// # Errors
///
/// Fails with the last error of the proxy if it serves no write within `limit`.
pub fn wait_until_served(proxy: SocketAddr, cluster: &str, limit: Duration) -> anyhow::Result<()> {
    let end = Instant::now() + limit;
    let mut config = postgres::Config::new();
    config
        .host(&proxy.ip().to_string())
        .port(proxy.port())
        .user("setup")
        .dbname(cluster)
        .connect_timeout(Duration::from_secs(1));
    loop {
        let attempt = config.connect(postgres::NoTls).and_then(|mut client| {
            client.batch_execute("CREATE TABLE IF NOT EXISTS ready (id bigint)")
        });
        match attempt {
            Ok(()) => return Ok(()),
            Err(error) if Instant::now() >= end => {
                return Err(error).context("the proxy did not serve a write in time");
            }
            Err(_) => std::thread::sleep(RETRY_BACKOFF),
        }
    }
}
