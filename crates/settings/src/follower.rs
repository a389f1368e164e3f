//! A router's copy of the tree.

use crate::branch::BranchContent;
use crate::branch::BranchName;
use crate::diff::{BranchDiff, Diff};
use crate::settings::Violations;
use crate::tree::{Revision, Tree};

/// Result of applying a diff to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The tree was updated to this revision.
    Applied {
        /// Revision that is now in force.
        revision: Revision,
    },
    /// The diff contains nothing new: it is a duplicate or arrived late.
    Stale,
    /// Earlier diffs are missing; the host has to request the changes since this
    /// revision.
    Gap {
        /// Revision in force.
        have: Revision,
    },
    /// The diff contradicts itself or the tree; it was counted as a violation.
    Refused,
}

/// Settings in force on a router. Their revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    tree: Tree,
    violations: Violations,
}

impl Follower {
    /// Starts from a tree, such as the last copy on disk.
    #[must_use]
    pub fn new(tree: Tree) -> Self {
        Self {
            tree,
            violations: Violations::default(),
        }
    }

    /// Returns the tree in force.
    #[must_use]
    pub const fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the revision in force.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.tree.revision()
    }

    /// Returns the invariant violations found since the process started.
    #[must_use]
    pub const fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Applies a diff that leads from the revision in force to a newer one.
    pub fn apply(&mut self, diff: &Diff) -> ApplyOutcome {
        let have = self.tree.revision;
        if diff.to <= have {
            return ApplyOutcome::Stale;
        }
        if !diff.full && diff.from > have {
            return ApplyOutcome::Gap { have };
        }
        if let Some(message) = self.find_contradiction(diff) {
            self.violations.record(message);
            return ApplyOutcome::Refused;
        }
        let mut tree = if diff.full {
            Tree::default()
        } else {
            std::mem::take(&mut self.tree)
        };
        for changed in &diff.branches {
            tree.put(&changed.name, changed.branch.clone());
        }
        tree.revision = diff.to;
        self.tree = tree;
        ApplyOutcome::Applied { revision: diff.to }
    }

    fn find_contradiction(&self, diff: &Diff) -> Option<String> {
        let contradicting = diff.branches.iter().find(|changed| {
            !content_matches_name(changed) || !self.is_version_valid(changed, diff.to)
        });
        contradicting.map(|changed| {
            let have = self.tree.version(&changed.name);
            let name = &changed.name;
            format!(
                "diff to revision {} contradicts {name} at version {have}",
                diff.to
            )
        })
    }

    fn is_version_valid(&self, changed: &BranchDiff, to: Revision) -> bool {
        let Some(branch) = &changed.branch else {
            return true;
        };
        branch.version <= to && branch.version >= self.tree.version(&changed.name)
    }
}

fn content_matches_name(changed: &BranchDiff) -> bool {
    let Some(branch) = &changed.branch else {
        return changed.name != BranchName::Fleet;
    };
    matches!(
        (&changed.name, &branch.content),
        (BranchName::Fleet, BranchContent::Fleet(_))
            | (BranchName::Team(_), BranchContent::Team(_))
    )
}
