//! Times that come from outside the process: from callers, targets, operators, peers and disks.
//!
//! Adding a very long [`Duration`] to an instant panics, as does multiplying it. Times from
//! outside are therefore cut to [`MAX_TIME`] where they enter the process; everything behind
//! that can add, multiply and wait for them.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Longest time from outside. Longer ones count as this long.
pub const MAX_TIME: Duration = Duration::from_hours(24 * 365);

/// Returns the time of this many seconds, at most [`MAX_TIME`]; `None` if the number is negative
/// or NaN.
#[must_use]
pub fn time_from_s(seconds: f64) -> Option<Duration> {
    if seconds.is_nan() || seconds < 0.0 {
        return None;
    }
    #[expect(
        clippy::disallowed_methods,
        reason = "the number is neither negative nor too large"
    )]
    let time = Duration::from_secs_f64(seconds.min(MAX_TIME.as_secs_f64()));
    Some(time)
}

/// As [`time_from_s`], for milliseconds.
#[must_use]
pub fn time_from_ms(millis: f64) -> Option<Duration> {
    time_from_s(millis / 1_000.0)
}

/// Returns the time that it takes to send this many bytes at a rate in bytes per second, at most
/// [`MAX_TIME`].
#[must_use]
pub fn time_at_rate(bytes: f64, bytes_per_s: f64) -> Duration {
    time_from_s(bytes / bytes_per_s).unwrap_or(MAX_TIME)
}

/// Deserialises a [`Duration`] that a peer or an earlier process wrote, at most [`MAX_TIME`].
///
/// # Errors
///
/// Returns an error if the input is no duration.
pub fn deserialize_time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    Ok(Duration::deserialize(deserializer)?.min(MAX_TIME))
}
