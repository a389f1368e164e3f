//! Links with peers and routers: opening, closing, and frames in both directions.

use std::collections::BTreeMap;
use std::time::Instant;

use bamboospur_agreement::Message;
use bamboospur_group::GroupInput;
use bamboospur_types::InstanceId;
use tracing::{info, warn};

use super::Host;
use super::targets::ReportReply;
use crate::control::fanout::{Fanout, Selection};
use crate::control::operators::Requester;
use crate::link::{
    AcceptEvent, DialEvent, Frame, FrameQueue, Hello, LinkId, Responder, Role, Ticket,
};
use crate::loads::RequestCounts;

impl Host {
    pub(super) fn handle_accept_event(&mut self, event: AcceptEvent, now: Instant) {
        match event {
            AcceptEvent::Opened {
                link,
                hello,
                frames,
            } => self.handle_opened_link(link, hello, frames, now),
            AcceptEvent::Received { link, frame } => self.handle_frame(link, frame, now),
            AcceptEvent::Ended { link } => {
                self.links.remove(link);
                self.outbox.remove(link);
            }
        }
    }

    pub(super) fn router_links(&self) -> Vec<LinkId> {
        self.links.routers().map(|(link, _)| link).collect()
    }

    pub(super) fn send_to_routers(&mut self, frame: &Frame) {
        self.links.send(&self.router_links(), frame);
    }

    /// Returns the links of the relays, or of all routers when there are no relays.
    pub(super) fn update_links(&self) -> Vec<LinkId> {
        if self.fanout.has_relays() {
            self.fanout.relay_links().collect()
        } else {
            self.router_links()
        }
    }

    /// Sends a frame to the relays, or to all routers when there are no relays.
    pub(super) fn send_via_relays(&mut self, frame: &Frame) {
        self.links.send(&self.update_links(), frame);
    }

    /// Sends the cached prefixes that there is room for to the relays, or to all routers when
    /// there are no relays. They are hints, so a router may miss them, and they wait while
    /// configurations do.
    pub(super) fn send_prefixes(&mut self, now: Instant) {
        if self.outbox.has_config() {
            return;
        }
        let links = self.update_links();
        let prefixes = self.prefix_queue.take(links.len(), now);
        if !prefixes.is_empty() {
            self.links
                .try_send(&links, &Frame::CachedPrefixes(prefixes));
        }
    }

    /// Selects the relays, or adopts the selection of the leader, and sends changed ones to
    /// the routers. A router that becomes a relay requests the full state.
    pub(super) fn update_relays(&mut self, now: Instant) {
        let before = self.fanout.clone();
        let routers = self.links.routers();
        let changed = match &self.leader_relays {
            Some(relays) if !self.is_leader() => self.fanout.adopt_relays(relays, routers),
            _ => {
                let selection = if self.is_leader() {
                    Selection::KeepLinked
                } else {
                    Selection::ByRank
                };
                let targets = self.registry.len();
                self.fanout.select_relays(routers, targets, selection, now)
            }
        };
        if !changed {
            return;
        }
        let relays = self.fanout.relays();
        info!(?relays, "relays changed");
        if self.fanout.has_relays() {
            self.send_changed_relays(&before);
            let fanout = &self.fanout;
            self.outbox.retain_state(|link| fanout.is_relay_link(link));
        } else {
            self.send_to_routers(&Frame::Relays(Vec::new()));
            // While there were relays, the other routers received no updates from this
            // instance.
            for link in self.router_links() {
                self.outbox.request_state(link, false);
            }
        }
    }

    /// Sends the relays of each data centre whose relays have changed to its routers.
    fn send_changed_relays(&mut self, before: &Fanout) {
        let mut links: BTreeMap<String, Vec<LinkId>> = BTreeMap::new();
        for (link, hello) in self.links.routers() {
            if let Some(location) = hello.router_location() {
                let data_centre = location.data_centre.clone();
                links.entry(data_centre).or_default().push(link);
            }
        }
        for (data_centre, links) in links {
            let relays = self.fanout.relays_of(&data_centre);
            if relays != before.relays_of(&data_centre) {
                self.links.send(&links, &Frame::Relays(relays));
            }
        }
    }

