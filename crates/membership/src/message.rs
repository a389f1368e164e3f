//! Messages between instances, and the sizes that the budget counts for them.

use std::net::SocketAddr;

use bamboospur_types::{Incarnation, InstanceId, PoolId, TargetId, TargetState};

use crate::record::{MemberKey, MemberRecord, Sequence, Version};

/// Largest packet, including the UDP/IP header and the keyed hash.
pub const MAX_PACKET_BYTES: usize = 1_200;
/// UDP/IP header (28) and keyed hash (16).
pub const PACKET_OVERHEAD_BYTES: usize = 44;
/// Cap'n Proto segment table, root pointer, sender, union tag and list pointer.
const MESSAGE_HEADER_BYTES: usize = 40;
/// Largest content of a message, without headers.
pub const MAX_BODY_BYTES: usize = MAX_PACKET_BYTES - PACKET_OVERHEAD_BYTES - MESSAGE_HEADER_BYTES;

/// Kind of a message, by which traffic is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum MessageKind {
    /// Records, states and loads.
    Gossip,
    /// Heartbeats of targets, forwarded to watchers.
    Heartbeats,
    /// Ping of an instance.
    Ping,
    /// Answer to a ping.
    Ack,
    /// Request for an indirect ping.
    PingRequest,
    /// Digest of the known records, which starts an anti-entropy exchange.
    Digest,
    /// Versions in the buckets whose hashes differ.
    Summary,
    /// Request for records.
    Want,
    /// Aggregate sent to another data centre.
    Aggregate,
}

/// Record of a member with its details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordEntry {
    /// Version of the record; its incarnation must be that of the details.
    pub version: Version,
    /// Fields that do not change within the incarnation.
    pub details: MemberRecord,
}

/// Version of a member's record without the details.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateEntry {
    /// Key of the member.
    pub key: MemberKey,
    /// Version of the member's record.
    pub version: Version,
}

/// Load report of a target, encoded in 8 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEntry {
    /// Low 32 bits of the target's id; an unknown one is ignored.
    pub short_id: u32,
    /// Low 16 bits of the heartbeat's sequence number.
    pub sequence: u16,
    /// Quantised work in tokens.
    pub tokens: u8,
    /// Quantised number of requests.
    pub requests: u8,
}

/// Heartbeat that an instance forwards to the watchers of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatEntry {
    /// Id of the target.
    pub target: TargetId,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat.
    pub sequence: Sequence,
    /// State that the target reports.
    pub state: TargetState,
    /// Quantised work in tokens.
    pub tokens: u8,
    /// Quantised number of requests.
    pub requests: u8,
}

/// Sums over the targets of one pool of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolAggregate {
    /// Id of the pool.
    pub pool: PoolId,
    /// Number of ready targets.
    pub ready: u32,
    /// Quantised load of the ready targets in tokens.
    pub tokens: u8,
    /// Work that the ready targets process at full batch, in tokens.
    pub capacity_tokens: u64,
}

/// An instance to which other data centres can send aggregates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Id of the instance.
    pub instance: InstanceId,
    /// UDP address of the instance.
    pub address: SocketAddr,
}

/// Aggregate of a data centre, as other data centres see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreAggregate {
    /// `stable_id` of the data centre's name.
    pub data_centre: u64,
    /// Bridge router that computed the aggregate.
    pub bridge: InstanceId,
    /// Sequence number of the aggregate; rises for one bridge, also over restarts.
    pub sequence: u64,
    /// Number of live instances.
    pub instances: u32,
    /// Some live instances.
    pub contacts: Vec<Contact>,
    /// Sums by pool.
    pub pools: Vec<PoolAggregate>,
}

/// Content of a gossip packet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gossip {
    /// Records with details.
    pub records: Vec<RecordEntry>,
    /// Versions without details.
    pub states: Vec<StateEntry>,
    /// Load reports.
    pub loads: Vec<LoadEntry>,
    /// Aggregates of other data centres.
    pub aggregates: Vec<DataCentreAggregate>,
    /// Whether this answers a digest or a request for records. The receiver doesn't
    /// forward records of ready members from such an answer, because its peers have
    /// them already.
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

/// Message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Records, states, loads and aggregates. A joining instance sends just its own
    /// record.
    Gossip(Gossip),
    /// Heartbeats forwarded to watchers of their targets.
    Heartbeats(Vec<HeartbeatEntry>),
    /// Ping, which the receiver answers with `Ack`.
    Ping {
        /// Number that the ack repeats.
        nonce: u64,
    },
    /// Answer to a ping.
    Ack {
        /// Nonce of the ping or the ping request.
        nonce: u64,
    },
    /// Request for an indirect ping: the receiver pings `address` and forwards the
    /// ack.
    PingRequest {
        /// Number that the forwarded ack repeats.
        nonce: u64,
        /// UDP address of the instance to ping.
        address: SocketAddr,
    },
    /// One hash per bucket of records.
    Digest(Vec<u32>),
    /// Versions in the buckets whose hashes differ.
    Summary {
        /// Bit set of the buckets covered.
        buckets: u64,
        /// Versions in these buckets.
        entries: Vec<StateEntry>,
    },
    /// Request for records with details.
    Want(Vec<MemberKey>),
    /// Aggregate of the sender's data centre.
    Aggregate(DataCentreAggregate),
}

pub(crate) const STATE_BYTES: usize = 24;
pub(crate) const LOAD_BYTES: usize = 8;
const HEARTBEAT_BYTES: usize = 24;
const ADDRESS_BYTES: usize = 24;
/// Word for sequence and state, and the pointer to the blob of details.
const RECORD_HEADER_BYTES: usize = 16;
/// Largest encoding of the fields of a target other than texts: incarnation (10),
/// address (20), kind, length of offers and flag (3), and capacities (10 + 5).
const TARGET_FIXED_BYTES: usize = 48;
/// Largest encoding of the fields of an instance other than texts: incarnation (10)
/// and address (20).
const INSTANCE_FIXED_BYTES: usize = 30;
const POOL_BYTES: usize = 24;
pub(crate) const KEY_BYTES: usize = 16;

impl RecordEntry {
    /// Returns the budgeted size of the record. Sequence and state take one word. The
    /// details are one `postcard` blob, which is half the size of nested Cap'n Proto
    /// structures.
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
        RECORD_HEADER_BYTES + blob.next_multiple_of(8)
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
    /// Returns the kind by which the message is counted.
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
        MESSAGE_HEADER_BYTES
            + match self {
                Self::Gossip(gossip) => gossip.encoded_bytes(),
                Self::Heartbeats(heartbeats) => heartbeats.len() * HEARTBEAT_BYTES,
                Self::Ping { .. } | Self::Ack { .. } => 8,
                Self::PingRequest { .. } => 8 + ADDRESS_BYTES,
                Self::Digest(buckets) => buckets.len() * 4,
                Self::Summary { entries, .. } => 8 + entries.len() * STATE_BYTES,
                Self::Want(keys) => keys.len() * KEY_BYTES,
                Self::Aggregate(aggregate) => aggregate.encoded_bytes(),
            }
    }

    /// Returns the budgeted size of the packet, including headers.
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
        // Three list pointers more than other messages have, and a flag.
        32 + records + aggregates + self.states.len() * STATE_BYTES + self.loads.len() * LOAD_BYTES
    }
}

/// Returns the size of a text in a `postcard` blob, including its length prefix.
const fn text_bytes(text: &str) -> usize {
    2 + text.len()
}
