//! Dispatch of received packets.

use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_types::InstanceId;

use crate::budget::TrafficClass;
use crate::member::Membership;
use crate::message::{Gossip, Message};
use crate::record::MemberKey;

impl Membership {
    pub(crate) fn on_packet(
        &mut self,
        from: InstanceId,
        address: SocketAddr,
        message: Message,
        now: Instant,
    ) {
        if from == self.own_id {
            return;
        }
        let bytes = message.packet_bytes();
        let kind = message.kind();
        self.counters.received.entry(kind).or_default().add(bytes);
        self.notify_departed_sender(from, address, now);
        match message {
            Message::Gossip(gossip) => self.on_gossip(from, address, gossip, now),
            Message::Heartbeats(heartbeats) => {
                for heartbeat in heartbeats {
                    self.on_forwarded_heartbeat(heartbeat, address, now);
                }
            }
            Message::Ping { nonce } => {
                self.send(address, Message::Ack { nonce }, TrafficClass::Ping, now);
            }
            Message::Ack { nonce } => self.on_ack(nonce, now),
            Message::PingRequest { nonce, address: to } => {
                self.on_ping_request(nonce, to, address, now);
            }
            Message::Digest(buckets) => self.on_digest(&buckets, address, now),
            Message::Summary { buckets, entries } => {
                self.on_summary(buckets, &entries, address, now);
            }
            Message::Want(keys) => self.on_want(&keys, address, now),
            Message::Aggregate(aggregate) => self.on_aggregate(aggregate, now),
        }
    }

    /// Tells a sender that is recorded as dead or departed about that state, so that
    /// it takes a higher incarnation.
    fn notify_departed_sender(&mut self, from: InstanceId, address: SocketAddr, now: Instant) {
        let Some(state) = self.state_entry(MemberKey::Instance(from)) else {
            return;
        };
        if !state.version.state.is_final() {
            return;
        }
        let gossip = Gossip {
            states: vec![state],
            ..Gossip::default()
        };
        self.send(address, Message::Gossip(gossip), TrafficClass::Repair, now);
    }
}
