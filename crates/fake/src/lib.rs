//! Fakes of the systems that cicadawick works with, and tools that generate load and inject faults.
//!
//! - [`fakedb`]: a database group with the PostgreSQL protocol, replication and terms.
//! - [`fakeplatform`]: the platform's key-value service and list of VMs.
//! - [`faultproxy`]: a TCP relay that delays, discards or holds bytes and drops connections.
//! - [`loadgen`]: clients that send mixes of requests, measure latency and check the answers.
//!
//! Each starts on the loopback interface inside a test or demo process and stops when its handle is
//! dropped. The binaries of the same names run them as separate processes. All use a thread per
//! connection, which keeps the code short and is enough for tens of connections.

pub mod crowd;
pub mod fakedb;
pub mod fakeplatform;
pub mod faultproxy;
mod http;
pub mod loadgen;
pub mod port;
mod setup;

pub use setup::{cluster_entry, publish_configuration, wait_until_served};

/// Prints the addresses on which a tool listens, in one write. Ignores a failed write, because a
/// reader that closes the pipe after the first line must not end the tool.
///
/// ```
/// fake::print_addresses([("control", "127.0.0.1:7000".parse()?)]);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
pub fn print_addresses<'a>(addresses: impl IntoIterator<Item = (&'a str, std::net::SocketAddr)>) {
    use std::io::Write;

    let lines = addresses.into_iter().map(|(name, address)| match name {
        "" => format!("listening on {address}\n"),
        _ => format!("{name} listening on {address}\n"),
    });
    let mut stdout = std::io::stdout().lock();
    drop(stdout.write_all(lines.collect::<String>().as_bytes()));
    drop(stdout.flush());
}

/// Keeps a tool's process alive until it is killed.
///
/// ```no_run
/// fake::wait_forever();
/// ```
pub fn wait_forever() -> ! {
    loop {
        std::thread::park();
    }
}
