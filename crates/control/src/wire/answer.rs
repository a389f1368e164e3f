//! Wire types of answers.

use bamboospur_claims::{ClaimResponse, ReleaseOutcome, SettleOutcome};
use bamboospur_orders::FinishOutcome;
use bamboospur_settings::{Accepted, Diff, Refusal, SavedTree};
use bamboospur_types::InstanceId;
use serde::{Deserialize, Serialize};

use crate::codec::CodecError;
use crate::command::Reply;
use crate::member::{MemberError, Response, RouterReport};
use crate::wire::claim::{WireClaimAnswer, WireRelease, WireSettle};
use crate::wire::engine::WireOrder;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireFinish {
    Ended,
    Kept,
    NotLive,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireReply {
    Change(Result<Accepted, Refusal>),
    Claims(Vec<WireClaimAnswer>),
    Settled(WireSettle),
    Released(WireRelease),
    Expired(u64),
    /// Only the leader that issues orders uses them; none are forwarded.
    Orders,
    OrderFinished(WireFinish),
    Skipped,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireError {
    NotLeader(Option<InstanceId>),
    NotApplied(String),
    Doubt,
    Invalid(String),
}

/// Wire form of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireAnswer {
    Applied(WireReply),
    Watched(Option<WireClaimAnswer>),
    Read(u64),
    Members(u64),
    Changes(SavedTree),
    Routers(Vec<RouterReport>),
    Orders(Vec<WireOrder>),
    Failed(WireError),
}

impl From<&Reply> for WireReply {
    fn from(reply: &Reply) -> Self {
        match reply {
            Reply::Change(answer) => Self::Change(answer.clone()),
            Reply::Claims(claims) => Self::Claims(claims.iter().map(Into::into).collect()),
            Reply::Settled(answer) => Self::Settled((*answer).into()),
            Reply::Released(answer) => Self::Released((*answer).into()),
            Reply::Expired(count) => Self::Expired(*count as u64),
            Reply::Orders(_) => Self::Orders,
            Reply::OrderFinished(finish) => Self::OrderFinished(match finish {
                FinishOutcome::Ended => WireFinish::Ended,
                FinishOutcome::Kept => WireFinish::Kept,
                FinishOutcome::NotLive => WireFinish::NotLive,
            }),
            Reply::Skipped => Self::Skipped,
        }
    }
}

impl From<WireReply> for Reply {
    fn from(wire: WireReply) -> Self {
        match wire {
            WireReply::Change(answer) => Self::Change(answer),
            WireReply::Claims(claims) => {
                Self::Claims(claims.into_iter().map(ClaimResponse::from).collect())
            }
            WireReply::Settled(answer) => Self::Settled(SettleOutcome::from(answer)),
            WireReply::Released(answer) => Self::Released(ReleaseOutcome::from(answer)),
            WireReply::Expired(count) => {
                Self::Expired(usize::try_from(count).unwrap_or(usize::MAX))
            }
            WireReply::Orders => Self::Orders(Vec::new()),
            WireReply::OrderFinished(finish) => Self::OrderFinished(match finish {
                WireFinish::Ended => FinishOutcome::Ended,
                WireFinish::Kept => FinishOutcome::Kept,
                WireFinish::NotLive => FinishOutcome::NotLive,
            }),
            WireReply::Skipped => Self::Skipped,
        }
    }
}

impl From<&MemberError> for WireError {
    fn from(error: &MemberError) -> Self {
        match error {
            MemberError::NotLeader { leader } => Self::NotLeader(*leader),
            MemberError::NotApplied { message } => Self::NotApplied(message.clone()),
            MemberError::Doubt => Self::Doubt,
            MemberError::Invalid { message } => Self::Invalid(message.clone()),
        }
    }
}

impl From<WireError> for MemberError {
    fn from(wire: WireError) -> Self {
        match wire {
            WireError::NotLeader(leader) => Self::NotLeader { leader },
            WireError::NotApplied(message) => Self::NotApplied { message },
            WireError::Doubt => Self::Doubt,
            WireError::Invalid(message) => Self::Invalid { message },
        }
    }
}

impl From<&Result<Response, MemberError>> for WireAnswer {
    fn from(answer: &Result<Response, MemberError>) -> Self {
        match answer {
            Ok(Response::Applied(reply)) => Self::Applied(reply.into()),
            Ok(Response::Watched(claim)) => Self::Watched(claim.as_ref().map(Into::into)),
            Ok(Response::Read { index }) => Self::Read(*index),
            Ok(Response::Members { index }) => Self::Members(*index),
            Ok(Response::Changes(diff)) => Self::Changes(SavedTree::from(diff)),
            Ok(Response::Routers(routers)) => Self::Routers(routers.clone()),
            Ok(Response::Orders(orders)) => Self::Orders(orders.iter().map(Into::into).collect()),
            Err(error) => Self::Failed(error.into()),
        }
    }
}

impl TryFrom<WireAnswer> for Result<Response, MemberError> {
    type Error = CodecError;

    fn try_from(wire: WireAnswer) -> Result<Self, CodecError> {
        Ok(match wire {
            WireAnswer::Applied(reply) => Ok(Response::Applied(reply.into())),
            WireAnswer::Watched(claim) => Ok(Response::Watched(claim.map(Into::into))),
            WireAnswer::Read(index) => Ok(Response::Read { index }),
            WireAnswer::Members(index) => Ok(Response::Members { index }),
            WireAnswer::Changes(saved) => {
                let diff = Diff::try_from(saved).map_err(CodecError::content)?;
                Ok(Response::Changes(diff))
            }
            WireAnswer::Routers(routers) => Ok(Response::Routers(routers)),
            WireAnswer::Orders(orders) => Ok(Response::Orders(
                orders.into_iter().map(Into::into).collect(),
            )),
            WireAnswer::Failed(error) => Err(error.into()),
        })
    }
}
