//! Audit trail of the most recent changes, with the content that they replaced.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::branch::{Branch, BranchName};
use crate::tree::Revision;

/// Maximum number of changes in the audit trail: 16 hours at 1,500 changes a day.
pub const MAX_HISTORY_ENTRIES: usize = 1024;
/// Maximum size of the audit trail, in which the replaced branches kept for
/// rollback count as TOML text.
pub const MAX_HISTORY_BYTES: usize = 4 * 1024 * 1024;
/// Longest old or new value shown in an audit entry.
const MAX_AUDIT_VALUE_BYTES: usize = 512;

/// One accepted change in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Revision of the change.
    pub revision: Revision,
    /// Time of the change by the leader's clock, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Name of the operator who made the change.
    pub operator: String,
    /// Id of the change.
    pub change_id: String,
    /// Path of the changed value or branch.
    pub path: String,
    /// Value before the change, as shortened TOML without secrets; absent when
    /// nothing was set.
    pub old: Option<String>,
    /// Value after the change, in the same form; absent when it was removed.
    pub new: Option<String>,
}

/// Filter for the audit trail, which is listed newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditQuery {
    /// Only entries whose path starts with this text.
    pub path: Option<String>,
    /// Only entries with this revision or an older one.
    pub before: Option<Revision>,
    /// Maximum number of entries; 0 for no limit.
    pub limit: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HistoryEntry {
    pub(crate) audit: AuditEntry,
    pub(crate) name: BranchName,
    /// The branch before the change.
    pub(crate) before: Option<Branch>,
    pub(crate) size_bytes: usize,
}

/// Entries for the revisions above `floor`, without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct History {
    pub(crate) floor: Revision,
    pub(crate) entries: VecDeque<HistoryEntry>,
    pub(crate) size_bytes: usize,
}

impl History {
    pub(crate) fn push(&mut self, entry: HistoryEntry) {
        self.size_bytes += entry.size_bytes;
        self.entries.push_back(entry);
        while self.entries.len() > MAX_HISTORY_ENTRIES || self.size_bytes > MAX_HISTORY_BYTES {
            let Some(dropped) = self.entries.pop_front() else {
                return;
            };
            self.size_bytes -= dropped.size_bytes;
            self.floor = dropped.audit.revision;
        }
    }

    /// Returns the entries after a revision; `None` when some of them were dropped.
    pub(crate) fn since(&self, revision: Revision) -> Option<impl Iterator<Item = &HistoryEntry>> {
        let skipped = revision.checked_sub(self.floor)?;
        let skipped = usize::try_from(skipped).ok()?;
        Some(self.entries.iter().skip(skipped))
    }

    pub(crate) fn select(&self, query: &AuditQuery) -> Vec<AuditEntry> {
        let newest = query.before.unwrap_or(Revision::MAX);
        let prefix = query.path.as_deref().unwrap_or_default();
        let limit = match query.limit {
            0 => usize::MAX,
            limit => limit,
        };
        let audits = self.entries.iter().rev().map(|entry| &entry.audit);
        let selected = audits.filter(|audit| audit.revision <= newest);
        let selected = selected.filter(|audit| audit.path.starts_with(prefix));
        selected.take(limit).cloned().collect()
    }
}

/// Shortens a text to `limit` bytes at a character boundary and marks the cut
/// with `...`.
pub(crate) fn shortened(text: String, limit: usize) -> String {
    if text.len() <= limit {
        return text;
    }
    let end = text.floor_char_boundary(limit);
    format!("{}...", &text[..end])
}

pub(crate) fn audit_text(value: Option<&toml::Value>) -> Option<String> {
    value.map(|value| shortened(value.to_string(), MAX_AUDIT_VALUE_BYTES))
}
