//! Bodies of operator API answers.

use bamboospur_settings::{AuditEntry, Revision, Value};
use bamboospur_types::ResultCode;
use serde::{Deserialize, Serialize};

/// Result fields that every answer includes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseMeta {
    /// Number of the result code.
    pub code: u16,
    /// Result code.
    pub result: ResultCode,
    /// Error and suggested action; absent on success.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// Settings path that the error refers to; absent when there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Current version of the branch; absent unless a change was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub present_version: Option<Revision>,
}

impl ResponseMeta {
    /// Returns the result fields of a successful answer.
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

    /// Returns the result fields of an error answer.
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

/// Answer to `GET /control/tree`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeResponse {
    /// Result fields.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Version of the branch; 0 when the branch does not exist or the path covers
    /// several branches.
    pub version: Revision,
    /// Revision of the tree that was read.
    pub revision: Revision,
    /// Value at the path; absent when nothing is set there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

/// Answer to `POST /control/change`, `/control/apply` and `/control/rollback`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Result fields.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Id that the request gave the change.
    pub change_id: String,
    /// Revision created by the change, also the new version of its branch; 0 when
    /// the change was not accepted.
    pub revision: Revision,
}

/// Answer to `GET /control/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// Result fields.
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
    /// Whether this member is the leader.
    pub leader: bool,
    /// Last log index that the member acknowledged; known to the leader only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acknowledged_index: Option<u64>,
    /// Time since the member's last answer; known to the leader only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silent_ms: Option<u64>,
}

/// Answer to `GET` and `POST /control/members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersResponse {
    /// Result fields.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Members of the group.
    pub members: Vec<MemberView>,
}

/// Answer to `GET /control/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Result fields.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Name of the answering instance.
    pub instance: String,
    /// Role of the instance in the group; `follower-only` without a data folder.
    pub role: String,
    /// Term of the log.
    pub term: u64,
    /// Name of the leader; absent while none is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Time without a known leader; absent while one is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaderless_ms: Option<u64>,
    /// Revision of the settings in force on this instance.
    pub revision_in_force: Revision,
    /// Last log index known to be committed.
    pub commit_index: u64,
    /// Number of claims in the table.
    pub claims: u64,
    /// Number of invariant violations since the process started.
    pub violations: u64,
    /// Messages of the last invariant violations.
    #[serde(default)]
    pub violation_messages: Vec<String>,
}

/// Kind of the drained object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DrainKind {
    /// Target, which gets no new requests.
    Target,
    /// Instance, which shuts down gracefully.
    Instance,
}

/// Answer to `POST /control/drain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainResponse {
    /// Result fields.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Name of the target or instance.
    pub name: String,
    /// Kind of the drained object.
    pub kind: DrainKind,
}

/// Router on which a revision is not in force yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingInstance {
    /// Name of the instance.
    pub instance: String,
    /// Revision in force on the instance, as last reported; 0 before any report.
    pub revision: Revision,
    /// Time since the last report of the instance, or since the start of tracking
    /// when there was none.
    pub silent_ms: u64,
    /// Whether the instance is unreachable rather than only late.
    pub cut_off: bool,
}

/// Answer to `GET /control/in-force`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceResponse {
    /// Result fields; [`ResultCode::NotInForceYet`] while a live router lags.
    #[serde(flatten)]
    pub head: ResponseMeta,
    /// Revision in the request.
    pub revision: Revision,
    /// Number of live routers, including those that lag.
    pub live: u64,
    /// Number of live routers on which the revision is in force.
    pub in_force: u64,
    /// Routers on which the revision is not in force, including unreachable ones.
    pub lagging: Vec<LaggingInstance>,
}
