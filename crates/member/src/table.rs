//! The member table and its heartbeats.
//!
//! Failure detection: a node sends heartbeats to its contacts in the ring of its data centre. After
//! `missed_limit` intervals without an answer it suspects the contact and tells the contact's other
//! observers and one more node. Each of them either has had an answer itself, and ignores the
//! suspicion, or has missed the same number of answers, or probes the member. A member is dead when
//! a second node has no answer either. Suspicions stay between these few nodes; only deaths, joins
//! and leavings are forwarded to everybody. A member that hears of its own death takes a higher
//! incarnation, which replaces the death.
//!
//! Data centres: only the watcher sends heartbeats to other data centres, to their watchers. When no
//! watcher and no successor of it answers, the whole data centre counts as unreachable for the
//! watcher's data centre: its members own nothing there, but none of them is declared dead, so
//! nothing has to be refuted when the partition heals. The flag spreads inside the data centre as
//! revision `reach/OWN/OTHER` (odd: unreachable) among the revisions of documents.

mod detect;
mod merge;

use std::collections::BTreeMap;

use model::{FastMap, FastSet, Micros, Name, SocketAddress};

use crate::contact::ContactTable;
use crate::layout::{LayoutMember, MemberLayout};
use crate::spread::{CHANGE_LIMIT, ChangeQueue, RevisionTable};

/// Start of the revisions that carry the reachability of data centres.
const REACH_PREFIX: &str = "reach/";

/// Low bits of an incarnation that count refutations; the rest is the start time of the process.
const REFUTATION_BITS: u32 = 12;

/// Members kept at most, which bounds memory and digests.
const MEMBER_LIMIT: usize = 4_096;

/// Successors of a watcher that are asked when it does not answer.
const WATCHER_SUCCESSORS: usize = 3;

/// Unknown VMs of the platform's list that are asked in one interval.
const LISTED_ASKED: usize = 4;

/// Heartbeats to an unknown VM of the list before it is left alone until the next list.
const LISTED_ATTEMPTS: u32 = 3;

/// Intervals between two heartbeats to a dead member, which find out that a partition healed.
const DEAD_PROBE_ROUNDS: u64 = 5;

/// Time that a table must have been quiet, or a digest must have differed, before a table is pulled.
const QUIET_BEFORE_PULL: Micros = Micros::from_secs(1);
const DIFFERENCE_BEFORE_PULL: Micros = Micros::from_secs(2);
const LONG_DIFFERENCE: Micros = Micros::from_secs(5);

/// Time between two pulls of a node that joins.
const JOINING_PULL_INTERVAL: Micros = Micros::from_millis(500);

/// Shortest and longest time between two pulls of a table.
const MIN_PULL_INTERVAL: Micros = Micros::from_secs(5);
const MAX_PULL_INTERVAL: Micros = Micros::from_secs(60);

/// Time for which nodes that are no contacts any more are remembered.
const CONTACT_MEMORY: Micros = Micros::from_secs(10);

/// A table with fewer members is that of a node that joins: it does not forward what it pulls.
const JOINING_MEMBERS: usize = 8;

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    Alive,
    /// Shutting down: owns nothing, still answers.
    Leaving,
    Suspected,
    Dead,
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    pub name: Name,
    pub data_centre: Name,
    pub peer_address: SocketAddress,
    pub admin_address: SocketAddress,
    /// Start time of the process; a higher one replaces all that is known of a lower one. In the
    /// entries of a [`MemberTable`] the low 12 bits count refutations, see [`MemberInfo::process`].
    pub incarnation: u64,
    pub state: MemberState,
}

impl MemberInfo {
    /// Returns the part of the incarnation that changes only when the process starts again.
    pub fn process(&self) -> u64 {
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
    /// Recent changes, at most 8.
    pub changes: Vec<MemberInfo>,
}

/// Intervals and limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    pub heartbeat_interval: Micros,
    /// Intervals between two heartbeats to a distant contact that answers: one beyond the ring's next
    /// two members, or the watcher of another data centre.
    pub distant_rounds: u64,
    /// Missed answers after which a member is suspected.
    pub missed_limit: u32,
    /// Time that a suspicion needs to become a death if nobody hears the member.
    pub suspicion: Micros,
    /// Time after which a dead member is forgotten.
    pub forget_after: Micros,
}

