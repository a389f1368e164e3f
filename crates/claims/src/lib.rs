//! Claim table for requests that must run at most once.
//!
//! A router takes a claim for a team and the hash of an idempotency key before
//! it sends the first byte. The attempt that was granted the claim holds it.
//! It settles the claim with the answer, or releases it with proof that nothing
//! was sent. A claim whose run deadline passed is unknown: the request may have
//! run, so the key is never granted again while the claim is valid.
//!
//! Deadlines are judged when a claim is looked up, so a late sweep never
//! changes an answer. Sweeps only free memory.

mod bytes;
mod claim;
mod saved;
mod settings;
mod table;

pub use claim::{
    Attempt, ClaimKey, ClaimRequest, ClaimResponse, KeyDigest, ReleaseOutcome, SettleOutcome,
    Stored,
};
pub use saved::{SaveError, SavedClaims, SavedStored};
pub use settings::{ClaimSettings, MAX_STORED_BYTES};
pub use table::{Claims, Violations};
