//! Requests of operators, peers and routers that wait for an answer of the group.

use std::time::{Duration, Instant};

use bamboospur_catalog::ServiceName;
use bamboospur_group::{Document, FleetChange};
use bamboospur_types::InstanceId;
use tokio::sync::oneshot;

use super::event::PutResult;
use crate::link::{LinkId, Requests, Responder, Ticket};
use crate::stream_origins::StreamId;

/// Time after which a request is dropped, before its caller is told that the result is not known.
/// Until then a change of leader makes the instance submit operators' requests again.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(850);

/// Request, and where its result goes.
#[derive(Debug)]
pub enum PendingRequest {
    /// Change by an operator that called this instance.
    Put {
        /// Receives the result of the change.
        result: oneshot::Sender<PutResult>,
        /// New configuration, kept to submit it again.
        document: Document,
    },
    /// Change of the fleet by an operator that called this instance.
    Evacuate {
        /// Receives the result of the change.
        result: oneshot::Sender<PutResult>,
        /// Change of the fleet, kept to submit it again.
        change: FleetChange,
    },
    /// Change of the fleet that this instance found out itself.
    OwnChange {
        /// Change of the fleet.
        change: FleetChange,
    },
    /// Read by an operator that called this instance.
    Get {
        /// Receives the newest configuration, or `None` when it could not be confirmed.
        result: oneshot::Sender<Option<Document>>,
    },
    /// Change that a peer forwarded.
    PeerPut(Requester),
    /// Read that a peer forwarded.
    PeerGet(Requester),
    /// Query of a router for the origin of a stream that was not reported to this instance.
    FindStream(StreamQuery),
    /// Query of a router for the version in force.
    Ask {
        /// Number of the link of the router.
        link: u64,
        /// Number of the query.
        asked: u64,
    },
}

/// Process of a peer that forwarded a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// Id of the peer, which its next process keeps.
    pub peer: InstanceId,
    /// Link over which the request came; it ends with the process.
    pub link: LinkId,
    /// Ticket that the peer gave to the request.
    pub ticket: Ticket,
}

/// Query of a router for the origin of a stream.
#[derive(Debug)]
pub struct StreamQuery {
    /// Number of the link of the router.
    pub link: LinkId,
    /// Ticket that the router gave to the query.
    pub ticket: Ticket,
    /// Id of the stream; `None` if the caller does not name it.
    pub stream: Option<StreamId>,
    /// Services at which the stream may have begun.
    pub services: Vec<ServiceName>,
}

/// Pending requests by ticket.
#[derive(Debug, Default)]
pub struct PendingRequests(Requests<PendingRequest>);

impl PendingRequests {
    /// Adds a request that is not sent to anybody yet.
    pub fn add(&mut self, request: PendingRequest, deadline: Instant) -> Ticket {
        self.0.add(request, deadline)
    }

    /// Adds a request that the group in this process answers.
    pub fn add_own(&mut self, request: PendingRequest, now: Instant) -> Ticket {
        self.0
            .add_sent(request, Responder::Own, now + REQUEST_TIMEOUT)
    }

    /// Records that a request was sent, so that its receiver may answer it.
    pub fn record_sent(&mut self, ticket: Ticket, to: Responder) {
        self.0.record_sent(ticket, to);
    }

    /// Removes and returns the request that an answer names; `None` if `from` was not sent it.
    pub fn take(&mut self, ticket: Ticket, from: Responder) -> Option<PendingRequest> {
        self.0.take(ticket, from)
    }

    /// Whether an answer names a read by an operator that called this instance.
    pub fn is_read(&self, ticket: Ticket, from: Responder) -> bool {
        matches!(self.0.get(ticket, from), Some(PendingRequest::Get { .. }))
    }

    /// Removes and returns the requests of operators that called this instance and still wait,
    /// with their deadlines, to submit them to another leader.
    pub fn take_operator_requests(&mut self, now: Instant) -> Vec<(PendingRequest, Instant)> {
        self.remove_expired(now);
        self.0.extract_if(|request| {
            matches!(
                request,
                PendingRequest::Put { .. }
                    | PendingRequest::Evacuate { .. }
                    | PendingRequest::Get { .. }
            )
        })
    }

    /// Drops requests whose callers no longer wait for the answer.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0.take_expired(now);
    }
}
