//! The replicated state: the tree, the audit trail and the answers to recent
//! change ids.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::branch::{Branch, BranchContent, BranchName};
use crate::change::{Accepted, Change, ChangeError, Edit, Refusal};
use crate::check::check_branch;
use crate::diff::{BranchDiff, Diff};
use crate::edit;
use crate::history::{AuditEntry, AuditQuery, History, HistoryEntry, audit_text, shortened};
use crate::path::Path;
use crate::redact::redacted;
use crate::tree::{Revision, Tree};
use crate::value::Value;

/// Maximum number of change ids whose answers are kept: five days at 1,500
/// changes a day.
pub const MAX_CHANGE_IDS: usize = 8192;
/// Time for which the answer to a change id is kept.
pub const CHANGE_ID_RETENTION: Duration = Duration::from_hours(24);
/// Longest message or path of a refusal, so that all remembered refusals use at
/// most 8 MB.
const MAX_REFUSAL_TEXT_BYTES: usize = 512;

/// Violations of invariants, for the host to log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Number of violations since the start of the process.
    pub count: u64,
    /// Description of the last violation; absent when there was none.
    pub last: Option<String>,
}

impl Violations {
    /// Counts a violation and keeps its description as the last one.
    pub fn record(&mut self, message: String) {
        self.count += 1;
        self.last = Some(message);
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RememberedAnswer {
    pub(crate) at_unix_ms: u64,
    pub(crate) fingerprint: u64,
    pub(crate) answer: Result<Accepted, Refusal>,
}

/// Settings state that the control group replicates.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub(crate) tree: Tree,
    pub(crate) history: History,
    /// Answers to recent changes, by change id.
    pub(crate) remembered: BTreeMap<String, RememberedAnswer>,
    /// Ids in `remembered`, oldest first.
    pub(crate) remembered_order: VecDeque<String>,
    pub(crate) violations: Violations,
}

impl Settings {
    /// Returns the tree in force.
    #[must_use]
    pub const fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the invariant violations found since the process started.
    #[must_use]
    pub const fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Applies a change, or returns the first answer again when the change is a
    /// resend.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that names path, value and remedy; the tree is
    /// then unchanged.
    pub fn apply(&mut self, change: &Change, at: SystemTime) -> Result<Accepted, Refusal> {
        let at_unix_ms = unix_ms(at);
        self.expire_change_ids(at_unix_ms);
        if !is_change_id(&change.id) {
            let id = shortened(change.id.clone(), 64);
            return Err(self.refusal(change, &ChangeError::BadId { id }));
        }
        let fingerprint = change.fingerprint();
        if let Some(first) = self.remembered.get(&change.id) {
            if first.fingerprint == fingerprint {
                return first.answer.clone();
            }
            let id = change.id.clone();
            return Err(self.refusal(change, &ChangeError::IdReused { id }));
        }
        let answer = self.apply_new_change(change, at_unix_ms);
        let answer = answer.map_err(|error| self.refusal(change, &error));
        let remembered = RememberedAnswer {
            at_unix_ms,
            fingerprint,
            answer: answer.clone(),
        };
        self.remembered.insert(change.id.clone(), remembered);
        self.remembered_order.push_back(change.id.clone());
        answer
    }

    /// Returns what changed after a revision, or a full copy when the history
    /// does not reach back to it.
    #[must_use]
    pub fn changes_since(&self, revision: Revision) -> Diff {
        let Some(entries) = self.history.since(revision) else {
            return Diff::full(&self.tree);
        };
        let names: std::collections::BTreeSet<_> = entries.map(|entry| &entry.name).collect();
        let branches = names.into_iter().map(|name| BranchDiff {
            name: name.clone(),
            branch: self.tree.branch(name),
        });
        Diff {
            full: false,
            from: revision.min(self.tree.revision),
            to: self.tree.revision,
            branches: branches.collect(),
        }
    }

    /// Returns the selected part of the audit trail, newest first.
    #[must_use]
    pub fn audit(&self, query: &AuditQuery) -> Vec<AuditEntry> {
        self.history.select(query)
    }

    fn apply_new_change(
        &mut self,
        change: &Change,
        at_unix_ms: u64,
    ) -> Result<Accepted, ChangeError> {
        let name = &change.path.branch;
        let present = self.tree.version(name);
        if present != change.base_version {
            return Err(ChangeError::Conflict {
                branch: name.clone(),
                base: change.base_version,
                present,
            });
        }
        let before = self.tree.branch(name);
        let content = self.edited_content(change, before.as_ref())?;
        if let Some(content) = &content {
            check_branch(&self.tree, name, content)?;
        }
        let revision = self.tree.revision + 1;
        let after = content.map(|content| Branch {
            version: revision,
            content,
        });
        let entry = audit_entry(change, at_unix_ms, revision, before, after.as_ref());
        self.tree.put(name, after);
        self.tree.revision = revision;
        self.history.push(entry);
        self.check_revision_step(name, present, revision);
        Ok(Accepted { revision })
    }

