//! A small deployment: three machines in three zones, and one service of three databases with the figures of the
//! site `omwp-pool`.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::database::{Cluster, ServiceSetup};
use crate::gate::Gate;
use crate::store::Store;
use crate::wait_for;

pub const SERVICE: &str = "svc1";

pub const ZONES: [&str; 3] = ["osh-central", "osh-east", "ondangwa"];

/// Database name of the route, whose type is `primary`.
pub const DATABASE: &str = "billing1";

/// Database name of the route whose type is `bounded`.
pub const VIEWS: &str = "views1";

/// Time in which the machines know the databases and each other.
const SETTLE: Duration = Duration::from_secs(5);

/// Figures of the services of the site `omwp-pool`, with the work of a request.
pub fn billing_db(work: Duration) -> ServiceSetup {
    ServiceSetup {
        slots: 2,
        work,
        promote: Duration::from_millis(300),
        receive: Duration::from_millis(1),
        lag: Duration::from_millis(8),
    }
}

/// Mean work of a `balance-view` and of a `token-sale`.
pub const VIEW_WORK: Duration = Duration::from_millis(15);
pub const SALE_WORK: Duration = Duration::from_millis(3);

/// `max-connections` of the services.
const CONNECTIONS: u32 = 16;

/// Writes a configuration with a route of type `primary` and one of type `bounded`.
pub fn configure(store: &Store, timeout_ms: u64) {
    store.put(
        "op/config",
        &format!(
            r#"{{"version":3,"routes":[{{"name":"r1","host":"{DATABASE}","service":"{SERVICE}","type":"primary","timeout-ms":{timeout_ms},"priority":1,"target-latency-ms":600}},{{"name":"r2","host":"{VIEWS}","service":"{SERVICE}","type":"bounded","max-staleness-ms":1500,"timeout-ms":1200,"priority":2,"target-latency-ms":600}}],"services":[{{"name":"{SERVICE}","max-connections":{CONNECTIONS},"sync-replicas":1}}],"limits":{{"tx-idle-ms":3000}}}}"#
        ),
    );
}

pub fn wait_until_ready(gates: &[Gate]) {
    wait_for("all machines to be ready", Duration::from_secs(20), || {
        gates.iter().all(|gate| gate.probe() == 200)
    });
    thread::sleep(SETTLE);
}

pub struct Deployment {
    pub cluster: Arc<Cluster>,
    pub gates: Vec<Gate>,
}

impl Deployment {
    pub fn start(scratch: &Path, work: Duration, timeout_ms: u64) -> Deployment {
        let cluster = Cluster::start(SERVICE, &ZONES, billing_db(work));
        let store = Store::start(vec![cluster.clone()]);
        configure(&store, timeout_ms);
        cluster.register(&store);
        let gates: Vec<Gate> = ZONES
            .iter()
            .enumerate()
            .map(|(index, zone)| Gate::start(scratch, index, zone, store.address))
            .collect();
        wait_until_ready(&gates);
        Deployment { cluster, gates }
    }
}
