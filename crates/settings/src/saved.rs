//! Serializable forms of the state, for the disk and for other instances.

use std::collections::BTreeSet;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::branch::{Branch, BranchContent, BranchName};
use crate::change::{Accepted, Refusal};
use crate::diff::{BranchDiff, Diff};
use crate::fleet::Fleet;
use crate::follower::Follower;
use crate::history::{AuditEntry, History, HistoryEntry};
use crate::settings::{RememberedAnswer, Settings};
use crate::team::Team;
use crate::tree::{Revision, Tree};

quick_error! {
    /// Saved state that contradicts itself.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum RestoreError {
        /// A part of the saved state contradicts another part.
        Contradiction { reason: String } {
            display("saved settings are not valid: {reason}; restore them from another instance")
        }
    }
}

fn contradiction<T>(reason: impl Into<String>) -> Result<T, RestoreError> {
    let reason = reason.into();
    Err(RestoreError::Contradiction { reason })
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum SavedContent {
    Fleet(Box<Fleet>),
    Team(Box<Team>),
}

/// Saved form of a branch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedBranch {
    version: Revision,
    content: SavedContent,
}

impl From<&Branch> for SavedBranch {
    fn from(branch: &Branch) -> Self {
        let content = match &branch.content {
            BranchContent::Fleet(fleet) => SavedContent::Fleet(Box::new(Fleet::clone(fleet))),
            BranchContent::Team(team) => SavedContent::Team(Box::new(Team::clone(team))),
        };
        let version = branch.version;
        Self { version, content }
    }
}

impl From<SavedBranch> for Branch {
    fn from(saved: SavedBranch) -> Self {
        let content = match saved.content {
            SavedContent::Fleet(fleet) => BranchContent::Fleet(Arc::from(fleet)),
            SavedContent::Team(team) => BranchContent::Team(Arc::from(team)),
        };
        let version = saved.version;
        Self { version, content }
    }
}

/// Saved form of a tree or of a diff.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedTree {
    full: bool,
    from: Revision,
    to: Revision,
    branches: Vec<(BranchName, Option<SavedBranch>)>,
}

impl From<&Diff> for SavedTree {
    fn from(diff: &Diff) -> Self {
        let branches = diff.branches.iter().map(|changed| {
            let branch = changed.branch.as_ref().map(SavedBranch::from);
            (changed.name.clone(), branch)
        });
        Self {
            full: diff.full,
            from: diff.from,
            to: diff.to,
            branches: branches.collect(),
        }
    }
}

impl TryFrom<SavedTree> for Diff {
    type Error = RestoreError;

    fn try_from(saved: SavedTree) -> Result<Self, Self::Error> {
        if saved.from > saved.to || (saved.full && saved.from != 0) {
            return contradiction(format!(
                "the revision range from {} to {} is not valid",
                saved.from, saved.to
            ));
        }
        let mut names = BTreeSet::new();
        let mut branches = Vec::with_capacity(saved.branches.len());
        for (name, branch) in saved.branches {
            if !names.insert(name.clone()) {
                return contradiction(format!("{name} occurs twice"));
            }
            let branch = branch.map(Branch::from);
            branches.push(BranchDiff { name, branch });
        }
        Ok(Self {
            full: saved.full,
            from: saved.from,
            to: saved.to,
            branches,
        })
    }
}

impl From<&Tree> for SavedTree {
    fn from(tree: &Tree) -> Self {
        Self::from(&Diff::full(tree))
    }
}

impl TryFrom<SavedTree> for Tree {
    type Error = RestoreError;

    fn try_from(saved: SavedTree) -> Result<Self, Self::Error> {
        let diff = Diff::try_from(saved)?;
        if !diff.full {
            return contradiction("the tree is a diff and not a full copy");
        }
        let mut follower = Follower::default();
        follower.apply(&diff);
        if follower.revision() != diff.to {
            return contradiction(format!(
                "the branches do not fit a tree at revision {}",
                diff.to
            ));
        }
        let keys: usize = follower
            .tree()
            .teams()
            .map(|(_, team)| team.keys.len())
            .sum();
        if keys != follower.tree().key_count() {
            return contradiction("two teams have the same key");
        }
        Ok(follower.tree().clone())
    }
}

