//! Fifth step: the choice of a target.

use std::net::SocketAddr;

use bamboospur_placement::{Refusal, Ticket};
use bamboospur_retries::{AttemptOutcome, Permit};
use bamboospur_types::{ChatId, OfferId, ResultCode, TargetId, TargetKind, TeamId, WorkTokens};

use super::accept::Ask;
use super::authenticate::Identity;
use super::node::Node;
use super::refused::Refused;
use crate::actors::RouterMessage;
use crate::mailbox::{Mailbox, MainLoopMessage};

/// What the router needs to choose a target.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// Pool to choose from.
    pub pool: String,
    /// Team of the caller.
    pub team: TeamId,
    /// Chat.
    pub chat: ChatId,
    /// Offer that the target must have.
    pub offer: Option<OfferId>,
    /// Work without any cached prefix.
    pub work_tokens: WorkTokens,
    /// Part of the prompt that may be cached.
    pub prefix_tokens: WorkTokens,
    /// Priority of the team.
    pub priority: u8,
    /// Targets that failed this request.
    pub excluded: Vec<TargetId>,
    /// Target that answered the chat before, as the caller says.
    pub hint: Option<TargetId>,
    /// How often owners denied this request.
    pub denials: u8,
}

/// The router's answer.
#[derive(Debug)]
pub enum Placement {
    /// Send the request to this target.
    Target(ChosenTarget),
    /// Nothing was sent.
    Refused {
        /// Cause.
        reason: Refusal,
        /// Pause to ask of the caller.
        retry_after: std::time::Duration,
    },
}

/// A target chosen for one attempt.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// Target.
    pub target: TargetId,
    /// Name of the target.
    pub name: String,
    /// Address of the target.
    pub address: SocketAddr,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Ticket of the placement.
    pub ticket: Ticket,
    /// Permit of the circuit breaker.
    pub permit: Permit,
}

/// A placement in use; dropping it frees its place at the target.
#[derive(Debug)]
pub struct Placed {
    /// The target.
    pub chosen: ChosenTarget,
    /// How the attempt ended, for the circuit breaker.
    pub verdict: AttemptOutcome,
    mailbox: Mailbox,
    pool: String,
    team: TeamId,
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.mailbox
            .send(MainLoopMessage::Router(RouterMessage::Finish {
                pool: std::mem::take(&mut self.pool),
                team: self.team,
                target: self.chosen.target,
                ticket: self.chosen.ticket,
                permit: self.chosen.permit,
                verdict: self.verdict,
            }));
    }
}

/// Chooses a target other than the excluded ones.
pub fn place(
    node: &Node,
    ask: &Ask,
    identity: &Identity,
    excluded: &[TargetId],
) -> Result<Placed, Refused> {
    let place = PlaceRequest {
        pool: ask.pool.clone(),
        team: identity.team_id(),
        chat: ask.chat,
        offer: ask.offer,
        work_tokens: ask.work_tokens,
        prefix_tokens: ask.prefix_tokens,
        priority: identity.team.priority,
        excluded: excluded.to_vec(),
        hint: ask.hint,
        denials: 0,
    };
    let answer = node.mailbox.request_until(
        |reply| MainLoopMessage::Router(RouterMessage::Place { place, reply }),
        ask.deadline,
    );
    match answer {
        Some(Placement::Target(chosen)) => Ok(Placed {
            chosen,
            verdict: AttemptOutcome::Abandoned,
            mailbox: node.mailbox.clone(),
            pool: ask.pool.clone(),
            team: identity.team_id(),
        }),
        Some(Placement::Refused {
            reason,
            retry_after,
        }) => Err(refused(ask, reason, retry_after)),
        None => Err(Refused::no_main_loop()),
    }
}

fn refused(ask: &Ask, reason: Refusal, retry_after: std::time::Duration) -> Refused {
    let pool = &ask.pool;
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
    Refused::retry(code, message, retry_after)
}
