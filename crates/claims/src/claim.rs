//! Claim requests and their results.

use std::sync::Arc;
use std::time::SystemTime;

use bamboospur_types::{InstanceId, TeamId};

/// First 16 bytes of the SHA-256 of an idempotency key.
pub type KeyDigest = [u8; 16];

/// Identity of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// Team that sent the request.
    pub team: TeamId,
    /// Digest of the idempotency key.
    pub key: KeyDigest,
}

/// Identity of one attempt of a router to run a request; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Router that makes the attempt.
    pub instance: InstanceId,
    /// Number of the attempt, unique across restarts of the router.
    pub number: u64,
}

/// Request for a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Identity of the claim.
    pub key: ClaimKey,
    /// Hash of method, path and body. A key must not be reused for a request
    /// with another hash.
    pub fingerprint: u64,
    /// Attempt that requests the claim.
    pub attempt: Attempt,
    /// Time after which the attempt no longer waits for the target.
    pub run_deadline: SystemTime,
    /// Time until which the claim is valid. If the run deadline is later, the claim is
    /// valid until the run deadline.
    pub valid_until: SystemTime,
}

/// Memory of a stored answer in addition to its payload: the record, two
/// allocations and the entry in the queue of answers.
const STORED_OVERHEAD_BYTES: usize = 160;

/// Answer of a target, stored for callers that resend the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, which together with the content type has at most
    /// [`crate::MAX_STORED_ANSWER_BYTES`].
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns the bytes that count against [`crate::MAX_STORED_ANSWER_BYTES`].
    #[must_use]
    pub fn payload_bytes(&self) -> usize {
        self.body.len() + self.content_type.len()
    }

    /// Returns the bytes that count against
    /// [`crate::ClaimSettings::max_stored_bytes`].
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.payload_bytes() + STORED_OVERHEAD_BYTES
    }
}

/// Result of [`crate::Claims::claim`] and [`crate::Claims::lookup`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The attempt holds the claim and may send the request.
    Granted,
    /// Another attempt holds the claim.
    Running {
        /// Attempt that holds the claim.
        holder: Attempt,
        /// Time at which the claim becomes unknown if it is not settled before.
        run_deadline: SystemTime,
    },
    /// The request was answered before and the answer is stored.
    Answered {
        /// Answer of the target.
        stored: Arc<StoredAnswer>,
    },
    /// The request may have run and its answer is not known. The request must
    /// not be run again.
    Unknown,
    /// The key belongs to another request ([`bamboospur_types::ResultCode::KeyReused`]).
    KeyReused,
    /// The table is full and the claim was not granted.
    Full,
}

/// Result of [`crate::Claims::settle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettleOutcome {
    /// The answer is stored, now or by an earlier call of the same attempt.
    Settled,
    /// The answer is too large to store, or was dropped since. Later callers get
    /// [`ClaimResponse::Unknown`].
    NotKept,
    /// The attempt does not hold the claim.
    NotHolder,
}

/// Result of [`crate::Claims::release`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The claim was removed and the key can be granted again.
    Released,
    /// There is no valid claim for the key.
    Absent,
    /// The attempt does not hold the claim, or the claim was settled or its run
    /// deadline has passed.
    NotHolder,
}
