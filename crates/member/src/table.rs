//! The member table and its heartbeats.
//!
//! Failure detection: a node sends heartbeats to its contacts in the ring of its data centre. After
//! `missed_limit` intervals without an answer it suspects the contact and tells the contact's other
//! observers and one more node. Each of them ignores the suspicion if it received an answer itself,
//! confirms it if it missed the same number of answers, and probes the member otherwise. A member is
//! declared dead when a second node gets no answer either. Suspicions are sent only to these few
//! nodes; deaths, joins and leaves are forwarded to all. A member that learns of its own death refutes
//! it with a higher incarnation, which replaces the dead entry.
//!
//! Data centres: each has one watcher, the only member that sends heartbeats to other data centres, to
//! their watchers. When neither the watcher of another data centre nor its successors answer, that
//! data centre is unreachable from this one: its members own nothing here, but none is declared dead,
//! so nothing has to be refuted when the partition heals. The flag is disseminated inside the data
//! centre as revision `reach/OWN/OTHER` (odd: unreachable) among the revisions of documents.

mod detect;
mod merge;

use std::collections::BTreeMap;

use model::{FastMap, FastSet, Micros, Name, SocketAddress};

use crate::contact::ContactTable;
use crate::gossip::{ChangeQueue, MAX_CHANGES, RevisionTable};
use crate::layout::{LayoutMember, MemberLayout};

/// Prefix of the revisions that carry the reachability of data centres.
const REACH_PREFIX: &str = "reach/";

/// Low bits of an incarnation that count refutations; the rest is the start time of the process.
const REFUTATION_BITS: u32 = 12;

/// Most members in a table, which bounds memory and the cost of digests.
const MAX_MEMBERS: usize = 4_096;

/// Successors of a watcher that are contacted while it does not answer.
const WATCHER_SUCCESSORS: usize = 3;

/// Most unknown VMs of the platform's list that are contacted in one interval.
const LISTED_PER_ROUND: usize = 4;

/// Heartbeats to an unknown VM of the list before it is ignored until the next list.
const MAX_LISTED_ATTEMPTS: u32 = 3;

/// Intervals between two heartbeats to dead members, which detect that a partition healed.
const DEAD_PROBE_ROUNDS: u64 = 5;

/// Time for which this node's table must be unchanged before it pulls a table with another digest.
const PULL_STABLE_TIME: Micros = Micros::from_secs(1);

/// Time for which the digest must differ before a pull.
const PULL_DIFFERENCE_TIME: Micros = Micros::from_secs(2);

/// Time after which a differing digest causes a pull even if this node's table keeps changing.
const PULL_LONG_DIFFERENCE_TIME: Micros = Micros::from_secs(5);

/// Shortest time between two table pulls of a joining node.
const JOINING_PULL_INTERVAL: Micros = Micros::from_millis(500);

/// Shortest and longest time between two table pulls.
const MIN_PULL_INTERVAL: Micros = Micros::from_secs(5);
const MAX_PULL_INTERVAL: Micros = Micros::from_secs(60);

/// Time for which the state of former contacts is kept.
const CONTACT_RETENTION: Micros = Micros::from_secs(10);

/// A node with fewer members in its table is joining and does not forward the entries that it pulls.
const JOINING_MEMBER_LIMIT: usize = 8;

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    Alive,
    /// Shutting down: owns nothing, still answers.
    Leaving,
    Suspected,
    Dead,
}

/// Identity, addresses and state of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    pub name: Name,
    pub data_centre: Name,
    pub peer_address: SocketAddress,
    pub admin_address: SocketAddress,
    /// Start time of the process; an entry with a higher one replaces one with a lower one. In the
    /// entries of a [`MemberTable`] the low 12 bits count refutations, see
    /// [`MemberInfo::process_incarnation`].
    pub incarnation: u64,
    pub state: MemberState,
}

impl MemberInfo {
    /// Returns the part of the incarnation that changes only when the process starts again.
    pub fn process_incarnation(&self) -> u64 {
        self.incarnation >> REFUTATION_BITS
    }
}

/// A row of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformVm {
    pub name: Name,
    pub data_centre: Name,
    pub peer_address: SocketAddress,
    pub admin_address: SocketAddress,
    pub leaving: bool,
}