impl Default for MemberConfig {
    fn default() -> Self {
        MemberConfig {
            heartbeat_interval: Micros::from_secs(1),
            // Heartbeats to all contacts every second cost a watcher 7.2 KB/s, of 4 KB/s for all
            // control work.
            distant_rounds: 3,
            missed_limit: 3,
            suspicion: Micros::from_secs(1),
            forget_after: Micros::from_secs(3_600),
        }
    }
}

/// What happened.
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
    /// The platform's list, which lags: a row adds a member that is not known and never kills one.
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

/// What the table asks for.
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
    /// A member died or came back with a new incarnation: what it held here must be released.
    MemberLost(Name),
}

/// What the table keeps of another member.
#[derive(Debug)]
struct MemberEntry {
    info: MemberInfo,
    /// Kept apart from the state, which a suspicion replaces.
    leaving: bool,
    /// When the member was suspected or died.
    since: Micros,
}

impl MemberEntry {
    fn dead(&self) -> bool {
        self.info.state == MemberState::Dead
    }

    /// Returns the state without a suspicion.
    fn settled_state(&self) -> MemberState {
        match (self.info.state, self.leaving) {
            (MemberState::Dead, _) => MemberState::Dead,
            (_, true) => MemberState::Leaving,
            (_, false) => MemberState::Alive,
        }
    }

    /// Returns the entry for members that are no observers, which suspicions do not concern.
    fn settled(&self) -> MemberInfo {
        MemberInfo { state: self.settled_state(), ..self.info.clone() }
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
    /// This process leaves by itself, not only by the platform's list.
    own_leave: bool,
    entries: BTreeMap<Name, MemberEntry>,
    /// VMs of the platform's list that have not answered yet, with attempts made.
    listed: BTreeMap<Name, (MemberInfo, u32)>,
    /// Names that the last list showed as leaving.
    listed_leaving: FastSet<Name>,
    /// Version of the reachability of each other data centre; odd if unreachable.
    reach: FastMap<Name, u64>,
    contacts: ContactTable,
    changes: ChangeQueue,
    revisions: RevisionTable,
    layout: MemberLayout,
    layout_stale: bool,
    next_round: Micros,
    rounds: u64,
    /// Sender of the last heartbeat if it has to refute what this table says of it.
    contradicted: Option<Name>,
    changed_at: Micros,
    pull_after: Micros,
    pull_interval: Micros,
}

impl MemberTable {
    /// Creates a table with only this node. `own.incarnation` is the start time of the process in any
    /// unit, the same on all nodes.
    pub fn new(config: MemberConfig, mut own: MemberInfo) -> Self {
        // Nanoseconds since 1970 do not leave 12 bits; their own low bits serve as well.
        own.incarnation = match own.incarnation.leading_zeros() >= REFUTATION_BITS {
            true => own.incarnation << REFUTATION_BITS,
            false => own.incarnation >> REFUTATION_BITS << REFUTATION_BITS,
        };
        let own_leave = own.state == MemberState::Leaving;
        let mut table = MemberTable {
            config,
            own,
            own_leave,
            entries: BTreeMap::new(),
            listed: BTreeMap::new(),
            listed_leaving: FastSet::default(),
            reach: FastMap::default(),
            contacts: ContactTable::default(),
            changes: ChangeQueue::default(),
            revisions: RevisionTable::default(),
            layout: MemberLayout::default(),
            layout_stale: true,
            next_round: Micros::ZERO,
            rounds: 0,
            contradicted: None,
            changed_at: Micros::ZERO,
            pull_after: Micros::ZERO,
            pull_interval: MIN_PULL_INTERVAL,
        };
        table.refresh();
        table
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Micros, event: MemberEvent, actions: &mut Vec<MemberAction>) {
        let owners = self.layout.owner_digest;
        match event {
            MemberEvent::HeartbeatArrived(heartbeat) => self.arrived(now, &heartbeat, actions),
            MemberEvent::HeartbeatAnswered(heartbeat) => self.answered(now, &heartbeat, actions),
            // The heartbeat stays unanswered, so the second sending and the count of misses follow.
            MemberEvent::HeartbeatFailed { .. } => {}
            MemberEvent::PeerFound(heartbeat) => self.answered(now, &heartbeat, actions),
            MemberEvent::TableArrived(members) => self.table_arrived(now, members, actions),
            MemberEvent::VmListArrived(vms) => self.vm_list_arrived(now, vms, actions),
            MemberEvent::DocumentHeld { document, revision } => {
                if self.revisions.hold(&document, revision) {
                    self.changes.request(now);
                }
            }
            MemberEvent::Leave => {
                self.own_leave = true;
                if self.own.state != MemberState::Leaving {
                    self.own.state = MemberState::Leaving;
                    self.announce_self(now);
                }
            }
            MemberEvent::Timer => {}
        }
        self.run_timers(now, actions);
        self.refresh();
        if self.layout.owner_digest != owners {
            actions.push(MemberAction::OwnersChanged);
        }
    }

