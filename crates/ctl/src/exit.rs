//! Exit codes of the program.

use bamboospur_types::ResultCode;

/// How the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// An internal error of the program or a server.
    Failed,
    /// The command line or a file is not valid.
    Usage,
    /// A server refused: the value or the path is not valid.
    Refused,
    /// The branch has another version than the change is based on.
    Conflict,
    /// The token is missing or its role does not suffice.
    Denied,
    /// No server answered, or none knows a leader.
    Unreachable,
    /// The change is accepted, but not in force on all live routers yet.
    NotInForce,
    /// `diff` found a difference.
    Different,
    /// The outcome is unknown: no server answered, and the change may have been accepted.
    Doubt,
}

impl Exit {
    /// Returns the exit code that the process returns.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Refused => 3,
            Self::Conflict => 4,
            Self::Denied => 5,
            Self::Unreachable => 6,
            Self::NotInForce => 7,
            Self::Different => 8,
            Self::Doubt => 9,
        }
    }
}

impl From<ResultCode> for Exit {
    fn from(code: ResultCode) -> Self {
        match code {
            ResultCode::Ok | ResultCode::Replayed => Self::Done,
            ResultCode::VersionConflict => Self::Conflict,
            ResultCode::Unauthenticated | ResultCode::OperatorForbidden => Self::Denied,
            ResultCode::NoLeader | ResultCode::NoQuorum | ResultCode::ShuttingDown => {
                Self::Unreachable
            }
            ResultCode::DeadlineExceeded => Self::Doubt,
            ResultCode::NotInForceYet => Self::NotInForce,
            ResultCode::InvalidChange | ResultCode::NotFound | ResultCode::BadRequest => {
                Self::Refused
            }
            _ => Self::Failed,
        }
    }
}
