//! Stand-ins of the systems that cicadawick works with, and tools to load and disturb them.
//!
//! - [`fakedb`]: one database group with PostgreSQL protocol, replication and terms.
//! - [`fakeplatform`]: the platform's key-value service and list of VMs.
//! - [`faultproxy`]: a TCP relay that delays, cuts, freezes and drops links.
//! - [`loadgen`]: callers with mixes of work, latency figures and correctness checks.
//!
//! Each starts on the loopback interface inside a test or demo process and stops when its handle is
//! dropped. The binaries of the same names run them as separate processes. All use plain threads:
//! they hold tens of connections, and a thread per connection keeps the code short.

pub mod fakedb;
pub mod fakeplatform;
pub mod faultproxy;
mod http;
pub mod loadgen;

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
