//! The promotion lease: the right to order promotions. It has one holder at a time, and its fencing
//! token only grows.
//!
//! One document in the platform's store names the holder; it is changed by compare-and-swap only.
//! The holder may act for [`PROMOTION_LEASE_TTL`] after it *sent* the last successful write, on a
//! clock that also counts suspended time. Another node takes the lease only after it has seen the
//! document unchanged for [`LEASE_ACQUIRE_WAIT`], or marked as idle by its holder. The store's own
//! leases are not used, because they may end early while the store is unavailable.
//!
//! A fencing token is one more than the revision of the record that its holder replaced. So tokens
//! grow also after another writer has overwritten the document. Where there is none, an idle record
//! is written first; a late write of such a record does no harm.
//!
//! Revisions grow from era to era ([`crate::revision_in_era`]), so tokens do, too. In a new era the
//! stored record is a copy: it may be marked idle although a holder acts. It counts as idle only if it
//! was written in this era, and every node waits from its first list of the era.

use std::collections::BTreeMap;

use model::{Micros, Name};
use serde::{Deserialize, Serialize};

use crate::store_era::is_first_era;

/// Time that a holder may act after it sent its last successful write: two round trips to the
/// platform in its slow phases, and the promotion call itself.
pub const PROMOTION_LEASE_TTL: Micros = Micros::from_millis(1_500);

/// Timeout of one promotion call, after which its connection is reset.
pub const PROMOTION_CALL_TIMEOUT: Micros = Micros::from_millis(600);

/// Time for which the document must stay unchanged before another node takes the lease:
/// [`PROMOTION_LEASE_TTL`], one call that began at its end, and 500 ms for timers that fire late.
pub const LEASE_ACQUIRE_WAIT: Micros = Micros::from_millis(2_600);

/// Remaining time below which the holder renews the lease before it acts.
const RENEWAL_THRESHOLD: Micros = Micros::from_millis(700);

/// Time after which an unanswered write is given up.
const WRITE_TIMEOUT: Micros = Micros::from_millis(1_200);

/// The stored document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionLeaseRecord {
    pub holder: String,
    /// Grows each time a node acquires the lease.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// Distinguishes writes, including those of processes that ran under the same name.
    #[serde(rename = "write")]
    pub write_id: u64,
    /// The holder has nothing in flight.
    pub idle: bool,
    /// Clusters with an announced failover.
    #[serde(default, rename = "changing")]
    pub announced_clusters: Vec<String>,
    /// Number of the failover of each announced cluster. The holder counts its failovers, so another
    /// failover of the same cluster is another announcement.
    #[serde(default, rename = "changes")]
    pub failover_numbers: BTreeMap<String, u64>,
    /// Era of the store in which the record was written.
    #[serde(default, skip_serializing_if = "is_first_era")]
    pub era: u64,
}

/// This node's view of the promotion lease.
#[derive(Debug)]
pub struct PromotionLease {
    node: Name,
    /// Distinguishes this process from earlier ones of the same name.
    incarnation: u64,
    /// Era of the store.
    era: u64,
    record: PromotionLeaseRecord,
    /// Revision of the record, zero if there is none.
    revision: u64,
    /// Revision of the store up to which changes of the record are known.
    seen_revision: u64,
    /// When the record was last seen to change; `None` until it was first read.
    changed: Option<Micros>,
    attempt: u64,
    /// Numbers of the failovers to announce, by cluster.
    failover_numbers: BTreeMap<String, u64>,
    pending: Option<PendingWrite>,
    /// Fencing token held, and the time until which it may be used.
    held: Option<(u64, Micros)>,
}

#[derive(Debug)]
struct PendingWrite {
    attempt: u64,
    sent: Micros,
    record: PromotionLeaseRecord,
}

/// A write for the I/O driver to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    pub attempt: u64,
    pub expected: u64,
    pub bytes: Vec<u8>,
}

impl PromotionLease {
    /// Creates the state of a process that has not read the record yet.
    pub fn new(node: Name, incarnation: u64) -> Self {
        PromotionLease {
            node,
            incarnation,
            era: 0,
            record: PromotionLeaseRecord::default(),
            revision: 0,
            seen_revision: 0,
            changed: None,
            attempt: 0,
            failover_numbers: BTreeMap::new(),
            pending: None,
            held: None,
        }
    }

    /// Gives the lease up because the store was restored from an older copy. The record has to be read
    /// again before the lease is claimed.
    pub fn begin_era(&mut self, era: u64) {
        self.era = era;
        self.revision = 0;
        self.changed = None;
        self.pending = None;
        self.held = None;
    }

    /// Processes the stored record. Returns false if it is unreadable; its holder is unknown then
    /// and may be acting.
    pub fn observe(&mut self, now: Micros, revision: u64, bytes: &[u8]) -> bool {
        let record: Option<PromotionLeaseRecord> = serde_json::from_slice(bytes).ok();
        let readable = record.is_some();
        if self.changed.is_none() || revision > self.seen_revision {
            self.replace_record(now, record.unwrap_or_default(), revision);
            self.seen_revision = revision;
        }
        readable
    }

    /// Processes that there is no record at a revision of the store; its holder may still be
    /// acting. Returns true if there was a record before.
    pub fn observe_absent(&mut self, now: Micros, revision: u64) -> bool {
        let removed = self.revision != 0;
        if self.changed.is_some() && (revision <= self.seen_revision || !removed) {
            return false;
        }
        self.replace_record(now, PromotionLeaseRecord::default(), 0);
        self.seen_revision = revision;
        removed
    }

