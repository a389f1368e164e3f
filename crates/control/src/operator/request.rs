//! Bodies of operator API requests and their conversion to changes.

use bamboospur_agreement::MemberChange;
use bamboospur_settings::{Change, Edit, Path, PathError, Revision, Value};
use bamboospur_types::{InstanceId, stable_id};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Paths of the API.
pub mod paths {
    /// `GET ?path=`: returns a value with the version of its branch.
    pub const TREE: &str = "/control/tree";
    /// `POST`: sets or unsets one value.
    pub const CHANGE: &str = "/control/change";
    /// `POST`: replaces a whole branch with TOML content.
    pub const APPLY: &str = "/control/apply";
    /// `GET ?path=&before=&limit=`: returns the audit trail, newest first.
    pub const HISTORY: &str = "/control/history";
    /// `POST`: restores a whole branch to an earlier revision.
    pub const ROLLBACK: &str = "/control/rollback";
    /// `GET`: returns the state of the instance and the control group.
    pub const STATUS: &str = "/control/status";
    /// `GET` and `POST`: returns or changes the members of the control group.
    pub const MEMBERS: &str = "/control/members";
    /// `POST`: drains a target or an instance.
    pub const DRAIN: &str = "/control/drain";
    /// `GET ?revision=`: returns whether a revision is in force on all live routers.
    pub const IN_FORCE: &str = "/control/in-force";
}

quick_error! {
    /// Request that cannot be converted to a change.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RequestError {
        /// The path is not valid.
        Path(error: PathError) {
            from()
            display("{error}")
        }
        /// The TOML text is not valid.
        Toml(message: String) {
            display("the TOML text cannot be read: {message}")
        }
        /// The change has both a value and `"unset": true`, or neither.
        Edit {
            display("a change needs either \"value\" or \"unset\": true")
        }
    }
}

/// Body of `POST /control/change`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Id of the change; a retry uses the same id, so the change is applied once.
    pub change_id: String,
    /// Path of the value.
    pub path: String,
    /// Version of the branch that the operator last read; another current version
    /// is a conflict.
    pub base_version: Revision,
    /// New value; absent to unset the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// Whether to remove the value.
    #[serde(default)]
    pub unset: bool,
}

impl ChangeRequest {
    /// Converts the request to a change by an operator.
    ///
    /// # Errors
    ///
    /// Returns an error when the path is not valid, or unless exactly one of
    /// `value` and `unset` is given.
    pub fn into_change(self, operator: &str) -> Result<Change, RequestError> {
        let edit = match (self.value, self.unset) {
            (Some(value), false) => Edit::Set(value),
            (None, true) => Edit::Unset,
            _ => return Err(RequestError::Edit),
        };
        Ok(Change {
            id: self.change_id,
            operator: operator.to_owned(),
            path: self.path.parse()?,
            base_version: self.base_version,
            edit,
        })
    }
}

/// Body of `POST /control/apply`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// Id of the change; a retry uses the same id, so the change is applied once.
    pub change_id: String,
    /// Branch, `fleet` or `teams.NAME`.
    pub path: String,
    /// Version of the branch that the operator last read; another current version
    /// is a conflict.
    pub base_version: Revision,
    /// Whole content of the branch in TOML.
    pub toml: String,
}

impl ApplyRequest {
    /// Converts the request to a change by an operator.
    ///
    /// # Errors
    ///
    /// Returns an error when the path or the TOML text is not valid.
    pub fn into_change(self, operator: &str) -> Result<Change, RequestError> {
        let value = Value::parse_toml(&self.toml).map_err(RequestError::Toml)?;
        Ok(Change {
            id: self.change_id,
            operator: operator.to_owned(),
            path: parse_branch(&self.path)?,
            base_version: self.base_version,
            edit: Edit::Set(value),
        })
    }
}

/// Body of `POST /control/rollback`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollbackRequest {
    /// Id of the change; a retry uses the same id, so the change is applied once.
    pub change_id: String,
    /// Branch, `fleet` or `teams.NAME`.
    pub path: String,
    /// Version of the branch that the operator last read; another current version
    /// is a conflict.
    pub base_version: Revision,
    /// Revision whose content is restored.
    pub revision: Revision,
}

impl RollbackRequest {
    /// Converts the request to a change by an operator.
    ///
    /// # Errors
    ///
    /// Returns an error when the path is not valid.
    pub fn into_change(self, operator: &str) -> Result<Change, RequestError> {
        Ok(Change {
            id: self.change_id,
            operator: operator.to_owned(),
            path: self.path.parse()?,
            base_version: self.base_version,
            edit: Edit::Rollback {
                revision: self.revision,
            },
        })
    }
}

fn parse_branch(path: &str) -> Result<Path, RequestError> {
    let path: Path = path.parse()?;
    if path.names.is_empty() {
        return Ok(path);
    }
    Err(RequestError::Toml(format!(
        "{path} is not a whole branch; apply fleet or teams.NAME"
    )))
}

/// Change to one member of the control group.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberAction {
    /// Adds an instance as a learner, which receives the log but does not vote.
    Add,
    /// Makes a learner that has caught up with the log a voter.
    Promote,
    /// Removes a member.
    Remove,
}

/// Body of `POST /control/members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembersRequest {
    /// Change to the member.
    pub action: MemberAction,
    /// Name of the instance.
    pub instance: String,
    /// Identity of the instance's data folder in hexadecimal; needed only to add
    /// an instance.
    #[serde(default)]
    pub disk: Option<String>,
}

impl MembersRequest {
    /// Converts the request to a change of members.
    ///
    /// # Errors
    ///
    /// Returns a message when an instance is added without a valid disk identity.
    pub fn to_change(&self) -> Result<MemberChange, String> {
        let id: InstanceId = stable_id(&self.instance);
        match self.action {
            MemberAction::Promote => Ok(MemberChange::Promote { id }),
            MemberAction::Remove => Ok(MemberChange::Remove { id }),
            MemberAction::Add => {
                let text = self.disk.as_deref().unwrap_or_default();
                let disk = u64::from_str_radix(text, 16).map_err(|_| {
                    format!(
                        "disk {text:?} is not a disk identity: give the hexadecimal number that the new instance logs at its start"
                    )
                })?;
                Ok(MemberChange::AddLearner { id, disk })
            }
        }
    }
}

/// Body of `POST /control/drain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Name of a target or an instance.
    pub name: String,
}
