//! Addresses of other control instances, and the links dialled to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_types::{BufferBudget, InstanceId};
use tokio::sync::mpsc::Sender;

use super::event::Event;
use crate::link::{DialedLink, Frame, Hello, Responder, Role, dial};

/// Time after which an address is removed that is neither a seed nor that of a voter, if nothing
/// was received from it.
const ADDRESS_TTL: Duration = Duration::from_secs(20);

/// Links to other control instances.
#[derive(Debug)]
pub struct Peers {
    hello: Hello,
    own_address: SocketAddr,
    buffers: BufferBudget,
    events: Sender<Event>,
    seeds: BTreeSet<SocketAddr>,
    links: BTreeMap<SocketAddr, DialedLink>,
    /// Addresses to which the link is up.
    linked: BTreeSet<SocketAddr>,
    heard_at: BTreeMap<SocketAddr, Instant>,
    addresses: BTreeMap<InstanceId, SocketAddr>,
}

impl Peers {
    pub fn new(
        id: InstanceId,
        own_address: SocketAddr,
        seeds: &[SocketAddr],
        buffers: BufferBudget,
        events: Sender<Event>,
    ) -> Self {
        let hello = Hello {
            id,
            role: Role::Control { links: own_address },
        };
        let mut peers = Self {
            hello,
            own_address,
            buffers,
            events,
            seeds: BTreeSet::new(),
            links: BTreeMap::new(),
            linked: BTreeSet::new(),
            heard_at: BTreeMap::new(),
            addresses: BTreeMap::new(),
        };
        peers.set_seeds(seeds);
        peers
    }

    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().collect();
        self.add_addresses(seeds);
    }

    /// Dials the addresses to which there is no link.
    pub fn add_addresses(&mut self, addresses: &[SocketAddr]) {
        for &address in addresses {
            self.add_address(address);
        }
    }

    /// Dials an address unless a link to it exists.
    pub fn add_address(&mut self, address: SocketAddr) {
        if address == self.own_address || self.links.contains_key(&address) {
            return;
        }
        let link = dial(
            address,
            self.hello.clone(),
            &self.buffers,
            self.events.clone(),
            Event::Dialed,
        );
        self.links.insert(address, link);
        self.heard_at.entry(address).or_insert_with(Instant::now);
    }

    /// Records that a frame came from an instance with this link address.
    pub fn record_heard(&mut self, id: InstanceId, address: SocketAddr, now: Instant) {
        self.add_address(address);
        self.heard_at.insert(address, now);
        self.addresses.insert(id, address);
    }

    /// Removes silent addresses, and closes their links. The seeds and the addresses of voters
    /// stay, since after a long cut both sides need them to find each other.
    pub fn remove_silent(&mut self, voters: &[InstanceId], now: Instant) {
        let heard_at = &self.heard_at;
        let seeds = &self.seeds;
        let voters = voters.iter().filter_map(|id| self.addresses.get(id));
        let voters: BTreeSet<SocketAddr> = voters.copied().collect();
        let keeps = |address: &SocketAddr| {
            let recent = heard_at
                .get(address)
                .is_some_and(|&at| now < at + ADDRESS_TTL);
            recent || seeds.contains(address) || voters.contains(address)
        };
        self.links.retain(|address, _| keeps(address));
        self.linked.retain(keeps);
        self.addresses.retain(|_, address| keeps(address));
        self.heard_at.retain(|_, at| now < *at + ADDRESS_TTL);
    }

    /// Records that the link to an address is up or down.
    pub fn set_linked(&mut self, address: SocketAddr, is_up: bool) {
        if is_up {
            self.linked.insert(address);
        } else {
            self.linked.remove(&address);
        }
    }

    /// Returns the number of instances to which the link is up.
    pub fn linked_count(&self) -> usize {
        self.linked.len()
    }

    /// Returns the address where this instance accepts links.
    pub const fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Returns the link address of an instance, if known.
    pub fn address_of(&self, id: InstanceId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Queues a frame to an instance; returns `false` when there is no link or its queue
    /// is full.
    pub fn send_to(&self, id: InstanceId, frame: Frame) -> bool {
        let link = self.addresses.get(&id).and_then(|a| self.links.get(a));
        link.is_some_and(|link| link.send(frame))
    }

    /// Queues a request to an instance. Returns who may answer it, or `None` when there is no link
    /// or its queue is full.
    pub fn send_request(&self, id: InstanceId, request: Frame) -> Option<Responder> {
        let address = self.address_of(id)?;
        let is_sent = self.links.get(&address)?.send(request);
        is_sent.then_some(Responder::Peer(address))
    }

    /// Queues a request to all instances. Returns who may answer it.
    pub fn send_request_to_all(&self, request: &Frame) -> Vec<Responder> {
        let sent = self
            .links
            .iter()
            .filter(|(_, link)| link.send(request.clone()));
        sent.map(|(&address, _)| Responder::Peer(address)).collect()
    }

    /// Queues a frame to the instance at an address.
    pub fn send_to_address(&self, address: SocketAddr, frame: Frame) {
        if let Some(link) = self.links.get(&address) {
            // A link that has just come up has room.
            let _sent = link.send(frame);
        }
    }

    pub fn send_to_all(&self, frame: &Frame) {
        for link in self.links.values() {
            // A link that is down or whose queue is full misses the frame and receives
            // later state instead.
            let _sent = link.send(frame.clone());
        }
    }

    /// Returns the addresses of control instances that are not silent, this instance
    /// included.
    pub fn recent_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let recent = self
            .heard_at
            .iter()
            .filter(|&(_, &at)| now < at + ADDRESS_TTL);
        let recent = recent.map(|(&address, _)| address);
        recent.chain([self.own_address]).collect()
    }
}
