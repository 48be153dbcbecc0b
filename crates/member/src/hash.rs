//! Highest-random-weight (rendezvous) hashing.
//!
//! All nodes of the fleet must agree on owners, also across builds, so the hash is written out here
//! and its values are fixed by a test.

use model::Name;

/// Returns the score of a node for a key. The node with the highest score owns the key.
///
/// ```
/// let (one, two) = (member::owner_score("billing-1-a", "vm-1"), member::owner_score("billing-1-a", "vm-2"));
/// assert_ne!(one, two);
/// ```
pub fn owner_score(key: &str, node: &str) -> u64 {
    combine(text_hash(key), text_hash(node))
}

/// Returns the nodes in the order in which they would own the key.
///
/// ```
/// let nodes = ["vm-1", "vm-2", "vm-3"].map(model::Name::from);
/// let order = member::rank_owners("billing-1-a", nodes.clone());
/// // Without the first, the rest keep their order.
/// let rest = nodes.into_iter().filter(|node| *node != order[0]);
/// assert_eq!(member::rank_owners("billing-1-a", rest), order[1..]);
/// ```
pub fn rank_owners(key: &str, nodes: impl IntoIterator<Item = Name>) -> Vec<Name> {
    let mut owners: Vec<Name> = nodes.into_iter().collect();
    owners.sort_by_cached_key(|node| (std::cmp::Reverse(owner_score(key, node)), node.clone()));
    owners
}

/// Combines the hashes of a key and a node.
pub(crate) fn combine(key: u64, node: u64) -> u64 {
    mix(key.rotate_left(32) ^ mix(node ^ 0x9e37_79b9_7f4a_7c15))
}

/// Hashes a text, eight bytes at a time.
pub(crate) fn text_hash(text: &str) -> u64 {
    let mut state = mix(text.len() as u64 ^ 0x2545_f491_4f6c_dd1d);
    for chunk in text.as_bytes().chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        state = mix(state.rotate_left(23) ^ u64::from_le_bytes(word));
    }
    state
}

/// Finalizer of SplitMix64: every input bit changes about half of the output bits.
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
