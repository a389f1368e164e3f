//! Messages between members and hubs.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{PartHash, TargetStartId};

/// Most parts in one message, so that it fits into a packet.
pub const MAX_PARTS_PER_MESSAGE: usize = 64;

/// Time span in milliseconds, since instances share no clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Age(u32);

impl Age {
    /// Returns the instant this long before `now`.
    #[must_use]
    pub fn before(self, now: Instant) -> Instant {
        now.checked_sub(Duration::from(self)).unwrap_or(now)
    }

    /// Returns the instant this long after `now`.
    #[must_use]
    pub fn after(self, now: Instant) -> Instant {
        now + Duration::from(self)
    }
}

impl From<Duration> for Age {
    fn from(span: Duration) -> Self {
        Self(u32::try_from(span.as_millis()).unwrap_or(u32::MAX))
    }
}

impl From<Age> for Duration {
    fn from(age: Age) -> Self {
        Self::from_millis(age.0.into())
    }
}

/// Message between a member and a hub.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// Member to hub: a target ended while it processed requests with these parts.
    Crashed {
        /// The target that ended.
        target: TargetStartId,
        /// Parts of requests without an answer yet.
        parts: Vec<PartHash>,
    },
    /// Hub to members: parts that were at several targets when they ended. Members tell the
    /// hub when these were last answered, and when they are answered next.
    Watch(Vec<PartHash>),
    /// Member to hub: watched parts, and how long ago a target answered a request with them.
    Answered(Vec<(PartHash, Age)>),
    /// Parts that crash targets, and the time for which their requests are rejected. Members
    /// pass on what they know to a hub that may have lost it.
    Blocked(Vec<(PartHash, Age)>),
    /// Hub to members: parts that are not blocked any more.
    Released(Vec<PartHash>),
}

/// Most bytes of a part with its time, of a target, and of the rest of a message with the
/// frame around it.
const MAX_PART_BYTES: usize = 15;
const MAX_MESSAGE_BYTES: usize = 24;

impl CrashMessage {
    /// Returns the most bytes that the message takes on a link.
    #[must_use]
    pub fn max_encoded_bytes(&self) -> usize {
        let parts = match self {
            Self::Crashed { parts, .. } | Self::Watch(parts) | Self::Released(parts) => parts.len(),
            Self::Answered(parts) | Self::Blocked(parts) => parts.len(),
        };
        MAX_MESSAGE_BYTES + parts * MAX_PART_BYTES
    }

    /// Creates the reports of a crash, one for each [`MAX_PARTS_PER_MESSAGE`] parts.
    pub fn crash_reports(
        target: TargetStartId,
        parts: &[PartHash],
    ) -> impl Iterator<Item = Self> + '_ {
        let chunks = parts.chunks(MAX_PARTS_PER_MESSAGE);
        chunks.map(move |parts| Self::Crashed {
            target,
            parts: parts.to_vec(),
        })
    }
}
