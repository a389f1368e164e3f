//! Branches of the tree.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::path::quoted;
use crate::team::Team;
use crate::tree::Revision;

/// Name of a branch, written `fleet` or `teams.NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BranchName {
    /// The fleet's branch.
    Fleet,
    /// The branch of the team with this name.
    Team(String),
}

impl fmt::Display for BranchName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet => f.write_str("fleet"),
            Self::Team(name) => write!(f, "teams.{}", quoted(name)),
        }
    }
}

/// Content of a branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BranchContent {
    /// Content of the fleet's branch.
    Fleet(Arc<Fleet>),
    /// Content of a team's branch.
    Team(Arc<Team>),
}

impl BranchContent {
    /// Returns the default content, which a branch has before its first change.
    #[must_use]
    pub fn empty(name: &BranchName) -> Self {
        match name {
            BranchName::Fleet => Self::Fleet(Arc::default()),
            BranchName::Team(_) => Self::Team(Arc::default()),
        }
    }
}

/// Content of a branch and the revision that last changed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// Revision that last changed the branch.
    pub version: Revision,
    /// Content of the branch.
    pub content: BranchContent,
}
