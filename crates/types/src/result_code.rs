//! Numbered results, one for each way a request or an operation can end.
//!
//! Numbers are stable: callers and operators may store them. The first digit
//! names the step, `docs/result-codes.md` explains each one, and a test keeps
//! that table equal to this enum.

use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// Numbered result of a request or an operation.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::FromRepr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum ResultCode {
    /// The whole answer was delivered.
    Ok = 0,
    /// The stored answer of an earlier request with the same key was delivered.
    Replayed = 1,

    /// The request is malformed.
    BadRequest = 100,
    /// The request head or body is larger than the limit.
    TooLarge = 101,
    /// The caller was too slow to send the request.
    CallerTooSlow = 102,
    /// No such path.
    UnknownPath = 103,
    /// The method is not supported on this path.
    BadMethod = 104,

    /// No valid team key was given.
    Unauthenticated = 200,
    /// The team may not use this model or pool.
    Forbidden = 201,
    /// The model is not served to this team.
    UnknownModel = 202,
    /// The pool does not exist.
    UnknownPool = 203,

    /// The team's share of requests is in use.
    TeamRequestLimit = 300,
    /// The team's share of work is in use.
    TeamWorkLimit = 301,
    /// The instance is shutting down.
    ShuttingDown = 302,
    /// The instance holds as many requests as it can.
    InstanceFull = 303,
    /// The instance has no settings yet.
    NotReady = 304,

    /// A request that is not repeatable came without an idempotency key.
    KeyRequired = 400,
    /// The claim could not be committed at a quorum; nothing was sent.
    NoQuorum = 401,
    /// The key was used before with another request.
    KeyReused = 402,
    /// An earlier request with this key may have run; it is not run again.
    ClaimUnknown = 403,
    /// An earlier request with this key is still running.
    ClaimRunning = 404,

    /// No target of the pool is live.
    NoTarget = 500,
    /// Every target of the pool is at its load bound.
    Overloaded = 501,
    /// A part of the request has crashed several targets; it is sent to no other.
    CrashesTargets = 502,

    /// No target could be connected to.
    ConnectFailed = 600,
    /// The target refused the request before running it.
    TargetRefused = 601,
    /// The target failed after the request may have run.
    TargetFailed = 602,
    /// The target's answer did not belong to the request.
    WrongAnswer = 603,
    /// The deadline passed while the target may have been running the request.
    DeadlineExceeded = 604,
    /// The retry budget is spent.
    RetryBudgetSpent = 605,

    /// The stream broke and could not be resumed.
    StreamBroken = 700,
    /// The caller hung up.
    CallerGone = 701,
    /// The answer ended before its stated end.
    Truncated = 702,

    /// The change is not valid.
    InvalidChange = 800,
    /// The branch has a newer version.
    VersionConflict = 801,
    /// The operator's role does not allow this.
    OperatorForbidden = 802,
    /// The control group has no leader or no quorum.
    NoLeader = 803,
    /// The change is accepted but not yet in force everywhere.
    NotInForceYet = 804,
    /// No such path, member or target.
    NotFound = 805,

    /// An invariant of the program was violated.
    Internal = 900,
}

impl ResultCode {
    /// Returns the stable number of this code.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns what this code proves about the request.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Ok | Self::Replayed => Outcome::Answered,
            Self::ClaimUnknown
            | Self::ClaimRunning
            | Self::TargetFailed
            | Self::WrongAnswer
            | Self::DeadlineExceeded
            | Self::StreamBroken
            | Self::CallerGone
            | Self::Truncated
            | Self::NotInForceYet
            | Self::Internal => Outcome::Unknown,
            Self::BadRequest
            | Self::TooLarge
            | Self::CallerTooSlow
            | Self::UnknownPath
            | Self::BadMethod
            | Self::Unauthenticated
            | Self::Forbidden
            | Self::UnknownModel
            | Self::UnknownPool
            | Self::TeamRequestLimit
            | Self::TeamWorkLimit
            | Self::ShuttingDown
            | Self::InstanceFull
            | Self::NotReady
            | Self::KeyRequired
            | Self::NoQuorum
            | Self::KeyReused
            | Self::NoTarget
            | Self::Overloaded
            | Self::CrashesTargets
            | Self::ConnectFailed
            | Self::TargetRefused
            | Self::RetryBudgetSpent
            | Self::InvalidChange
            | Self::VersionConflict
            | Self::OperatorForbidden
            | Self::NoLeader
            | Self::NotFound => Outcome::NotRun,
        }
    }

    /// Returns the HTTP status that carries this code.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Ok | Self::Replayed => 200,
            Self::NotInForceYet => 202,
            Self::BadRequest | Self::KeyRequired | Self::InvalidChange => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden | Self::OperatorForbidden => 403,
            Self::UnknownPath | Self::UnknownModel | Self::UnknownPool | Self::NotFound => 404,
            Self::BadMethod => 405,
            Self::CallerTooSlow => 408,
            Self::KeyReused | Self::ClaimRunning | Self::ClaimUnknown | Self::VersionConflict => {
                409
            }
            Self::TooLarge => 413,
            Self::TeamRequestLimit | Self::TeamWorkLimit => 429,
            Self::Internal => 500,
            Self::TargetFailed
            | Self::WrongAnswer
            | Self::StreamBroken
            | Self::CallerGone
            | Self::Truncated => 502,
            Self::ShuttingDown
            | Self::InstanceFull
            | Self::NotReady
            | Self::NoQuorum
            | Self::NoTarget
            | Self::Overloaded
            | Self::CrashesTargets
            | Self::ConnectFailed
            | Self::TargetRefused
            | Self::RetryBudgetSpent
            | Self::NoLeader => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}