    /// Returns the content of the branch after the change; `None` to remove it.
    fn edited_content(
        &self,
        change: &Change,
        before: Option<&Branch>,
    ) -> Result<Option<BranchContent>, ChangeError> {
        let path = &change.path;
        let name = &path.branch;
        match &change.edit {
            Edit::Rollback { revision } => self.content_at_revision(path, *revision),
            Edit::Unset if path.names.is_empty() => match (name, before) {
                (BranchName::Fleet, _) => Ok(Some(BranchContent::empty(name))),
                (BranchName::Team(_), Some(_)) => Ok(None),
                (BranchName::Team(_), None) => Err(ChangeError::Missing {
                    path: path.to_string(),
                }),
            },
            Edit::Unset => {
                let mut root = untyped_branch(name, before)?;
                edit::unset(&mut root, path)?;
                edit::branch_from_toml(name, &root).map(Some)
            }
            Edit::Set(value) => {
                let mut root = untyped_branch(name, before)?;
                edit::set(&mut root, path, value)?;
                edit::branch_from_toml(name, &root).map(Some)
            }
        }
    }

    fn content_at_revision(
        &self,
        path: &Path,
        revision: Revision,
    ) -> Result<Option<BranchContent>, ChangeError> {
        if !path.names.is_empty() {
            return Err(ChangeError::RollbackPath {
                path: path.to_string(),
            });
        }
        let unavailable = || ChangeError::HistoryGone {
            revision,
            oldest: self.history.floor,
            newest: self.tree.revision,
        };
        if revision > self.tree.revision {
            return Err(unavailable());
        }
        let mut later = self.history.since(revision).ok_or_else(unavailable)?;
        let replaced = later.find(|entry| entry.name == path.branch);
        let branch = match replaced {
            Some(entry) => entry.before.clone(),
            None => self.tree.branch(&path.branch),
        };
        Ok(branch.map(|branch| branch.content))
    }

    fn refusal(&self, change: &Change, error: &ChangeError) -> Refusal {
        Refusal {
            code: error.code(),
            path: shortened(change.path.to_string(), MAX_REFUSAL_TEXT_BYTES),
            message: shortened(error.to_string(), MAX_REFUSAL_TEXT_BYTES),
            present_version: self.tree.version(&change.path.branch),
        }
    }

    fn expire_change_ids(&mut self, now_unix_ms: u64) {
        let retention_ms = u64::try_from(CHANGE_ID_RETENTION.as_millis()).unwrap_or(u64::MAX);
        while let Some(id) = self.remembered_order.front() {
            let oldest = self.remembered.get(id);
            let expired = oldest
                .is_none_or(|oldest| oldest.at_unix_ms.saturating_add(retention_ms) <= now_unix_ms);
            if !expired && self.remembered_order.len() < MAX_CHANGE_IDS {
                return;
            }
            self.remembered.remove(id);
            self.remembered_order.pop_front();
        }
    }

    fn check_revision_step(&mut self, name: &BranchName, before: Revision, revision: Revision) {
        let newest = self.history.entries.back();
        let recorded = newest.is_none_or(|entry| entry.audit.revision == revision);
        let version = self.tree.version(name);
        if revision <= before || !recorded || (version != revision && version != 0) {
            self.violations.record(format!(
                "settings revision {revision} of {name} does not follow version {before}"
            ));
        }
    }
}

fn is_change_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=64).contains(&id.len()) && id.bytes().all(is_allowed)
}

fn untyped_branch(name: &BranchName, branch: Option<&Branch>) -> Result<toml::Value, ChangeError> {
    let empty = BranchContent::empty(name);
    let content = branch.map_or(&empty, |branch| &branch.content);
    edit::branch_to_toml(content).map_err(|remedy| ChangeError::Type {
        path: name.to_string(),
        value: "present content".to_owned(),
        remedy,
    })
}

fn audit_entry(
    change: &Change,
    at_unix_ms: u64,
    revision: Revision,
    before: Option<Branch>,
    after: Option<&Branch>,
) -> HistoryEntry {
    let text = |branch: Option<&Branch>| {
        let root = edit::branch_to_toml(&branch?.content).ok()?;
        let value = edit::value_below(&root, &change.path.names)?;
        audit_text(Some(&redacted(&change.path, value)))
    };
    let before_bytes = before.as_ref().map_or(0, |branch| {
        edit::branch_to_toml(&branch.content).map_or(0, |root| root.to_string().len())
    });
    let audit = AuditEntry {
        revision,
        at_unix_ms,
        operator: change.operator.clone(),
        change_id: change.id.clone(),
        path: change.path.to_string(),
        old: text(before.as_ref()),
        new: text(after),
    };
    HistoryEntry {
        size_bytes: before_bytes + size_of::<HistoryEntry>() + 2 * audit.path.len(),
        audit,
        name: change.path.branch.clone(),
        before,
    }
}

/// Returns the milliseconds since 1970; 0 for an earlier time.
pub(crate) fn unix_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl Tree {
    /// Returns the value at a path; secrets are redacted unless `secrets` is true.
    ///
    /// # Errors
    ///
    /// Returns [`ChangeError::Missing`] when no value is set at the path.
    pub fn value_at(&self, path: &Path, secrets: bool) -> Result<Value, ChangeError> {
        let missing = || ChangeError::Missing {
            path: path.to_string(),
        };
        let branch = self.branch(&path.branch).ok_or_else(missing)?;
        let root = untyped_branch(&path.branch, Some(&branch))?;
        let value = edit::value_below(&root, &path.names).ok_or_else(missing)?;
        if secrets {
            return Ok(Value::from_toml(value));
        }
        Ok(Value::from_toml(&redacted(path, value)))
    }
}
