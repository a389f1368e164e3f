//! Encoding of data centre aggregates.

use std::net::SocketAddr;

use bamboospur_membership::{Contact, DataCentreAggregate, PoolAggregate};
use serde::{Deserialize, Serialize};

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireAggregate {
    data_centre: [u8; 8],
    bridge: [u8; 8],
    sequence: u64,
    instances: u32,
    contacts: Vec<WireContact>,
    pools: Vec<WirePool>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireContact {
    instance: [u8; 8],
    address: SocketAddr,
}

#[derive(Debug, Serialize, Deserialize)]
struct WirePool {
    pool: [u8; 8],
    ready: u32,
    tokens: u8,
    capacity_tokens: u64,
}

impl From<&DataCentreAggregate> for WireAggregate {
    fn from(aggregate: &DataCentreAggregate) -> Self {
        let contacts = aggregate.contacts.iter().map(|contact| WireContact {
            instance: contact.instance.to_le_bytes(),
            address: contact.address,
        });
        let pools = aggregate.pools.iter().map(|pool| WirePool {
            pool: pool.pool.to_le_bytes(),
            ready: pool.ready,
            tokens: pool.tokens,
            capacity_tokens: pool.capacity_tokens,
        });
        Self {
            data_centre: aggregate.data_centre.to_le_bytes(),
            bridge: aggregate.bridge.to_le_bytes(),
            sequence: aggregate.sequence,
            instances: aggregate.instances,
            contacts: contacts.collect(),
            pools: pools.collect(),
        }
    }
}

impl From<WireAggregate> for DataCentreAggregate {
    fn from(wire: WireAggregate) -> Self {
        let contacts = wire.contacts.into_iter().map(|contact| Contact {
            instance: u64::from_le_bytes(contact.instance),
            address: contact.address,
        });
        let pools = wire.pools.into_iter().map(|pool| PoolAggregate {
            pool: u64::from_le_bytes(pool.pool),
            ready: pool.ready,
            tokens: pool.tokens,
            capacity_tokens: pool.capacity_tokens,
        });
        Self {
            data_centre: u64::from_le_bytes(wire.data_centre),
            bridge: u64::from_le_bytes(wire.bridge),
            sequence: wire.sequence,
            instances: wire.instances,
            contacts: contacts.collect(),
            pools: pools.collect(),
        }
    }
}
