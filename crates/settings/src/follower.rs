//! The copy of the tree on a router.

use crate::branch::BranchContent;
use crate::branch::BranchName;
use crate::diff::{BranchDiff, Diff};
use crate::settings::Violations;
use crate::tree::{Revision, Tree};

/// What a follower did with a diff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The tree went forward to this revision.
    Applied {
        /// Revision in force from now on.
        revision: Revision,
    },
    /// The diff brings nothing new; it was sent twice or came late.
    Stale,
    /// Diffs are missing: ask for the changes since this revision.
    Gap {
        /// Revision in force.
        have: Revision,
    },
    /// The diff contradicts itself or the tree; it was counted as a violation.
    Refused,
}

/// Settings in force on a router. The revision only goes forward.
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

    /// Returns the invariants that were found broken in this process.
    #[must_use]
    pub const fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Applies a diff when it goes forward from the revision in force.
    pub fn apply(&mut self, diff: &Diff) -> ApplyOutcome {
        let have = self.tree.revision;
        if diff.to <= have {
            return ApplyOutcome::Stale;
        }
        if !diff.full && diff.from > have {
            return ApplyOutcome::Gap { have };
        }
        if let Some(wrong) = self.contradiction(diff) {
            self.violations.record(wrong);
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

    fn contradiction(&self, diff: &Diff) -> Option<String> {
        let wrong = diff
            .branches
            .iter()
            .find(|changed| !kind_matches(changed) || !self.goes_forward(changed, diff.to));
        wrong.map(|changed| {
            let have = self.tree.version(&changed.name);
            let name = &changed.name;
            format!(
                "diff to revision {} contradicts {name} at version {have}",
                diff.to
            )
        })
    }

    fn goes_forward(&self, changed: &BranchDiff, to: Revision) -> bool {
        let Some(branch) = &changed.branch else {
            return true;
        };
        branch.version <= to && branch.version >= self.tree.version(&changed.name)
    }
}

fn kind_matches(changed: &BranchDiff) -> bool {
    let Some(branch) = &changed.branch else {
        return changed.name != BranchName::Fleet;
    };
    matches!(
        (&changed.name, &branch.content),
        (BranchName::Fleet, BranchContent::Fleet(_))
            | (BranchName::Team(_), BranchContent::Team(_))
    )
}
