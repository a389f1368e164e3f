//! Wire types of answers to clients.

use bamboospur_claims::{ClaimResponse, ReleaseOutcome, SettleOutcome};
use bamboospur_orders::FinishOutcome;
use bamboospur_settings::{Accepted, Diff, Refusal, SavedTree};
use bamboospur_types::InstanceId;
use serde::{Deserialize, Serialize};

use crate::codec::CodecError;
use crate::command::Reply;
use crate::member::{MemberError, Response, RouterReport};
use crate::wire::claim::{WireClaimResponse, WireReleaseOutcome, WireSettleOutcome};
use crate::wire::engine::WireOrder;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireFinishOutcome {
    Ended,
    Kept,
    NotLive,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireReply {
    Change(Result<Accepted, Refusal>),
    Claims(Vec<WireClaimResponse>),
    Settled(WireSettleOutcome),
    Released(WireReleaseOutcome),
    Expired(u64),
    /// The outcomes are left out: only the issuing leader uses them, in its own process.
    Orders,
    OrderFinished(WireFinishOutcome),
    Skipped,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireMemberError {
    NotLeader(Option<InstanceId>),
    NotApplied(String),
    Doubt,
    Invalid(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireResponse {
    Applied(WireReply),
    Watched(Option<WireClaimResponse>),
    Read(u64),
    Members(u64),
    Changes(SavedTree),
    Routers(Vec<RouterReport>),
    Orders(Vec<WireOrder>),
    Failed(WireMemberError),
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
                FinishOutcome::Ended => WireFinishOutcome::Ended,
                FinishOutcome::Kept => WireFinishOutcome::Kept,
                FinishOutcome::NotLive => WireFinishOutcome::NotLive,
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
                WireFinishOutcome::Ended => FinishOutcome::Ended,
                WireFinishOutcome::Kept => FinishOutcome::Kept,
                WireFinishOutcome::NotLive => FinishOutcome::NotLive,
            }),
            WireReply::Skipped => Self::Skipped,
        }
    }
}

impl From<&MemberError> for WireMemberError {
    fn from(error: &MemberError) -> Self {
        match error {
            MemberError::NotLeader { leader } => Self::NotLeader(*leader),
            MemberError::NotApplied { message } => Self::NotApplied(message.clone()),
            MemberError::OutcomeUnknown => Self::Doubt,
            MemberError::Invalid { message } => Self::Invalid(message.clone()),
        }
    }
}

impl From<WireMemberError> for MemberError {
    fn from(wire: WireMemberError) -> Self {
        match wire {
            WireMemberError::NotLeader(leader) => Self::NotLeader { leader },
            WireMemberError::NotApplied(message) => Self::NotApplied { message },
            WireMemberError::Doubt => Self::OutcomeUnknown,
            WireMemberError::Invalid(message) => Self::Invalid { message },
        }
    }
}

impl From<&Result<Response, MemberError>> for WireResponse {
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

impl TryFrom<WireResponse> for Result<Response, MemberError> {
    type Error = CodecError;

    fn try_from(wire: WireResponse) -> Result<Self, CodecError> {
        Ok(match wire {
            WireResponse::Applied(reply) => Ok(Response::Applied(reply.into())),
            WireResponse::Watched(claim) => Ok(Response::Watched(claim.map(Into::into))),
            WireResponse::Read(index) => Ok(Response::Read { index }),
            WireResponse::Members(index) => Ok(Response::Members { index }),
            WireResponse::Changes(saved) => {
                let diff = Diff::try_from(saved).map_err(CodecError::invalid_content)?;
                Ok(Response::Changes(diff))
            }
            WireResponse::Routers(routers) => Ok(Response::Routers(routers)),
            WireResponse::Orders(orders) => Ok(Response::Orders(
                orders.into_iter().map(Into::into).collect(),
            )),
            WireResponse::Failed(error) => Err(error.into()),
        })
    }
}
