//! Records and addresses of the simulated instances and targets.

use std::net::SocketAddr;

use bamboospur_membership::InstanceRecord;
use bamboospur_types::{TargetKind, TargetRecord};

pub fn address_of(node: usize) -> SocketAddr {
    let port = u16::try_from(10_000 + node).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn node_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 10_000
}

pub fn instance(node: usize, incarnation: u64) -> InstanceRecord {
    InstanceRecord {
        name: format!("router-{node}"),
        incarnation,
        address: address_of(node),
        data_centre: "dc".to_owned(),
    }
}

pub fn target_record(target: usize, incarnation: u64) -> TargetRecord {
    let host = u8::try_from(target % 250).unwrap();
    let port = u16::try_from(20_000 + target).unwrap();
    TargetRecord {
        name: format!("engine-{target:04}"),
        incarnation,
        address: SocketAddr::from(([10, 0, 0, host], port)),
        data_centre: "dc".to_owned(),
        pool: format!("pool-{}", target % 9),
        kind: TargetKind::Engine,
        offers: vec!["model-large@2026-05+adapter".parse().unwrap()],
        capacity_tokens: 400_000,
        capacity_requests: 64,
        checks_fencing: false,
    }
}
