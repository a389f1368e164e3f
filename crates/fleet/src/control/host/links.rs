//! Frames from peers and routers, and to them.

use std::time::Instant;

use bamboospur_group::GroupInput;
use bamboospur_types::InstanceId;
use tracing::{info, warn};

use super::Host;
use crate::link::{AcceptEvent, DialEvent, Frame, FrameQueue, Hello, LinkId, Ticket};

impl Host {
    pub(super) fn accepted(&mut self, event: AcceptEvent, now: Instant) {
        match event {
            AcceptEvent::Opened {
                link,
                hello,
                frames,
            } => self.opened(link, hello, frames, now),
            AcceptEvent::Received { link, frame } => self.received(link, frame, now),
            AcceptEvent::Ended { link } => {
                self.links.remove(link);
                if self.spread.relay_links().any(|relay| relay == link) {
                    self.plan_relays();
                }
            }
        }
    }

    pub(super) fn router_links(&self) -> Vec<LinkId> {
        self.links.routers().map(|(link, _)| link).collect()
    }

    pub(super) fn send_to_routers(&mut self, frame: &Frame) {
        self.links.send(&self.router_links(), frame);
    }

    /// Sends to the routers that pass it on, or to all routers without any.
    pub(super) fn send_down(&mut self, but: Option<LinkId>, frame: &Frame) {
        let mut links = if self.spread.has_relays() {
            self.spread.relay_links().collect()
        } else {
            self.router_links()
        };
        links.retain(|&link| but != Some(link));
        self.links.send(&links, frame);
    }

    /// Chooses the relays anew and tells everyone when they change. A router that
    /// becomes a relay asks for what it may have missed.
    pub(super) fn plan_relays(&mut self) {
        if !self
            .spread
            .select_relays(self.links.routers(), self.registry.len())
        {
            return;
        }
        let relays = self.spread.relays();
        info!(?relays, "relays changed");
        self.send_to_routers(&Frame::Relays(relays));
        if !self.spread.has_relays() {
            // Routers have heard nothing from here since there were relays.
            self.send_state(&self.router_links());
        }
    }

    pub(super) fn opened(&mut self, link: LinkId, hello: Hello, frames: FrameQueue, now: Instant) {
        info!(
            link,
            peer = hello.id,
            control = hello.control().is_some(),
            "a link opened"
        );
        let (id, control) = (hello.id, hello.control());
        self.links.insert(link, hello, frames);
        if let Some(address) = control {
            self.heard(id, address, now);
        } else {
            if !self.spread.has_relays() {
                // Many routers that start at once would all be sent everything.
                self.plan_relays();
            }
            self.greet(link, now);
        }
    }

    /// Sends the present state to a router, or who will send it.
    fn greet(&self, link: LinkId, now: Instant) {
        self.tell(link, &Frame::Controls(self.peers.recent(now)));
        if self.spread.has_relays() {
            self.tell(link, &Frame::Relays(self.spread.relays()));
        } else {
            self.send_state(&[link]);
        }
    }

    /// Sends everything that is known of targets.
    fn send_state(&self, links: &[LinkId]) {
        let all = self.registry.all().cloned().collect();
        let prefixes = self.prefixes.iter().copied().collect();
        for frame in [Frame::Targets(all), Frame::CachedPrefixes(prefixes)] {
            // A link without room is closed by the next news.
            self.links.try_send(links, &frame);
        }
    }

    pub(super) fn heard(&mut self, id: InstanceId, address: std::net::SocketAddr, now: Instant) {
        self.peers.heard(id, address, now);
        self.feed(GroupInput::PeerSeen { id, address });
    }

