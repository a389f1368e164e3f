//! Claim table for requests that must run at most once.
//!
//! Before a router sends the first byte of a request, the router claims the pair
//! of team and hash of the idempotency key. The attempt that is granted the claim
//! is its holder. The holder settles the claim with the target's answer, or
//! releases the claim when it can prove that nothing was sent. After the run
//! deadline an unsettled claim is unknown: the request may have run, so the key
//! is not granted again while the claim is valid.
//!
//! Deadlines are checked when a claim is looked up, so a delayed sweep never
//! changes a response. Sweeps only free memory.

mod bytes;
mod claim;
mod saved;
mod settings;
mod table;

pub use claim::{
    Attempt, ClaimKey, ClaimRequest, ClaimResponse, KeyDigest, ReleaseOutcome, SettleOutcome,
    StoredAnswer,
};
pub use saved::{RestoreError, SavedClaims, SavedStored};
pub use settings::{ClaimSettings, MAX_STORED_ANSWER_BYTES};
pub use table::{Claims, Violations};
