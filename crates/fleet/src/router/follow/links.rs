//! Links to control instances and relays, and questions on them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tracing::info;

use super::{Event, FollowedLink, Follower};
use crate::clock::BootTime;
use crate::link::{DialEvent, Frame, dial};

/// An address that no control instance has named for this time is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

impl Follower {
    pub(super) fn follow(&mut self, addresses: &[SocketAddr]) {
        let named_until = Instant::now() + FORGET_AFTER;
        for &address in addresses {
            let (hello, events) = (&self.hello, &self.events);
            let followed = self
                .controls
                .entry(address)
                .or_insert_with(|| FollowedLink {
                    link: dial(address, hello.clone(), events.clone(), Event::Control),
                    up: false,
                    named_until,
                });
            followed.named_until = named_until;
        }
    }

    /// Follows the relays of this data centre. A relay itself follows none.
    fn follow_relays(&mut self) {
        let all = self.named_relays.values().flatten();
        let near = all.filter(|(data_centre, _)| *data_centre == self.place.data_centre);
        let mut near: BTreeSet<SocketAddr> = near.map(|&(_, address)| address).collect();
        let is_relay = near.contains(&self.place.links);
        if is_relay {
            near.clear();
        }
        if is_relay && !self.is_relay {
            self.request_targets();
        }
        self.is_relay = is_relay;
        self.relays.retain(|address, _| near.contains(address));
        for address in near {
            let (hello, events) = (&self.hello, &self.events);
            self.relays.entry(address).or_insert_with(|| FollowedLink {
                link: dial(address, hello.clone(), events.clone(), Event::Relay),
                up: false,
                named_until: Instant::now(),
            });
        }
    }

    /// Asks one control instance for everything that is known of targets; the
    /// others send news only.
    fn request_targets(&self) {
        if let Some(control) = self.first_choice(&self.controls) {
            info!("this router relays");
            // The queue of a link that is up has room.
            let _sent = control.link.send(Frame::RequestTargets);
        }
    }

    pub(super) fn ask(&mut self) {
        let now = Instant::now();
        if self.controls.len() > 1 {
            self.controls
                .retain(|_, followed| now < followed.named_until);
        }
        let asked = BootTime::now();
        for followed in self.controls.values() {
            // A link that is down or full is asked again next time.
            let _sent = followed.link.send(Frame::Ask(asked.0));
        }
        for followed in self.relays.values() {
            let _sent = followed.link.send(Frame::Alive(asked.0));
        }
    }

    fn ask_one(&self, address: SocketAddr) {
        if let Some(followed) = self.controls.get(&address) {
            // It is asked again with all others.
            let _sent = followed.link.send(Frame::Ask(BootTime::now().0));
        }
    }

    /// Asks for the configuration when a newer one than the one held is in force:
    /// first a relay, so that a control instance need not send it to every router.
    fn request_newer(&mut self, address: SocketAddr, version: u64) {
        if version <= self.router.config_version() {
            return;
        }
        let relay = self.first_choice(&self.relays);
        let relay = relay.filter(|_| version > self.requested);
        if let Some(followed) = relay.or_else(|| self.controls.get(&address)) {
            // It is asked for again with the next answer.
            let _sent = followed.link.send(Frame::RequestConfig);
        }
        self.requested = version;
    }

    pub(super) fn control(&mut self, event: DialEvent) {
        match event {
            DialEvent::Up(address) => {
                info!(%address, "link to a control instance is up");
                if let Some(followed) = self.controls.get_mut(&address) {
                    followed.up = true;
                    let reporting = self.reports.reporting();
                    if !reporting.is_empty() {
                        // The targets report again, too.
                        let _sent = followed.link.send(Frame::Targets(reporting));
                    }
                }
                if self.is_relay && self.controls.values().filter(|c| c.up).count() == 1 {
                    self.request_targets();
                }
                self.ask_one(address);
            }
            DialEvent::Down(address, error) => {
                info!(%address, %error, "link to a control instance is down");
                if let Some(followed) = self.controls.get_mut(&address) {
                    followed.up = false;
                }
                // The last list stays, as only relays tell of targets then.
                if self.named_relays.len() > 1 {
                    self.named_relays.remove(&address);
                    self.follow_relays();
                }
            }
            DialEvent::Frame(address, frame) => {
                if let Some(followed) = self.controls.get_mut(&address) {
                    followed.named_until = Instant::now() + FORGET_AFTER;
                }
                self.control_frame(address, frame);
            }
        }
    }

    fn control_frame(&mut self, address: SocketAddr, frame: Frame) {
        match frame {
            Frame::Controls(addresses) => self.follow(&addresses),
            Frame::Leader(leader) => {
                self.follow(&[leader]);
                // One that names itself has just been elected.
                if leader == address {
                    self.ask_one(leader);
                }
            }
            Frame::Relays(relays) => {
                if relays.is_empty() {
                    self.named_relays.remove(&address);
                } else {
                    self.named_relays.insert(address, relays);
                }
                self.follow_relays();
            }
            Frame::Taken { ticket } => self.reports.taken(ticket),
            Frame::InForce {
                asked,
                version,
                routers,
            } => {
                self.router.set_routers(routers);
                self.router
                    .lease
                    .borrow_mut()
                    .confirm(version, BootTime(asked));
                self.request_newer(address, version);
            }
            frame => self.told(frame),
        }
    }

    pub(super) fn relay(&mut self, event: DialEvent) {
        match event {
            DialEvent::Up(address) => {
                info!(%address, "link to a relay is up");
                self.set_relay_up(address, true);
            }
            DialEvent::Down(address, error) => {
                info!(%address, %error, "link to a relay is down");
                self.set_relay_up(address, false);
            }
            DialEvent::Frame(_, frame) => self.told(frame),
        }
    }

    fn set_relay_up(&mut self, address: SocketAddr, up: bool) {
        if let Some(followed) = self.relays.get_mut(&address) {
            followed.up = up;
        }
    }
}
