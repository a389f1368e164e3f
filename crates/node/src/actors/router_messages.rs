//! Messages to the router actor.

use std::time::Duration;

use bamboospur_limits::{Admission, AdmissionTicket as LimitTicket, LimitsMessage};
use bamboospur_placement::Ticket;
use bamboospur_retries::{AttemptOutcome, Permit};
use bamboospur_types::{InstanceId, TargetId, TeamId, WorkTokens};
use bamboospur_wire::datagram::{ShortId, WirePlacement};

use crate::mailbox::ReplySender;
use crate::request::{PlaceRequest, Placement};

/// Message to the router actor, from a request in progress or another instance.
#[derive(Debug)]
pub enum RouterMessage {
    /// Requests admission under a team's share.
    Admit {
        /// Team of the caller.
        team: TeamId,
        /// Estimated work of the request, in tokens.
        work_tokens: WorkTokens,
        /// Priority of the team.
        priority: u8,
        /// Channel for the answer.
        reply: ReplySender<Admission>,
    },
    /// Ends an admitted request and frees its part of the team's share.
    Release {
        /// Ticket of the admission.
        ticket: LimitTicket,
    },
    /// Requests a target.
    Place {
        /// Request to place.
        place: PlaceRequest,
        /// Channel for the answer.
        reply: ReplySender<Placement>,
    },
    /// Ends an attempt at a target.
    Finish {
        /// Pool of the target.
        pool: String,
        /// Team of the caller.
        team: TeamId,
        /// Target of the attempt.
        target: TargetId,
        /// Ticket of the placement.
        ticket: Ticket,
        /// Permit of the target's circuit breaker.
        permit: Permit,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// Requests a retry; the answer is the pause before it, or `None` when the retry
    /// budget is spent.
    Retry {
        /// Pool of the request.
        pool: String,
        /// Retries made so far.
        attempt: u32,
        /// Channel for the answer.
        reply: ReplySender<Option<Duration>>,
    },
    /// Placement messages of another instance.
    Placement {
        /// Instance that sent the message.
        from: InstanceId,
        /// Short id of the pool.
        pool: ShortId,
        /// Sequence number of the packet.
        sequence: u64,
        /// Messages, with targets, instances and offers as short ids.
        messages: Vec<WirePlacement>,
    },
    /// Message of another instance about leases of team shares.
    Limits {
        /// Instance that sent the message.
        from: InstanceId,
        /// Content of the message.
        message: LimitsMessage,
    },
}
