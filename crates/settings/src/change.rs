//! Changes to the tree and the answers to them.

use bamboospur_types::ResultCode;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::branch::BranchName;
use crate::check::CheckError;
use crate::key_hash::sha256;
use crate::path::Path;
use crate::tree::Revision;
use crate::value::{Value, write_text};

/// Edit of a value or of a whole branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Sets the value at the path; a missing team is created.
    Set(Value),
    /// Removes the value at the path, which restores its default.
    Unset,
    /// Restores the whole branch as it was at a revision.
    Rollback {
        /// Revision to restore.
        revision: Revision,
    },
}

/// Change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Id chosen by the operator's client; a resend carries the same id.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Path of the value, or of the whole branch.
    pub path: Path,
    /// Version of the branch that the change is based on; 0 for a new branch.
    pub base_version: Revision,
    /// Edit to make at the path.
    pub edit: Edit,
}

impl Change {
    /// Returns a hash that tells a resend from another change with the same id.
    /// The base version is left out: an operator who repeats a command after a
    /// lost answer reads a newer version.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut bytes = Vec::new();
        write_text(&mut bytes, b'o', &self.operator);
        write_text(&mut bytes, b'p', &self.path.to_string());
        match &self.edit {
            Edit::Set(value) => value.write_canonical(&mut bytes),
            Edit::Unset => bytes.push(b'u'),
            Edit::Rollback { revision } => {
                bytes.push(b'r');
                bytes.extend(revision.to_le_bytes());
            }
        }
        let digest = sha256(&bytes);
        u64::from_le_bytes(std::array::from_fn(|index| digest[index]))
    }
}

/// Answer to an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision of the change, and version of its branch from then on.
    pub revision: Revision,
}

/// Answer to a refused change; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Result code that classifies the refusal.
    pub code: ResultCode,
    /// Path that the refusal is about.
    pub path: String,
    /// What is wrong and how to correct it.
    pub message: String,
    /// Current version of the branch; 0 when it does not exist.
    pub present_version: Revision,
}

quick_error! {
    /// Reason for refusing a change.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum ChangeError {
        /// The changed tree fails a check.
        Check(error: CheckError) {
            from()
            display("{error}")
        }
        /// The value does not have the type of the setting.
        Type { path: String, value: String, remedy: String } {
            display("{path} = {value} is not valid: {remedy}")
        }
        /// No value is set at the path.
        Missing { path: String } {
            display("{path} is not set: list what is set with `bamboospurctl get {path}` one name shorter")
        }
        /// The branch changed after the operator read it.
        Conflict { branch: BranchName, base: Revision, present: Revision } {
            display("{branch} is at version {present}, not {base}: read it again, then repeat the change on version {present}")
        }
        /// The id was used before for a change with different content.
        IdReused { id: String } {
            display("change id {id:?} was used for another change: send this change with a new id")
        }
        /// The id is malformed.
        BadId { id: String } {
            display("change id {id:?} is not valid: use 1 to 64 letters, digits, - and _")
        }
        /// The history does not contain the revision to restore.
        HistoryGone { revision: Revision, oldest: Revision, newest: Revision } {
            display("revision {revision} cannot be restored: the history reaches from {oldest} to {newest}")
        }
        /// The path of a rollback is not that of a whole branch.
        RollbackPath { path: String } {
            display("{path} is not a whole branch: roll back fleet or teams.NAME")
        }
        /// The branch would be too large.
        TooLarge { branch: BranchName, bytes: usize, limit: usize } {
            display("{branch} would have {bytes} bytes: shorten it to {limit} bytes or less")
        }
    }
}

impl ChangeError {
    /// Returns the result code for this error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Conflict { .. } => ResultCode::VersionConflict,
            Self::Missing { .. } | Self::HistoryGone { .. } => ResultCode::NotFound,
            Self::Check(_)
            | Self::Type { .. }
            | Self::IdReused { .. }
            | Self::BadId { .. }
            | Self::RollbackPath { .. }
            | Self::TooLarge { .. } => ResultCode::InvalidChange,
        }
    }
}
