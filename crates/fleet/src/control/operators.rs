//! Requests of operators, peers and routers that wait for an answer of the group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_catalog::ServiceName;
use bamboospur_group::{Document, FleetChange};
use bamboospur_types::InstanceId;
use tokio::sync::oneshot;

use super::event::PutResult;
use crate::link::{LinkId, Ticket};
use crate::stream_origins::StreamId;

/// Time after which a request is dropped. Until then its caller waits for the answer,
/// and a change of leader makes the instance submit operators' requests again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(850);

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
    PeerPut {
        /// Id of the peer.
        peer: InstanceId,
        /// Ticket that the peer gave to the request.
        ticket: Ticket,
    },
    /// Read that a peer forwarded.
    PeerGet {
        /// Id of the peer.
        peer: InstanceId,
        /// Ticket that the peer gave to the request.
        ticket: Ticket,
    },
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

#[derive(Debug)]
struct TimedRequest {
    request: PendingRequest,
    deadline: Instant,
}

/// Pending requests by ticket.
#[derive(Debug, Default)]
pub struct PendingRequests {
    last_ticket: Ticket,
    requests: BTreeMap<Ticket, TimedRequest>,
}

impl PendingRequests {
    pub fn add(&mut self, request: PendingRequest, now: Instant) -> Ticket {
        self.last_ticket += 1;
        let deadline = now + REQUEST_TIMEOUT;
        self.requests
            .insert(self.last_ticket, TimedRequest { request, deadline });
        self.last_ticket
    }

    pub fn take(&mut self, ticket: Ticket) -> Option<PendingRequest> {
        self.requests.remove(&ticket).map(|timed| timed.request)
    }

    /// Whether a request is a read by an operator that called this instance.
    pub fn is_read(&self, ticket: Ticket) -> bool {
        let request = self.requests.get(&ticket).map(|timed| &timed.request);
        matches!(request, Some(PendingRequest::Get { .. }))
    }

    /// Removes and returns the requests of operators that called this instance, to submit
    /// them to another leader.
    pub fn take_operator_requests(&mut self) -> Vec<PendingRequest> {
        let is_operator_request = |request: &PendingRequest| {
            matches!(
                request,
                PendingRequest::Put { .. }
                    | PendingRequest::Evacuate { .. }
                    | PendingRequest::Get { .. }
            )
        };
        let tickets: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, timed)| is_operator_request(&timed.request))
            .map(|(&ticket, _)| ticket)
            .collect();
        tickets
            .into_iter()
            .filter_map(|ticket| self.take(ticket))
            .collect()
    }

    /// Drops requests whose callers no longer wait for the answer.
    pub fn remove_expired(&mut self, now: Instant) {
        self.requests.retain(|_, timed| now < timed.deadline);
    }
}
