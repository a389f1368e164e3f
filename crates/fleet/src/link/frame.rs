//! Frames on links between the processes of a deployment.

use std::net::SocketAddr;

use bamboospur_agreement::Message;
use bamboospur_catalog::ServiceName;
use bamboospur_crashes::CrashMessage;
use bamboospur_group::{Change, Document, DocumentVersion, FleetChange, FleetRevision, FleetState};
use bamboospur_registry::{Announcement, StartTime, TargetName};
use bamboospur_target_limits::{LimitShare, StatedLimit};
use bamboospur_types::InstanceId;
use serde::{Deserialize, Serialize};

use crate::stream_origins::{BegunStreams, FoundOrigin, StreamId};

/// Number that the sender gives to a request, which the answer repeats; see
/// [`Requests`](super::Requests).
pub type Ticket = u64;

/// Identity and role of the side that dials.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Id of the instance.
    pub id: InstanceId,
    /// Role of the instance.
    pub role: Role,
}

/// Role of an instance, and the addresses where others reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Control instance.
    Control {
        /// Address where the instance accepts links.
        links: SocketAddr,
    },
    /// Router.
    Router(RouterLocation),
}

/// Data centre and addresses of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterLocation {
    /// Name of the data centre.
    pub data_centre: String,
    /// Address where the router accepts links of other routers.
    pub links: SocketAddr,
    /// Address where the router accepts reports of targets.
    pub reports: SocketAddr,
}

impl Hello {
    /// Returns the link address of a control instance; `None` for a router.
    #[must_use]
    pub const fn control_address(&self) -> Option<SocketAddr> {
        match self.role {
            Role::Control { links } => Some(links),
            Role::Router(_) => None,
        }
    }

    /// Returns the location of a router; `None` for a control instance.
    #[must_use]
    pub const fn router_location(&self) -> Option<&RouterLocation> {
        match &self.role {
            Role::Control { .. } => None,
            Role::Router(location) => Some(location),
        }
    }
}

