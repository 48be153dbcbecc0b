//! The follower: chooses a relay and reads the changes that it sends.

use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use member::owner_score;
use model::{FastMap, Name};

use crate::frame::{FollowRequest, FrameHeader, read_body, read_line, write_line};
use crate::history::ChangeBatch;

/// Silence of a relay after which it is left: two heartbeats and the time for a slow link.
pub const FRAME_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Age of a relay's contact with the store at which it is left: four renewals of its read lease.
/// With [`FRAME_TIMEOUT`] and one call to the store it stays below the users' bound for a
/// configuration change in a large deployment (5 s).
pub const MAX_CONTACT_AGE: Duration = Duration::from_millis(1_500);

/// Time for connecting to a relay in the same data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for the first frame of a relay: one heartbeat, and the time for a slow link.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of relays that are tried before the follower turns to the store. The owners of a data
/// centre may all be paused or cut off, and each try takes up to a second.
const MAX_RELAY_TRIES: usize = 2;

/// Time for which a relay that was left is not chosen again.
const RELAY_BACKOFF: Duration = Duration::from_millis(3_000);

/// A node that relays the store's changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    pub node: Name,
    pub address: SocketAddr,
    /// Processor share of the VM, in thousandths of a core.
    pub capacity: u32,
}

/// What a relay sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// Changes; some may be older than the follower's revision.
    Changes { batch: ChangeBatch, contact_age: Duration },
    /// Nothing has changed.
    Heartbeat { contact_age: Duration },
    /// No relay can be used now.
    Unavailable,
}

#[derive(Debug)]
struct RelayConnection {
    relay: Name,
    input: BufReader<TcpStream>,
}

/// A node's use of the relays of its data centre.
#[derive(Debug)]
pub struct RelayFollower {
    node: Name,
    connection: Option<RelayConnection>,
    /// When relays were left.
    left: FastMap<Name, Instant>,
}

impl RelayFollower {
    /// Creates a follower that is not connected.
    pub fn new(node: Name) -> RelayFollower {
        RelayFollower { node, connection: None, left: FastMap::default() }
    }

    /// Closes the connection.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Chooses a relay: among those with the most capacity one by the node's name, so that the
    /// followers are spread over them and most keep their relay when another one leaves.
    ///
    /// ```
    /// use relay::{RelayCandidate, RelayFollower};
    ///
    /// let candidate = |node: &str, capacity| RelayCandidate {
    ///     node: node.into(), address: ([127, 0, 0, 1], 9).into(), capacity,
    /// };
    /// let candidates = [candidate("vm-1", 120), candidate("vm-2", 500)];
    /// let chosen = RelayFollower::new("vm-9".into()).choose(&candidates).map(|relay| &relay.node);
    /// assert_eq!(chosen, Some(&"vm-2".into()));
    /// ```
    pub fn choose<'a>(&self, candidates: &'a [RelayCandidate]) -> Option<&'a RelayCandidate> {
        let usable = candidates.iter().filter(|candidate| {
            let left = self.left.get(&candidate.node);
            candidate.node != self.node && left.is_none_or(|at| at.elapsed() >= RELAY_BACKOFF)
        });
        usable
            .max_by_key(|candidate| (candidate.capacity, owner_score(&self.node, &candidate.node)))
    }

    /// Waits for the next frame of a relay, which is chosen among the candidates if none is
    /// connected. `after` is the revision up to which all changes are known.
    ///
    /// Returns within [`FRAME_TIMEOUT`] and two seconds.
    pub fn next(&mut self, after: u64, candidates: &[RelayCandidate]) -> FollowOutcome {
        if let Some(connection) = &self.connection
            && candidates.iter().all(|candidate| candidate.node != connection.relay)
        {
            self.connection = None;
        }
        let mut tries = 0;
        loop {
            let Some(connection) = &mut self.connection else {
                let Some(relay) = self.choose(candidates).filter(|_| tries < MAX_RELAY_TRIES)
                else {
                    return FollowOutcome::Unavailable;
                };
                tries += 1;
                match connect(relay, after) {
                    Ok(connection) => self.connection = Some(connection),
                    Err(error) => {
                        let relay = relay.node.clone();
                        self.leave(relay, &format!("{:?}", error.kind()));
                    }
                }
                continue;
            };
            let relay = connection.relay.clone();
            match read_frame(&mut connection.input) {
                Ok((header, _)) if contact_age(&header) > MAX_CONTACT_AGE => {
                    self.leave(relay, "no contact with the store");
                }
                Ok((header, None)) => {
                    return FollowOutcome::Heartbeat { contact_age: contact_age(&header) };
                }
                Ok((header, Some(body))) => {
                    let batch = ChangeBatch { next: header.next, body };
                    let contact_age = contact_age(&header);
                    return FollowOutcome::Changes { batch, contact_age };
                }
                Err(error) => self.leave(relay, &format!("{:?}", error.kind())),
            }
        }
    }

    fn leave(&mut self, relay: Name, reason: &str) {
        log::info!("\"event\":\"relay_left\",\"relay\":{:?},\"reason\":\"{reason}\"", &*relay);
        self.connection = None;
        self.left.retain(|_, at| at.elapsed() < RELAY_BACKOFF);
        self.left.insert(relay, Instant::now());
    }
}

fn contact_age(header: &FrameHeader) -> Duration {
    Duration::from_millis(header.contact_age_ms)
}

fn connect(relay: &RelayCandidate, after: u64) -> io::Result<RelayConnection> {
    let mut stream = TcpStream::connect_timeout(&relay.address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(FIRST_FRAME_TIMEOUT))?;
    stream.set_write_timeout(Some(FRAME_TIMEOUT))?;
    write_line(&mut stream, &FollowRequest { after })?;
    let relay = relay.node.clone();
    log::info!("\"event\":\"relay_joined\",\"relay\":{:?},\"after\":{after}", &*relay);
    Ok(RelayConnection { relay, input: BufReader::new(stream) })
}

/// Reads a frame; without changes it is a heartbeat.
fn read_frame(input: &mut BufReader<TcpStream>) -> io::Result<(FrameHeader, Option<Arc<[u8]>>)> {
    let header: FrameHeader = read_line(input)?;
    input.get_ref().set_read_timeout(Some(FRAME_TIMEOUT))?;
    let body = match header.bytes {
        0 => None,
        bytes => Some(read_body(input, bytes)?),
    };
    Ok((header, body))
}
