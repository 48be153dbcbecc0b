//! Highest-random-weight hashing.

use model::Name;

/// Returns the weight of a node for a key.
pub fn owner_score(_key: &str, _node: &str) -> u64 {
    0
}

/// Returns the nodes in the order in which they would own the key.
pub fn rank_owners(key: &str, nodes: impl IntoIterator<Item = Name>) -> Vec<Name> {
    let mut owners: Vec<Name> = nodes.into_iter().collect();
    owners.sort_by_key(|node| (std::cmp::Reverse(owner_score(key, node)), node.clone()));
    owners
}
