//! Messages to the control actor, and who waits for its answers.

use std::sync::Arc;

use bamboospur_claims::{Attempt, ClaimKey, ClaimResponse, SettleOutcome, Stored};
use bamboospur_control::operator::{Action, AuthorizationError, AuthorizedOperator};
use bamboospur_control::{ClaimCommand, MemberError, Request, Response};
use bamboospur_settings::KeyHash;

use super::inspect::Inspect;
use super::orders::OrdersMessage;
use crate::mailbox::Reply;
use crate::peers::{LinkId, LinkMessage};
use crate::request::Identity;

/// Message of a request, or of the disk thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// Asks which team a key belongs to.
    Identify {
        /// Hash of the key.
        key: KeyHash,
        /// Where the answer goes.
        reply: Reply<Option<Identity>>,
    },
    /// Asks for a claim.
    Claim {
        /// The claim.
        claim: ClaimCommand,
        /// Where the answer goes.
        reply: Reply<Result<ClaimResponse, MemberError>>,
    },
    /// Asks for the present state of a claim.
    WaitForClaim {
        /// Identity of the claim.
        key: ClaimKey,
        /// Where the answer goes.
        reply: Reply<Option<ClaimResponse>>,
    },
    /// Stores the answer of a claimed request.
    Settle {
        /// Identity of the claim.
        key: ClaimKey,
        /// Attempt that holds it.
        attempt: Attempt,
        /// The answer.
        stored: Arc<Stored>,
        /// Where the answer goes.
        reply: Reply<Result<SettleOutcome, MemberError>>,
    },
    /// Gives a claim back.
    Release {
        /// Identity of the claim.
        key: ClaimKey,
        /// Attempt that holds it.
        attempt: Attempt,
    },
    /// A request of an operator.
    OperatorRequest {
        /// The request.
        request: Request,
        /// Where the answer goes.
        reply: Reply<Result<Response, MemberError>>,
    },
    /// Asks which operator has a token, and whether he may do something.
    Authorize {
        /// Hash of the token.
        token: KeyHash,
        /// Hash of the token from the node's own settings.
        initial: Option<KeyHash>,
        /// What the operator wants to do.
        action: Action,
        /// Where the answer goes.
        reply: Reply<Result<AuthorizedOperator, AuthorizationError>>,
    },
    /// A question of an operator about the state of this instance.
    Inspect(Inspect),
    /// A message of the thread that calls engines.
    Orders(OrdersMessage),
    /// A message of a link to another instance.
    Link(LinkMessage),
    /// The disk holds all writes up to this one.
    Synced {
        /// Number of the write.
        sequence: u64,
    },
    /// A write failed.
    DiskFailed,
}

/// Who waits for an answer of the replica.
#[derive(Debug)]
pub(super) enum Waiter {
    Claim(Reply<Result<ClaimResponse, MemberError>>),
    Settle(Reply<Result<SettleOutcome, MemberError>>),
    Operator(Reply<Result<Response, MemberError>>),
    /// Another instance.
    Remote {
        link: LinkId,
        ticket: u64,
    },
    /// Callers that look at a claim.
    Watch(ClaimKey),
    Start,
    Nobody,
}
