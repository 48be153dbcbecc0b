use fake::fakeplatform::FakePlatform;

fn main() -> anyhow::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Port for clients (default: chosen by the kernel).
        optional --port port: u16
    };
    let platform = FakePlatform::start(flags.port.unwrap_or_default())?;
    fake::print_addresses([("", platform.address()), ("control", platform.control_address())]);
    fake::wait_forever()
}