/// A heartbeat or its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    pub from: MemberInfo,
    /// Digest of the sender's member table.
    pub digest: u64,
    /// Revision of each document that the sender holds.
    pub revisions: Vec<(Name, u64)>,
    /// Recently changed entries, at most 8.
    pub changes: Vec<MemberInfo>,
}

/// Intervals and limits of a member table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    pub heartbeat_interval: Micros,
    /// Intervals between two heartbeats to a distant contact that answers: one beyond the ring's next
    /// two members, or the watcher of another data centre.
    pub distant_rounds: u64,
    /// Missed answers after which a member is suspected.
    pub missed_limit: u32,
    /// Time after which a suspected member that does not answer is declared dead.
    pub suspicion_timeout: Micros,
    /// Time after which a dead member is forgotten.
    pub dead_member_retention: Micros,
}

impl Default for MemberConfig {
    fn default() -> Self {
        MemberConfig {
            heartbeat_interval: Micros::from_secs(1),
            // With heartbeats to all contacts every second, a watcher sends 7.2 KB/s; the limit for
            // all control traffic of a node is 4 KB/s.
            distant_rounds: 3,
            missed_limit: 3,
            suspicion_timeout: Micros::from_secs(1),
            dead_member_retention: Micros::from_secs(3_600),
        }
    }
}

/// Input of a [`MemberTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    HeartbeatArrived(Heartbeat),
    HeartbeatAnswered(Heartbeat),
    HeartbeatFailed {
        to: Name,
    },
    /// An address from the settings' `peers` answered.
    PeerFound(Heartbeat),
    /// A whole member table was pulled.
    TableArrived(Vec<MemberInfo>),
    /// The platform's list, which may be out of date: a row can add an unknown member, and no row or
    /// missing row declares one dead.
    VmListArrived(Vec<PlatformVm>),
    /// This node now holds a revision of a document.
    DocumentHeld {
        document: Name,
        revision: u64,
    },
    /// This node begins a graceful shutdown.
    Leave,
    Timer,
}

/// Action that the driver executes for the table.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    SendHeartbeat {
        to: MemberInfo,
        heartbeat: Heartbeat,
    },
    PullTable {
        from: MemberInfo,
    },
    /// `from` holds a higher revision of the document.
    PullDocument {
        from: MemberInfo,
        document: Name,
    },
    /// The set of members that may own something changed.
    OwnersChanged,
    /// A member died, restarted, or became unreachable with its data centre: what it held on this node
    /// must be released.
    MemberLost(Name),
}

/// Entry of another member.
#[derive(Debug)]
struct MemberEntry {
    info: MemberInfo,
    /// Kept separately, because a suspicion replaces the state.
    leaving: bool,
    /// When the member was suspected or died.
    since: Micros,
}

impl MemberEntry {
    fn is_dead(&self) -> bool {
        self.info.state == MemberState::Dead
    }

    /// Returns the state without a suspicion.
    fn state_without_suspicion(&self) -> MemberState {
        match (self.info.state, self.leaving) {
            (MemberState::Dead, _) => MemberState::Dead,
            (_, true) => MemberState::Leaving,
            (_, false) => MemberState::Alive,
        }
    }

    /// Returns the entry without a suspicion, for members that are not observers.
    fn info_without_suspicion(&self) -> MemberInfo {
        MemberInfo { state: self.state_without_suspicion(), ..self.info.clone() }
    }
}

