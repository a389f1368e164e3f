//! Frames on links between our processes.

use std::net::SocketAddr;

use bamboospur_agreement::Message;
use bamboospur_group::Document;
use bamboospur_registry::{Announcement, StartTime, TargetName};
use bamboospur_types::InstanceId;
use serde::{Deserialize, Serialize};

/// Sender's number for a request that is passed on.
pub type Ticket = u64;

/// Who dials.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Instance.
    pub id: InstanceId,
    /// Its role.
    pub role: Role,
}

/// Role of an instance, and where others reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Control instance.
    Control {
        /// Address for links.
        links: SocketAddr,
    },
    /// Router.
    Router(RouterLocation),
}

/// Where a router is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterLocation {
    /// Data centre.
    pub data_centre: String,
    /// Address for links of other routers.
    pub links: SocketAddr,
    /// Address for reports of targets.
    pub reports: SocketAddr,
}

impl Hello {
    /// Returns the address for links of a control instance.
    #[must_use]
    pub const fn control(&self) -> Option<SocketAddr> {
        match self.role {
            Role::Control { links } => Some(links),
            Role::Router(_) => None,
        }
    }

    /// Returns where a router is.
    #[must_use]
    pub const fn router(&self) -> Option<&RouterLocation> {
        match &self.role {
            Role::Control { .. } => None,
            Role::Router(place) => Some(place),
        }
    }
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
    /// Routers that pass on what control instances tell, with their data centres.
    /// Without any, control instances tell every router themselves.
    Relays(Vec<(String, SocketAddr)>),
    /// A relay's wish for everything that is known of targets.
    RequestTargets,
    /// Announcements that are news to the sender.
    Targets(Vec<Announcement>),
    /// Targets that have announced nothing for long.
    Silent(Vec<Announcement>),
    /// Targets that reported to the sender since its last frame of this kind, with
    /// the sequence numbers of their newest reports. Nothing else has changed.
    Heard(Vec<(TargetName, StartTime, u64)>),
    /// A report that a router took and that says something new.
    Report {
        /// Returned when the report is taken.
        ticket: Ticket,
        /// Report.
        announcement: Box<Announcement>,
    },
    /// A departure that a router took.
    Leave {
        /// Returned when the departure is taken.
        ticket: Ticket,
        /// Target.
        name: TargetName,
        /// Start that leaves, when the target names it.
        start: Option<StartTime>,
    },
    /// A report or a departure is taken.
    Taken {
        /// Its ticket.
        ticket: Ticket,
    },
    /// Targets that have read the shared parts of prompts: hashes of the parts and
    /// of the target.
    CachedPrefixes(Vec<(u64, u64)>),
    /// Requests of the sender at targets, by hashes of the targets, and its arrivals,
    /// by hashes of the services; of a control instance or a relay, the sums over
    /// the routers that tell it.
    Loads(Vec<(u64, u32)>),
    /// The same of all routers.
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
