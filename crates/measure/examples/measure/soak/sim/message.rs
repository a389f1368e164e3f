//! Messages of the simulated network.

use std::net::SocketAddr;
use std::time::SystemTime;

use bamboospur_control::{MemberError, Request, Response};
use bamboospur_limits::LimitsMessage;
use bamboospur_membership::{Load, Message as GossipMessage};
use bamboospur_orders::{FencingToken, Order, OrderResult, Report};
use bamboospur_placement::PlacementMessage;
use bamboospur_settings::Diff;
use bamboospur_types::{Incarnation, TargetId, TargetRecord, TargetState};

/// A process of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Router(usize),
    Member(u64),
    Target(usize),
    Caller(usize),
    Operator(usize),
}

/// A request as a caller sends it. `send_id` is new on each send, `request_id` stays the
/// same on resends.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest {
    pub send_id: u64,
    pub request_id: u64,
    pub caller: usize,
    pub chat: u64,
    pub team: usize,
    pub work_tokens: u64,
    /// Tokens of the chat so far, which an engine may have cached. `work_tokens` includes
    /// them.
    pub prefix_tokens: u64,
    pub repeatable: bool,
}

/// Final answer of a router.
#[derive(Clone, Debug)]
pub enum FinalAnswer {
    Answered(Vec<u8>),
    NotRun { retry_after_ms: u64 },
    Unknown,
}

#[derive(Clone, Debug)]
pub enum Message {
    Gossip(SocketAddr, Box<GossipMessage>),
    Placement(PlacementMessage),
    Limits(LimitsMessage),
    Peer(Box<bamboospur_agreement::Message>),
    /// Ticket and request to a control member.
    ControlRequest(u64, Box<Request>),
    /// Ticket of the request, and the reply.
    ControlReply(u64, Box<Result<Response, MemberError>>),
    Settings(Box<Diff>),
    /// Ticket, changes since the requested revision, and whether the member knows a leader.
    FollowReply(u64, Box<Diff>, bool),
    /// Ticket, and the revision since which a router asks for changes.
    Follow(u64, u64),
    Order(Box<Order>),
    OrderEnded(TargetId, FencingToken, OrderResult),
    /// Asks a target for a report; the time is the member's wall clock.
    Query(SystemTime),
    Report(TargetId, Box<Report>),
    Submit(CallerRequest),
    /// Send that is answered, and its answer.
    Final(u64, FinalAnswer),
    Run {
        attempt: u64,
        request: CallerRequest,
    },
    /// The engine's answer names the request that it answers.
    RunAnswered {
        attempt: u64,
        request: u64,
        body: Vec<u8>,
    },
    /// The run or the connection was refused; the request did not run.
    RunRefused(u64),
    /// The connection broke; the request may have run.
    ConnectionBroken(u64),
    Announce(Box<TargetRecord>),
    Announced {
        accepted: bool,
        /// Least incarnation that the membership accepts.
        least: Incarnation,
    },
    Heartbeat {
        target: TargetId,
        incarnation: Incarnation,
        sequence: u32,
        state: TargetState,
        load: Load,
    },
    HeartbeatReply {
        known: bool,
    },
    Leave {
        target: TargetId,
        incarnation: Incarnation,
    },
    LeaveAccepted,
    Probe(Incarnation),
    Probed(TargetId, Incarnation),
}
