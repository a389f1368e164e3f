//! Messages between instances and their budgeted sizes.

use std::net::SocketAddr;

use bamboospur_types::{Incarnation, InstanceId, PoolId, TargetId, TargetState};

use crate::record::{MemberKey, MemberRecord, Sequence, Version};

/// Largest packet, with the UDP/IP header and the keyed hash.
pub const MAX_PACKET_BYTES: usize = 1_200;
/// UDP/IP header (28) and keyed hash (16).
pub const PACKET_OVERHEAD_BYTES: usize = 44;
/// Cap'n Proto segment table, root pointer, sender, union tag and list pointer.
const MESSAGE_BYTES: usize = 40;
/// Largest content of a message.
pub const MAX_BODY_BYTES: usize = MAX_PACKET_BYTES - PACKET_OVERHEAD_BYTES - MESSAGE_BYTES;

/// Kind of a message, for counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum MessageKind {
    /// Records, states and loads.
    Gossip,
    /// Heartbeats on the way to the watchers.
    Heartbeats,
    /// Direct ping of an instance.
    Ping,
    /// Answer to a ping.
    Ack,
    /// Request for an indirect ping.
    PingRequest,
    /// Digest of the known records.
    Digest,
    /// Versions in buckets whose digests differ.
    Summary,
    /// Request for records.
    Want,
    /// Aggregate of a data centre.
    Aggregate,
}

/// A record in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordEntry {
    /// Sequence and state; the incarnation is that of the details.
    pub version: Version,
    /// Fixed facts.
    pub details: MemberRecord,
}

/// A change of state without the fixed facts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateEntry {
    /// Member.
    pub key: MemberKey,
    /// New version.
    pub version: Version,
}

/// A load report in 8 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEntry {
    /// Low 32 bits of the target's id.
    pub short_id: u32,
    /// Low 16 bits of the heartbeat's sequence number.
    pub sequence: u16,
    /// Quantised work.
    pub tokens: u8,
    /// Quantised requests.
    pub requests: u8,
}

/// A heartbeat that an instance passes on to the watchers of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatEntry {
    /// Target.
    pub target: TargetId,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat.
    pub sequence: Sequence,
    /// Whether the target takes new work.
    pub state: TargetState,
    /// Quantised work.
    pub tokens: u8,
    /// Quantised requests.
    pub requests: u8,
}

/// Sum over one pool of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolAggregate {
    /// Pool.
    pub pool: PoolId,
    /// Targets that take new work.
    pub ready: u32,
    /// Quantised load.
    pub tokens: u8,
    /// Work that the ready targets process at full batch, in tokens.
    pub capacity_tokens: u64,
}

/// An instance that takes messages for its data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Instance.
    pub instance: InstanceId,
    /// UDP address of the instance.
    pub address: SocketAddr,
}

/// Aggregate of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreAggregate {
    /// Stable id of the data centre's name.
    pub data_centre: u64,
    /// Instance that computed the aggregate.
    pub bridge: InstanceId,
    /// Number of the aggregate, rising for one bridge.
    pub sequence: u64,
    /// Live instances.
    pub instances: u32,
    /// Some live instances.
    pub contacts: Vec<Contact>,
    /// Pools.
    pub pools: Vec<PoolAggregate>,
}

/// Records, states, loads and aggregates in one packet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gossip {
    /// Records in full.
    pub records: Vec<RecordEntry>,
    /// Changes of state.
    pub states: Vec<StateEntry>,
    /// Load reports.
    pub loads: Vec<LoadEntry>,
    /// Aggregates of other data centres.
    pub aggregates: Vec<DataCentreAggregate>,
    /// Whether this answers a digest or a request for records. The receiver does
    /// not spread such records: the others have them already.
    pub is_repair: bool,
}

impl Gossip {
    /// Returns whether there is nothing to send.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.records.is_empty()
            && self.states.is_empty()
            && self.loads.is_empty()
            && self.aggregates.is_empty()
    }
}

/// Message between two instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Records, states and loads; also the first message of a joining instance.
    Gossip(Gossip),
    /// Heartbeats for the watchers of their targets.
    Heartbeats(Vec<HeartbeatEntry>),
    /// Direct ping.
    Ping {
        /// Number that the answer repeats.
        nonce: u64,
    },
    /// Answer to a ping.
    Ack {
        /// Number of the ping.
        nonce: u64,
    },
    /// Request to ping `address` and to pass its answer on.
    PingRequest {
        /// Number that the answer repeats.
        nonce: u64,
        /// Instance to ping.
        address: SocketAddr,
    },
    /// One hash for each bucket of records.
    Digest(Vec<u32>),
    /// Versions in the buckets of `buckets` (one bit each).
    Summary {
        /// Buckets covered.
        buckets: u64,
        /// Versions, final ones too.
        entries: Vec<StateEntry>,
    },
    /// Request for records in full.
    Want(Vec<MemberKey>),
    /// Aggregate of the sender's data centre.
    Aggregate(DataCentreAggregate),
}

