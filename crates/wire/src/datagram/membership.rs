//! Encoding of membership messages.

mod aggregate;
mod record;

use std::net::SocketAddr;

use bamboospur_membership::{Gossip, HeartbeatEntry, LoadEntry, MemberKey, Message};
use bamboospur_types::TargetState;
use serde::{Deserialize, Serialize};

use super::DatagramError;
use aggregate::WireAggregate;
use record::{WireRecord, WireState};

#[derive(Debug, Serialize, Deserialize)]
enum WireMessage {
    Gossip(WireGossip),
    Heartbeats(Vec<WireHeartbeat>),
    Ping([u8; 8]),
    Ack([u8; 8]),
    PingRequest([u8; 8], SocketAddr),
    Digest(Vec<[u8; 4]>),
    Summary([u8; 8], Vec<WireState>),
    Want(Vec<WireKey>),
    Aggregate(WireAggregate),
}

#[derive(Debug, Serialize, Deserialize)]
struct WireGossip {
    records: Vec<WireRecord>,
    states: Vec<WireState>,
    loads: Vec<WireLoad>,
    aggregates: Vec<WireAggregate>,
    is_repair: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireLoad {
    short_id: [u8; 4],
    sequence: [u8; 2],
    tokens: u8,
    requests: u8,
}

/// The incarnation has a fixed size so that a heartbeat entry never exceeds its budget
/// of 24 bytes: a variable-length number can take 10 bytes.
#[derive(Debug, Serialize, Deserialize)]
struct WireHeartbeat {
    target: [u8; 8],
    incarnation: [u8; 8],
    sequence: u32,
    state: TargetState,
    tokens: u8,
    requests: u8,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireKey {
    Target([u8; 8]),
    Instance([u8; 8]),
}

pub(super) fn write(message: &Message, bytes: &mut Vec<u8>) -> Result<(), DatagramError> {
    bytes.extend(postcard::to_stdvec(&WireMessage::from(message))?);
    Ok(())
}

pub(super) fn read(bytes: &[u8]) -> Result<Message, DatagramError> {
    let (wire, rest) = postcard::take_from_bytes::<WireMessage>(bytes)?;
    if !rest.is_empty() {
        return Err(DatagramError::Malformed);
    }
    Message::try_from(wire)
}

impl From<&Message> for WireMessage {
    fn from(message: &Message) -> Self {
        match message {
            Message::Gossip(gossip) => Self::Gossip(gossip.into()),
            Message::Heartbeats(heartbeats) => {
                Self::Heartbeats(heartbeats.iter().map(WireHeartbeat::from).collect())
            }
            Message::Ping { nonce } => Self::Ping(nonce.to_le_bytes()),
            Message::Ack { nonce } => Self::Ack(nonce.to_le_bytes()),
            Message::PingRequest { nonce, address } => {
                Self::PingRequest(nonce.to_le_bytes(), *address)
            }
            Message::Digest(buckets) => {
                Self::Digest(buckets.iter().map(|b| b.to_le_bytes()).collect())
            }
            Message::Summary { buckets, entries } => Self::Summary(
                buckets.to_le_bytes(),
                entries.iter().map(WireState::from).collect(),
            ),
            Message::Want(keys) => Self::Want(keys.iter().map(WireKey::from).collect()),
            Message::Aggregate(aggregate) => Self::Aggregate(aggregate.into()),
        }
    }
}

impl TryFrom<WireMessage> for Message {
    type Error = DatagramError;

