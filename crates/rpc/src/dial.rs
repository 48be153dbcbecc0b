//! Address translation for fault-injection tests.

use std::net::SocketAddr;

/// Returns the address to connect to in order to reach `address`.
///
/// A release build returns `address`. A build with debug assertions looks it up in the file named by
/// the environment variable `CICADAWICK_TEST_DIAL`, which has lines of the form `ADDRESS VIA`. If the
/// file cannot be read, addresses are not translated.
///
/// A test can thereby put a relay on each connection of each node and cut a single one. The shared
/// documents from which nodes learn addresses cannot name a relay per node.
///
/// ```
/// let address = "10.0.0.5:5432".parse()?;
/// assert_eq!(rpc::dial_address(address), address);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
pub fn dial_address(address: SocketAddr) -> SocketAddr {
    #[cfg(debug_assertions)]
    if let Some(via) = RELAYS.get(&address) {
        return *via;
    }
    address
}

#[cfg(debug_assertions)]
static RELAYS: std::sync::LazyLock<std::collections::BTreeMap<SocketAddr, SocketAddr>> =
    std::sync::LazyLock::new(|| {
        let file = std::env::var_os("CICADAWICK_TEST_DIAL");
        let text = file.and_then(|file| std::fs::read_to_string(file).ok()).unwrap_or_default();
        text.lines()
            .filter_map(|line| {
                let (address, via) = line.split_once(' ')?;
                Some((address.parse().ok()?, via.parse().ok()?))
            })
            .collect()
    });
