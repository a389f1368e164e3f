//! Step 5: asks the router actor for a target.

use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_crashes::{PartHash, TargetStartId};
use bamboospur_placement::{Refusal, Ticket};
use bamboospur_retries::{AttemptOutcome, Permit};
use bamboospur_types::{ChatId, OfferId, ResultCode, TargetId, TargetKind, TeamId, WorkTokens};

use super::accept::CheckedRequest;
use super::authenticate::Identity;
use super::error::RequestError;
use super::node::Node;
use crate::actors::RouterMessage;
use crate::mailbox::{Mailbox, MainLoopMessage};

/// Request to the router actor to choose a target.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// Pool whose targets can be chosen.
    pub pool: String,
    /// Id of the caller's team.
    pub team: TeamId,
    /// Chat id by which a target is preferred.
    pub chat: ChatId,
    /// Offer that the target must have; `None` for services.
    pub offer: Option<OfferId>,
    /// Estimated work if no prefix of the prompt is cached.
    pub work_tokens: WorkTokens,
    /// Estimated part of the prompt that an engine may have cached.
    pub prefix_tokens: WorkTokens,
    /// Parts of the request that may crash targets.
    pub parts: Vec<PartHash>,
    /// Priority of the caller's team.
    pub priority: u8,
    /// Targets where earlier attempts of this request failed.
    pub excluded: Vec<TargetId>,
    /// Target that answered the chat's previous request, as the caller states.
    pub hint: Option<TargetId>,
    /// How often the owner of a target has denied this request; the router actor
    /// counts these.
    pub denials: u8,
}

/// Answer of the router actor to a [`PlaceRequest`].
#[derive(Debug)]
pub enum Placement {
    /// The request is to be sent to this target.
    Target(ChosenTarget),
    /// A part of the request crashes targets.
    Blocked {
        /// When a request with the part is sent to a target again.
        until: Instant,
    },
    /// No target can take the request.
    Refused {
        /// Why no target was chosen.
        reason: Refusal,
        /// Time that the caller should wait before it retries.
        retry_after: std::time::Duration,
    },
}

/// A target chosen for one attempt.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// Id of the target.
    pub target: TargetId,
    /// Identity of the start of the target.
    pub start_id: TargetStartId,
    /// Name of the target.
    pub name: String,
    /// Address of the target.
    pub address: SocketAddr,
    /// Whether the target is an engine or a service.
    pub kind: TargetKind,
    /// Identifies the placement when the attempt ends.
    pub ticket: Ticket,
    /// Permit of the target's circuit breaker for this attempt.
    pub permit: Permit,
    /// Whether the target has stated a limit on its requests.
    pub is_limited: bool,
}

/// The load that one attempt adds to its target; dropping the reservation
/// removes the load and reports the outcome to the circuit breaker.
#[derive(Debug)]
pub struct Reservation {
    pub chosen: ChosenTarget,
    /// How the attempt ended; `Abandoned` until that is known.
    pub outcome: AttemptOutcome,
    mailbox: Mailbox,
    pool: String,
    team: TeamId,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.mailbox
            .send(MainLoopMessage::Router(RouterMessage::Finish {
                pool: std::mem::take(&mut self.pool),
                team: self.team,
                target: self.chosen.target,
                ticket: self.chosen.ticket,
                permit: self.chosen.permit,
                outcome: self.outcome,
            }));
    }
}

/// Reserves a target that is not in `excluded`.
pub fn reserve_target(
    node: &Node,
    request: &CheckedRequest,
    identity: &Identity,
    excluded: &[TargetId],
) -> Result<Reservation, RequestError> {
    let place = PlaceRequest {
        pool: request.pool.clone(),
        team: identity.team_id(),
        chat: request.chat,
        offer: request.offer,
        work_tokens: request.work_tokens,
        prefix_tokens: request.prefix_tokens,
        parts: request.parts.clone(),
        priority: identity.team.priority,
        excluded: excluded.to_vec(),
        hint: request.hint,
        denials: 0,
    };
    let answer = node.mailbox.request_until(
        |reply| MainLoopMessage::Router(RouterMessage::Place { place, reply }),
        request.deadline,
    );
    match answer {
        Some(Placement::Target(chosen)) => Ok(Reservation {
            chosen,
            outcome: AttemptOutcome::Abandoned,
            mailbox: node.mailbox.clone(),
            pool: request.pool.clone(),
            team: identity.team_id(),
        }),
        Some(Placement::Refused {
            reason,
            retry_after,
        }) => Err(refusal_error(request, reason, retry_after)),
        Some(Placement::Blocked { until }) => Err(blocked_error(until)),
        None => Err(RequestError::no_main_loop()),
    }
}

fn blocked_error(until: Instant) -> RequestError {
    let message = "a message of the chat has crashed several engines; leave it out";
    let left = until.saturating_duration_since(Instant::now());
    RequestError::with_retry_after(ResultCode::CrashesTargets, message, left)
}

fn refusal_error(
    request: &CheckedRequest,
    reason: Refusal,
    retry_after: std::time::Duration,
) -> RequestError {
    let pool = &request.pool;
    let (code, message) = match reason {
        Refusal::NoTarget => (
            ResultCode::NoTarget,
            format!("no target of pool {pool} is live; send the request again later"),
        ),
        Refusal::Overloaded => (
            ResultCode::Overloaded,
            format!("every target of pool {pool} is at its bound; send the request again later"),
        ),
    };
    RequestError::with_retry_after(code, message, retry_after)
}
