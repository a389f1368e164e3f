//! Deterministic generation: the same prompt gives the same tokens, so that tests
//! detect lost and duplicated tokens.

use std::time::{Duration, Instant};

use bamboospur_types::{mix64, stable_id};

const WORDS: [&str; 8] = [
    "scene", "window", "river", "flight", "record", "winter", "answer", "signal",
];

/// Time for which a stream can be resumed after its connection broke.
pub const RESUME_WINDOW: Duration = Duration::from_secs(5);

/// Output of one request, and whether the request can still be resumed.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Tokens of the answer, in order.
    pub tokens: Vec<String>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were in the cache.
    pub cached_tokens: u64,
    /// Whether the caller cancelled the request.
    pub cancelled: bool,
    /// End of the time for a resume; `None` while the request is in progress.
    pub expires: Option<Instant>,
}

/// Returns `count` tokens that depend on the prompt and their position only.
#[must_use]
pub fn generate_tokens(prompt: &str, count: usize) -> Vec<String> {
    let seed = stable_id(prompt);
    (0..count)
        .map(|position| {
            let mixed = mix64(seed.wrapping_add(position as u64));
            let word = WORDS[usize::try_from(mixed % 8).unwrap_or(0)];
            format!("{word}-{position} ")
        })
        .collect()
}
