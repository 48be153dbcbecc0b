//! The relay: sends the changes that this node has read from the store to its followers.
//!
//! One thread accepts followers; each is served by a thread of its own, whose number is limited.

use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use model::Micros;

use crate::frame::{FollowRequest, FrameHeader, read_line, write_line};
use crate::history::{ChangeBatch, ChangeHistory, HistoryAnswer};

/// Maximum time between two frames to a follower.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two frames to a follower, so that a series of changes costs it few
/// wake-ups: a twelfth of the users' shortest bound for a configuration change.
const FRAME_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit for the request of a follower, and for writing to one that does not read.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of followers. Further ones go to other relays or to the store.
pub const MAX_FOLLOWERS: usize = 128;

/// Stack of a thread that serves a follower.
const FOLLOWER_STACK_BYTES: usize = 128 * 1024;

/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct RelayState {
    history: ChangeHistory,
    /// When the last successful call to the store was sent.
    contact: Option<Micros>,
}

#[derive(Debug)]
struct RelayShared {
    clock: fn() -> Micros,
    state: Mutex<RelayState>,
    changed: Condvar,
    followers: AtomicUsize,
}

impl RelayShared {
    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a follower for as long as it is served.
struct FollowerSlot(Arc<RelayShared>);

impl FollowerSlot {
    fn acquire(shared: &Arc<RelayShared>) -> Option<FollowerSlot> {
        let slot = FollowerSlot(shared.clone());
        (shared.followers.fetch_add(1, Ordering::Relaxed) < MAX_FOLLOWERS).then_some(slot)
    }
}

impl Drop for FollowerSlot {
    fn drop(&mut self) {
        self.0.followers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handle to a relay.
#[derive(Clone, Debug)]
pub struct ChangeRelay {
    shared: Arc<RelayShared>,
}

impl ChangeRelay {
    /// Accepts followers on a thread of its own. They get nothing until [`ChangeRelay::restart`].
    ///
    /// `clock` must also count the time for which the VM is suspended; otherwise old contact with
    /// the store would look recent.
    ///
    /// ```
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    /// let relay = relay::ChangeRelay::start(listener, || model::Micros::ZERO);
    /// relay.restart(17);
    /// assert_eq!(relay.follower_count(), 0);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(listener: TcpListener, clock: fn() -> Micros) -> ChangeRelay {
        let shared = Arc::new(RelayShared {
            clock,
            state: Mutex::default(),
            changed: Condvar::new(),
            followers: AtomicUsize::new(0),
        });
        let relay = ChangeRelay { shared: shared.clone() };
        thread::spawn(move || {
            for stream in listener.incoming() {
                match stream {
                    Ok(stream) => accept_follower(&shared, stream),
                    Err(error) => {
                        log::warn!(
                            "\"event\":\"relay_accept_failed\",\"error\":\"{:?}\"",
                            error.kind()
                        );
                        thread::sleep(ACCEPT_BACKOFF);
                    }
                }
            }
        });
        relay
    }

    /// Begins to relay the changes after a revision.
    pub fn restart(&self, revision: u64) {
        self.shared.lock().history.restart(revision);
        self.shared.changed.notify_all();
    }

    /// Relays changes.
    pub fn push(&self, batch: ChangeBatch) {
        self.shared.lock().history.push(batch);
        self.shared.changed.notify_all();
    }

    /// Ends the connections to all followers, because changes may be missed from now on.
    pub fn stop(&self) {
        self.shared.lock().history.stop();
        self.shared.changed.notify_all();
    }

    /// Returns true if changes are relayed.
    pub fn is_running(&self) -> bool {
        self.shared.lock().history.is_running()
    }

    /// Records that the store has answered a call that was sent at a time.
    pub fn confirm_contact(&self, sent: Micros) {
        let mut state = self.shared.lock();
        state.contact = state.contact.max(Some(sent));
    }

    /// Returns the number of followers.
    pub fn follower_count(&self) -> usize {
        self.shared.followers.load(Ordering::Relaxed)
    }
}

fn accept_follower(shared: &Arc<RelayShared>, stream: TcpStream) {
    // Beyond the limit the connection is closed, and the follower goes elsewhere.
    let Some(slot) = FollowerSlot::acquire(shared) else { return };
    let spawned = thread::Builder::new().stack_size(FOLLOWER_STACK_BYTES).spawn(move || {
        if let Err(error) = serve_follower(&slot.0, &stream) {
            log::debug!("\"event\":\"follower_lost\",\"error\":\"{:?}\"", error.kind());
        }
    });
    if let Err(error) = spawned {
        log::warn!("\"event\":\"follower_refused\",\"error\":\"{:?}\"", error.kind());
    }
}

/// Sends changes and heartbeats until the follower is gone or the history ends.
fn serve_follower(shared: &RelayShared, mut stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(FOLLOWER_TIMEOUT))?;
    stream.set_write_timeout(Some(FOLLOWER_TIMEOUT))?;
    let request: FollowRequest = read_line(&mut BufReader::new(stream))?;
    let mut after = request.after;
    loop {
        let (batches, contact) = wait_for_batches(shared, after);
        let Some(batches) = batches else { return Ok(()) };
        let contact_age_ms = contact
            .map_or(u64::MAX, |contact| (shared.clock)().saturating_sub(contact).as_millis());
        if batches.is_empty() {
            write_line(&mut stream, &FrameHeader { next: after, contact_age_ms, bytes: 0 })?;
            continue;
        }
        for batch in batches {
            let header = FrameHeader { next: batch.next, contact_age_ms, bytes: batch.body.len() };
            write_line(&mut stream, &header)?;
            stream.write_all(&batch.body)?;
            after = batch.next;
        }
        thread::sleep(FRAME_INTERVAL);
    }
}

/// Waits until there are changes or a heartbeat is due. Returns the changes, or `None` if some are
/// missing, and when the store last answered.
fn wait_for_batches(
    shared: &RelayShared,
    after: u64,
) -> (Option<Vec<ChangeBatch>>, Option<Micros>) {
    let due = Instant::now() + HEARTBEAT_INTERVAL;
    let mut state = shared.lock();
    loop {
        let batches = match state.history.after(after) {
            HistoryAnswer::Batches(batches) => Some(batches),
            HistoryAnswer::Gone => None,
            HistoryAnswer::UpToDate => {
                let left = due.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    Some(Vec::new())
                } else {
                    let waited = shared.changed.wait_timeout(state, left);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                    continue;
                }
            }
        };
        return (batches, state.contact);
    }
}
