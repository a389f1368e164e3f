//! Claims, requests for them and answers.

use std::sync::Arc;
use std::time::SystemTime;

use bamboospur_types::{InstanceId, TeamId};

/// First half of the SHA-256 of an idempotency key.
pub type KeyDigest = [u8; 16];

/// Identity of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// Team that sent the request.
    pub team: TeamId,
    /// Digest of the idempotency key.
    pub key: KeyDigest,
}

/// One try of one router to run a request; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Router that makes the attempt.
    pub instance: InstanceId,
    /// Number of the attempt, unique over all processes of the router.
    pub number: u64,
}

/// Request for a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Identity of the claim.
    pub key: ClaimKey,
    /// Hash of method, path and body; a key must not be reused for others.
    pub fingerprint: u64,
    /// Attempt that asks.
    pub attempt: Attempt,
    /// Time after which the attempt no longer waits for the target.
    pub run_deadline: SystemTime,
    /// Time until which the key is remembered.
    pub valid_until: SystemTime,
}

/// Memory of a stored answer besides its payload: the record, two allocations
/// and the entry in the queue of answers.
const STORED_OVERHEAD_BYTES: usize = 160;

/// Answer of a target, kept for callers that resend the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body of at most [`crate::MAX_STORED_BYTES`] together with the content type.
    pub body: Vec<u8>,
}

impl Stored {
    /// Returns the bytes that count against [`crate::MAX_STORED_BYTES`].
    #[must_use]
    pub fn payload_bytes(&self) -> usize {
        self.body.len() + self.content_type.len()
    }

    /// Returns the memory that counts against the table's bound.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.payload_bytes() + STORED_OVERHEAD_BYTES
    }
}

/// Answer to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The attempt holds the claim and may send the request.
    Granted,
    /// Another attempt holds the claim.
    Running {
        /// Attempt that holds the claim.
        holder: Attempt,
        /// Time at which the claim becomes unknown without an answer.
        run_deadline: SystemTime,
    },
    /// The request was answered.
    Answered {
        /// The answer.
        stored: Arc<Stored>,
    },
    /// The request may have run and its answer is not known. It is not run again.
    Unknown,
    /// The key belongs to another request ([`bamboospur_types::ResultCode::KeyReused`]).
    KeyReused,
    /// The table is full; nothing was claimed.
    Full,
}

/// Answer to settling a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettleOutcome {
    /// The claim is answered, or was by the same attempt before.
    Settled,
    /// The answer is too large to keep: the claim is unknown to later callers.
    NotKept,
    /// The attempt does not hold the claim.
    NotHolder,
}

/// Answer to releasing a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The claim is gone and the key can be granted again.
    Released,
    /// There is no claim for the key.
    Absent,
    /// The attempt does not hold the claim, or the claim is in doubt.
    NotHolder,
}