    /// Returns the heartbeat to answer with. After [`MemberEvent::HeartbeatArrived`] it also tells
    /// the sender what it has to refute, so it is asked for right after that event.
    pub fn heartbeat(&self) -> Heartbeat {
        let first = self.contradicted.as_ref().and_then(|name| self.entries.get(name));
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

    /// Tells whether the members of a data centre may own something here. False while no watcher of
    /// it answers this data centre's watcher.
    pub fn reachable(&self, data_centre: &str) -> bool {
        self.reach.get(data_centre).is_none_or(|version| version.is_multiple_of(2))
    }

    /// Returns the digest of the live members; equal on all nodes whose tables agree.
    pub fn digest(&self) -> u64 {
        self.layout.digest
    }

    fn is_watcher(&self) -> bool {
        self.layout.watchers_of(&self.own.data_centre).first() == Some(&self.own.name)
    }

    fn refresh(&mut self) {
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
        let live = self.entries.values().filter(|entry| !entry.dead());
        let others = live.map(|entry| LayoutMember {
            name: &entry.info.name,
            data_centre: &entry.info.data_centre,
            incarnation: entry.info.incarnation,
            leaving: entry.leaving,
            reachable: self.reachable(&entry.info.data_centre),
        });
        self.layout =
            MemberLayout::build(&self.own.data_centre, std::iter::once(own).chain(others));
    }

    /// Builds a heartbeat that carries `first` and then the entries of `names`.
    fn heartbeat_with<'a>(
        &self,
        first: Option<MemberInfo>,
        names: impl Iterator<Item = &'a Name>,
        with_reach: bool,
    ) -> Heartbeat {
        let mut changes: Vec<MemberInfo> = first.into_iter().collect();
        for name in names {
            if changes.len() < CHANGE_LIMIT && !changes.iter().any(|other| other.name == *name) {
                changes.extend(self.entries.get(name).map(MemberEntry::settled));
            }
        }
        let mut revisions = self.revisions.list();
        if with_reach {
            let own = &self.own.data_centre;
            for (other, version) in &self.reach {
                revisions.push((format!("{REACH_PREFIX}{own}/{other}").into(), *version));
            }
        }
        Heartbeat { from: self.own.clone(), digest: self.layout.digest, revisions, changes }
    }

    /// Sends a heartbeat to a member. What the member has to refute comes first.
    fn send<'a>(
        &mut self,
        to: &Name,
        names: impl Iterator<Item = &'a Name>,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(entry) = self.entries.get(to) else { return };
        let first = entry.dead().then(|| entry.info.clone());
        let same_place = entry.info.data_centre == self.own.data_centre;
        let heartbeat = self.heartbeat_with(first, names, same_place);
        actions.push(MemberAction::SendHeartbeat { to: entry.info.clone(), heartbeat });
    }

    /// Asks for a round of heartbeats that carry this node's own entry.
    fn announce_self(&mut self, now: Micros) {
        self.layout_stale = true;
        self.changed_at = now;
        self.changes.request(now);
    }
}
