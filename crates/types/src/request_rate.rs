//! Requests per second.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Rate of requests, with a resolution of a thousandth of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    milli_per_s: u32,
}

impl RequestRate {
    /// Returns the rate of this many thousandths of a request per second.
    #[must_use]
    pub const fn from_milli_per_s(milli_per_s: u32) -> Self {
        Self { milli_per_s }
    }

    /// Parses a decimal number of requests per second. Larger rates than can be stored count
    /// as the largest one; `None` if the text is no number of zero or more.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::from_per_s(text.trim().parse().ok()?)
    }

    /// Returns the rate of this many requests per second. Larger rates than can be stored
    /// count as the largest one; `None` if the number is negative or none.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        if per_s.is_nan() || per_s < 0.0 {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "casts of floats saturate"
        )]
        let milli_per_s = (per_s * 1_000.0) as u32;
        Some(Self { milli_per_s })
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn milli_per_s(self) -> u32 {
        self.milli_per_s
    }

    /// Whether the rate allows no request.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.milli_per_s == 0
    }

    /// Returns the time between two requests of one of `senders` that divide the rate equally;
    /// `None` if the rate is zero.
    #[must_use]
    pub fn interval(self, senders: u32) -> Option<Duration> {
        let micros = u64::from(senders.max(1)) * 1_000_000_000;
        micros
            .checked_div(self.milli_per_s.into())
            .map(Duration::from_micros)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", f64::from(self.milli_per_s) / 1_000.0)
    }
}
