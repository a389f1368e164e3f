//! Bodies of answers.

use bamboospur_settings::{AuditEntry, Revision, Value};
use bamboospur_types::ResultCode;
use serde::{Deserialize, Serialize};

/// Result, in every answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseMeta {
    /// Numbered result.
    pub code: u16,
    /// Name of the result.
    pub result: ResultCode,
    /// What is wrong and what to do; absent on success.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// Path that the result is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// After a version conflict: the version that the branch has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub present_version: Option<Revision>,
}

impl ResponseMeta {
    /// Returns the head of a successful answer.
    #[must_use]
    pub const fn ok() -> Self {
        Self {
            code: ResultCode::Ok.number(),
            result: ResultCode::Ok,
            message: None,
            path: None,
            present_version: None,
        }
    }

    /// Returns the head of another answer.
    #[must_use]
    pub fn failed(result: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code: result.number(),
            result,
            message: Some(message.into()),
            ..Self::ok()
        }
    }
}

impl From<&bamboospur_settings::Refusal> for ResponseMeta {
    fn from(refusal: &bamboospur_settings::Refusal) -> Self {
        Self {
            path: Some(refusal.path.clone()),
            present_version: Some(refusal.present_version),
            ..Self::failed(refusal.code, refusal.message.clone())
        }
    }
}

/// Answer of `GET /control/tree`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeResponse {
    /// Result.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Version of the branch; 0 for a branch that does not exist and for
    /// several branches.
    pub version: Revision,
    /// Revision of the tree that was read.
    pub revision: Revision,
    /// Value at the path; absent when nothing is set there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

/// Answer of `POST /control/change`, `/control/apply` and `/control/rollback`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Result.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Id of the change.
    pub change_id: String,
    /// Revision of the accepted change, and version of its branch.
    pub revision: Revision,
}

/// Answer of `GET /control/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// Result.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Entries, newest first.
    pub entries: Vec<AuditEntry>,
}

/// One member of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the instance, or its id in hexadecimal when the name is unknown.
    pub instance: String,
    /// `voter` or `learner`.
    pub kind: String,
    /// Whether it leads the group.
    pub leader: bool,
    /// Last index of the log that it acknowledged; known to the leader only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acknowledged_index: Option<u64>,
    /// Time since its last answer; known to the leader only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silent_ms: Option<u64>,
}

/// Answer of `GET` and `POST /control/members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersResponse {
    /// Result.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Members of the group.
    pub members: Vec<MemberView>,
}

/// Answer of `GET /control/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Result.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Name of the instance that answers.
    pub instance: String,
    /// Its role in the group, or `follower-only` without a data folder.
    pub role: String,
    /// Term of the log.
    pub term: u64,
    /// Name of the leader, when one is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Time without a leader; absent while one is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaderless_ms: Option<u64>,
    /// Revision of the settings in force on this instance.
    pub revision_in_force: Revision,
    /// Last committed index that is known.
    pub commit_index: u64,
    /// Claims held.
    pub claims: u64,
    /// Violated invariants since the start of the process.
    pub violations: u64,
    /// Last violated invariants.
    #[serde(default)]
    pub violation_messages: Vec<String>,
}

/// Kind of what is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DrainKind {
    /// A target: it gets no new work.
    Target,
    /// An instance: it shuts down gracefully.
    Instance,
}

/// Answer of `POST /control/drain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainResponse {
    /// Result.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Name of what is drained.
    pub name: String,
    /// Kind of what is drained.
    pub kind: DrainKind,
}

/// Router on which a revision is not in force yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingInstance {
    /// Name of the instance.
    pub instance: String,
    /// Revision in force there, as last reported.
    pub revision: Revision,
    /// Time since its last report.
    pub silent_ms: u64,
    /// Whether it is out of reach and not only late.
    pub cut_off: bool,
}

/// Answer of `GET /control/in-force`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceResponse {
    /// Result; [`ResultCode::NotInForceYet`] while a live router lags.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Revision that was asked about.
    pub revision: Revision,
    /// Live routers, late ones included.
    pub live: u64,
    /// Live routers on which the revision is in force.
    pub in_force: u64,
    /// Routers that lag or are cut off.
    pub lagging: Vec<LaggingInstance>,
}
