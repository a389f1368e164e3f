//! Messages to the control actor, and the recipients of its answers.

use std::sync::Arc;

use bamboospur_agreement::PersistedState;
use bamboospur_claims::{Attempt, ClaimKey, ClaimResponse, SettleOutcome, StoredAnswer};
use bamboospur_control::operator::{Action, AuthorizationError, AuthorizedOperator};
use bamboospur_control::{ClaimCommand, MemberError, Request, Response};
use bamboospur_settings::KeyHash;

use super::inspect::Inspect;
use super::orders::OrdersMessage;
use crate::disk::Disk;
use crate::mailbox::ReplySender;
use crate::peers::{LinkId, LinkMessage};
use crate::request::Identity;

/// Message to the control actor, from request threads, links, the disk thread or
/// the orders thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// Looks up the team of an API key.
    Identify {
        /// Hash of the key.
        key: KeyHash,
        /// Channel for the answer.
        reply: ReplySender<Option<Identity>>,
    },
    /// Requests a claim.
    Claim {
        /// Claim to make.
        claim: ClaimCommand,
        /// Channel for the answer.
        reply: ReplySender<Result<ClaimResponse, MemberError>>,
    },
    /// Waits a short time for the outcome of a claim.
    WaitForClaim {
        /// Key of the claim.
        key: ClaimKey,
        /// Channel for the answer.
        reply: ReplySender<Option<ClaimResponse>>,
    },
    /// Stores the answer of a claimed request.
    Settle {
        /// Key of the claim.
        key: ClaimKey,
        /// Attempt that holds the claim.
        attempt: Attempt,
        /// Answer to store.
        stored: Arc<StoredAnswer>,
        /// Channel for the answer.
        reply: ReplySender<Result<SettleOutcome, MemberError>>,
    },
    /// Releases a claim without storing an answer.
    Release {
        /// Key of the claim.
        key: ClaimKey,
        /// Attempt that holds the claim.
        attempt: Attempt,
    },
    /// Request of an operator, or of the orders thread, to the leader.
    OperatorRequest {
        /// Request to send to the leader.
        request: Request,
        /// Channel for the answer.
        reply: ReplySender<Result<Response, MemberError>>,
    },
    /// Identifies an operator by a token and checks whether the operator may do an
    /// action.
    Authorize {
        /// Hash of the token.
        token: KeyHash,
        /// Hash of the token from the node's own settings.
        initial: Option<KeyHash>,
        /// Action that the operator requests.
        action: Action,
        /// Channel for the answer.
        reply: ReplySender<Result<AuthorizedOperator, AuthorizationError>>,
    },
    /// Query about the state of this instance.
    Inspect(Inspect),
    /// Message of the thread that calls engines.
    Orders(OrdersMessage),
    /// Message of a link to another instance.
    Link(LinkMessage),
    /// Reports that all writes up to a sequence number are synced.
    Synced {
        /// Sequence number of the last synced write.
        sequence: u64,
    },
    /// Reports that a write failed.
    DiskFailed,
    /// Reports that the data folder was opened again after a failure.
    DiskReopened {
        /// Content of the log.
        restored: Box<PersistedState>,
        /// Destination of further writes.
        disk: Disk,
    },
}

/// Recipient of an answer of the control group.
#[derive(Debug)]
pub(super) enum Waiter {
    Claim(ReplySender<Result<ClaimResponse, MemberError>>),
    Settle(ReplySender<Result<SettleOutcome, MemberError>>),
    Operator(ReplySender<Result<Response, MemberError>>),
    /// Another instance, over a link.
    Remote {
        link: LinkId,
        ticket: u64,
    },
    /// Callers that wait for the outcome of a claim.
    Watch(ClaimKey),
    InitialChange,
    Nobody,
}
