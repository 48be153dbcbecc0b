//! The shell that feeds a [`gate::Gate`] from sockets, timers and the platform's store.
//!
//! One thread runs a stakker loop with the hub actor, which owns the gate and all sockets. Calls to the store
//! block and have threads of their own, as have readiness probes, metrics and the log. What is spoken on the
//! wire and how the store is called is behind the traits [`WireCodec`] and [`StoreClient`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use gate::GateSettings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::sync::Channel;
use stakker::{ActorOwn, Stakker, actor, ret_shutdown};

mod clock;
mod codec;
mod hub;
mod logging;
mod metrics;
mod socket;
mod store;

pub use codec::{BackendMessage, ClientMessage, CodecError, WireCodec};
pub use logging::{event_line, start_logging};
pub use store::{StoreChange, StoreClient, StoreError, StoreItem};

use hub::Hub;
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

/// What a process is started with.
pub struct EdgeSetup<P> {
    pub gate: GateSettings,
    pub client_address: SocketAddr,
    pub ready_address: SocketAddr,
    /// Path at which the platform's balancer asks for readiness.
    pub ready_path: &'static str,
    /// Address of the metrics page, if wanted.
    pub metrics_address: Option<SocketAddr>,
    /// Clients at once; more are closed at once.
    pub client_limit: usize,
    pub platform: P,
}

/// Orders of the operating system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessOrder {
    Drain,
    Reload,
}

/// Why a process could not run.
#[derive(Debug, thiserror::Error)]
pub enum EdgeError {
    #[error("failed to listen on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    #[error("failed to start: {0}")]
    Start(#[from] std::io::Error),
    #[error("failed to serve readiness: {0:#}")]
    Ready(anyhow::Error),
    #[error("the event loop failed: {0}")]
    Loop(String),
}

/// Runs a process until it was shut down gracefully.
///
/// # Errors
///
/// Fails if an address cannot be bound or the loop cannot be set up.
pub fn run<P: Platform>(setup: EdgeSetup<P>) -> Result<(), EdgeError> {
    // First, as a signal ends the process until then.
    let signals = register_signals()?;
    let listen =
        |address| shell::listen(address).map_err(|source| EdgeError::Listen { address, source });
    let address = setup.client_address;
    let listener = listen(address)?;
    let peer_listener = setup.gate.peer_address.map(listen).transpose()?;
    let status = Arc::new(SharedStatus::default());
    let path = setup.ready_path;
    metrics::serve(setup.ready_address, path, status.clone()).map_err(EdgeError::Ready)?;
    if let Some(address) = setup.metrics_address
        && let Err(error) = metrics::serve(address, path, status.clone())
    {
        // Serving clients does not depend on being watched.
        let fields = vec![("error", format!("{error:#}").into())];
        log::warn!("{}", event_line("metrics_unavailable", fields));
    }
    log::info!("\"event\":\"started\",\"node\":\"{}\",\"clients\":\"{address}\"", setup.gate.node);

    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let poll = shell::new_poll(stakker)?;
    let hub: ActorOwn<Hub<P>> = actor!(
        stakker,
        <Hub<P>>::init(setup, signals, listener, peer_listener, status),
        ret_shutdown!(stakker)
    );
    let idle_pending = stakker.run(Instant::now(), false);
    match shell::run_loop(stakker, &poll, hub, idle_pending)? {
        None => {
            log::info!("\"event\":\"stopped\"");
            Ok(())
        }
        Some(cause) => Err(EdgeError::Loop(cause)),
    }
}

/// Takes over the signals that are orders. They are kept until a thread waits for them.
fn register_signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

/// Waits for signals on a thread of its own.
pub(crate) fn start_signals(mut signals: Signals, orders: Channel<ProcessOrder>) {
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let order = if signal == SIGHUP { ProcessOrder::Reload } else { ProcessOrder::Drain };
            orders.send(order);
        }
    });
}
