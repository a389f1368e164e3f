//! Messages to the router actor.

use std::time::Duration;

use bamboospur_limits::{Admission, LimitsMessage, Ticket as LimitTicket};
use bamboospur_placement::Ticket;
use bamboospur_retries::{AttemptOutcome, Permit};
use bamboospur_types::{InstanceId, TargetId, TeamId, WorkTokens};
use bamboospur_wire::datagram::{ShortId, WirePlacement};

use crate::mailbox::Reply;
use crate::request::{PlaceRequest, Placement};

/// Message from a request in progress.
#[derive(Debug)]
pub enum RouterMessage {
    /// Asks for a team's share.
    Admit {
        /// Team.
        team: TeamId,
        /// Work of the request.
        work_tokens: WorkTokens,
        /// Priority of the team.
        priority: u8,
        /// Where the answer goes.
        reply: Reply<Admission>,
    },
    /// Returns a team's share.
    Release {
        /// Ticket of the admission.
        ticket: LimitTicket,
    },
    /// Asks for a target.
    Place {
        /// The request.
        place: PlaceRequest,
        /// Where the answer goes.
        reply: Reply<Placement>,
    },
    /// Ends an attempt at a target.
    Finish {
        /// Pool of the target.
        pool: String,
        /// Team of the caller.
        team: TeamId,
        /// Target.
        target: TargetId,
        /// Ticket of the placement.
        ticket: Ticket,
        /// Permit of the circuit breaker.
        permit: Permit,
        /// How the attempt ended.
        verdict: AttemptOutcome,
    },
    /// Asks for a retry; the answer is the pause before it.
    Retry {
        /// Pool.
        pool: String,
        /// Retries made so far.
        attempt: u32,
        /// Where the answer goes.
        reply: Reply<Option<Duration>>,
    },
    /// Messages of another instance about owner counts.
    Placement {
        /// Sender.
        from: InstanceId,
        /// Short id of the pool.
        pool: ShortId,
        /// Number of the packet.
        sequence: u64,
        /// Messages with short ids.
        messages: Vec<WirePlacement>,
    },
    /// A message of another instance about leases.
    Limits {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: LimitsMessage,
    },
}