/// Message on a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Frame {
    /// First frame of the side that dials.
    Hello(Hello),
    /// Keep-alive with a number that the sender chooses; the answer repeats it.
    Alive(u64),
    /// Link addresses of control instances that the sender has heard from lately.
    Controls(Vec<SocketAddr>),
    /// Message of the replicated log.
    Replica {
        /// Receiver. A different instance may have taken over its address.
        to: InstanceId,
        /// Message of the consensus protocol.
        message: Box<Message>,
    },
    /// Data centres and link addresses of relays: routers that forward updates of
    /// control instances to other routers. When the list is empty, control instances
    /// send updates to every router.
    Relays(Vec<(String, SocketAddr)>),
    /// Request of a router for all targets.
    RequestTargets {
        /// Whether the router also needs the cached prompts, as after its start.
        with_prefixes: bool,
        /// Whether the router relays for others.
        as_relay: bool,
    },
    /// Announcements that changed the state known to the sender.
    Targets(Vec<Announcement>),
    /// Answer to [`Frame::RequestTargets`]: the newest announcements of all targets.
    AllTargets(Vec<Announcement>),
    /// Newest announcements of targets whose reports have stopped.
    Silent(Vec<Announcement>),
    /// Targets that reported to the sender since its last frame of this kind, with
    /// the sequence numbers of their newest reports. Their state is unchanged.
    Heard(Vec<(TargetName, StartTime, u64)>),
    /// Report of a target to a router that changes the known state.
    Report {
        /// Returned in [`Frame::Taken`] when the report is accepted.
        ticket: Ticket,
        /// Content of the report.
        announcement: Box<Announcement>,
    },
    /// Departure of a target, reported to a router.
    Leave {
        /// Returned in [`Frame::Taken`] when the departure is accepted.
        ticket: Ticket,
        /// Name of the target.
        name: TargetName,
        /// Start of the target that leaves; `None` when the target names none.
        start: Option<StartTime>,
    },
    /// The receiver accepted a report or a departure.
    Taken {
        /// Ticket of the report or departure.
        ticket: Ticket,
    },
    /// Targets that have cached the shared parts of prompts, as pairs of hashes: of the
    /// parts and of the target.
    CachedPrefixes(#[serde(with = "super::prefixes")] Vec<(u64, u64)>),
    /// Streams that began at the sender, for callers that resume them through other routers.
    StreamsBegun(Vec<BegunStreams>),
    /// Query for the origin of a stream.
    FindStream {
        /// Returned with the answer.
        ticket: Ticket,
        /// Id of the stream; `None` if the caller does not name it.
        stream: Option<StreamId>,
        /// Services at which the stream may have begun if its origin is not known.
        services: Vec<ServiceName>,
    },
    /// Answer to [`Frame::FindStream`].
    StreamFound {
        /// Ticket of the query.
        ticket: Ticket,
        /// What the sender knows about the origin.
        found: FoundOrigin,
    },
    /// Request counts of the sender: requests in progress by hash of the target, and
    /// arriving requests by hash of the service. A control instance or a relay sends
    /// the sums over the routers that send their counts to it.
    Loads(Vec<(u64, u32)>),
    /// Request counts as in [`Frame::Loads`], summed over all routers.
    Totals(Vec<(u64, u32)>),
    /// Request of a router for the change from the version that it holds, 0 for none, to
    /// the configuration in force.
    RequestConfig(DocumentVersion),
    /// Answer to [`Frame::RequestConfig`]: the sender has no newer configuration. It sends
    /// the next one.
    NoNewerConfig,
    /// Change to the configuration in force at the sender.
    Config(Change),
    /// Query of a router, or of a control instance for an operator's read, for the version of the
    /// configuration that is in force, with a ticket. The leader answers with
    /// [`Frame::InForce`], or with [`Frame::Alive`] if it cannot confirm the version; other
    /// instances answer with [`Frame::Leader`], or with [`Frame::Alive`] without a leader.
    /// Except for [`Frame::Leader`], the answer repeats the ticket.
    Ask(Ticket),
    /// Link address of the leader, which alone can answer [`Frame::Ask`].
    Leader(SocketAddr),
    /// Answer to [`Frame::Ask`]: no newer version or state was accepted before the query.
    InForce {
        /// Ticket of the query.
        asked: Ticket,
        /// Version of the configuration.
        version: u64,
        /// Routers that are linked to the sender.
        routers: u32,
        /// Revision of the state of the fleet.
        fleet: FleetRevision,
    },
    /// Change by an operator, forwarded to the leader.
    Put {
        /// Returned with the result of the request.
        ticket: Ticket,
        /// New configuration.
        document: Document,
    },
    /// Result of a change.
    PutDone {
        /// Ticket of the change.
        ticket: Ticket,
        /// Whether the change is accepted.
        accepted: bool,
    },
    /// Read by an operator, forwarded to the leader.
    Get {
        /// Returned with the result of the request.
        ticket: Ticket,
    },
    /// Result of a read.
    GetDone {
        /// Ticket of the read.
        ticket: Ticket,
        /// Newest configuration, or `None` when the leader could not confirm it.
        document: Option<Document>,
    },
    /// Message between a router and the control instances about parts of prompts that crash
    /// targets.
    Crashes(CrashMessage),
    /// Limits that targets stated in answers, or stopped stating.
    StatedLimits(Vec<StatedLimit>),
    /// Limits that targets stated, and the routers that divide each.
    LimitShares(Vec<LimitShare>),
    /// Change of the fleet, forwarded to the leader, which answers it with
    /// [`Frame::PutDone`].
    ChangeFleet {
        /// Returned with the result of the change.
        ticket: Ticket,
        /// Change to accept.
        change: FleetChange,
    },
    /// Request of a router for the state of the fleet.
    RequestFleet,
    /// State of the fleet that the group has accepted.
    Fleet(FleetState),
}
