//! A store of versioned documents that never returns to a lower revision.

use std::sync::Arc;

use model::{FastMap, Name};

/// Result of offering a document to a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentOffer {
    /// The revision is higher than the one held, and the store took the document.
    Newer,
    Same,
    /// The revision is lower than the one held, and the store kept its document.
    Older,
}

/// The documents that a node holds.
///
/// ```
/// use config::{DocumentOffer, DocumentStore};
/// let mut store = DocumentStore::default();
/// assert_eq!(store.offer(&"config".into(), 2, b"two"), DocumentOffer::Newer);
/// assert_eq!(store.offer(&"config".into(), 1, b"one"), DocumentOffer::Older);
/// assert_eq!(store.get("config").map(|(revision, _)| revision), Some(2));
/// ```
#[derive(Debug, Default)]
pub struct DocumentStore {
    documents: FastMap<Name, (u64, Arc<[u8]>)>,
}

impl DocumentStore {
    /// Stores a document if its revision is higher than the one held.
    pub fn offer(&mut self, document: &Name, revision: u64, bytes: &[u8]) -> DocumentOffer {
        match self.documents.get(document) {
            Some((current, _)) if *current == revision => DocumentOffer::Same,
            Some((current, _)) if *current > revision => DocumentOffer::Older,
            _ => {
                self.documents.insert(document.clone(), (revision, bytes.into()));
                DocumentOffer::Newer
            }
        }
    }

    /// Returns the revision and bytes of a document.
    pub fn get(&self, document: &str) -> Option<(u64, Arc<[u8]>)> {
        self.documents.get(document).map(|(revision, bytes)| (*revision, bytes.clone()))
    }

    /// Returns the revision of each document, sorted by name.
    pub fn revisions(&self) -> Vec<(Name, u64)> {
        let mut revisions: Vec<(Name, u64)> =
            self.documents.iter().map(|(name, (revision, _))| (name.clone(), *revision)).collect();
        revisions.sort();
        revisions
    }
}