    fn replace_record(&mut self, now: Micros, record: PromotionLeaseRecord, revision: u64) {
        if record.holder != self.node.as_str() || record.fencing_token != self.held_token() {
            self.held = None;
        }
        self.revision = revision;
        self.record = record;
        self.changed = Some(now);
    }

    fn held_token(&self) -> u64 {
        self.held.map_or(0, |(token, _)| token)
    }

    /// Returns the fencing token if it may be used now.
    pub fn fencing_token(&self, now: Micros) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(token, _)| token)
    }

    /// Returns for how long the fencing token may still be used.
    pub fn remaining(&self, now: Micros) -> Option<Micros> {
        self.held.filter(|(_, until)| now < *until).map(|(_, until)| until - now)
    }

    /// Returns true if the lease should be renewed before it is used again.
    pub fn needs_renewal(&self, now: Micros) -> bool {
        self.held.is_none_or(|(_, until)| now + RENEWAL_THRESHOLD >= until)
    }

    /// Returns the revision of the newest record and the record.
    pub fn record(&self) -> (u64, &PromotionLeaseRecord) {
        (self.revision, &self.record)
    }

    /// Returns true if this node holds the lease and its stored record announces a failover of the
    /// cluster.
    pub fn announces(&self, now: Micros, cluster: &str) -> bool {
        self.fencing_token(now).is_some()
            && self.record.announced_clusters.iter().any(|name| name == cluster)
    }

    /// Sets the numbers of the failovers that the next claim announces.
    pub fn set_failover_numbers(&mut self, numbers: BTreeMap<String, u64>) {
        self.failover_numbers = numbers;
    }

    /// Returns true if this node holds the lease and its stored record announces this failover of the
    /// cluster.
    pub fn announces_failover(&self, now: Micros, cluster: &str, number: u64) -> bool {
        self.announces(now, cluster) && self.record.failover_numbers.get(cluster) == Some(&number)
    }

    /// Returns true if the record is marked idle by a holder of this era.
    fn is_idle(&self) -> bool {
        self.record.idle && self.record.era == self.era
    }

    /// Returns true if another node holds the lease and may be acting.
    pub fn is_held_elsewhere(&self, now: Micros) -> bool {
        let waited = self.changed.is_some_and(|changed| now >= changed + LEASE_ACQUIRE_WAIT);
        // This node's own write may be seen in the store before it is answered.
        let own = self.pending.as_ref().is_some_and(|pending| pending.record == self.record);
        self.held.is_none() && !self.is_idle() && !waited && !own
    }

    /// Returns the write that claims or renews the lease, or prepares a claim, if one is allowed
    /// now.
    pub fn claim(&mut self, now: Micros, announced_clusters: Vec<String>) -> Option<LeaseWrite> {
        self.changed?;
        if self.is_held_elsewhere(now) {
            return None;
        }
        match self.held {
            Some((token, _)) => self.write(now, token, false, announced_clusters),
            None if self.revision == 0 => self.write(now, 0, true, Vec::new()),
            None => self.write(now, self.revision + 1, false, announced_clusters),
        }
    }

    /// Returns the write that releases the lease.
    pub fn release(&mut self, now: Micros) -> Option<LeaseWrite> {
        let (token, _) = self.held.take()?;
        self.write(now, token, true, Vec::new())
    }

    fn write(
        &mut self,
        now: Micros,
        token: u64,
        idle: bool,
        announced_clusters: Vec<String>,
    ) -> Option<LeaseWrite> {
        if self.pending.as_ref().is_some_and(|pending| now < pending.sent + WRITE_TIMEOUT) {
            return None;
        }
        self.attempt += 1;
        let numbers = self.failover_numbers.iter();
        let numbers = numbers.filter(|(name, _)| announced_clusters.contains(name));
        let failover_numbers = numbers.map(|(name, number)| (name.clone(), *number)).collect();
        let record = PromotionLeaseRecord {
            holder: self.node.to_string(),
            fencing_token: token,
            write_id: self.incarnation.wrapping_add(self.attempt),
            idle,
            announced_clusters,
            failover_numbers,
            era: self.era,
        };
        // Cannot fail: the record contains only strings, numbers and booleans.
        let bytes = serde_json::to_vec(&record).ok()?;
        self.pending = Some(PendingWrite { attempt: self.attempt, sent: now, record });
        Some(LeaseWrite { attempt: self.attempt, expected: self.revision, bytes })
    }

    /// Processes the result of a write. Returns true if this node may act now.
    pub fn complete_write(&mut self, now: Micros, attempt: u64, revision: Option<u64>) -> bool {
        let Some(pending) = self.pending.take_if(|pending| pending.attempt == attempt) else {
            return false;
        };
        let Some(revision) = revision else {
            self.held = None;
            return false;
        };
        if revision < self.seen_revision {
            return false;
        }
        let idle = pending.record.idle;
        let until = pending.sent + PROMOTION_LEASE_TTL;
        self.held = (!idle && now < until).then_some((pending.record.fencing_token, until));
        self.revision = revision;
        self.seen_revision = revision;
        self.record = pending.record;
        self.changed = Some(now);
        self.held.is_some()
    }
}
