//! Hash collections with a fast, non-cryptographic hasher.

/// Hash map with a fast hasher. Keys come from the fleet's own state and are bounded in number, so
/// resistance to collision attacks is not needed.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set counterpart of [`FastMap`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