pub(crate) const STATE_BYTES: usize = 24;
pub(crate) const LOAD_BYTES: usize = 8;
const BEAT_BYTES: usize = 24;
const ADDRESS_BYTES: usize = 24;
/// Word for sequence and state, and the pointer to the blob.
const RECORD_BYTES: usize = 16;
/// Incarnation (10), address (20), kind, length of offers and flag (3), and
/// capacities (10 + 5) at their largest.
const TARGET_FIXED_BYTES: usize = 48;
/// Incarnation (10) and address (20) at their largest.
const INSTANCE_FIXED_BYTES: usize = 30;
const POOL_BYTES: usize = 24;
pub(crate) const KEY_BYTES: usize = 16;

impl RecordEntry {
    /// Returns the budgeted size of the record: sequence and state in one word,
    /// and the details as one `postcard` blob, which is half the size of nested
    /// Cap'n Proto structures.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        let blob = match &self.details {
            MemberRecord::Target(target) => {
                let offers = target
                    .offers
                    .iter()
                    .map(|offer| text_bytes(&offer.to_string()));
                text_bytes(&target.name)
                    + text_bytes(&target.data_centre)
                    + text_bytes(&target.pool)
                    + offers.sum::<usize>()
                    + TARGET_FIXED_BYTES
            }
            MemberRecord::Instance(instance) => {
                text_bytes(&instance.name)
                    + text_bytes(&instance.data_centre)
                    + INSTANCE_FIXED_BYTES
            }
        };
        RECORD_BYTES + blob.next_multiple_of(8)
    }
}

impl DataCentreAggregate {
    /// Returns the budgeted size of the aggregate.
    #[must_use]
    pub const fn encoded_bytes(&self) -> usize {
        48 + self.contacts.len() * (8 + ADDRESS_BYTES) + self.pools.len() * POOL_BYTES
    }
}

impl Message {
    /// Returns the kind of the message.
    #[must_use]
    pub const fn kind(&self) -> MessageKind {
        match self {
            Self::Gossip(_) => MessageKind::Gossip,
            Self::Heartbeats(_) => MessageKind::Heartbeats,
            Self::Ping { .. } => MessageKind::Ping,
            Self::Ack { .. } => MessageKind::Ack,
            Self::PingRequest { .. } => MessageKind::PingRequest,
            Self::Digest(_) => MessageKind::Digest,
            Self::Summary { .. } => MessageKind::Summary,
            Self::Want(_) => MessageKind::Want,
            Self::Aggregate(_) => MessageKind::Aggregate,
        }
    }

    /// Returns the budgeted size of the message without the packet header.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        MESSAGE_BYTES
            + match self {
                Self::Gossip(gossip) => gossip.encoded_bytes(),
                Self::Heartbeats(beats) => beats.len() * BEAT_BYTES,
                Self::Ping { .. } | Self::Ack { .. } => 8,
                Self::PingRequest { .. } => 8 + ADDRESS_BYTES,
                Self::Digest(buckets) => buckets.len() * 4,
                Self::Summary { entries, .. } => 8 + entries.len() * STATE_BYTES,
                Self::Want(keys) => keys.len() * KEY_BYTES,
                Self::Aggregate(aggregate) => aggregate.encoded_bytes(),
            }
    }

    /// Returns the budgeted size of the packet.
    #[must_use]
    pub fn packet_bytes(&self) -> usize {
        PACKET_OVERHEAD_BYTES + self.encoded_bytes()
    }
}

impl Gossip {
    /// Returns the budgeted size of the content.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        let records: usize = self.records.iter().map(RecordEntry::encoded_bytes).sum();
        let aggregates: usize = self
            .aggregates
            .iter()
            .map(DataCentreAggregate::encoded_bytes)
            .sum();
        // Three more list pointers than other messages, and a flag.
        32 + records + aggregates + self.states.len() * STATE_BYTES + self.loads.len() * LOAD_BYTES
    }
}

/// Size of a text in a `postcard` blob, with its length.
const fn text_bytes(text: &str) -> usize {
    2 + text.len()
}
