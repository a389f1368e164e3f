//! The configuration in force and the versions before it.
//!
//! A peer that holds one of these versions gets the difference to the newest one, which
//! is a small part of a large configuration. Any other peer gets the whole.

use std::collections::BTreeMap;

use bamboospur_group::{Change, Document, DocumentVersion};

/// Versions that are kept. Changes in quick succession reach some routers a few versions
/// late.
const MAX_VERSIONS: usize = 8;

/// Newest versions of the configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    documents: BTreeMap<DocumentVersion, Document>,
    /// Changes that lead to the newest version, by the version that they start from.
    changes: BTreeMap<DocumentVersion, Change>,
}

impl ConfigHistory {
    /// Returns the newest version; 0 without a configuration.
    #[must_use]
    pub fn version(&self) -> DocumentVersion {
        self.documents.keys().next_back().copied().unwrap_or(0)
    }

    /// Returns the document that a change leads to; `None` when it is not newer than the
    /// newest one or starts from another version.
    #[must_use]
    pub fn document_after(&self, change: &Change) -> Option<Document> {
        if change.version() <= self.version() {
            return None;
        }
        match change {
            Change::Whole(document) => Some(document.clone()),
            Change::Patch(patch) => self.documents.get(&patch.base_version)?.patched(patch),
        }
    }

    /// Adds a newer version; others are ignored. A patch that led to it is kept for peers
    /// that need the same one.
    pub fn push(&mut self, document: Document, change: Option<&Change>) {
        if document.version <= self.version() {
            return;
        }
        self.changes.clear();
        if let Some(Change::Patch(patch)) = change {
            let change = Change::Patch(patch.clone());
            self.changes.insert(patch.base_version, change);
        }
        self.documents.insert(document.version, document);
        while self.documents.len() > MAX_VERSIONS {
            self.documents.pop_first();
        }
    }

    /// Returns the change from a version that a peer holds to the newest one; `None` when
    /// the peer has it or there is none.
    pub fn change_from(&mut self, held: DocumentVersion) -> Option<Change> {
        let (&version, newest) = self.documents.last_key_value()?;
        if held >= version {
            return None;
        }
        let Some(base) = self.documents.get(&held) else {
            return Some(Change::Whole(newest.clone()));
        };
        let change = self.changes.entry(held);
        let change = change.or_insert_with(|| Change::between(base, newest));
        Some(change.clone())
    }
}
