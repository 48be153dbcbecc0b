//! Eras of the store, and revisions that are ordered across them.
//!
//! A store that was restored from an older copy begins a new era: what was written since the copy is
//! lost, and its revisions are assigned again. All revisions that the gate knows therefore contain the
//! era in their upper bits. They grow from era to era, a condition on a revision of a former era
//! never names a present one, and a fencing token, which is a revision plus one, is never used twice.
//! A store that states no era has era 0, in which revisions are as the store assigns them.
//!
//! A record that was restored with the copy has a present revision, too. So records that are
//! relied upon contain the era in which they were written.

use crate::{Gate, fields};

/// Number of bits of the store's own revision: 29 years at 1,200 writes a second.
const REVISION_BITS: u32 = 40;

/// Highest revision in an era.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// Highest era: a fencing token then fits 53 bits, which each common type for numbers represents
/// exactly, also that of JSON.
const MAX_ERA: u64 = (1 << (53 - REVISION_BITS)) - 1;

/// Returns a revision of the store in an era; `None` if one of them is out of range.
///
/// ```
/// use gate::revision_in_era;
///
/// assert_eq!(revision_in_era(0, 17), Some(17));
/// assert!(revision_in_era(2, 5) > revision_in_era(1, 9_000));
/// assert_eq!(revision_in_era(1 << 20, 5), None);
/// ```
pub fn revision_in_era(era: u64, revision: u64) -> Option<u64> {
    (era <= MAX_ERA && revision <= MAX_REVISION).then_some((era << REVISION_BITS) | revision)
}

/// Returns the era of a revision.
///
/// ```
/// let revision = gate::revision_in_era(2, 5).unwrap_or_default();
/// assert_eq!(gate::era_of_revision(revision), 2);
/// ```
pub fn era_of_revision(revision: u64) -> u64 {
    revision >> REVISION_BITS
}

/// Returns the revision as the store assigned it.
///
/// ```
/// let revision = gate::revision_in_era(2, 5).unwrap_or_default();
/// assert_eq!(gate::assigned_revision(revision), 5);
/// ```
pub fn assigned_revision(revision: u64) -> u64 {
    revision & MAX_REVISION
}

/// Returns true for era 0, which records do not contain.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde requires")]
pub(crate) fn is_first_era(era: &u64) -> bool {
    *era == 0
}

impl Gate {
    /// Returns true if a revision is of the present era. Changes of a former era arrive late, and a
    /// new era begins with a list.
    pub(crate) fn is_in_present_era(&self, revision: u64) -> bool {
        era_of_revision(revision) == self.store_era
    }

    /// Returns true if a node has written the record of the promotion lease in this era, after the wait
    /// for a silent holder. Until then a failover of a former era may be pending whose announcement the
    /// copy lacks, and neither a read lease nor a registration shows that none is.
    pub(crate) fn are_former_failovers_over(&self) -> bool {
        self.promotion_lease.record().1.era == self.store_era
    }

    /// Begins a new era. This node gives up the promotion lease and its read lease, and registers again.
    pub(crate) fn begin_store_era(&mut self, era: u64) {
        let former = std::mem::replace(&mut self.store_era, era);
        self.count("store_eras");
        self.log("store_era", fields!["era" => era, "former" => former]);
        self.promotion_lease.begin_era(era);
        // Owners may have registered and left without a trace in the copy.
        self.registry.record_unseen_departure(self.now);
        for state in self.clusters.values_mut() {
            let former = state.former_members.iter().filter(|(_, former)| !former.superseded);
            let known = state.members.iter().chain(former.map(|(name, _)| name));
            state.log_holders.begin_era(known.cloned());
        }
        if self.registration.listed.is_some() {
            self.registry.record_former_owners();
            self.forget_registration();
        }
    }
}
