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

/// Event handed to a member.
#[derive(Clone, Debug)]
pub enum MemberInput {
    /// The time moved on.
    Tick,
    /// A message of another member arrived.
    Peer {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: Message,
    },
    /// The disk holds every write up to this number.
    Synced {
        /// Number of the last write covered by an fsync.
        sequence: u64,
    },
    /// A write or fsync failed; the member stops until the next start.
    DiskFailed,
    /// Hands leadership over before a shutdown.
    Transfer,
    /// A client asks for something.
    Request {
        /// Returned with the answer.
        ticket: Ticket,
        /// What it asks for.
        request: Request,
    },
    /// An engine reported what is loaded. Only the leader uses it.
    Report {
        /// Engine.
        target: TargetId,
        /// Report.
        report: Report,
    },
    /// An order that this member sent was answered, or was given up.
    OrderResult {
        /// Target of the order.
        target: TargetId,
        /// Token of the order.
        fencing: FencingToken,
        /// What became of it.
        result: OrderResult,
    },
}

/// Request of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Changes the state. Only the leader does it.
    Command(Command),
    /// Waits until a claim is no longer running. Only the leader does it.
    Watch {
        /// Identity of the claim.
        key: ClaimKey,
    },
    /// Waits until [`crate::Member::state`] includes all that was
    /// acknowledged. Only the leader does it.
    Read,
    /// Changes the members of the group. Only the leader does it.
    Members(MemberChange),
    /// Asks for the changes of the settings. Every member answers at once from
    /// its own state.
    Changes {
        /// Revision in force at the follower.
        since: Revision,
    },
    /// Asks an instance of the group which routers follow it. Its host answers.
    Routers,
    /// Reports engines of a data centre, and asks for the orders to them. The
    /// host of the leader answers.
    Engines {
        /// Reports by engine.
        reports: Vec<(TargetId, Report)>,
        /// Orders that ended.
        ended: Vec<(TargetId, FencingToken, OrderResult)>,
    },
}

/// What a member of the group knows about an instance that follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterReport {
    /// The instance.
    pub id: InstanceId,
    /// Revision in force there, as last reported.
    pub revision: Revision,
    /// Time since it was last heard.
    pub silent_ms: u64,
    /// Whether a link to it is up.
    pub connected: bool,
}

/// Answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The command was applied.
    Applied(Reply),
    /// The claim is not running; `None` when it was released.
    Watched(Option<ClaimResponse>),
    /// The state includes everything up to this index.
    Read {
        /// Index of the log.
        index: LogIndex,
    },
    /// The members were changed.
    Members {
        /// Index of the change.
        index: LogIndex,
    },
    /// Changes of the settings.
    Changes(Diff),
    /// Instances that follow the member.
    Routers(Vec<RouterReport>),
    /// Orders to engines of the data centre that asked.
    Orders(Vec<Order>),
}

quick_error! {
    /// Why a request was not answered.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum MemberError {
        /// Nothing was done; ask the leader.
        NotLeader { leader: Option<InstanceId> } {
            display("this instance does not lead the control group; ask instance {leader:?}")
        }
        /// Nothing was done.
        NotApplied { message: String } {
            display("{message}")
        }
        /// The request may have been done. Send it again with the same change
        /// id or attempt: it is not done twice.
        Doubt {
            display("the request may have been applied: send it again with the same id")
        }
        /// The request cannot be encoded.
        Invalid { message: String } {
            display("the request is not valid: {message}")
        }
    }
}

impl MemberError {
    /// Returns the numbered result.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::NotLeader { .. } | Self::NotApplied { .. } => ResultCode::NoLeader,
            // The only code of this kind whose outcome is "unknown".
            Self::Doubt => ResultCode::DeadlineExceeded,
            Self::Invalid { .. } => ResultCode::InvalidChange,
        }
    }
}

impl From<ProposeError> for MemberError {
    fn from(error: ProposeError) -> Self {
        match error {
            ProposeError::NotLeader { leader } => Self::NotLeader { leader },
            ProposeError::Unknown => Self::Doubt,
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

/// Action for the host.
#[derive(Clone, Debug)]
pub enum MemberOutput {
    /// Write this, sync, then feed [`MemberInput::Synced`].
    Persist(Persist),
    /// Send a message to another member; it can be lost.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: Message,
    },
    /// Answer a client.
    Reply {
        /// Ticket of the request.
        ticket: Ticket,
        /// Answer.
        answer: Result<Response, MemberError>,
    },
    /// Send this change to all followers.
    Settings(Diff),
    /// Send an order to its target before its deadline, once, and feed
    /// [`MemberInput::OrderResult`].
    Order(Order),
    /// The known leader changed.
    Leadership {
        /// Current term.
        term: Term,
        /// Leader, when known.
        leader: Option<InstanceId>,
    },
    /// The committed members changed.
    MembersChanged {
        /// Index of the change.
        index: LogIndex,
        /// Members from that index on.
        members: Members,
    },
    /// This instance or a peer has a disk that the group does not know.
    Identity(IdentityError),
    /// A check of an invariant failed; log it and count it.
    Violation(String),
    /// The member cannot go on; log it and stop the process.
    Fatal(String),
}

/// View of a member for operators and metrics.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    /// The log.
    pub replica: Status,
    /// Revision of the settings.
    pub revision: Revision,
    /// Claims held.
    pub claims: usize,
    /// Clients that wait.
    pub waiting: usize,
    /// Invariants found broken.
    pub violations: Violations,
}
