//! The settings tree, with validation, compare-and-set changes and an audit trail.
//!
//! The tree has one branch for the fleet and one for each team. A branch is
//! typed and is checked as a whole, together with the rest of the tree, before
//! a change to it is accepted. The version of a branch is the revision that
//! last changed it, so a version is never reused for different content.
//!
//! [`Settings`] is the replicated state: the tree, the audit trail and the
//! answers to recent change ids. [`Follower`] is the copy on a router. Both are
//! state machines without I/O or a clock; the host passes the time.

mod branch;
mod change;
mod check;
mod diff;
mod edit;
mod fleet;
mod follower;
mod history;
mod key_hash;
mod path;
mod redact;
mod request_rule;
mod saved;
mod settings;
mod sorted;
mod team;
mod tree;
mod value;

pub use branch::{Branch, BranchContent, BranchName};
pub use change::{Accepted, Change, ChangeError, Edit, Refusal};
pub use check::{CheckError, MAX_NAME_BYTES};
pub use diff::{BranchDiff, Diff};
pub use edit::{branch_from_toml, branch_to_toml};
pub use fleet::{
    EngineRole, Fleet, LimitDefaults, Model, ModelVersion, Operator, OrderSettings, Pool,
    RetryDefaults, Role,
};
pub use follower::{ApplyOutcome, Follower};
pub use history::{AuditEntry, AuditQuery, MAX_HISTORY_BYTES, MAX_HISTORY_ENTRIES};
pub use key_hash::{KeyHash, ParseKeyHashError, sha256};
pub use path::{Path, PathError};
pub use request_rule::{ParseRuleError, RequestRule};
pub use saved::{RestoreError, SavedBranch, SavedFollower, SavedSettings, SavedTree};
pub use settings::{CHANGE_ID_RETENTION, MAX_CHANGE_IDS, Settings, Violations};
pub use sorted::SortedMap;
pub use team::{ModelUse, Share, Team, WithoutKey};
pub use tree::{Revision, Tree};
pub use value::Value;