    pub(super) fn handle_opened_link(
        &mut self,
        link: LinkId,
        hello: Hello,
        frames: FrameQueue,
        now: Instant,
    ) {
        info!(
            link,
            peer = hello.id,
            control = hello.control_address().is_some(),
            "link opened"
        );
        let (id, control) = (hello.id, hello.control_address());
        self.links.insert(link, hello, frames);
        if let Some(address) = control {
            self.record_peer(id, address, now);
        } else {
            if !self.fanout.has_relays() {
                // When many routers start at once, relays avoid sending the full state to
                // each of them.
                self.update_relays(now);
            }
            self.send_initial_state(link, now);
        }
    }

    /// Sends the current state to a router, or the relays that it receives the state from.
    fn send_initial_state(&mut self, link: LinkId, now: Instant) {
        self.send_to_link(link, &Frame::Controls(self.peers.recent_addresses(now)));
        self.send_fleet(link);
        self.send_crash_state(link, now);
        self.send_limit_state(link);
        if !self.fanout.has_relays() {
            self.outbox.request_state(link, false);
            return;
        }
        let location = self.links.hello(link).and_then(Hello::router_location);
        if let Some(location) = location {
            let relays = self.fanout.relays_of(&location.data_centre);
            self.send_to_link(link, &Frame::Relays(relays));
        }
    }

    pub(super) fn record_peer(
        &mut self,
        id: InstanceId,
        address: std::net::SocketAddr,
        now: Instant,
    ) {
        self.peers.record_heard(id, address, now);
        self.handle_group_input(GroupInput::PeerSeen { id, address });
    }

    pub(super) fn handle_frame(&mut self, link: LinkId, frame: Frame, now: Instant) {
        let Some(hello) = self.links.hello(link).cloned() else {
            return;
        };
        if let Some(address) = hello.control_address() {
            self.record_peer(hello.id, address, now);
        }
        match frame {
            Frame::Alive(number) => self.send_to_link(link, &Frame::Alive(number)),
            Frame::Replica { to, message } => self.handle_replica_message(hello.id, to, *message),
            Frame::CachedPrefixes(prefixes) if hello.control_address().is_some() => {
                self.store_prefixes(&prefixes);
            }
            Frame::CachedPrefixes(prefixes) => self.forward_prefixes(prefixes, now),
            Frame::Loads(counts) => self.record_loads(&hello, counts, now),
            Frame::RequestConfig(held) => self.handle_config_request(link, held),
            Frame::RequestTargets {
                with_prefixes,
                as_relay,
            } => self.handle_targets_request(link, with_prefixes, as_relay),
            // A leader that has just started may have no routers yet.
            Frame::Relays(relays) if self.group.leader() == Some(hello.id) => {
                self.leader_relays = Some(relays).filter(|relays| !relays.is_empty());
            }
            Frame::Ask(asked) => self.handle_ask(link, asked, now),
            Frame::Controls(addresses) => self.peers.add_addresses(&addresses),
            Frame::Put { .. }
            | Frame::PutDone { .. }
            | Frame::ChangeFleet { .. }
            | Frame::Get { .. }
            | Frame::GetDone { .. } => {
                self.handle_operator_frame(link, &hello, frame, now);
            }
            Frame::Crashes(_)
            | Frame::RequestFleet
            | Frame::StatedLimits(_)
            | Frame::StreamsBegun(_)
            | Frame::FindStream { .. } => {
                self.handle_observation(link, hello.router_location().is_some(), frame, now);
            }
            Frame::Targets(_) | Frame::Heard(_) | Frame::Report { .. } | Frame::Leave { .. } => {
                self.handle_target_frame(link, hello.router_location().is_some(), frame, now);
            }
            Frame::Hello(_)
            | Frame::Relays(_)
            | Frame::Taken { .. }
            | Frame::Silent(_)
            | Frame::Config(_)
            | Frame::NoNewerConfig
            | Frame::Totals(_)
            | Frame::AllTargets(_)
            | Frame::StreamFound { .. }
            | Frame::LimitShares(_)
            | Frame::Fleet(_)
            | Frame::Leader(_)
            | Frame::InForce { .. } => {
                warn!(
                    link,
                    "dropping a frame that a control instance does not accept"
                );
            }
        }
    }

    fn record_loads(&mut self, sender: &Hello, counts: RequestCounts, now: Instant) {
        match sender.role {
            Role::Control { .. } => self.loads.record_peer_sums(sender.id, counts, now),
            Role::Router(_) => self.loads.record_router_counts(sender.id, counts, now),
        }
    }

    /// Handles what routers observed of targets and streams, and their queries.
    fn handle_observation(&mut self, link: LinkId, from_router: bool, frame: Frame, now: Instant) {
        match frame {
            Frame::Crashes(message) => self.handle_crash_message(message, now),
            Frame::RequestFleet => self.send_fleet(link),
            Frame::StatedLimits(stated) => self.handle_stated_limits(stated, from_router, now),
            frame => self.handle_stream_frame(link, frame, now),
        }
    }