    pub(super) fn received(&mut self, link: LinkId, frame: Frame, now: Instant) {
        let Some(hello) = self.links.hello(link).cloned() else {
            return;
        };
        if let Some(address) = hello.control() {
            self.heard(hello.id, address, now);
        }
        match frame {
            Frame::Alive(number) => self.tell(link, &Frame::Alive(number)),
            Frame::Replica { to, message } if to == self.id => {
                let message = *message;
                let from = hello.id;
                self.feed(GroupInput::Message { from, message });
            }
            Frame::Replica { to, .. } => {
                info!(
                    to,
                    from = hello.id,
                    "a message for the former instance at this address"
                );
            }
            Frame::CachedPrefixes(prefixes) => self.pass_on_prefixes(link, prefixes),
            Frame::Loads(counts) if hello.control().is_some() => {
                self.loads.record_peer_sums(hello.id, counts, now);
            }
            Frame::Loads(counts) => self.loads.record_router_counts(hello.id, counts, now),
            Frame::RequestConfig => self.send_config(link),
            Frame::RequestTargets => self.send_state(&[link]),
            Frame::Ask(asked) => self.asked(link, asked, now),
            Frame::Controls(addresses) => {
                for address in addresses {
                    self.peers.learn(address);
                }
            }
            Frame::Put { .. }
            | Frame::PutDone { .. }
            | Frame::Get { .. }
            | Frame::GetDone { .. } => {
                self.operator_frame(hello.id, frame, now);
            }
            Frame::Targets(_) | Frame::Heard(_) | Frame::Report { .. } | Frame::Leave { .. } => {
                self.target_frame(link, hello.router().is_some(), frame, now);
            }
            Frame::Hello(_)
            | Frame::Relays(_)
            | Frame::Taken { .. }
            | Frame::Silent(_)
            | Frame::Config(_)
            | Frame::Totals(_)
            | Frame::Leader(_)
            | Frame::InForce { .. } => {
                warn!(link, "a frame came that this side does not take");
            }
        }
    }

    /// Sends an answer on a link.
    pub(super) fn tell(&self, link: LinkId, frame: &Frame) {
        self.links.try_send(&[link], frame);
    }

    /// Takes what a peer passes on for its operators, or the answer to that.
    fn operator_frame(&mut self, peer: InstanceId, frame: Frame, now: Instant) {
        match frame {
            Frame::Put { ticket, document } => self.peer_put(peer, ticket, document, now),
            Frame::Get { ticket } => self.peer_get(peer, ticket, now),
            Frame::PutDone { ticket, accepted } => self.put_done(ticket, accepted),
            Frame::GetDone { ticket, document } => self.get_done(ticket, document),
            _ => {}
        }
    }

    /// Takes what routers and peers say of targets. What routers say is passed on
    /// to peers.
    fn target_frame(&mut self, link: LinkId, from_router: bool, frame: Frame, now: Instant) {
        match frame {
            Frame::Targets(announcements) => self.merge(announcements, from_router, now),
            Frame::Heard(targets) => self.take_heard(targets, from_router, now),
            Frame::Report {
                ticket,
                announcement,
            } => {
                self.merge(vec![*announcement], true, now);
                self.taken(link, ticket, now);
            }
            Frame::Leave {
                ticket,
                name,
                start,
            } => {
                self.leave(&name, start, now);
                self.taken(link, ticket, now);
            }
            _ => {}
        }
    }

    /// Tells a router that what it passed on is taken.
    fn taken(&mut self, link: LinkId, ticket: Ticket, now: Instant) {
        self.tell_news(now);
        // Without an answer the router refuses, and the target calls again.
        self.tell(link, &Frame::Taken { ticket });
    }

    pub(super) fn dialed(&mut self, event: DialEvent) {
        match event {
            DialEvent::Up(address) => {
                info!(%address, "link to a control instance is up");
                let now = Instant::now();
                let all = self.registry.all().cloned().collect();
                let recent = self.peers.recent(now);
                self.peers.send_to_all(&Frame::Controls(recent));
                self.peers.send_to_all(&Frame::Targets(all));
            }
            DialEvent::Down(address, error) => {
                info!(%address, %error, "link to a control instance is down");
            }
            DialEvent::Frame(..) => {}
        }
    }
}
