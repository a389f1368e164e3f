//! Commands in the replicated log and their replies.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bamboospur_claims::{
    Attempt, ClaimKey, ClaimResponse, KeyDigest, ReleaseOutcome, SettleOutcome, StoredAnswer,
};
use bamboospur_orders::{FencingToken, FinishOutcome, IssueOutcome, OrderResult, PlannedOrder};
use bamboospur_settings::{Accepted, Change, Refusal, sha256};
use bamboospur_types::{TargetId, stable_id};

/// Returns the truncated SHA-256 digest of an idempotency key.
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

/// Request for one claim. The deadlines of the claim are computed from the
/// leader's timestamp when the command is applied, so routers' clocks need not
/// agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimCommand {
    /// Identity of the claim.
    pub key: ClaimKey,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// Attempt that requests the claim.
    pub attempt: Attempt,
    /// Maximum time from the grant of the claim to the end of the attempt.
    pub run_timeout: Duration,
}

/// Change to the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Changes the settings.
    Change(Change),
    /// Requests claims; each is granted or refused independently.
    Claims(Vec<ClaimCommand>),
    /// Stores the answer to a claimed request.
    Settle {
        /// Identity of the claim.
        key: ClaimKey,
        /// Attempt that holds the claim.
        attempt: Attempt,
        /// Answer returned to later requests with the same key.
        stored: Arc<StoredAnswer>,
    },
    /// Releases a claim after it is certain that nothing was sent to a target.
    Release {
        /// Identity of the claim.
        key: ClaimKey,
        /// Attempt that holds the claim.
        attempt: Attempt,
    },
    /// Removes expired claims in the next part of the claim table.
    Expire {
        /// Number of claims to examine.
        count: usize,
    },
    /// Records orders before the leader sends them.
    IssueOrders {
        /// Term of the leader that issues the orders.
        term: u64,
        /// Orders to issue.
        wanted: Vec<PlannedOrder>,
    },
    /// Records the result of an order.
    FinishOrder {
        /// Target of the order.
        target: TargetId,
        /// Fencing token of the order.
        fencing: FencingToken,
        /// Result of the order.
        result: OrderResult,
    },
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Reply to [`Command::Change`].
    Change(Result<Accepted, Refusal>),
    /// Reply to [`Command::Claims`]: one response per claim, in order.
    Claims(Vec<ClaimResponse>),
    /// Reply to [`Command::Settle`].
    Settled(SettleOutcome),
    /// Reply to [`Command::Release`].
    Released(ReleaseOutcome),
    /// Reply to [`Command::Expire`]: number of claims removed.
    Expired(usize),
    /// Reply to [`Command::IssueOrders`]: one outcome per order, in order.
    Orders(Vec<IssueOutcome>),
    /// Reply to [`Command::FinishOrder`].
    OrderFinished(FinishOutcome),
    /// The log index was applied before; the state is unchanged.
    Skipped,
}

/// Identity of the proposal that created a log entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProposalId {
    /// Random id of the proposing process; a restart gets another one.
    pub process: u64,
    /// Number of the proposal within that process.
    pub proposal: u64,
}

/// Entry in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Proposal that created the entry.
    pub origin: ProposalId,
    /// Timestamp from the leader's clock.
    pub at: SystemTime,
    /// Command to apply.
    pub command: Command,
}
