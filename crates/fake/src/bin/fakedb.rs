use std::time::Duration;

use fake::fakedb::{DatabaseGroup, GroupOptions};

fn main() -> anyhow::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Name of the group; databases are called NAME-1, NAME-2 and so on (default: db).
        optional --name name: String
        /// Number of databases (default: 3).
        optional --databases count: usize
        /// First port; databases listen on consecutive ports (default: chosen by the kernel).
        optional --port port: u16
        /// Port for control calls (default: chosen by the kernel).
        optional --control-port port: u16
        /// Connections per database (default: 55).
        optional --connections count: u32
        /// Statements that a database executes at the same time (default: 5).
        optional --slots count: u32
        /// Time in ms that opening a connection takes (default: 12).
        optional --open-ms ms: u64
        /// Time in ms for which each statement holds its slot (default: 0).
        optional --service-ms ms: u64
        /// Time in ms after which replicas receive a commit (default: 0).
        optional --receive-ms ms: u64
        /// Time in ms after which replicas apply what they received (default: 0).
        optional --apply-ms ms: u64
    };
    let count = flags.databases.unwrap_or(3);
    let mut options = GroupOptions::new(flags.name.as_deref().unwrap_or("db"), count);
    if let Some(port) = flags.port {
        options.ports = (0..count).map(|at| port + at as u16).collect();
    }
    let time = |millis: Option<u64>, default| millis.map_or(default, Duration::from_millis);
    options.control_port = flags.control_port.unwrap_or_default();
    options.connections = flags.connections.unwrap_or(options.connections);
    options.slots = flags.slots.unwrap_or(options.slots);
    options.open_time = time(flags.open_ms, options.open_time);
    options.service_time = time(flags.service_ms, options.service_time);
    options.receive_delay = time(flags.receive_ms, options.receive_delay);
    options.apply_lag = time(flags.apply_ms, options.apply_lag);
    let group = DatabaseGroup::start(options)?;
    let databases = group.names().iter().map(String::as_str).zip(group.addresses().iter().copied());
    fake::print_addresses(databases.chain([("control", group.control_address())]));
    fake::wait_forever()
}
