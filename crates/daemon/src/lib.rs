//! `cicadawickd`: the I/O side of a node, with its sockets, timers and threads.
//!
//! One thread runs a stakker event loop. The driver actor owns the [`node::Node`], passes it events
//! and executes its actions. Session and backend actors own the sockets and pass the parts of answers
//! to each other directly, each part with a permit that bounds what is buffered. Blocking work, which
//! is calls to the platform and the operators' HTTP interface, runs on separate threads that
//! communicate with the loop through channels.
//!
//! The daemon never panics because of a peer: bytes from the network are read with bounds checks, and
//! a malformed message closes only the connection that it came from.

use std::net::SocketAddr;
use std::time::Instant;

use model::NodeSettings;
use stakker::sync::Channel;
use stakker::{ActorOwn, Stakker, actor, call, ret_shutdown};
use stakker_mio::mio::net::TcpListener;

mod admin;
mod backend;
mod cancel;
mod counters;
mod driver;
mod handshake;
mod logging;
mod platform_threads;
mod relay;
mod report;
mod request_space;
mod session;
mod socket;
mod statement_space;

use admin::AdminServer;
use counters::CounterSet;
use driver::{DriverSetup, IoDriver};

pub use logging::start_logging;

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyAddresses {
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub admin_address: SocketAddr,
}

impl std::fmt::Display for ReadyAddresses {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "ready caller_address={} peer_address={} admin_address={}",
            self.caller_address, self.peer_address, self.admin_address
        )
    }
}

/// Why a daemon could not start or keep running.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    #[error("failed to listen on {key} {address}: {source}")]
    Listen { key: &'static str, address: SocketAddr, source: std::io::Error },
    #[error("failed to start: {0}")]
    Start(#[from] std::io::Error),
    #[error("failed to get random bytes: {0}")]
    Random(getrandom::Error),
    #[error("the event loop failed: {0}")]
    Loop(String),
}

/// Shuts a running daemon down from another thread, as SIGTERM does.
#[derive(Clone)]
pub struct StopHandle {
    channel: Channel<()>,
}

impl StopHandle {
    /// Starts a graceful shutdown; [`run`] returns when it is complete.
    pub fn stop(&self) {
        self.channel.send(());
    }
}

/// Options of [`run`] that are not settings.
#[derive(Default)]
pub struct RunOptions {
    /// Called once all addresses are bound.
    #[allow(clippy::type_complexity)]
    pub ready: Option<Box<dyn FnOnce(ReadyAddresses, StopHandle)>>,
    /// Whether SIGTERM and SIGINT start a graceful shutdown.
    pub handle_signals: bool,
}

/// Runs a daemon until it has been shut down gracefully. Port 0 in an address of the settings selects
/// a free port, which `options.ready` receives.
///
/// # Errors
///
/// Fails if an address cannot be bound, or if the event loop cannot be set up or fails.
pub fn run(mut settings: NodeSettings, options: RunOptions) -> Result<(), DaemonError> {
    let client_listener = listen("caller_address", &mut settings.caller_address)?;
    let peer_listener = listen("peer_address", &mut settings.peer_address)?;
    let address = settings.admin_address;
    let admin = AdminServer::bind(address).map_err(|source| DaemonError::Listen {
        key: "admin_address",
        address,
        source,
    })?;
    settings.admin_address = admin.address();
    let ready = ReadyAddresses {
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        admin_address: settings.admin_address,
    };
    let counters = CounterSet::new(settings.metrics_address)?;
    let mut seed = [0; 8];
    getrandom::fill(&mut seed).map_err(DaemonError::Random)?;
    let setup = DriverSetup {
        settings,
        client_listener,
        peer_listener,
        admin,
        counters,
        incarnation: shell::process_incarnation(),
        seed: u64::from_le_bytes(seed),
    };

    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let poll = shell::new_poll(stakker)?;
    let driver: ActorOwn<IoDriver> = actor!(stakker, IoDriver::init(setup), ret_shutdown!(stakker));

    let stop_driver = driver.clone();
    let stop = stakker::Fwd::new(move |()| {
        let driver = stop_driver.clone();
        let deferred = driver.clone();
        driver.defer(move |stakker| call!([deferred, stakker], drain()));
    });
    let (channel, _stop_guard) = Channel::new(stakker, stop);
    let _signals = match options.handle_signals {
        true => Some(SignalThread::start(channel.clone())?),
        false => None,
    };

    let idle_pending = stakker.run(Instant::now(), false);
    if stakker.not_shutdown() {
        log::info!("{ready}");
        if let Some(call) = options.ready {
            call(ready, StopHandle { channel });
        }
    }
    match shell::run_loop(stakker, &poll, driver, idle_pending)? {
        None => {
            log::info!("stopped");
            Ok(())
        }
        Some(cause) => Err(DaemonError::Loop(cause)),
    }
}

fn listen(key: &'static str, address: &mut SocketAddr) -> Result<TcpListener, DaemonError> {
    let error = |source| DaemonError::Listen { key, address: *address, source };
    let listener = shell::listen(*address).map_err(error)?;
    *address = listener.local_addr().map_err(error)?;
    Ok(listener)
}

/// A thread that turns signals into shutdown requests; dropping the handle ends it.
struct SignalThread {
    handle: signal_hook::iterator::Handle,
}

impl SignalThread {
    fn start(channel: Channel<()>) -> Result<Self, std::io::Error> {
        use signal_hook::consts::{SIGINT, SIGTERM};
        let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
        let handle = signals.handle();
        std::thread::spawn(move || {
            for _ in signals.forever() {
                channel.send(());
            }
        });
        Ok(SignalThread { handle })
    }
}

impl Drop for SignalThread {
    fn drop(&mut self) {
        self.handle.close();
    }
}