/// The member table of one node.
///
/// ```
/// use member::{MemberConfig, MemberEvent, MemberInfo, MemberState, MemberTable};
/// use model::Micros;
/// let own = MemberInfo {
///     name: "vm-1".into(),
///     data_centre: "north".into(),
///     peer_address: "10.0.0.1:7400".parse()?,
///     admin_address: "10.0.0.1:7401".parse()?,
///     incarnation: 1_700_000_000,
///     state: MemberState::Alive,
/// };
/// let mut table = MemberTable::new(MemberConfig::default(), own);
/// let mut actions = Vec::new();
/// table.handle(Micros::ZERO, MemberEvent::Timer, &mut actions);
/// assert_eq!(table.owner_of("billing-1-a", "north").as_str(), "vm-1");
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug)]
pub struct MemberTable {
    config: MemberConfig,
    own: MemberInfo,
    /// This process itself is shutting down; the platform's list alone does not set this.
    leave_requested: bool,
    entries: BTreeMap<Name, MemberEntry>,
    /// VMs of the platform's list that have not answered yet, with the number of attempts.
    listed: BTreeMap<Name, (MemberInfo, u32)>,
    /// Names that the last list showed as leaving.
    listed_leaving: FastSet<Name>,
    /// Version of the reachability of each other data centre; odd if unreachable.
    reachability: FastMap<Name, u64>,
    contacts: ContactTable,
    changes: ChangeQueue,
    revisions: RevisionTable,
    layout: MemberLayout,
    layout_stale: bool,
    next_round: Micros,
    rounds: u64,
    /// Sender of the last heartbeat if it has to refute its entry in this table.
    must_refute: Option<Name>,
    changed_at: Micros,
    pull_after: Micros,
    pull_interval: Micros,
}

impl MemberTable {
    /// Creates a table with only this node. `own.incarnation` is the start time of the process in any
    /// unit, the same on all nodes.
    pub fn new(config: MemberConfig, mut own: MemberInfo) -> Self {
        // Nanoseconds since 1970 leave no 12 bits free, so their own low bits count refutations.
        own.incarnation = match own.incarnation.leading_zeros() >= REFUTATION_BITS {
            true => own.incarnation << REFUTATION_BITS,
            false => own.incarnation >> REFUTATION_BITS << REFUTATION_BITS,
        };
        let leave_requested = own.state == MemberState::Leaving;
        let mut table = MemberTable {
            config,
            own,
            leave_requested,
            entries: BTreeMap::new(),
            listed: BTreeMap::new(),
            listed_leaving: FastSet::default(),
            reachability: FastMap::default(),
            contacts: ContactTable::default(),
            changes: ChangeQueue::default(),
            revisions: RevisionTable::default(),
            layout: MemberLayout::default(),
            layout_stale: true,
            next_round: Micros::ZERO,
            rounds: 0,
            must_refute: None,
            changed_at: Micros::ZERO,
            pull_after: Micros::ZERO,
            pull_interval: MIN_PULL_INTERVAL,
        };
        table.refresh_layout();
        table
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Micros, event: MemberEvent, actions: &mut Vec<MemberAction>) {
        let owners = self.layout.owner_digest;
        match event {
            MemberEvent::HeartbeatArrived(heartbeat) => {
                self.handle_heartbeat(now, &heartbeat, actions)
            }
            MemberEvent::HeartbeatAnswered(heartbeat) => {
                self.handle_answer(now, &heartbeat, actions)
            }
            // The heartbeat stays unanswered, so it is sent again and counted as a miss by the timers.
            MemberEvent::HeartbeatFailed { .. } => {}
            MemberEvent::PeerFound(heartbeat) => self.handle_answer(now, &heartbeat, actions),
            MemberEvent::TableArrived(members) => self.handle_table(now, members, actions),
            MemberEvent::VmListArrived(vms) => self.handle_vm_list(now, vms, actions),
            MemberEvent::DocumentHeld { document, revision } => {
                if self.revisions.record_held(&document, revision) {
                    self.changes.request(now);
                }
            }
            MemberEvent::Leave => {
                self.leave_requested = true;
                if self.own.state != MemberState::Leaving {
                    self.own.state = MemberState::Leaving;
                    self.announce_self(now);
                }
            }
            MemberEvent::Timer => {}
        }
        self.run_timers(now, actions);
        self.refresh_layout();
        if self.layout.owner_digest != owners {
            actions.push(MemberAction::OwnersChanged);
        }
    }

    /// Returns the heartbeat to answer with. Must be called right after
    /// [`MemberEvent::HeartbeatArrived`], because it then also carries an entry that the sender has to
    /// refute.
    pub fn heartbeat(&self) -> Heartbeat {
        let first = self.must_refute.as_ref().and_then(|name| self.entries.get(name));
        self.heartbeat_with(first.map(|entry| entry.info.clone()), self.changes.newest(), true)
    }

