//! Changes and reads of the configuration, and queries for the version in force.

use std::time::Instant;

use bamboospur_group::{Document, DocumentVersion, GroupInput, Reply, Unavailable};
use tracing::{info, warn};

use super::Host;
use crate::control::event::PutResult;
use crate::control::operators::{PendingRequest, Requester};
use crate::link::{Frame, LinkId, Responder, Ticket};

impl Host {
    /// Sends the change from the version before to the routers that send their loads to
    /// this instance, and to those that requested a newer version. Other routers receive
    /// it from the instance or relay that they send their loads to, or request it.
    pub(super) fn publish_config(&mut self, document: Document) {
        let links = self.reporting_router_links();
        if let Some(change) = self.outbox.publish(document, None, &links) {
            self.links.send(&links, &Frame::Config(change));
        }
    }

    pub(super) fn handle_config_request(&mut self, link: LinkId, held_version: DocumentVersion) {
        if !self.outbox.request_config(link, held_version) {
            self.send_to_link(link, &Frame::NoNewerConfig);
        }
    }

    /// Returns the links of the routers that send their loads to this instance.
    pub(super) fn reporting_router_links(&self) -> Vec<LinkId> {
        let routers = self.links.routers();
        let reporting = routers.filter(|(_, hello)| self.loads.has_router_counts(hello.id));
        reporting.map(|(link, _)| link).collect()
    }

    /// Answers a router's query for the version in force, which only the leader knows.
    /// Other instances answer with the address of the leader or, without one, with a
    /// keep-alive.
    pub(super) fn handle_ask(&mut self, link: LinkId, asked: u64, now: Instant) {
        if self.is_leader() {
            let request = PendingRequest::Ask { link, asked };
            let ticket = self.pending_requests.add_own(request, now);
            self.handle_group_input(GroupInput::Read { ticket });
        } else if let Some(address) = self.leader_address() {
            self.send_to_link(link, &Frame::Leader(address));
        } else {
            self.unanswered_links.insert(link);
            self.send_to_link(link, &Frame::Alive(asked));
        }
    }

    /// Returns the link address of the leader, if the leader and the address are known.
    fn leader_address(&self) -> Option<std::net::SocketAddr> {
        let leader = self.group.leader()?;
        if leader == self.id {
            Some(self.peers.own_address())
        } else {
            self.peers.address_of(leader)
        }
    }

    /// Sends the address of the leader to the routers whose queries could not be
    /// answered.
    pub(super) fn send_leader_address(&mut self) {
        if let Some(address) = self.leader_address() {
            let links: Vec<LinkId> = std::mem::take(&mut self.unanswered_links)
                .into_iter()
                .collect();
            self.links.send(&links, &Frame::Leader(address));
        }
    }

    pub(super) fn is_leader(&self) -> bool {
        self.group.leader() == Some(self.id)
    }

    /// Submits an operator's request to the group if this instance is the leader, or
    /// forwards the request to the leader. Without a leader the request waits for one until its
    /// deadline. A change that is already accepted needs no leader.
    pub(super) fn submit_request(&mut self, request: PendingRequest, deadline: Instant) {
        let leader = self.group.leader();
        if let PendingRequest::Evacuate { change, .. } = &request {
            let change = change.clone();
            let ticket = self.pending_requests.add(request, deadline);
            return self.submit_fleet_change(ticket, change);
        }
        let change = match &request {
            PendingRequest::Put { document, .. } => Some(document.clone()),
            _ => None,
        };
        let is_accepted = change
            .as_ref()
            .is_some_and(|d| d.version <= self.group.document().version);
        let ticket = self.pending_requests.add(request, deadline);
        if leader == Some(self.id) || is_accepted {
            self.pending_requests.record_sent(ticket, Responder::Own);
            self.handle_group_input(match change {
                Some(document) => GroupInput::Put { ticket, document },
                None => GroupInput::Read { ticket },
            });
        } else if let Some(leader) = leader {
            let frame = match change {
                Some(document) => Frame::Put { ticket, document },
                // This instance has the document already, unless it lags behind.
                None => Frame::Ask(ticket),
            };
            if let Some(responder) = self.peers.send_request(leader, frame) {
                self.pending_requests.record_sent(ticket, responder);
            } else {
                warn!(
                    leader,
                    "cannot forward an operator's request to the leader: no link to it, or its queue is \
                     full; the request waits for a new leader until it expires"
                );
            }
        }
    }

    pub(super) fn handle_peer_put(
        &mut self,
        requester: Requester,
        document: Document,
        now: Instant,
    ) {
        let request = PendingRequest::PeerPut(requester);
        let ticket = self.pending_requests.add_own(request, now);
        self.handle_group_input(GroupInput::Put { ticket, document });
    }

