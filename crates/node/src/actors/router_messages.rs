//! Messages to the router actor.

use std::time::{Duration, Instant};

use bamboospur_crashes::{CrashMessage, PartHash, TargetStartId};
use bamboospur_limits::{Admission, AdmissionTicket as LimitTicket, LimitsMessage};
use bamboospur_placement::Ticket;
use bamboospur_retries::{AttemptOutcome, Permit};
use bamboospur_target_limits::StatedLimit;
use bamboospur_types::{InstanceId, RequestRate, TargetId, TeamId, WorkTokens};
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
    /// A target answered a request with these parts.
    Answered {
        /// Parts of the request.
        parts: Vec<PartHash>,
    },
    /// A request broke off at a target before its answer. The answer says whether the target
    /// is to be checked.
    BrokenOff {
        /// The start of the target.
        target: TargetStartId,
        /// Parts of the request.
        parts: Vec<PartHash>,
        /// Channel for the answer.
        reply: ReplySender<bool>,
    },
    /// A target was checked after requests had broken off there.
    TargetChecked {
        /// The start of the target.
        target: TargetStartId,
        /// Whether its process has ended.
        has_ended: bool,
    },
    /// A target stated a limit on its requests in an answer, or none any more.
    Limited {
        /// The start of the target.
        target: TargetStartId,
        /// The limit.
        limit: Option<RequestRate>,
        /// When the request was sent.
        sent_at: Instant,
    },
    /// Limits that targets stated to another instance.
    StatedLimits {
        /// What the targets stated.
        stated: Vec<StatedLimit>,
    },
    /// Message of another instance about parts of requests that crash targets.
    Crashes {
        /// Instance that sent the message.
        from: InstanceId,
        /// Content of the message.
        message: CrashMessage,
    },
    /// Message of another instance about leases of team shares.
    Limits {
        /// Instance that sent the message.
        from: InstanceId,
        /// Content of the message.
        message: LimitsMessage,
    },
}
