//! Frames from peers and routers, and to them.

use std::time::Instant;

use bamboospur_group::GroupInput;
use bamboospur_types::InstanceId;
use tokio::sync::mpsc::Sender;
use tracing::{info, warn};

use super::{AcceptedLink, Host};
use crate::control::event::LinkId;
use crate::link::{Frame, Hello, LinkEvent};

impl Host {
    pub(super) fn send_to_routers(&mut self, frame: &Frame) {
        self.send_to_routers_but(None, frame);
    }

    pub(super) fn send_to_routers_but(&mut self, but: Option<LinkId>, frame: &Frame) {
        let is_router = |link: &AcceptedLink| link.hello.address.is_none();
        let links = self
            .links
            .iter()
            .filter(|&(&id, link)| is_router(link) && but != Some(id));
        let ids: Vec<LinkId> = links.map(|(&id, _)| id).collect();
        self.send_to(ids, frame);
    }

    /// Closes links that have no room, which makes a router start from the
    /// present state.
    pub(super) fn send_to(&mut self, ids: Vec<LinkId>, frame: &Frame) {
        for id in ids {
            let link = self.links.get(&id);
            if link.is_some_and(|link| link.frames.try_send(frame.clone()).is_err()) {
                warn!(link = id, "a router reads too slowly; its link is closed");
                self.links.remove(&id);
            }
        }
    }

    pub(super) fn opened(
        &mut self,
        link: LinkId,
        hello: Hello,
        frames: Sender<Frame>,
        now: Instant,
    ) {
        let accepted = AcceptedLink { hello, frames };
        if let Some(address) = hello.address {
            self.heard(hello.id, address, now);
        } else {
            self.greet(&accepted.frames, now);
        }
        info!(
            link,
            peer = hello.id,
            control = hello.address.is_some(),
            "a link opened"
        );
        self.links.insert(link, accepted);
    }

    /// Sends the present state to a router.
    pub(super) fn greet(&self, frames: &Sender<Frame>, now: Instant) {
        let all = self.registry.all().cloned().collect();
        let state = [
            Frame::Controls(self.peers.recent(now)),
            Frame::Targets(all),
            Frame::CachedPrefixes(self.prefixes.iter().copied().collect()),
        ];
        for frame in state {
            // The queue of a new link has room.
            let _sent = frames.try_send(frame);
        }
    }

    pub(super) fn heard(&mut self, id: InstanceId, address: std::net::SocketAddr, now: Instant) {
        self.peers.heard(id, address, now);
        self.feed(GroupInput::Heard { id, address });
    }

    pub(super) fn received(&mut self, link: LinkId, frame: Frame, now: Instant) {
        let Some(accepted) = self.links.get(&link) else {
            return;
        };
        let hello = accepted.hello;
        if let Some(address) = hello.address {
            self.heard(hello.id, address, now);
        }
        match frame {
            Frame::Alive(number) => {
                // A full queue holds frames that are a sign of life themselves.
                let _sent = self
                    .links
                    .get(&link)
                    .map(|l| l.frames.try_send(Frame::Alive(number)));
            }
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
            Frame::Targets(announcements) => self.merge(announcements, false, now),
            Frame::CachedPrefixes(prefixes) => self.pass_on_prefixes(link, prefixes),
            Frame::Loads(counts) if hello.address.is_some() => {
                self.loads.peer(hello.id, counts, now);
            }
            Frame::Loads(counts) => self.loads.router(hello.id, counts, now),
            Frame::RequestConfig => self.send_config(link),
            Frame::Ask(asked) => self.asked(link, asked, now),
            Frame::Put { ticket, document } => self.peer_put(hello.id, ticket, document, now),
            Frame::Get { ticket } => self.peer_get(hello.id, ticket, now),
            Frame::PutDone { ticket, accepted } => self.put_done(ticket, accepted),
            Frame::GetDone { ticket, document } => self.get_done(ticket, document),
            Frame::Controls(addresses) => {
                for address in addresses {
                    self.peers.learn(address);
                }
            }
            Frame::Hello(_)
            | Frame::Silent(_)
            | Frame::Config(_)
            | Frame::Totals(_)
            | Frame::Leader(_)
            | Frame::InForce { .. } => {
                warn!(link, "a frame came that this side does not take");
            }
        }
    }

    pub(super) fn dialed(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(address) => {
                info!(%address, "link to a control instance is up");
                let now = Instant::now();
                let all = self.registry.all().cloned().collect();
                let recent = self.peers.recent(now);
                self.peers.send_to_all(&Frame::Controls(recent));
                self.peers.send_to_all(&Frame::Targets(all));
            }
            LinkEvent::Down(address, error) => {
                info!(%address, %error, "link to a control instance is down");
            }
            LinkEvent::Frame(..) => {}
        }
    }
}
