//! The member table and its heartbeats.

use model::{Micros, Name, SocketAddress};

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
    /// Start time of the process; a higher one replaces all that is known of a lower one.
    pub incarnation: u64,
    pub state: MemberState,
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

/// The member table of one node.
#[derive(Debug)]
pub struct MemberTable {
    config: MemberConfig,
    own: MemberInfo,
}

impl MemberTable {
    /// Creates a table with only this node.
    pub fn new(config: MemberConfig, own: MemberInfo) -> Self {
        MemberTable { config, own }
    }

    /// Handles an event.
    pub fn handle(&mut self, _now: Micros, _event: MemberEvent, _actions: &mut Vec<MemberAction>) {}

    /// Returns the heartbeat to answer with.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat { from: self.own.clone(), digest: 0, revisions: Vec::new(), changes: Vec::new() }
    }

    /// Returns when the next [`MemberEvent::Timer`] is due.
    pub fn next_timer(&self) -> Option<Micros> {
        let _ = self.config;
        None
    }

    /// Returns all members.
    pub fn members(&self) -> Vec<MemberInfo> {
        vec![self.own.clone()]
    }

    /// Finds a member.
    pub fn member(&self, name: &str) -> Option<&MemberInfo> {
        (self.own.name.as_str() == name).then_some(&self.own)
    }

    /// Returns the owner of a database that runs in `data_centre`.
    pub fn owner_of(&self, _database: &str, _data_centre: &str) -> Name {
        self.own.name.clone()
    }

    /// Returns the watcher of a data centre.
    pub fn watcher_of(&self, _data_centre: &str) -> Option<Name> {
        Some(self.own.name.clone())
    }
}
