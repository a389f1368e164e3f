//! Link addresses of control instances: which of them a router keeps.
//!
//! The seeds of the settings are never forgotten: after a loss of the whole control group they
//! are all that leads back to it. Other addresses are learnt from the group, and forgotten once
//! it does not name them any more. While no control instance is heard of, nothing shows which
//! addresses are still good, so all of them are kept.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which an address is forgotten that no control instance has named, and from which
/// nothing has arrived.
const ADDRESS_TTL: Duration = Duration::from_secs(30);

/// Addresses that a router keeps links to.
#[derive(Clone, Debug, Default)]
pub struct ControlAddresses {
    seeds: BTreeSet<SocketAddr>,
    /// When each address is forgotten, the seeds included.
    expires_at: BTreeMap<SocketAddr, Instant>,
}

impl ControlAddresses {
    /// Replaces the seeds. Earlier ones count as learnt.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Instant) {
        self.seeds = seeds.iter().copied().collect();
        for &seed in seeds {
            self.record_heard(seed, now);
        }
    }

    /// Records that a control instance names an address, or that something arrived from it.
    pub fn record_heard(&mut self, address: SocketAddr, now: Instant) {
        self.expires_at.insert(address, now + ADDRESS_TTL);
    }

    /// Removes and returns the addresses that are not used any more.
    pub fn take_expired(&mut self, now: Instant) -> Vec<SocketAddr> {
        if self.expires_at.values().all(|&at| now >= at) {
            return Vec::new();
        }
        let seeds = &self.seeds;
        let expired = self
            .expires_at
            .extract_if(.., |address, &mut at| now >= at && !seeds.contains(address));
        expired.map(|(address, _)| address).collect()
    }
}
