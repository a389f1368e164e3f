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

/// A process of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Router(usize),
    Member(u64),
    Target(usize),
    Caller(usize),
    Operator(usize),
}

/// A request as a caller sends it. `send` is new on each attempt of the caller,
/// `request` stays the same.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    pub send: u64,
    pub request: u64,
    pub caller: usize,
    pub chat: u64,
    pub team: usize,
    pub work: u64,
    pub prefix: u64,
    pub repeatable: bool,
}

/// Final answer of a router.
#[derive(Clone, Debug)]
pub enum Final {
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
    Ask(u64, Box<Request>),
    Reply(u64, Box<Result<Response, MemberError>>),
    Settings(Box<Diff>),
    /// Changes since a revision, and whether the member knows a leader.
    Followed(u64, Box<Diff>, bool),
    Follow(u64, u64),
    Order(Box<Order>),
    OrderEnded(TargetId, FencingToken, OrderResult),
    Query(SystemTime),
    Report(TargetId, Box<Report>),
    Submit(Ask),
    Final(u64, Final),
    Run {
        attempt: u64,
        ask: Ask,
    },
    /// The engine's answer names the request that it answers.
    Ran {
        attempt: u64,
        request: u64,
        body: Vec<u8>,
    },
    /// Refused before running, or the connection was refused.
    RunRefused(u64),
    /// The connection broke.
    RunBroken(u64),
    Announce(Box<TargetRecord>),
    Announced {
        accepted: bool,
        least: Incarnation,
    },
    Beat {
        target: TargetId,
        incarnation: Incarnation,
        sequence: u32,
        state: TargetState,
        load: Load,
    },
    BeatAnswer {
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
