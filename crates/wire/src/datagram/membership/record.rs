//! Encoding of member records and member states.

use std::net::SocketAddr;
use std::sync::Arc;

use bamboospur_membership::{
    InstanceRecord, MemberKey, MemberRecord, MemberState, RecordEntry, StateEntry, Version,
};
use bamboospur_types::{Incarnation, TargetKind, TargetRecord, WorkTokens};
use serde::{Deserialize, Serialize};

use crate::datagram::DatagramError;

/// Bit of `kind_and_state` that is set for instances; the other bits hold the state.
const INSTANCE_FLAG: u8 = 0x80;

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireState {
    id: [u8; 8],
    kind_and_state: u8,
    incarnation: Incarnation,
    sequence: u32,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireRecord {
    sequence: u32,
    state: u8,
    details: WireMemberRecord,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireMemberRecord {
    Target(WireTarget),
    Instance(WireInstance),
}

#[derive(Debug, Serialize, Deserialize)]
struct WireTarget {
    name: String,
    incarnation: Incarnation,
    address: SocketAddr,
    data_centre: String,
    pool: String,
    kind: TargetKind,
    offers: Vec<String>,
    capacity_tokens: WorkTokens,
    capacity_requests: u32,
    checks_fencing: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireInstance {
    name: String,
    incarnation: Incarnation,
    address: SocketAddr,
    data_centre: String,
}

fn member_state(code: u8) -> Result<MemberState, DatagramError> {
    MemberState::from_repr(code).ok_or(DatagramError::Malformed)
}

impl From<&StateEntry> for WireState {
    fn from(entry: &StateEntry) -> Self {
        let (id, kind) = match entry.key {
            MemberKey::Target(id) => (id, 0),
            MemberKey::Instance(id) => (id, INSTANCE_FLAG),
        };
        Self {
            id: id.to_le_bytes(),
            kind_and_state: kind | entry.version.state as u8,
            incarnation: entry.version.incarnation,
            sequence: entry.version.sequence,
        }
    }
}

impl TryFrom<WireState> for StateEntry {
    type Error = DatagramError;

    fn try_from(wire: WireState) -> Result<Self, Self::Error> {
        let id = u64::from_le_bytes(wire.id);
        let key = if wire.kind_and_state & INSTANCE_FLAG == 0 {
            MemberKey::Target(id)
        } else {
            MemberKey::Instance(id)
        };
        let version = Version {
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            state: member_state(wire.kind_and_state & !INSTANCE_FLAG)?,
        };
        Ok(Self { key, version })
    }
}

impl From<&RecordEntry> for WireRecord {
    fn from(entry: &RecordEntry) -> Self {
        Self {
            sequence: entry.version.sequence,
            state: entry.version.state as u8,
            details: (&entry.details).into(),
        }
    }
}

impl TryFrom<WireRecord> for RecordEntry {
    type Error = DatagramError;

    fn try_from(wire: WireRecord) -> Result<Self, Self::Error> {
        let details = MemberRecord::try_from(wire.details)?;
        let version = Version {
            incarnation: details.incarnation(),
            sequence: wire.sequence,
            state: member_state(wire.state)?,
        };
        Ok(Self { version, details })
    }
}

impl From<&MemberRecord> for WireMemberRecord {
    fn from(details: &MemberRecord) -> Self {
        match details {
            MemberRecord::Target(target) => Self::Target(WireTarget {
                name: target.name.clone(),
                incarnation: target.incarnation,
                address: target.address,
                data_centre: target.data_centre.clone(),
                pool: target.pool.clone(),
                kind: target.kind,
                offers: target.offers.iter().map(ToString::to_string).collect(),
                capacity_tokens: target.capacity_tokens,
                capacity_requests: target.capacity_requests,
                checks_fencing: target.checks_fencing,
            }),
            MemberRecord::Instance(instance) => Self::Instance(WireInstance {
                name: instance.name.clone(),
                incarnation: instance.incarnation,
                address: instance.address,
                data_centre: instance.data_centre.clone(),
            }),
        }
    }
}

impl TryFrom<WireMemberRecord> for MemberRecord {
    type Error = DatagramError;

    fn try_from(wire: WireMemberRecord) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireMemberRecord::Target(target) => Self::Target(Arc::new(target.try_into()?)),
            WireMemberRecord::Instance(instance) => Self::Instance(Arc::new(InstanceRecord {
                name: instance.name,
                incarnation: instance.incarnation,
                address: instance.address,
                data_centre: instance.data_centre,
            })),
        })
    }
}

impl TryFrom<WireTarget> for TargetRecord {
    type Error = DatagramError;

    fn try_from(wire: WireTarget) -> Result<Self, Self::Error> {
        let offers = wire.offers.iter().map(|offer| offer.parse());
        Ok(Self {
            name: wire.name,
            incarnation: wire.incarnation,
            address: wire.address,
            data_centre: wire.data_centre,
            pool: wire.pool,
            kind: wire.kind,
            offers: offers
                .collect::<Result<_, _>>()
                .map_err(|_| DatagramError::Malformed)?,
            capacity_tokens: wire.capacity_tokens,
            capacity_requests: wire.capacity_requests,
            checks_fencing: wire.checks_fencing,
        })
    }
}
