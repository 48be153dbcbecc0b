use std::net::SocketAddr;

use anyhow::Context;
use fake::faultproxy::FaultProxy;

fn main() -> anyhow::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Links as NAME=UPSTREAM or NAME=UPSTREAM@PORT, with the address of the upstream and the
        /// port to listen on (default: chosen by the kernel).
        repeated links: String
        /// Port for control calls (default: chosen by the kernel).
        optional --control-port port: u16
    };
    let mut links = Vec::new();
    for link in &flags.links {
        links.push(parse_link(link).with_context(|| format!("invalid link {link:?}"))?);
    }
    let proxy = FaultProxy::start_on(&links, flags.control_port.unwrap_or_default())?;
    let addresses = proxy.addresses();
    let links = addresses.iter().map(|(name, address)| (name.as_str(), *address));
    fake::print_addresses(links.chain([("control", proxy.control_address())]));
    fake::wait_forever()
}

fn parse_link(text: &str) -> anyhow::Result<(String, u16, SocketAddr)> {
    let (name, rest) = text.split_once('=').context("expected NAME=UPSTREAM")?;
    let (upstream, port) = rest.split_once('@').unwrap_or((rest, "0"));
    Ok((name.to_string(), port.parse()?, upstream.parse()?))
}
