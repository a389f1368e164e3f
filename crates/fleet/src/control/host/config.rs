//! Changes and reads of the configuration, and what is in force.

use std::time::Instant;

use bamboospur_group::{Document, GroupInput, Reply, Unavailable};
use bamboospur_types::InstanceId;
use tracing::warn;

use super::Host;
use crate::control::event::PutResult;
use crate::control::operators::Waiter;
use crate::link::{Frame, LinkId, Ticket};

impl Host {
    /// Sends a configuration to the routers that tell their loads here. The
    /// others get it from the instance that they tell, or ask for it.
    pub(super) fn publish_config(&mut self, frame: &Frame) {
        self.links.send(&self.telling_links(), frame);
    }

    /// Links of the routers that tell their loads here.
    pub(super) fn telling_links(&self) -> Vec<LinkId> {
        let routers = self.links.routers();
        let telling = routers.filter(|(_, hello)| self.loads.has_router(hello.id));
        telling.map(|(link, _)| link).collect()
    }

    /// Answers a router. Only the leader knows what is in force.
    pub(super) fn asked(&mut self, link: LinkId, asked: u64, now: Instant) {
        if self.is_leader() {
            let ticket = self.waiters.add(Waiter::Ask { link, asked }, now);
            self.feed(GroupInput::Read { ticket });
        } else if let Some(address) = self.leader_address() {
            self.tell(link, &Frame::Leader(address));
        } else {
            self.unanswered.insert(link);
            self.tell(link, &Frame::Alive(asked));
        }
    }

    /// Address of the leader, if there is one and it is known.
    fn leader_address(&self) -> Option<std::net::SocketAddr> {
        let leader = self.group.leader()?;
        if leader == self.id {
            Some(self.peers.own_address())
        } else {
            self.peers.address_of(leader)
        }
    }

    /// Tells routers that asked without an answer whom to ask now.
    pub(super) fn name_leader(&mut self) {
        if let Some(address) = self.leader_address() {
            let links: Vec<LinkId> = std::mem::take(&mut self.unanswered).into_iter().collect();
            self.links.send(&links, &Frame::Leader(address));
        }
    }

    pub(super) fn is_leader(&self) -> bool {
        self.group.leader() == Some(self.id)
    }

    /// Hands an operator's request to the leader, here or elsewhere. Without a
    /// leader it waits for one.
    pub(super) fn request(&mut self, waiter: Waiter, now: Instant) {
        let leader = self.group.leader();
        let change = match &waiter {
            Waiter::Put { document, .. } => Some(document.clone()),
            _ => None,
        };
        let settled = change
            .as_ref()
            .is_some_and(|d| d.version <= self.group.document().version);
        let ticket = self.waiters.add(waiter, now);
        if leader == Some(self.id) || settled {
            self.feed(match change {
                Some(document) => GroupInput::Put { ticket, document },
                None => GroupInput::Read { ticket },
            });
        } else if let Some(leader) = leader {
            let frame = match change {
                Some(document) => Frame::Put { ticket, document },
                None => Frame::Get { ticket },
            };
            if !self.peers.send_to(leader, frame) {
                warn!(leader, "no link to the leader");
            }
        }
    }

    pub(super) fn send_config(&self, link: LinkId) {
        self.tell(link, &Frame::Config(self.group.document().clone()));
    }

    pub(super) fn peer_put(
        &mut self,
        peer: InstanceId,
        ticket: Ticket,
        document: Document,
        now: Instant,
    ) {
        let ticket = self.waiters.add(Waiter::PeerPut { peer, ticket }, now);
        self.feed(GroupInput::Put { ticket, document });
    }

    pub(super) fn peer_get(&mut self, peer: InstanceId, ticket: Ticket, now: Instant) {
        let ticket = self.waiters.add(Waiter::PeerGet { peer, ticket }, now);
        self.feed(GroupInput::Read { ticket });
    }

    pub(super) fn put_done(&mut self, ticket: Ticket, accepted: bool) {
        if accepted && let Some(Waiter::Put { result, .. }) = self.waiters.take(ticket) {
            // The operator may have given up waiting.
            let _told = result.send(PutResult::Accepted);
        }
    }

    pub(super) fn get_done(&mut self, ticket: Ticket, document: Option<Document>) {
        if document.is_some()
            && let Some(Waiter::Get { result }) = self.waiters.take(ticket)
        {
            let _told = result.send(document);
        }
    }

    pub(super) fn reply(&mut self, ticket: Ticket, reply: Result<Reply, Unavailable>) {
        let Some(waiter) = self.waiters.take(ticket) else {
            return;
        };
        let accepted = reply.is_ok();
        let newest = || accepted.then(|| self.group.document().clone());
        match waiter {
            Waiter::Put { result, .. } => {
                let outcome = if accepted {
                    PutResult::Accepted
                } else {
                    PutResult::Unclear
                };
                // The operator may have given up waiting.
                let _told = result.send(outcome);
            }
            Waiter::Get { result } => {
                let _told = result.send(newest());
            }
            Waiter::PeerPut { peer, ticket } => {
                // A lost result reads as unclear.
                let _sent = self
                    .peers
                    .send_to(peer, Frame::PutDone { ticket, accepted });
            }
            Waiter::PeerGet { peer, ticket } => {
                let document = newest();
                let _sent = self
                    .peers
                    .send_to(peer, Frame::GetDone { ticket, document });
            }
            Waiter::Ask { link, asked } => self.tell_in_force(link, asked, reply),
        }
    }

    pub(super) fn tell_in_force(
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
            },
            Err(_) => Frame::Alive(asked),
        };
        self.tell(link, &frame);
    }
}
