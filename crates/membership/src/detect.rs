//! Failure detection of instances as in SWIM. Each instance pings one peer per
//! period, round-robin in a shuffled order, and requests indirect pings from other
//! peers when no ack arrives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_types::InstanceId;

use crate::budget::TrafficClass;
use crate::entry::Entry;
use crate::member::Membership;
use crate::message::{Gossip, Message};
use crate::record::{MemberKey, MemberState, Version};

/// Bound on pings for other instances that wait for an ack.
const MAX_RELAYED_PINGS: usize = 256;

/// An own ping that waits for an ack.
#[derive(Clone, Copy, Debug)]
struct PendingPing {
    peer: InstanceId,
    address: SocketAddr,
    indirect_at: Instant,
    deadline: Instant,
    indirect_requested: bool,
}

/// A ping sent on behalf of another instance.
#[derive(Clone, Copy, Debug)]
struct RelayedPing {
    /// Nonce of the requester, which the ack to it repeats.
    nonce: u64,
    requester: SocketAddr,
    deadline: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct Detector {
    /// Peers left to ping in this round, the next one last.
    ping_order: Vec<InstanceId>,
    next_ping_at: Option<Instant>,
    last_nonce: u64,
    /// Own pings by nonce.
    pending_pings: BTreeMap<u64, PendingPing>,
    /// Pings on behalf of others, by own nonce.
    relayed_pings: BTreeMap<u64, RelayedPing>,
}

impl Detector {
    /// Creates the detector of a process. Its nonces begin at a random number, so that an ack to
    /// the process before answers no ping of this one.
    pub(crate) const fn new(random: u64) -> Self {
        Self {
            ping_order: Vec::new(),
            next_ping_at: None,
            // Leaves room for the nonces that follow.
            last_nonce: random >> 1,
            pending_pings: BTreeMap::new(),
            relayed_pings: BTreeMap::new(),
        }
    }
}

impl Membership {
    pub(crate) fn tick_detector(&mut self, now: Instant) {
        if self.is_leaving {
            return;
        }
        self.check_pending_pings(now);
        self.detector
            .relayed_pings
            .retain(|_, relay| now < relay.deadline);
        self.declare_suspects_dead(now);
        if self.detector.next_ping_at.is_some_and(|at| now < at) {
            return;
        }
        self.detector.next_ping_at = Some(now + self.settings.ping_period);
        self.ping_next(now);
    }

    fn ping_next(&mut self, now: Instant) {
        let Some((peer, address)) = self.next_peer() else {
            return;
        };
        let nonce = self.next_nonce();
        if !self.send(address, Message::Ping { nonce }, TrafficClass::Ping, now) {
            return;
        }
        let pending_ping = PendingPing {
            peer,
            address,
            indirect_at: now + self.settings.ping_timeout,
            deadline: now + self.settings.ping_timeout * 3,
            indirect_requested: false,
        };
        self.detector.pending_pings.insert(nonce, pending_ping);
        self.notify_suspect(peer, address, now);
    }

    /// Tells a suspect about the suspicion, because it can only refute what it
    /// knows of.
    fn notify_suspect(&mut self, peer: InstanceId, address: SocketAddr, now: Instant) {
        let Some(state) = self.state_entry(MemberKey::Instance(peer)) else {
            return;
        };
        if state.version.state == MemberState::Suspect {
            let gossip = Gossip {
                states: vec![state],
                ..Gossip::default()
            };
            self.send(address, Message::Gossip(gossip), TrafficClass::Ping, now);
        }
    }

    fn next_peer(&mut self) -> Option<(InstanceId, SocketAddr)> {
        loop {
            if self.detector.ping_order.is_empty() {
                let mut order: Vec<InstanceId> = self.peers.iter().map(|(id, _)| *id).collect();
                for last in (1..order.len()).rev() {
                    order.swap(last, self.rng.index(last + 1));
                }
                self.detector.ping_order = order;
            }
            let peer = self.detector.ping_order.pop()?;
            let found = self.peers.iter().find(|(id, _)| *id == peer);
            if let Some(found) = found {
                return Some(*found);
            }
        }
    }

    fn next_nonce(&mut self) -> u64 {
        self.detector.last_nonce += 1;
        self.detector.last_nonce
    }

    fn check_pending_pings(&mut self, now: Instant) {
        let due: Vec<(u64, PendingPing)> = self
            .detector
            .pending_pings
            .iter()
            .filter(|(_, ping)| now >= ping.indirect_at)
            .map(|(nonce, ping)| (*nonce, *ping))
            .collect();
        for (nonce, ping) in due {
            if now >= ping.deadline {
                self.detector.pending_pings.remove(&nonce);
                self.suspect_instance(ping.peer, now);
            } else if !ping.indirect_requested {
                self.request_indirect_pings(nonce, ping, now);
            }
        }
    }

    fn request_indirect_pings(&mut self, nonce: u64, ping: PendingPing, now: Instant) {
        if let Some(ping) = self.detector.pending_pings.get_mut(&nonce) {
            ping.indirect_requested = true;
        }
        for relay in self.random_peers(self.settings.indirect_pings + 1) {
            if relay != ping.address {
                let message = Message::PingRequest {
                    nonce,
                    address: ping.address,
                };
                self.send(relay, message, TrafficClass::Ping, now);
            }
        }
    }

    fn suspect_instance(&mut self, peer: InstanceId, now: Instant) {
        let key = MemberKey::Instance(peer);
        let Some(version) = self.entries.get(&key).map(|entry| entry.version) else {
            return;
        };
        if version.state != MemberState::Ready {
            return;
        }
        self.counters.suspected_instances += 1;
        let suspect = Version {
            state: MemberState::Suspect,
            ..version
        };
        self.apply(key, suspect, None, now);
    }

    fn declare_suspects_dead(&mut self, now: Instant) {
        let after = self.settings.instance_dead_after;
        let is_due = |entry: &Entry| {
            entry.version.state == MemberState::Suspect
                && now.saturating_duration_since(entry.state_since) >= after
        };
        let due: Vec<(MemberKey, Version)> = self
            .entries
            .iter()
            .filter(|(key, entry)| matches!(key, MemberKey::Instance(_)) && is_due(entry))
            .map(|(key, entry)| (*key, entry.version))
            .collect();
        for (key, version) in due {
            let dead = Version {
                state: MemberState::Dead,
                ..version
            };
            self.apply(key, dead, None, now);
        }
    }

    pub(crate) fn on_ack(&mut self, nonce: u64, now: Instant) {
        self.detector.pending_pings.remove(&nonce);
        if let Some(relay) = self.detector.relayed_pings.remove(&nonce) {
            let nonce = relay.nonce;
            self.send(
                relay.requester,
                Message::Ack { nonce },
                TrafficClass::Ping,
                now,
            );
        }
    }

    pub(crate) fn on_ping_request(
        &mut self,
        nonce: u64,
        address: SocketAddr,
        requester_address: SocketAddr,
        now: Instant,
    ) {
        if self.detector.relayed_pings.len() >= MAX_RELAYED_PINGS {
            return;
        }
        let own_nonce = self.next_nonce();
        if self.send(
            address,
            Message::Ping { nonce: own_nonce },
            TrafficClass::Ping,
            now,
        ) {
            let relay = RelayedPing {
                nonce,
                requester: requester_address,
                deadline: now + self.settings.ping_timeout * 3,
            };
            self.detector.relayed_pings.insert(own_nonce, relay);
        }
    }
}
