//! Calls to the platform, which block and therefore run on threads of their own.
//!
//! Each watch has a thread, which waits in one blocking query at a time. Reads and writes of cluster
//! records share another thread. Dropping a thread's handle ends it after its current call.

use std::sync::Arc;
use std::time::Duration;

use member::PlatformVm;
use model::{Name, SocketAddress};
use node::PlatformAnswer;
use platform::{PlatformClient, PlatformError};
use stakker::{Actor, Core, Fwd, PipedLink, PipedThread, call};

use crate::driver::IoDriver;

/// Keys of the watched documents; the document's name is the last part.
const DOCUMENT_KEYS: [(&str, &str); 2] =
    [("config", "cicadawick/config"), ("token-keys", "cicadawick/token-keys")];

/// Time that a blocking query waits at the platform; each return counts as a call. A query whose connection has gone
/// silent is noticed only after this time, a sixteenth of it and the timeout of a call. With the retry they stay below
/// the bound for a configuration change (17 s).
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Timeout of a call that does not wait for a change. A promotion waits at most this long for its
/// record.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay after a failed watch, so that an outage does not cause a burst of calls.
const RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of pending calls about records.
const RECORD_CALL_LIMIT: usize = 256;

/// A call about a cluster's record.
pub(crate) enum RecordCall {
    Read { cluster: Name },
    Write { cluster: Name, expected_index: u64, bytes: Arc<[u8]> },
}

/// The threads that call the platform.
pub(crate) struct PlatformThreads {
    address: SocketAddress,
    watches: Vec<PipedThread<(), PlatformAnswer>>,
    record_thread: Option<PipedThread<RecordCall, PlatformAnswer>>,
    pending_record_calls: usize,
}

impl PlatformThreads {
    /// Creates the handle without starting threads.
    pub(crate) fn new(address: SocketAddress) -> Self {
        PlatformThreads {
            address,
            watches: Vec::new(),
            record_thread: None,
            pending_record_calls: 0,
        }
    }

    /// Returns the number of watch threads, for the state dump.
    pub(crate) fn watch_count(&self) -> usize {
        self.watches.len()
    }

    /// Starts the watches if they are not running.
    pub(crate) fn start_watches(&mut self, core: &mut Core, driver: &Actor<IoDriver>) {
        if !self.watches.is_empty() {
            return;
        }
        for (document, key) in DOCUMENT_KEYS {
            let client = PlatformClient::new(self.address, CALL_TIMEOUT);
            self.watches.push(spawn_watch(core, driver, move |link| {
                let mut index = 0;
                run_watch(link, || {
                    let (value, next) = client.watch(key, index, WATCH_WAIT)?;
                    let changed = next != index || index == 0;
                    index = next;
                    Ok(changed.then(|| PlatformAnswer::Document {
                        document: document.into(),
                        bytes: value.map(|value| value.bytes.into()),
                    }))
                });
            }));
        }
        let client = PlatformClient::new(self.address, CALL_TIMEOUT);
        self.watches.push(spawn_watch(core, driver, move |link| {
            let mut index = 0;
            run_watch(link, || {
                let (vms, next) = client.watch_vms(index, WATCH_WAIT)?;
                let changed = next != index || index == 0;
                index = next;
                let vms = vms.into_iter().map(|vm| PlatformVm {
                    name: vm.name.into(),
                    data_centre: vm.data_centre.into(),
                    peer_address: vm.peer_address,
                    admin_address: vm.admin_address,
                    leaving: vm.leaving,
                });
                Ok(changed.then(|| PlatformAnswer::VmList(vms.collect())))
            });
        }));
    }

    /// Stops the watches.
    pub(crate) fn stop_watches(&mut self) {
        self.watches.clear();
    }

    /// Queues a call about a record.
    ///
    /// # Errors
    ///
    /// Returns the call's cluster if too many calls are pending.
    pub(crate) fn start_record_call(
        &mut self,
        core: &mut Core,
        driver: &Actor<IoDriver>,
        request: RecordCall,
    ) -> Result<(), Name> {
        if self.pending_record_calls >= RECORD_CALL_LIMIT {
            let (RecordCall::Read { cluster } | RecordCall::Write { cluster, .. }) = request;
            return Err(cluster);
        }
        self.pending_record_calls += 1;
        let address = self.address;
        let record_thread = self.record_thread.get_or_insert_with(|| {
            let driver = driver.clone();
            let answered = Fwd::new(move |answer| {
                let driver = driver.clone();
                let deferred = driver.clone();
                driver.defer(move |stakker| call!([deferred, stakker], record_answered(answer)));
            });
            PipedThread::spawn(answered, log_thread_panic(), core, move |link| {
                let client = PlatformClient::new(address, CALL_TIMEOUT);
                while let Some(request) = link.recv() {
                    if !link.send(execute_record_call(&client, request)) {
                        return;
                    }
                }
            })
        });
        record_thread.send(request);
        Ok(())
    }

    /// Must be called for each answered call about a record.
    pub(crate) fn record_answered(&mut self) {
        self.pending_record_calls = self.pending_record_calls.saturating_sub(1);
    }
}

fn log_thread_panic() -> Fwd<Option<String>> {
    Fwd::new(|panic: Option<String>| {
        if let Some(panic) = panic {
            log::error!("a platform thread panicked error={panic:?}");
        }
    })
}

fn spawn_watch(
    core: &mut Core,
    driver: &Actor<IoDriver>,
    run: impl FnOnce(&mut PipedLink<(), PlatformAnswer>) + Send + 'static,
) -> PipedThread<(), PlatformAnswer> {
    let driver = driver.clone();
    let answered = Fwd::new(move |answer| {
        let driver = driver.clone();
        let deferred = driver.clone();
        driver.defer(move |stakker| call!([deferred, stakker], platform_answered(answer)));
    });
    PipedThread::spawn(answered, log_thread_panic(), core, run)
}

fn run_watch(
    link: &mut PipedLink<(), PlatformAnswer>,
    mut next: impl FnMut() -> Result<Option<PlatformAnswer>, PlatformError>,
) {
    let mut failing = false;
    while !link.cancel() {
        match next() {
            Ok(answer) => {
                if failing {
                    failing = false;
                    log::info!("the platform is reachable again");
                }
                if let Some(answer) = answer
                    && !link.send(answer)
                {
                    return;
                }
            }
            Err(error) => {
                if !failing {
                    failing = true;
                    log::warn!("failed to watch the platform error={:?}", error.to_string());
                }
                std::thread::sleep(RETRY_BACKOFF);
            }
        }
    }
}

fn record_key(cluster: &str) -> String {
    format!("cicadawick/clusters/{cluster}")
}

fn execute_record_call(client: &PlatformClient, request: RecordCall) -> PlatformAnswer {
    match request {
        RecordCall::Read { cluster } => match client.get(&record_key(&cluster)) {
            Ok(value) => {
                let index = value.as_ref().map_or(0, |value| value.modify_index);
                let bytes = value.map(|value| value.bytes.into());
                PlatformAnswer::RecordRead { cluster, bytes, index }
            }
            Err(_) => PlatformAnswer::RecordFailed { cluster },
        },
        RecordCall::Write { cluster, expected_index, bytes } => {
            match client.put(&record_key(&cluster), &bytes, expected_index) {
                Ok(applied) => PlatformAnswer::RecordWritten { cluster, applied },
                Err(_) => PlatformAnswer::RecordFailed { cluster },
            }
        }
    }
}