    /// Returns when the next [`MemberEvent::Timer`] is due.
    pub fn next_timer(&self) -> Option<Micros> {
        let others = self.changes.due().into_iter().chain(self.contacts.next_due());
        Some(others.fold(self.next_round, Micros::min))
    }

    /// Returns all members, this node first.
    pub fn members(&self) -> Vec<MemberInfo> {
        let others = self.entries.values().map(|entry| entry.info.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Finds a member.
    pub fn member(&self, name: &str) -> Option<&MemberInfo> {
        if self.own.name.as_str() == name {
            return Some(&self.own);
        }
        self.entries.get(name).map(|entry| &entry.info)
    }

    /// Returns the owner of a database that runs in `data_centre`; this node if no member may own
    /// anything.
    pub fn owner_of(&self, database: &str, data_centre: &str) -> Name {
        self.layout.owner_of(database, data_centre).unwrap_or(&self.own.name).clone()
    }

    /// Returns the watcher of a data centre; `None` if it has no live member.
    pub fn watcher_of(&self, data_centre: &str) -> Option<Name> {
        self.layout.watchers_of(data_centre).first().cloned()
    }

    /// Returns whether the members of a data centre may own something here. False while neither
    /// its watcher nor the watcher's successors answer the watcher of this data centre.
    pub fn is_reachable(&self, data_centre: &str) -> bool {
        self.reachability.get(data_centre).is_none_or(|version| version.is_multiple_of(2))
    }

    /// Returns the digest of the live members; equal on all nodes whose tables agree.
    pub fn digest(&self) -> u64 {
        self.layout.digest
    }

    fn is_watcher(&self) -> bool {
        self.layout.watchers_of(&self.own.data_centre).first() == Some(&self.own.name)
    }

    fn refresh_layout(&mut self) {
        if !self.layout_stale {
            return;
        }
        self.layout_stale = false;
        let own = LayoutMember {
            name: &self.own.name,
            data_centre: &self.own.data_centre,
            incarnation: self.own.incarnation,
            leaving: self.own.state == MemberState::Leaving,
            reachable: true,
        };
        let live = self.entries.values().filter(|entry| !entry.is_dead());
        let others = live.map(|entry| LayoutMember {
            name: &entry.info.name,
            data_centre: &entry.info.data_centre,
            incarnation: entry.info.incarnation,
            leaving: entry.leaving,
            reachable: self.is_reachable(&entry.info.data_centre),
        });
        self.layout =
            MemberLayout::build(&self.own.data_centre, std::iter::once(own).chain(others));
    }

    /// Builds a heartbeat that carries `first` and then the entries of `names`.
    fn heartbeat_with<'a>(
        &self,
        first: Option<MemberInfo>,
        names: impl Iterator<Item = &'a Name>,
        with_reachability: bool,
    ) -> Heartbeat {
        let mut changes: Vec<MemberInfo> = first.into_iter().collect();
        for name in names {
            if changes.len() < MAX_CHANGES && !changes.iter().any(|other| other.name == *name) {
                changes.extend(self.entries.get(name).map(MemberEntry::info_without_suspicion));
            }
        }
        let mut revisions = self.revisions.list();
        if with_reachability {
            let own = &self.own.data_centre;
            for (other, version) in &self.reachability {
                revisions.push((format!("{REACH_PREFIX}{own}/{other}").into(), *version));
            }
        }
        Heartbeat { from: self.own.clone(), digest: self.layout.digest, revisions, changes }
    }

    /// Sends a heartbeat to a member. An entry that the member has to refute comes first.
    fn send<'a>(
        &mut self,
        to: &Name,
        names: impl Iterator<Item = &'a Name>,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(entry) = self.entries.get(to) else { return };
        let first = entry.is_dead().then(|| entry.info.clone());
        let same_data_centre = entry.info.data_centre == self.own.data_centre;
        let heartbeat = self.heartbeat_with(first, names, same_data_centre);
        actions.push(MemberAction::SendHeartbeat { to: entry.info.clone(), heartbeat });
    }

    /// Requests a round of heartbeats, which carry this node's own entry.
    fn announce_self(&mut self, now: Micros) {
        self.layout_stale = true;
        self.changed_at = now;
        self.changes.request(now);
    }
}
