//! Commands of the replicated log and their replies.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bamboospur_claims::{
    Attempt, ClaimKey, ClaimResponse, KeyDigest, ReleaseOutcome, SettleOutcome, Stored,
};
use bamboospur_orders::{FencingToken, FinishOutcome, IssueOutcome, OrderResult, PlannedOrder};
use bamboospur_settings::{Accepted, Change, Refusal, sha256};
use bamboospur_types::{TargetId, stable_id};

/// Returns the digest of an idempotency key.
#[must_use]
pub fn key_digest(key: &str) -> KeyDigest {
    let digest = sha256(key.as_bytes());
    std::array::from_fn(|index| digest[index])
}

/// Returns the identity of a team's claim for an idempotency key.
#[must_use]
pub fn claim_key(team: &str, key: &str) -> ClaimKey {
    ClaimKey {
        team: stable_id(team),
        key: key_digest(key),
    }
}

/// Request for one claim. Its deadlines are set when it is applied, by the
/// leader's clock, so that routers' clocks need not agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimCommand {
    /// Identity of the claim.
    pub key: ClaimKey,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// Attempt that asks.
    pub attempt: Attempt,
    /// Longest time from the claim to the end of the attempt.
    pub run_timeout: Duration,
}

/// Change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Changes the settings.
    Change(Change),
    /// Takes claims, each on its own.
    Claims(Vec<ClaimCommand>),
    /// Stores the answer of a claimed request.
    Settle {
        /// Identity of the claim.
        key: ClaimKey,
        /// Attempt that holds the claim.
        attempt: Attempt,
        /// Answer.
        stored: Arc<Stored>,
    },
    /// Releases a claim, with proof that nothing was sent.
    Release {
        /// Identity of the claim.
        key: ClaimKey,
        /// Attempt that holds the claim.
        attempt: Attempt,
    },
    /// Frees expired claims among the next ones.
    Expire {
        /// Claims to examine.
        count: usize,
    },
    /// Records orders of the leader of a term before they are sent.
    IssueOrders {
        /// Term of the leader.
        term: u64,
        /// Orders.
        wanted: Vec<PlannedOrder>,
    },
    /// Records what became of an order.
    FinishOrder {
        /// Target of the order.
        target: TargetId,
        /// Token of the order.
        fencing: FencingToken,
        /// What became of it.
        result: OrderResult,
    },
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Reply to [`Command::Change`].
    Change(Result<Accepted, Refusal>),
    /// Reply to [`Command::Claims`], one for each claim.
    Claims(Vec<ClaimResponse>),
    /// Reply to [`Command::Settle`].
    Settled(SettleOutcome),
    /// Reply to [`Command::Release`].
    Released(ReleaseOutcome),
    /// Reply to [`Command::Expire`]: claims freed.
    Expired(usize),
    /// Reply to [`Command::IssueOrders`], one for each order.
    Orders(Vec<IssueOutcome>),
    /// Reply to [`Command::FinishOrder`].
    OrderFinished(FinishOutcome),
    /// The command was applied before; nothing was done.
    Skipped,
}

/// Proposal that an entry of the log comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProposalId {
    /// Number of the process that proposed it, unique over restarts.
    pub process: u64,
    /// Number of the proposal in that process.
    pub proposal: u64,
}

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Proposal that the entry comes from.
    pub origin: ProposalId,
    /// Time stamped by the leader.
    pub at: SystemTime,
    /// What to do.
    pub command: Command,
}
