//! The heartbeat ring, owners and watchers, derived from the member table.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use model::{FastMap, Name};

use crate::hash::{combine, text_hash};

/// Contacts at ring offsets 1 and 2, which come first among the contacts.
const NEAR_CONTACTS: usize = 2;

/// The part of a member's entry that the layout depends on.
pub(crate) struct LayoutMember<'a> {
    pub(crate) name: &'a Name,
    pub(crate) data_centre: &'a Name,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    /// Its data centre is reachable from this node's.
    pub(crate) reachable: bool,
}

/// Ring, owners and watchers for one state of the table; rebuilt when the table changes.
#[derive(Debug, Default)]
pub(crate) struct MemberLayout {
    /// Live members of the own data centre by the hash of their name, this node included.
    ring: Vec<(u64, Name)>,
    /// Members that may own something, by data centre.
    owners: FastMap<Name, Vec<(u64, Name)>>,
    /// Live members of each data centre, the watcher first.
    watchers: BTreeMap<Name, Vec<Name>>,
    /// Digest of all live members.
    pub(crate) digest: u64,
    /// Digest of the members that may own something.
    pub(crate) owner_digest: u64,
}

impl MemberLayout {
    /// Builds the layout of the live members.
    pub(crate) fn build<'a>(
        own_data_centre: &Name,
        members: impl Iterator<Item = LayoutMember<'a>>,
    ) -> Self {
        let mut layout = MemberLayout::default();
        let mut ranked: BTreeMap<Name, Vec<(bool, Reverse<u64>, Name)>> = BTreeMap::new();
        for member in members {
            let hash = text_hash(member.name);
            let location = text_hash(member.data_centre);
            let leaving = u64::from(member.leaving);
            // Sums do not depend on the order of the members.
            let entry = combine(hash, combine(member.incarnation, location ^ leaving));
            layout.digest = layout.digest.wrapping_add(entry);
            if member.data_centre == own_data_centre {
                layout.ring.push((hash, member.name.clone()));
            }
            if !member.leaving && member.reachable {
                layout.owner_digest = layout.owner_digest.wrapping_add(combine(hash, location));
                let owners = layout.owners.entry(member.data_centre.clone()).or_default();
                owners.push((hash, member.name.clone()));
            }
            let rank = (member.leaving, Reverse(combine(location, hash)), member.name.clone());
            ranked.entry(member.data_centre.clone()).or_default().push(rank);
        }
        layout.ring.sort();
        for (data_centre, mut members) in ranked {
            members.sort();
            let names = members.into_iter().map(|(_, _, name)| name).collect();
            layout.watchers.insert(data_centre, names);
        }
        layout
    }

    /// Returns the members that `name` sends heartbeats to: at ring offsets 1, 2, n/4 and n/2.
    pub(crate) fn contacts_of(&self, name: &str) -> Vec<Name> {
        self.ring_neighbours(name, |at, offset, count| (at + offset) % count)
    }

    /// Returns the two members after `name` in the ring, whose failure `name` has to detect.
    pub(crate) fn successors_of(&self, name: &str) -> Vec<Name> {
        let mut contacts = self.contacts_of(name);
        contacts.truncate(NEAR_CONTACTS);
        contacts
    }

    /// Returns the members that send heartbeats to `name`.
    pub(crate) fn observers_of(&self, name: &str) -> Vec<Name> {
        self.ring_neighbours(name, |at, offset, count| (at + count - offset) % count)
    }

    fn ring_neighbours(
        &self,
        name: &str,
        step: impl Fn(usize, usize, usize) -> usize,
    ) -> Vec<Name> {
        let count = self.ring.len();
        let hash = text_hash(name);
        let key = |entry: &(u64, Name)| (entry.0, entry.1.clone());
        let Ok(at) = self.ring.binary_search_by_key(&(hash, name.into()), key) else {
            return Vec::new();
        };
        let mut names: Vec<Name> = Vec::new();
        for offset in [1, 2, count / 4, count / 2] {
            if offset == 0 || offset >= count {
                continue;
            }
            let neighbour = &self.ring[step(at, offset, count)].1;
            if !names.contains(neighbour) {
                names.push(neighbour.clone());
            }
        }
        names
    }

    /// Returns the owner of a key among the members of its data centre, or among all if it has none.
    pub(crate) fn owner_of(&self, key: &str, data_centre: &str) -> Option<&Name> {
        let key = text_hash(key);
        let rank = |(hash, name): &&(u64, Name)| (Reverse(combine(key, *hash)), name.clone());
        let local = self.owners.get(data_centre).and_then(|local| local.iter().min_by_key(rank));
        local.or_else(|| self.owners.values().flatten().min_by_key(rank)).map(|(_, name)| name)
    }

    /// Returns the live members of a data centre in the order in which they become its watcher.
    pub(crate) fn watchers_of(&self, data_centre: &str) -> &[Name] {
        self.watchers.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// Returns the data centres with a live member.
    pub(crate) fn data_centres(&self) -> impl Iterator<Item = &Name> {
        self.watchers.keys()
    }
}