    fn try_from(wire: WireMessage) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireMessage::Gossip(gossip) => Self::Gossip(gossip.try_into()?),
            WireMessage::Heartbeats(heartbeats) => {
                Self::Heartbeats(heartbeats.into_iter().map(HeartbeatEntry::from).collect())
            }
            WireMessage::Ping(nonce) => Self::Ping {
                nonce: u64::from_le_bytes(nonce),
            },
            WireMessage::Ack(nonce) => Self::Ack {
                nonce: u64::from_le_bytes(nonce),
            },
            WireMessage::PingRequest(nonce, address) => Self::PingRequest {
                nonce: u64::from_le_bytes(nonce),
                address,
            },
            WireMessage::Digest(buckets) => {
                Self::Digest(buckets.into_iter().map(u32::from_le_bytes).collect())
            }
            WireMessage::Summary(buckets, entries) => {
                let entries = entries.into_iter().map(TryInto::try_into);
                Self::Summary {
                    buckets: u64::from_le_bytes(buckets),
                    entries: entries.collect::<Result<_, _>>()?,
                }
            }
            WireMessage::Want(keys) => Self::Want(keys.into_iter().map(MemberKey::from).collect()),
            WireMessage::Aggregate(aggregate) => Self::Aggregate(aggregate.into()),
        })
    }
}

impl From<&Gossip> for WireGossip {
    fn from(gossip: &Gossip) -> Self {
        Self {
            records: gossip.records.iter().map(WireRecord::from).collect(),
            states: gossip.states.iter().map(WireState::from).collect(),
            loads: gossip.loads.iter().map(WireLoad::from).collect(),
            aggregates: gossip.aggregates.iter().map(WireAggregate::from).collect(),
            is_repair: gossip.is_repair,
        }
    }
}

impl TryFrom<WireGossip> for Gossip {
    type Error = DatagramError;

    fn try_from(wire: WireGossip) -> Result<Self, Self::Error> {
        let records = wire.records.into_iter().map(TryInto::try_into);
        let states = wire.states.into_iter().map(TryInto::try_into);
        Ok(Self {
            records: records.collect::<Result<_, _>>()?,
            states: states.collect::<Result<_, _>>()?,
            loads: wire.loads.into_iter().map(LoadEntry::from).collect(),
            aggregates: wire.aggregates.into_iter().map(Into::into).collect(),
            is_repair: wire.is_repair,
        })
    }
}

impl From<&LoadEntry> for WireLoad {
    fn from(load: &LoadEntry) -> Self {
        Self {
            short_id: load.short_id.to_le_bytes(),
            sequence: load.sequence.to_le_bytes(),
            tokens: load.tokens,
            requests: load.requests,
        }
    }
}

impl From<WireLoad> for LoadEntry {
    fn from(wire: WireLoad) -> Self {
        Self {
            short_id: u32::from_le_bytes(wire.short_id),
            sequence: u16::from_le_bytes(wire.sequence),
            tokens: wire.tokens,
            requests: wire.requests,
        }
    }
}

impl From<&HeartbeatEntry> for WireHeartbeat {
    fn from(heartbeat: &HeartbeatEntry) -> Self {
        Self {
            target: heartbeat.target.to_le_bytes(),
            incarnation: heartbeat.incarnation.to_le_bytes(),
            sequence: heartbeat.sequence,
            state: heartbeat.state,
            tokens: heartbeat.tokens,
            requests: heartbeat.requests,
        }
    }
}

impl From<WireHeartbeat> for HeartbeatEntry {
    fn from(wire: WireHeartbeat) -> Self {
        Self {
            target: u64::from_le_bytes(wire.target),
            incarnation: u64::from_le_bytes(wire.incarnation),
            sequence: wire.sequence,
            state: wire.state,
            tokens: wire.tokens,
            requests: wire.requests,
        }
    }
}

impl From<&MemberKey> for WireKey {
    fn from(key: &MemberKey) -> Self {
        match key {
            MemberKey::Target(id) => Self::Target(id.to_le_bytes()),
            MemberKey::Instance(id) => Self::Instance(id.to_le_bytes()),
        }
    }
}

impl From<WireKey> for MemberKey {
    fn from(wire: WireKey) -> Self {
        match wire {
            WireKey::Target(id) => Self::Target(u64::from_le_bytes(id)),
            WireKey::Instance(id) => Self::Instance(u64::from_le_bytes(id)),
        }
    }
}
