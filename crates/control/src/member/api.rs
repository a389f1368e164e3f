//! Inputs, outputs, requests and answers of a member.

use bamboospur_agreement::{
    IdentityError, LogIndex, MemberChange, Members, Message, Persist, ProposeError, Status, Term,
    Ticket,
};
use bamboospur_claims::{ClaimKey, ClaimResponse};
use bamboospur_orders::{FencingToken, Order, OrderResult, Report};
use bamboospur_settings::{Diff, Revision};
use bamboospur_types::{InstanceId, ResultCode, TargetId};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::command::{Command, Reply};
use crate::state::Violations;

/// Event for a member to handle.
#[derive(Clone, Debug)]
pub enum MemberInput {
    /// Time has passed; timers may be due.
    Tick,
    /// A message from another member arrived.
    PeerMessage {
        /// Member that sent the message.
        from: InstanceId,
        /// Message of the agreement protocol.
        message: Message,
    },
    /// All writes up to this sequence number are durable.
    Synced {
        /// Sequence number of the last write covered by an fsync.
        sequence: u64,
    },
    /// A write or fsync failed; the member takes no further part until a restart.
    DiskFailed,
    /// Transfers leadership to another member before a shutdown.
    TransferLeadership,
    /// A client sent a request.
    Request {
        /// Ticket that the answer will carry.
        ticket: Ticket,
        /// What the client requests.
        request: Request,
    },
    /// An engine reported its loaded models. Only the leader uses reports.
    Report {
        /// Engine that reported.
        target: TargetId,
        /// Reported state.
        report: Report,
    },
    /// An order that this member sent was answered or abandoned.
    OrderResult {
        /// Target of the order.
        target: TargetId,
        /// Fencing token of the order.
        fencing: FencingToken,
        /// Result of the order.
        result: OrderResult,
    },
}

/// Request of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Changes the state. Only the leader accepts commands.
    Command(Command),
    /// Waits until a claim is no longer running. Only the leader accepts watches.
    Watch {
        /// Identity of the claim.
        key: ClaimKey,
    },
    /// Linearizable read: waits until [`crate::Member::state`] includes every
    /// acknowledged command. Only the leader accepts reads.
    Read,
    /// Changes the members of the group. Only the leader accepts these changes.
    Members(MemberChange),
    /// Requests the settings changes since a revision. Every member answers
    /// immediately from its own state.
    Changes {
        /// Revision in force on the follower.
        since: Revision,
    },
    /// Requests the list of routers that follow an instance of the group. The
    /// host of the member answers.
    Routers,
    /// Reports the engines of a data centre and requests the orders for them. The
    /// leader's host answers.
    Engines {
        /// Reported state of each engine.
        reports: Vec<(TargetId, Report)>,
        /// Results of finished orders, with target and fencing token.
        ended: Vec<(TargetId, FencingToken, OrderResult)>,
    },
}

/// State of a router that follows a member of the group, as known to the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterReport {
    /// Id of the router's instance.
    pub id: InstanceId,
    /// Revision in force on the router, as last reported.
    pub revision: Revision,
    /// Time since the last message from the router.
    pub silent_ms: u64,
    /// Whether a link to the router is up.
    pub connected: bool,
}

/// Answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The command was applied.
    Applied(Reply),
    /// The watched claim is not running; `None` when the claim was released.
    Watched(Option<ClaimResponse>),
    /// The state includes every entry up to this log index.
    Read {
        /// Log index that the read covers.
        index: LogIndex,
    },
    /// The members were changed.
    Members {
        /// Log index of the change.
        index: LogIndex,
    },
    /// Changes to the settings.
    Changes(Diff),
    /// Routers that follow the member.
    Routers(Vec<RouterReport>),
    /// Orders for the engines of the requesting data centre.
    Orders(Vec<Order>),
}

quick_error! {
    /// Reason why a request failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum MemberError {
        /// This member is not the leader and did not apply the request.
        NotLeader { leader: Option<InstanceId> } {
            display("this instance does not lead the control group; ask instance {leader:?}")
        }
        /// The request was not applied.
        NotApplied { message: String } {
            display("{message}")
        }
        /// The request may have been applied. A retry with the same change id or
        /// attempt is safe: the request is not applied twice.
        OutcomeUnknown {
            display("the request may have been applied: send it again with the same id")
        }
        /// The request is invalid or cannot be encoded.
        Invalid { message: String } {
            display("the request is not valid: {message}")
        }
    }
}

impl MemberError {
    /// Returns the result code for operators.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::NotLeader { .. } | Self::NotApplied { .. } => ResultCode::NoLeader,
            // The only result code of a failed request that leaves the outcome unknown.
            Self::OutcomeUnknown => ResultCode::DeadlineExceeded,
            Self::Invalid { .. } => ResultCode::InvalidChange,
        }
    }
}

impl From<ProposeError> for MemberError {
    fn from(error: ProposeError) -> Self {
        match error {
            ProposeError::NotLeader { leader } => Self::NotLeader { leader },
            ProposeError::Unknown => Self::OutcomeUnknown,
            ProposeError::TooLarge { .. } | ProposeError::ChangeRefused { .. } => Self::Invalid {
                message: error.to_string(),
            },
            ProposeError::Overwritten | ProposeError::Unavailable | ProposeError::Busy => {
                Self::NotApplied {
                    message: error.to_string(),
                }
            }
        }
    }
}

/// Action for the host to carry out.
#[derive(Clone, Debug)]
pub enum MemberOutput {
    /// Write the data to disk, sync, then pass [`MemberInput::Synced`].
    Persist(Persist),
    /// Send a message to another member; delivery is not required.
    Send {
        /// Member to send to.
        to: InstanceId,
        /// Message of the agreement protocol.
        message: Message,
    },
    /// Answer a client.
    Reply {
        /// Ticket of the request.
        ticket: Ticket,
        /// Answer or the reason of failure.
        answer: Result<Response, MemberError>,
    },
    /// Send this settings diff to all followers.
    Settings(Diff),
    /// Send an order to its target once, before the order's deadline, then pass
    /// [`MemberInput::OrderResult`].
    Order(Order),
    /// The term or the known leader changed.
    Leadership {
        /// Current term.
        term: Term,
        /// Leader of the term; `None` while unknown.
        leader: Option<InstanceId>,
    },
    /// A change of members was committed.
    MembersChanged {
        /// Log index of the change.
        index: LogIndex,
        /// Members from that index on.
        members: Members,
    },
    /// This instance or a peer has a data folder with an identity that the group
    /// does not know.
    Identity(IdentityError),
    /// An invariant was violated; log and count the message.
    Violation(String),
    /// The member cannot continue; log the message and stop the process.
    Fatal(String),
}

/// Status of a member for operators and metrics.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    /// Status of the log replica.
    pub replica: Status,
    /// Latest settings revision that this member has applied.
    pub revision: Revision,
    /// Number of claims in the table.
    pub claims: usize,
    /// Number of pending proposals, reads, member changes and watches.
    pub waiting: usize,
    /// Violated invariants since the process started.
    pub violations: Violations,
}