    pub(super) fn handle_peer_get(&mut self, requester: Requester, now: Instant) {
        let request = PendingRequest::PeerGet(requester);
        let ticket = self.pending_requests.add_own(request, now);
        self.handle_group_input(GroupInput::Read { ticket });
    }

    /// Handles a peer's answer to a change. One that is not accepted is submitted again to the
    /// next leader.
    pub(super) fn handle_put_done(&mut self, ticket: Ticket, from: Responder, accepted: bool) {
        if !accepted {
            return;
        }
        match self.pending_requests.take(ticket, from) {
            Some(PendingRequest::Put { result, .. } | PendingRequest::Evacuate { result, .. }) => {
                // The operator may have given up waiting.
                let _sent = result.send(PutResult::Accepted);
            }
            Some(_) => {}
            None => info!(
                ticket,
                ?from,
                "dropping the result of a change: this process did not send it there, or no \
                 longer waits for it"
            ),
        }
    }

    /// Answers an operator's read of this instance, once the leader has said which version is in
    /// force. An instance that lacks it requests the document from the leader.
    pub(super) fn handle_version_in_force(
        &mut self,
        ticket: Ticket,
        from: Responder,
        version: DocumentVersion,
    ) {
        if !self.pending_requests.is_read(ticket, from) {
            return;
        }
        if self.group.document().version >= version {
            self.handle_get_done(ticket, from, Some(self.group.document().clone()));
        } else if let Some(leader) = self.group.leader() {
            // Without an answer the operator is told that the newest version is not known.
            if let Some(responder) = self.peers.send_request(leader, Frame::Get { ticket }) {
                self.pending_requests.record_sent(ticket, responder);
            }
        }
    }

    pub(super) fn handle_get_done(
        &mut self,
        ticket: Ticket,
        from: Responder,
        document: Option<Document>,
    ) {
        let bytes = document.as_ref().map_or(0, |d| d.text().len());
        self.outbox.record_other(bytes, Instant::now());
        if document.is_some()
            && let Some(PendingRequest::Get { result }) = self.pending_requests.take(ticket, from)
        {
            let _sent = result.send(document);
        }
    }

    /// Handles the answer of the group in this process.
    pub(super) fn handle_reply(&mut self, ticket: Ticket, reply: Result<Reply, Unavailable>) {
        let Some(request) = self.pending_requests.take(ticket, Responder::Own) else {
            return;
        };
        let accepted = reply.is_ok();
        let newest = || accepted.then(|| self.group.document().clone());
        match request {
            PendingRequest::Put { result, .. } | PendingRequest::Evacuate { result, .. } => {
                let outcome = if accepted {
                    PutResult::Accepted
                } else {
                    PutResult::Unknown
                };
                // The operator may have given up waiting.
                let _sent = result.send(outcome);
            }
            PendingRequest::Get { result } => {
                let bytes = self.group.document().text().len();
                self.outbox.record_other(bytes, Instant::now());
                let _sent = result.send(newest());
            }
            PendingRequest::PeerPut(requester) => {
                let ticket = requester.ticket;
                self.answer_peer(requester, Frame::PutDone { ticket, accepted });
            }
            PendingRequest::PeerGet(requester) => {
                let (ticket, document) = (requester.ticket, newest());
                self.answer_peer(requester, Frame::GetDone { ticket, document });
            }
            PendingRequest::Ask { link, asked } => self.send_in_force(link, asked, reply),
            PendingRequest::OwnChange { change } => {
                if let Err(error) = reply {
                    info!(?change, %error, "change of the fleet not accepted; the next round proposes again what is missing");
                }
            }
            PendingRequest::FindStream(query) => {
                self.answer_find_stream(&query, reply.is_ok(), Instant::now());
            }
        }
    }

    /// Answers the process of a peer that forwarded a request. The next process of the peer is not
    /// answered: builds that count tickets from 1 would take it for the answer to another request.
    fn answer_peer(&self, requester: Requester, answer: Frame) {
        let Requester { peer, link, ticket } = requester;
        if !self.links.is_newest_of_peer(link) {
            info!(
                peer,
                ticket, "dropping the answer to a request: the link over which it came has ended"
            );
            return;
        }
        // If the answer is lost, the peer tells its operator that the result is not known.
        let _sent = self.peers.send_to(peer, answer);
    }

    pub(super) fn send_in_force(
        &self,
        link: LinkId,
        asked: u64,
        reply: Result<Reply, Unavailable>,
    ) {
        let routers = self.links.routers().count();
        let frame = match reply {
            Ok(Reply::Newest { version } | Reply::Accepted { version }) => Frame::InForce {
                asked,
                version,
                routers: u32::try_from(routers).unwrap_or(u32::MAX),
                fleet: self.group.fleet().revision(),
            },
            Err(_) => Frame::Alive(asked),
        };
        self.send_to_link(link, &frame);
    }
}
