//! Frames on links between our processes.

use std::net::SocketAddr;

use bamboospur_agreement::Message;
use bamboospur_group::Document;
use bamboospur_registry::Announcement;
use bamboospur_types::InstanceId;
use serde::{Deserialize, Serialize};

/// Sender's number for a request that is passed on.
pub type Ticket = u64;

/// Who dials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Instance.
    pub id: InstanceId,
    /// Address for links, on a control instance; routers have none.
    pub address: Option<SocketAddr>,
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of the side that dials.
    Hello(Hello),
    /// Sign of life, with the sender's number.
    Alive(u64),
    /// Control instances that the sender has heard lately.
    Controls(Vec<SocketAddr>),
    /// Message of the replicated log.
    Replica {
        /// Receiver; another instance can have taken over its address.
        to: InstanceId,
        /// Message.
        message: Box<Message>,
    },
    /// Announcements that are news to the sender.
    Targets(Vec<Announcement>),
    /// Targets that have announced nothing for long.
    Silent(Vec<Announcement>),
    /// Targets that have read the shared parts of prompts: hashes of the parts and
    /// of the target.
    CachedPrefixes(Vec<(u64, u64)>),
    /// Requests of the sender at targets, by hashes of the targets; of a control
    /// instance, the sums over the routers that tell it.
    Loads(Vec<(u64, u32)>),
    /// Requests of all routers at targets.
    Totals(Vec<(u64, u32)>),
    /// A router's wish for the configuration, as it holds an older version.
    RequestConfig,
    /// The configuration in force at the sender.
    Config(Document),
    /// Asks which configuration is in force; the number is returned.
    Ask(u64),
    /// Where the instance that can answer questions is, from one that cannot.
    Leader(SocketAddr),
    /// At the time of the question nothing newer than this was accepted.
    InForce {
        /// Number of the question.
        asked: u64,
        /// Version of the configuration.
        version: u64,
        /// Routers that are linked to the sender.
        routers: u32,
    },
    /// An operator's change, passed on to the leader.
    Put {
        /// Returned with the result.
        ticket: Ticket,
        /// Change.
        document: Document,
    },
    /// Whether the change is accepted.
    PutDone {
        /// Ticket of the change.
        ticket: Ticket,
        /// Whether it is accepted.
        accepted: bool,
    },
    /// An operator's read, passed on to the leader.
    Get {
        /// Returned with the result.
        ticket: Ticket,
    },
    /// The newest configuration, when the leader is sure of it.
    GetDone {
        /// Ticket of the read.
        ticket: Ticket,
        /// Configuration.
        document: Option<Document>,
    },
}
