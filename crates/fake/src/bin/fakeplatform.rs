use fake::fakeplatform::FakePlatform;

fn main() -> anyhow::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Port for callers (default: chosen by the kernel).
        optional --port port: u16
    };
    let platform = FakePlatform::start(flags.port.unwrap_or_default())?;
    println!("listening on {}", platform.address());
    println!("control listening on {}", platform.control_address());
    fake::wait_forever()
}
