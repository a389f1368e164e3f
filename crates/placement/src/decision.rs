//! Results that the placer returns to its host.

use std::time::Duration;

use bamboospur_types::{InstanceId, TargetId, WorkTokens};
use serde::{Deserialize, Serialize};

use crate::message::PlacementMessage;

/// Id of one placement on one router. Tickets increase by one and start above the
/// epoch of the process shifted by 32 bits, so that they also increase over restarts.
pub type Ticket = u64;

/// Why a request is refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// No usable target has the offer.
    NoTarget,
    /// Every usable target is at its load bound or at its request capacity.
    Overloaded,
}

/// Immediate answer to a placement request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to `target`.
    Send {
        /// Chosen target.
        target: TargetId,
        /// Ticket to pass to `finish`.
        ticket: Ticket,
        /// Target that probably holds the prefix and can export it.
        source: Option<TargetId>,
    },
    /// Send `message` to `owner` and wait for `Placed` or `Refused`.
    ReservationRequest {
        /// Instance that owns `target`.
        owner: InstanceId,
        /// First target requested; the answer may name another one.
        target: TargetId,
        /// Ticket that `Placed` or `Refused` will name.
        ticket: Ticket,
        /// Message for the owner.
        message: PlacementMessage,
    },
    /// The request is refused and nothing was sent; the caller may retry.
    Refuse {
        /// Delay after which a retry may succeed.
        retry_after: Duration,
        /// Why the request is refused.
        reason: Refusal,
    },
}

/// Action that the host must take after `handle` or `tick`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutput {
    /// Send `message` to another instance. Messages that one call returns for the
    /// same instance share a packet.
    Send {
        /// Receiving instance.
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
        /// Work counted for the request, in tokens.
        work_tokens: WorkTokens,
    },
    /// The waiting request `ticket` is refused; nothing was sent.
    Refused {
        /// Ticket from `Decision::ReservationRequest`.
        ticket: Ticket,
        /// Delay after which a retry may succeed.
        retry_after: Duration,
        /// Why the request is refused.
        reason: Refusal,
    },
    /// An invariant was violated; the host logs it.
    Violation {
        /// Description of the violation.
        what: &'static str,
    },
}