/// Saved form of a router's copy of the tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedFollower {
    tree: SavedTree,
}

impl From<&Follower> for SavedFollower {
    fn from(follower: &Follower) -> Self {
        let tree = SavedTree::from(follower.tree());
        Self { tree }
    }
}

impl TryFrom<SavedFollower> for Follower {
    type Error = RestoreError;

    fn try_from(saved: SavedFollower) -> Result<Self, Self::Error> {
        Tree::try_from(saved.tree).map(Self::new)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SavedEntry {
    audit: AuditEntry,
    name: BranchName,
    before: Option<SavedBranch>,
    size_bytes: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SavedAnswer {
    id: String,
    at_unix_ms: u64,
    fingerprint: u64,
    answer: Result<Accepted, Refusal>,
}

/// Saved form of the replicated settings state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedSettings {
    tree: SavedTree,
    floor: Revision,
    history: Vec<SavedEntry>,
    remembered: Vec<SavedAnswer>,
}

impl From<&Settings> for SavedSettings {
    fn from(settings: &Settings) -> Self {
        let history = settings.history.entries.iter().map(|entry| SavedEntry {
            audit: entry.audit.clone(),
            name: entry.name.clone(),
            before: entry.before.as_ref().map(SavedBranch::from),
            size_bytes: entry.size_bytes as u64,
        });
        let remembered = settings.remembered_order.iter().filter_map(|id| {
            let remembered = settings.remembered.get(id)?;
            Some(SavedAnswer {
                id: id.clone(),
                at_unix_ms: remembered.at_unix_ms,
                fingerprint: remembered.fingerprint,
                answer: remembered.answer.clone(),
            })
        });
        Self {
            tree: SavedTree::from(&settings.tree),
            floor: settings.history.floor,
            history: history.collect(),
            remembered: remembered.collect(),
        }
    }
}

impl TryFrom<SavedSettings> for Settings {
    type Error = RestoreError;

    fn try_from(saved: SavedSettings) -> Result<Self, Self::Error> {
        let tree = Tree::try_from(saved.tree)?;
        let history = restored_history(saved.floor, saved.history, tree.revision())?;
        let mut settings = Self {
            tree,
            history,
            ..Self::default()
        };
        for answer in saved.remembered {
            let remembered = RememberedAnswer {
                at_unix_ms: answer.at_unix_ms,
                fingerprint: answer.fingerprint,
                answer: answer.answer,
            };
            settings.remembered_order.push_back(answer.id.clone());
            let duplicate = settings.remembered.insert(answer.id, remembered);
            if duplicate.is_some() {
                return contradiction("a change id occurs twice");
            }
        }
        Ok(settings)
    }
}

fn restored_history(
    floor: Revision,
    saved: Vec<SavedEntry>,
    revision: Revision,
) -> Result<History, RestoreError> {
    let mut history = History {
        floor,
        ..History::default()
    };
    let mut last = floor;
    for entry in saved {
        if Some(entry.audit.revision) != last.checked_add(1) {
            return contradiction(format!("history has a gap after revision {last}"));
        }
        last = entry.audit.revision;
        let Ok(size_bytes) = usize::try_from(entry.size_bytes) else {
            return contradiction("the size of a history entry is out of range");
        };
        history.size_bytes = history.size_bytes.saturating_add(size_bytes);
        history.entries.push_back(HistoryEntry {
            audit: entry.audit,
            name: entry.name,
            before: entry.before.map(Branch::from),
            size_bytes,
        });
    }
    if last != revision {
        return contradiction(format!("history ends at {last}, the tree at {revision}"));
    }
    Ok(history)
}
