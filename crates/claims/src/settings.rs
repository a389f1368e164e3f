//! Bounds of the claim table. All replicas must use the same bounds, because the
//! results of replicated commands depend on them.

/// Largest stored answer, in bytes of its body and content type.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// Bounds of the claim table, the same on all replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Largest number of claims in the table; above it requests get
    /// [`crate::ClaimResponse::Full`] and are not run.
    pub max_claims: usize,
    /// Largest total of [`crate::Stored::size_bytes`]. Above it the oldest
    /// answers are dropped and their claims become unknown.
    pub max_stored_bytes: usize,
    /// Number of claims checked for expiry with each call of
    /// [`crate::Claims::claim`].
    pub sweep_claims: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            // This many claims take 55 MB, and a snapshot with all stored answers
            // stays below the 64 MiB that the replicated log accepts.
            max_claims: 500_000,
            max_stored_bytes: 16 * 1024 * 1024,
            // 2 would only keep up with new claims; 4 also shrinks the table after
            // a surge.
            sweep_claims: 4,
        }
    }
}
