//! Answers of the placer to its host.

use std::time::Duration;

use bamboospur_types::{InstanceId, TargetId, WorkTokens};
use serde::{Deserialize, Serialize};

use crate::message::PlacementMessage;

/// Number of one placement on this router, increasing from 1.
pub type Ticket = u64;

/// Why a request is refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// No usable target has the offer.
    NoTarget,
    /// Every usable target is at its bound or at its capacity.
    Overloaded,
}

/// Immediate answer to a placement request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to `target`.
    Send {
        /// Chosen target.
        target: TargetId,
        /// Ticket to finish.
        ticket: Ticket,
        /// Target that probably holds the prefix and can export it.
        source: Option<TargetId>,
    },
    /// Send `message` to `owner` and wait for `Placed` or `Refused`.
    ReservationRequest {
        /// Instance that keeps the count of `target`.
        owner: InstanceId,
        /// First target asked for; the answer may name another one.
        target: TargetId,
        /// Ticket that the answer will name.
        ticket: Ticket,
        /// Message for the owner.
        message: PlacementMessage,
    },
    /// Nothing was sent; the caller may retry.
    Refuse {
        /// Earliest useful time of a retry.
        retry_after: Duration,
        /// Cause.
        reason: Refusal,
    },
}

/// What the host must do after `handle`, `tick` or a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutput {
    /// Send `message` to another instance; messages to one instance that come
    /// out of one call share a packet.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: PlacementMessage,
    },
    /// The waiting request `ticket` goes to `target`.
    Placed {
        /// Ticket from `Decision::ReservationRequest`.
        ticket: Ticket,
        /// Chosen target.
        target: TargetId,
        /// Target that probably holds the prefix and can export it.
        source: Option<TargetId>,
        /// Work counted for the request.
        work_tokens: WorkTokens,
    },
    /// The waiting request `ticket` is refused; nothing was sent.
    Refused {
        /// Ticket from `Decision::ReservationRequest`.
        ticket: Ticket,
        /// Earliest useful time of a retry.
        retry_after: Duration,
        /// Cause.
        reason: Refusal,
    },
    /// An invariant was violated; the host logs it.
    Violation {
        /// What was violated.
        what: &'static str,
    },
}
