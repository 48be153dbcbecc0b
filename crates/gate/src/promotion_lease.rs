//! The duty to order promotions: one holder at a time, with numbers that only grow.
//!
//! The holder is named in one document of the platform's store, changed by compare-and-swap only. It may
//! act for [`PROMOTION_LEASE_TTL`] after it *sent* the last write that succeeded, on a clock that also counts suspended
//! time. Another node takes over only after it has seen the document unchanged for [`LEASE_ACQUIRE_WAIT`], or
//! marked as idle by its holder. Leases of the store are not used: they may end early while it is away.

use model::{Micros, Name};
use serde::{Deserialize, Serialize};

/// Time that a holder may act after it sent its last successful write. Two round trips to the platform,
/// slowed as in its slow phases, and the call itself.
pub const PROMOTION_LEASE_TTL: Micros = Micros::from_millis(1_500);

/// Time for one promotion call; it is reset after this.
pub const CALL_TIME: Micros = Micros::from_millis(600);

/// Time for which a document must stay unchanged before another node takes over: [`PROMOTION_LEASE_TTL`], one call
/// that began at its end, and half a second for timers that fire late.
pub const LEASE_ACQUIRE_WAIT: Micros = Micros::from_millis(2_600);

/// Remaining time below which the holder writes again before it acts.
const RENEWAL_THRESHOLD: Micros = Micros::from_millis(700);

/// Time after which a write without an answer is given up.
const WRITE_TIMEOUT: Micros = Micros::from_millis(1_200);

/// The stored document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionLeaseRecord {
    pub holder: String,
    /// Grows with every change of holder.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// Distinguishes writes, and the processes that used one name.
    #[serde(rename = "write")]
    pub write_id: u64,
    /// The holder has nothing in flight.
    pub idle: bool,
    /// Clusters whose primary the holder is about to change.
    #[serde(default)]
    pub changing: Vec<String>,
}

/// This node's part in the duty.
#[derive(Debug)]
pub struct PromotionLease {
    node: Name,
    /// Distinguishes this process from earlier ones of the same name.
    process: u64,
    record: PromotionLeaseRecord,
    revision: u64,
    /// When the record was last seen to change; `None` until it was read.
    changed: Option<Micros>,
    attempt: u64,
    pending: Option<PendingWrite>,
    /// Number held and until when it may be used.
    held: Option<(u64, Micros)>,
}

#[derive(Debug)]
struct PendingWrite {
    attempt: u64,
    sent: Micros,
    record: PromotionLeaseRecord,
}

/// A write that the shell has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    pub attempt: u64,
    pub expected: u64,
    pub bytes: Vec<u8>,
}

impl PromotionLease {
    /// Creates the state of a process that knows nothing yet.
    pub fn new(node: Name, process: u64) -> Self {
        PromotionLease {
            node,
            process,
            record: PromotionLeaseRecord::default(),
            revision: 0,
            changed: None,
            attempt: 0,
            pending: None,
            held: None,
        }
    }

    /// Takes in the stored record; `None` if there is none. Returns false if it cannot be read, which counts as
    /// a record without a holder.
    pub fn observe(&mut self, now: Micros, stored: Option<(u64, &[u8])>) -> bool {
        let (revision, record) = match stored {
            None => (0, Some(PromotionLeaseRecord::default())),
            Some((revision, bytes)) => (revision, serde_json::from_slice(bytes).ok()),
        };
        let readable = record.is_some();
        let record = record.unwrap_or_default();
        if self.changed.is_some() && revision <= self.revision {
            return readable;
        }
        if record.holder != self.node.as_str() || record.fencing_token != self.held_token() {
            self.held = None;
        }
        self.revision = revision;
        self.record = record;
        self.changed = Some(now);
        readable
    }

    fn held_token(&self) -> u64 {
        self.held.map_or(0, |(token, _)| token)
    }

    /// Returns the number that may be used now.
    pub fn fencing_token(&self, now: Micros) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(token, _)| token)
    }

    /// Tells whether the number should be renewed before it is used again.
    pub fn needs_renewal(&self, now: Micros) -> bool {
        self.held.is_none_or(|(_, until)| now + RENEWAL_THRESHOLD >= until)
    }

    /// Returns the newest record and its revision.
    pub fn record(&self) -> (u64, &PromotionLeaseRecord) {
        (self.revision, &self.record)
    }

    /// Tells whether this node's stored record announces the change of a cluster.
    pub fn announces(&self, now: Micros, cluster: &str) -> bool {
        self.fencing_token(now).is_some() && self.record.changing.iter().any(|name| name == cluster)
    }

    /// Tells whether another node holds the duty and may be acting.
    pub fn is_held_elsewhere(&self, now: Micros) -> bool {
        let waited = self.changed.is_some_and(|changed| now >= changed + LEASE_ACQUIRE_WAIT);
        // A write of this node may be seen in the store before it is answered.
        let own = self.pending.as_ref().is_some_and(|pending| pending.record == self.record);
        self.held.is_none() && self.revision != 0 && !self.record.idle && !waited && !own
    }

    /// Returns the write that claims or renews the duty, if one is allowed now.
    pub fn claim(&mut self, now: Micros, changing: Vec<String>) -> Option<LeaseWrite> {
        self.changed?;
        if self.is_held_elsewhere(now) {
            return None;
        }
        let token = match self.held {
            Some((token, _)) => token,
            None => self.record.fencing_token + 1,
        };
        self.write(now, token, false, changing)
    }

    /// Returns the write that gives the duty up.
    pub fn release(&mut self, now: Micros) -> Option<LeaseWrite> {
        let (token, _) = self.held.take()?;
        self.write(now, token, true, Vec::new())
    }

    fn write(
        &mut self,
        now: Micros,
        token: u64,
        idle: bool,
        changing: Vec<String>,
    ) -> Option<LeaseWrite> {
        if self.pending.as_ref().is_some_and(|pending| now < pending.sent + WRITE_TIMEOUT) {
            return None;
        }
        self.attempt += 1;
        let record = PromotionLeaseRecord {
            holder: self.node.to_string(),
            fencing_token: token,
            write_id: self.process.wrapping_add(self.attempt),
            idle,
            changing,
        };
        // Succeeds for every record of texts and numbers.
        let bytes = serde_json::to_vec(&record).ok()?;
        self.pending = Some(PendingWrite { attempt: self.attempt, sent: now, record });
        Some(LeaseWrite { attempt: self.attempt, expected: self.revision, bytes })
    }

    /// Takes in the result of a write. Returns true if this node now may act.
    pub fn written(&mut self, now: Micros, attempt: u64, revision: Option<u64>) -> bool {
        let Some(pending) = self.pending.take_if(|pending| pending.attempt == attempt) else {
            return false;
        };
        let Some(revision) = revision else {
            self.held = None;
            return false;
        };
        if revision < self.revision {
            return false;
        }
        let idle = pending.record.idle;
        let until = pending.sent + PROMOTION_LEASE_TTL;
        self.held = (!idle && now < until).then_some((pending.record.fencing_token, until));
        self.revision = revision;
        self.record = pending.record;
        self.changed = Some(now);
        self.held.is_some()
    }
}