    /// Queues the state for a router. With relays, the other routers get it from them.
    fn handle_targets_request(&mut self, link: LinkId, with_prefixes: bool, as_relay: bool) {
        if as_relay || !self.fanout.has_relays() {
            self.outbox.request_state(link, with_prefixes);
        }
    }

    fn handle_replica_message(&mut self, from: InstanceId, to: InstanceId, message: Message) {
        if to == self.id {
            self.handle_group_input(GroupInput::Message { from, message });
        } else {
            info!(
                to,
                from, "dropping a message for a former instance at this address"
            );
        }
    }

    /// Sends a frame that may be lost on one link.
    pub(super) fn send_to_link(&self, link: LinkId, frame: &Frame) {
        self.links.try_send(&[link], frame);
    }

    /// Handles an operator's request that a peer forwarded, or a peer's answer to one.
    fn handle_operator_frame(&mut self, link: LinkId, hello: &Hello, frame: Frame, now: Instant) {
        let Some(address) = hello.control_address() else {
            warn!(
                link,
                "dropping an operator's request or an answer to one: it is from a router"
            );
            return;
        };
        let (peer, from) = (hello.id, Responder::Peer(address));
        let requester = |ticket| Requester { peer, link, ticket };
        match frame {
            Frame::Put { ticket, document } => {
                self.handle_peer_put(requester(ticket), document, now);
            }
            Frame::ChangeFleet { ticket, change } => {
                self.handle_peer_fleet_change(requester(ticket), change, now);
            }
            Frame::Get { ticket } => self.handle_peer_get(requester(ticket), now),
            Frame::PutDone { ticket, accepted } => self.handle_put_done(ticket, from, accepted),
            Frame::GetDone { ticket, document } => self.handle_get_done(ticket, from, document),
            _ => {}
        }
    }

    /// Handles updates of targets. Updates from routers are forwarded to peers.
    fn handle_target_frame(&mut self, link: LinkId, from_router: bool, frame: Frame, now: Instant) {
        match frame {
            Frame::Targets(announcements) => {
                self.merge_announcements(announcements, from_router, now);
            }
            Frame::Heard(targets) => self.refresh_targets(targets, from_router, now),
            Frame::Report {
                ticket,
                announcement,
            } => {
                let reply = report_reply(link, ticket, from_router);
                self.handle_report(*announcement, reply, now);
            }
            Frame::Leave {
                ticket,
                name,
                start,
            } => {
                let reply = report_reply(link, ticket, from_router);
                self.handle_departure(&name, start, reply, now);
            }
            _ => {}
        }
    }

    /// Sends the pending updates and confirms a forwarded report or departure.
    pub(super) fn acknowledge(&mut self, link: LinkId, ticket: Ticket, now: Instant) {
        self.send_updates(now);
        // If the confirmation is lost, the router refuses the call, and the target calls
        // again.
        self.send_to_link(link, &Frame::Taken { ticket });
    }

    pub(super) fn handle_dial_event(&mut self, event: DialEvent) {
        match event {
            DialEvent::Up(address) => {
                info!(%address, "link to a control instance established");
                self.peers.set_linked(address, true);
                let now = Instant::now();
                let announcements = self.registry.all(now).collect();
                let recent = self.peers.recent_addresses(now);
                self.peers.send_to_all(&Frame::Controls(recent));
                // The others got them with their own links.
                self.peers
                    .send_to_address(address, Frame::Targets(announcements));
            }
            DialEvent::Down(address, error) => {
                self.peers.set_linked(address, false);
                info!(%address, %error, "link to a control instance failed; dialling again");
            }
            DialEvent::Frame(address, Frame::InForce { asked, version, .. }) => {
                self.handle_version_in_force(asked, Responder::Peer(address), version);
            }
            DialEvent::Frame(address, Frame::Taken { ticket }) => {
                self.departures
                    .record_copy(ticket, Responder::Peer(address));
                self.acknowledge_departures(Instant::now());
            }
            DialEvent::Frame(..) => {}
        }
    }
}

/// Returns what answers a report or departure that came over a link.
const fn report_reply(link: LinkId, ticket: Ticket, from_router: bool) -> ReportReply {
    if from_router {
        ReportReply::Forwarded { link, ticket }
    } else {
        ReportReply::Copied { link, ticket }
    }
}
