//! Differences between two revisions, for followers.

use crate::branch::{Branch, BranchName};
use crate::tree::{Revision, Tree};

/// A branch that changed, as it is at the newer revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BranchDiff {
    /// Name of the branch.
    pub name: BranchName,
    /// The branch; absent when it was removed.
    pub branch: Option<Branch>,
}

/// Branches that changed after one revision and up to another.
///
/// Each changed branch is included whole, so a diff can be applied to any
/// revision from `from` on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diff {
    /// Whether this is a copy of the whole tree.
    pub full: bool,
    /// Revision that the diff starts from; 0 for a full copy.
    pub from: Revision,
    /// Revision that the tree has after the diff.
    pub to: Revision,
    /// Changed branches, or all branches for a full copy.
    pub branches: Vec<BranchDiff>,
}

impl Diff {
    /// Returns a copy of the whole tree.
    #[must_use]
    pub fn full(tree: &Tree) -> Self {
        let branches = tree.branch_names().map(|name| BranchDiff {
            branch: tree.branch(&name),
            name,
        });
        Self {
            full: true,
            from: 0,
            to: tree.revision(),
            branches: branches.collect(),
        }
    }
}
