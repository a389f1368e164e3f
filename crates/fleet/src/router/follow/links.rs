//! Links to control instances and relays, and the queries sent over them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tracing::info;

use super::{Event, FollowedLink, Follower};
use crate::clock::BootTime;
use crate::link::{DialEvent, Frame, Responder, dial};
use crate::router::lease::Accepted;

/// Time for which the answer to a query for the version in force counts, longer than any lease.
const VERSION_QUERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the first link and the request of the state. Without it, all routers of a
/// fleet that starts would ask the instance that started first.
const STATE_REQUEST_DELAY: Duration = Duration::from_millis(50);

impl Follower {
    /// Starts links to the control instances that the settings name.
    pub(super) fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.control_addresses.set_seeds(seeds, Instant::now());
        self.add_controls(seeds);
    }

    /// Starts links to new control instances, and extends the time for which the
    /// known ones are kept.
    pub(super) fn add_controls(&mut self, addresses: &[SocketAddr]) {
        for &address in addresses {
            self.control_addresses.record_heard(address, Instant::now());
            let (hello, buffers, events) = (&self.hello, &self.buffers, &self.events);
            self.controls
                .entry(address)
                .or_insert_with(|| FollowedLink {
                    link: dial(
                        address,
                        hello.clone(),
                        buffers,
                        events.clone(),
                        Event::Control,
                    ),
                    up: false,
                    heard_at: None,
                });
        }
    }

    /// Keeps links to exactly the relays of this data centre, or to none if this
    /// router is a relay itself.
    fn update_relays(&mut self) {
        let all = self.named_relays.values().flatten();
        let local = all.filter(|(data_centre, _)| *data_centre == self.location.data_centre);
        let mut local: BTreeSet<SocketAddr> = local.map(|&(_, address)| address).collect();
        let is_relay = local.contains(&self.location.links);
        if is_relay {
            local.clear();
        }
        let was_relay = std::mem::replace(&mut self.is_relay, is_relay);
        if is_relay && !was_relay {
            self.state_request.record_missing(Instant::now());
        }
        self.relays.retain(|address, _| local.contains(address));
        for address in local {
            let (hello, buffers, events) = (&self.hello, &self.buffers, &self.events);
            self.relays.entry(address).or_insert_with(|| FollowedLink {
                link: dial(
                    address,
                    hello.clone(),
                    buffers,
                    events.clone(),
                    Event::Relay,
                ),
                up: false,
                heard_at: None,
            });
        }
    }

    fn request_targets_from(&self, followed: &FollowedLink, with_prefixes: bool) {
        // The queue of a link that has just come up has room.
        let _sent = followed.link.send(Frame::RequestTargets {
            with_prefixes,
            as_relay: self.is_relay,
        });
    }

    /// Requests all targets that may have been missed from a relay or, without relays, from a
    /// control instance. A router that has just started also needs the cached prompts.
    pub(super) fn request_state_if_due(&mut self) {
        let from_controls = self.is_relay || self.relays.is_empty();
        let links = if from_controls {
            &self.controls
        } else {
            &self.relays
        };
        let linked: Vec<SocketAddr> = self.ranked(links).map(|(&address, _)| address).collect();
        let Some(peer) = self.state_request.next_peer(&linked, Instant::now()) else {
            return;
        };
        let with_prefixes = self.state_request.lacks_prefixes();
        info!(
            %peer,
            relay = self.is_relay,
            with_prefixes,
            "requesting all targets"
        );
        if let Some(followed) = links.get(&peer) {
            self.request_targets_from(followed, with_prefixes);
        }
    }

    /// Queries all control instances for the configuration in force, and sends a
    /// keep-alive to the relays.
    pub(super) fn query_controls(&mut self) {
        let now = Instant::now();
        for address in self.control_addresses.take_expired(now) {
            info!(%address, "no control instance names an address any more; closing its link");
            self.controls.remove(&address);
            self.update_linked_controls();
        }
        self.version_queries.take_expired(now);
        let controls: Vec<SocketAddr> = self.controls.keys().copied().collect();
        self.query_version(&controls);
        for followed in self.relays.values() {
            // A relay that misses it gets the next one.
            let _sent = followed.link.send(Frame::Alive(0));
        }
    }

    /// Queries control instances for the version in force. A query that is lost on a link that is
    /// down or full is repeated with the next round.
    fn query_version(&mut self, controls: &[SocketAddr]) {
        let deadline = Instant::now() + VERSION_QUERY_TIMEOUT;
        let ticket = self.version_queries.add(BootTime::now(), deadline);
        for control in controls {
            let followed = self.controls.get(control);
            if followed.is_some_and(|followed| followed.link.send(Frame::Ask(ticket))) {
                let responder = Responder::Peer(*control);
                self.version_queries.record_sent(ticket, responder);
            }
        }
    }

    fn request_fleet(&self, address: SocketAddr) {
        if let Some(followed) = self.controls.get(&address) {
            // A lost request is repeated after the next query.
            let _sent = followed.link.send(Frame::RequestFleet);
        }
    }

    pub(super) fn handle_control_event(&mut self, event: DialEvent) {
        match event {
            DialEvent::Up(address) => {
                info!(%address, "link to a control instance established");
                if let Some(followed) = self.controls.get_mut(&address) {
                    followed.up = true;
                    let reporting = self.reports.reporting_targets();
                    if !reporting.is_empty() {
                        // If the frame is lost, the targets still report again.
                        let _sent = followed.link.send(Frame::Targets(reporting));
                    }
                    let streams = self.router.reported_streams();
                    if !streams.is_empty() {
                        // Other instances have the streams as well.
                        let _sent = followed.link.send(Frame::StreamsBegun(streams));
                    }
                    for message in self.router.crashes.state(Instant::now()) {
                        // Other routers tell the instance as well.
                        let _sent = followed.link.send(Frame::Crashes(message));
                    }
                }
                let is_follower = !self.is_relay && !self.named_relays.is_empty();
                if !is_follower && count_up(&self.controls) == 1 {
                    let ask_at = Instant::now() + STATE_REQUEST_DELAY;
                    self.state_request.record_missing(ask_at);
                }
                self.query_version(&[address]);
                self.update_linked_controls();
            }
            DialEvent::Down(address, error) => {
                info!(%address, %error, "link to a control instance failed; dialling again");
                if let Some(followed) = self.controls.get_mut(&address) {
                    followed.up = false;
                }
                self.update_linked_controls();
                // The last remaining list is kept: with no control instance linked,
                // target updates come only from relays.
                if self.named_relays.len() > 1 {
                    self.named_relays.remove(&address);
                    self.update_relays();
                }
            }
            DialEvent::Frame(address, frame) => {
                if let Some(followed) = self.controls.get_mut(&address) {
                    followed.heard_at = Some(Instant::now());
                    self.control_addresses.record_heard(address, Instant::now());
                }
                self.handle_control_frame(address, frame);
            }
        }
    }

    fn handle_control_frame(&mut self, address: SocketAddr, frame: Frame) {
        match frame {
            Frame::Controls(addresses) => self.add_controls(&addresses),
            Frame::Fleet(fleet) => self.router.apply_fleet(fleet),
            Frame::Leader(leader) => {
                self.leader = Some(leader);
                self.add_controls(&[leader]);
                // An instance that names itself has just been elected.
                if leader == address {
                    self.query_version(&[leader]);
                }
            }
            Frame::Relays(relays) => {
                if relays.is_empty() {
                    self.named_relays.remove(&address);
                } else {
                    self.named_relays.insert(address, relays);
                }
                self.update_relays();
            }
            Frame::Taken { ticket } => self.reports.acknowledge(ticket, address),
            Frame::StreamFound { ticket, found } => {
                self.handle_found_stream(ticket, address, found);
            }
            Frame::AllTargets(targets) => self.handle_all_targets(address, targets),
            Frame::NoNewerConfig => self.handle_no_newer_config(address),
            Frame::InForce {
                asked,
                version,
                routers,
                fleet,
            } => {
                let responder = Responder::Peer(address);
                let Some(&asked_at) = self.version_queries.get(asked, responder) else {
                    info!(%address, "dropping an answer about the version in force: not asked");
                    return;
                };
                self.leader = Some(address);
                self.router.set_router_count(routers);
                let accepted = Accepted {
                    config: version,
                    fleet,
                };
                self.router.confirm_accepted(accepted, asked_at);
                self.record_known_version(version, Some(address));
                if fleet > self.router.fleet_revision() {
                    self.request_fleet(address);
                }
            }
            frame => self.handle_frame(frame),
        }
    }

    pub(super) fn handle_relay_event(&mut self, event: DialEvent) {
        match event {
            DialEvent::Up(address) => {
                info!(%address, "link to a relay established");
                self.set_relay_up(address, true);
                // Changes may have been missed while the link was down, and the other relays
                // may have missed them as well.
                if let Some(relay) = self.relays.get(&address) {
                    self.request_targets_from(relay, false);
                }
                if count_up(&self.relays) == 1 && self.state_request.lacks_prefixes() {
                    let ask_at = Instant::now() + STATE_REQUEST_DELAY;
                    self.state_request.record_missing(ask_at);
                }
                self.request_config_if_behind();
            }
            DialEvent::Down(address, error) => {
                info!(%address, %error, "link to a relay failed; dialling again");
                self.set_relay_up(address, false);
            }
            DialEvent::Frame(address, frame) => {
                if let Some(followed) = self.relays.get_mut(&address) {
                    followed.heard_at = Some(Instant::now());
                }
                match frame {
                    Frame::AllTargets(targets) => self.handle_all_targets(address, targets),
                    Frame::NoNewerConfig => self.handle_no_newer_config(address),
                    frame => self.handle_frame(frame),
                }
            }
        }
    }

    fn update_linked_controls(&self) {
        let mut readiness = self.router.readiness.borrow_mut();
        readiness.set_linked_controls(count_up(&self.controls));
    }

    fn set_relay_up(&mut self, address: SocketAddr, up: bool) {
        if let Some(followed) = self.relays.get_mut(&address) {
            followed.up = up;
        }
    }
}

fn count_up(links: &BTreeMap<SocketAddr, FollowedLink>) -> usize {
    links.values().filter(|followed| followed.up).count()
}
