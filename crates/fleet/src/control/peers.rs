//! Control instances that are known, and the links dialled to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;
use tokio::sync::mpsc::Sender;

use super::event::Event;
use crate::link::{DialedLink, Frame, Hello, Role, dial};

/// An address that is no seed and was not heard for this time is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Links to other control instances.
#[derive(Debug)]
pub struct Peers {
    hello: Hello,
    own_address: SocketAddr,
    events: Sender<Event>,
    seeds: BTreeSet<SocketAddr>,
    links: BTreeMap<SocketAddr, DialedLink>,
    heard: BTreeMap<SocketAddr, Instant>,
    addresses: BTreeMap<InstanceId, SocketAddr>,
}

impl Peers {
    pub fn new(
        id: InstanceId,
        own_address: SocketAddr,
        seeds: &[SocketAddr],
        events: Sender<Event>,
    ) -> Self {
        let hello = Hello {
            id,
            role: Role::Control { links: own_address },
        };
        let mut peers = Self {
            hello,
            own_address,
            events,
            seeds: BTreeSet::new(),
            links: BTreeMap::new(),
            heard: BTreeMap::new(),
            addresses: BTreeMap::new(),
        };
        peers.set_seeds(seeds);
        peers
    }

    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().collect();
        for &seed in seeds {
            self.learn(seed);
        }
    }

    /// Dials an address that was not known.
    pub fn learn(&mut self, address: SocketAddr) {
        if address == self.own_address || self.links.contains_key(&address) {
            return;
        }
        let link = dial(
            address,
            self.hello.clone(),
            self.events.clone(),
            Event::Dialed,
        );
        self.links.insert(address, link);
        self.heard.entry(address).or_insert_with(Instant::now);
    }

    /// Records that an instance was heard at its address.
    pub fn heard(&mut self, id: InstanceId, address: SocketAddr, now: Instant) {
        self.learn(address);
        self.heard.insert(address, now);
        self.addresses.insert(id, address);
    }

    /// Ends links to addresses that have long been silent.
    pub fn forget_old(&mut self, now: Instant) {
        let heard = &self.heard;
        let seeds = &self.seeds;
        let kept = |address: &SocketAddr| {
            let recent = heard
                .get(address)
                .is_some_and(|&at| now < at + FORGET_AFTER);
            recent || seeds.contains(address)
        };
        self.links.retain(|address, _| kept(address));
        self.addresses.retain(|_, address| kept(address));
        self.heard.retain(|_, at| now < *at + FORGET_AFTER);
    }

    /// Address for links of this instance.
    pub const fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Returns the address of an instance that was heard.
    pub fn address_of(&self, id: InstanceId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Sends a frame to an instance; returns whether there was a link with room.
    pub fn send_to(&self, id: InstanceId, frame: Frame) -> bool {
        let link = self.addresses.get(&id).and_then(|a| self.links.get(a));
        link.is_some_and(|link| link.send(frame))
    }

    pub fn send_to_all(&self, frame: &Frame) {
        for link in self.links.values() {
            // A link that is down or full gets the next state instead.
            let _sent = link.send(frame.clone());
        }
    }

    /// Addresses of control instances heard lately, the own one included.
    pub fn recent(&self, now: Instant) -> Vec<SocketAddr> {
        let recent = self
            .heard
            .iter()
            .filter(|&(_, &at)| now < at + FORGET_AFTER);
        let recent = recent.map(|(&address, _)| address);
        recent.chain([self.own_address]).collect()
    }
}
