//! The I/O side of a node: feeds a [`gate::Gate`] from sockets, timers and the platform's store.
//!
//! One thread runs a stakker loop with the actor `IoDriver`, which owns the gate and all sockets. Calls to the store
//! block and run on threads of their own, as do readiness probes, metrics and the log. The traits [`WireCodec`]
//! and [`StoreClient`] hide the wire protocol and the calls to the store.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Instant;

use gate::GateSettings;
use relay::ChangeRelay;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::sync::Channel;
use stakker::{ActorOwn, Stakker, actor, ret_shutdown};

mod clock;
mod codec;
mod driver;
mod limit_log;
mod limits;
mod logging;
mod metrics;
mod overlap;
mod registration;
mod socket;
mod store;
mod watch;

pub use codec::{BackendMessage, ClientMessage, CodecError, WireCodec};
pub use limits::ClientLimits;
pub use logging::{event_line, start_logging};
pub use store::{ConditionalWrite, StoreChange, StoreClient, StoreError, StoreItem, StoreLease};

use driver::IoDriver;
use metrics::SharedStatus;

/// The platform that a process runs on.
pub trait Platform: 'static {
    type Codec: WireCodec + 'static;
    type Store: StoreClient;

    /// Returns a client of the store.
    fn store(&self) -> Self::Store;

    /// Reads the settings again; returns what changed, for the log.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be read; the old ones stay in force.
    fn reload(&mut self) -> anyhow::Result<String>;
}

/// Settings and platform that a process is started with.
pub struct EdgeSetup<P> {
    pub gate: GateSettings,
    pub client_address: SocketAddr,
    pub ready_address: SocketAddr,
    /// Path of the readiness probes of the platform's load balancer.
    pub ready_path: &'static str,
    /// Address of the metrics page; `None` for no page.
    pub metrics_address: Option<SocketAddr>,
    /// Limits on what clients and other nodes may take of the process.
    pub limits: ClientLimits,
    pub platform: P,
}

/// What a signal asks the process to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessSignal {
    Drain,
    Reload,
}

/// Why a process could not start or keep running.
#[derive(Debug, thiserror::Error)]
pub enum EdgeError {
    #[error("failed to listen on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    #[error("failed to start: {0}")]
    Start(#[from] std::io::Error),
    #[error("failed to serve readiness: {0}")]
    Ready(std::io::Error),
    #[error("the event loop failed: {0}")]
    Loop(String),
}

/// Runs a process until its graceful shutdown is complete.
///
/// # Errors
///
/// Fails if an address cannot be bound, or if the event loop cannot be set up or fails.
pub fn run<P: Platform>(setup: EdgeSetup<P>) -> Result<(), EdgeError> {
    // Must come first: until the handlers are registered, a signal ends the process.
    let signals = register_signals()?;
    let listen =
        |address| shell::listen(address).map_err(|source| EdgeError::Listen { address, source });
    let address = setup.client_address;
    let listener = listen(address)?;
    let peer_listener = setup.gate.peer_address.map(listen).transpose()?;
    let relay = setup.gate.relay_address.map(start_relay).transpose()?;
    let status = Arc::new(SharedStatus::default());
    let path = setup.ready_path;
    metrics::serve_http(setup.ready_address, path, status.clone()).map_err(EdgeError::Ready)?;
    if let Some(address) = setup.metrics_address
        && let Err(error) = metrics::serve_http(address, path, status.clone())
    {
        // Clients can be served without the metrics page.
        let fields = vec![("error", error.to_string().into())];
        log::warn!("{}", event_line("metrics_unavailable", fields));
    }
    log::info!("\"event\":\"started\",\"node\":\"{}\",\"clients\":\"{address}\"", setup.gate.node);

    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let poll = shell::new_poll(stakker)?;
    let driver: ActorOwn<IoDriver<P>> = actor!(
        stakker,
        <IoDriver<P>>::init(setup, signals, listener, peer_listener, relay, status),
        ret_shutdown!(stakker)
    );
    let idle_pending = stakker.run(Instant::now(), false);
    match shell::run_loop(stakker, &poll, driver, idle_pending)? {
        None => {
            log::info!("\"event\":\"stopped\"");
            Ok(())
        }
        Some(cause) => Err(EdgeError::Loop(cause)),
    }
}

/// Starts the relay of the store's changes.
fn start_relay(address: SocketAddr) -> Result<ChangeRelay, EdgeError> {
    let listener =
        TcpListener::bind(address).map_err(|source| EdgeError::Listen { address, source })?;
    Ok(ChangeRelay::start(listener, clock::now))
}

/// Registers the signal handlers. Signals are queued until a thread waits for them.
fn register_signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

/// Forwards signals to the event loop from a thread of its own.
pub(crate) fn spawn_signal_thread(mut signals: Signals, events: Channel<ProcessSignal>) {
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let event = if signal == SIGHUP { ProcessSignal::Reload } else { ProcessSignal::Drain };
            events.send(event);
        }
    });
}
