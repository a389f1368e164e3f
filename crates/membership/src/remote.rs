//! Exchange of aggregates with other data centres.
//!
//! For each other data centre, rendezvous hashing selects one bridge router. The
//! bridge sends the own data centre's aggregate to one instance there, which gossips
//! the aggregate among its peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_types::{PoolId, stable_id};

use crate::budget::TrafficClass;
use crate::entry::rendezvous_score;
use crate::event::{MembershipChange, MembershipOutput};
use crate::member::Membership;
use crate::message::{Contact, DataCentreAggregate, Message, PoolAggregate};
use crate::quantity::quantise;
use crate::record::MemberState;
use crate::settings::MembershipSettings;

/// Largest number of contacts in an aggregate.
const CONTACT_COUNT: usize = 2;
/// Largest number of pools in an aggregate, so that it fits one packet.
const MAX_POOLS: usize = 40;
/// Age of a stored aggregate from which on another bridge's aggregate replaces it.
/// Before that, late copies of the former bridge's last aggregate may still arrive.
const BRIDGE_TAKEOVER_AGE: Duration = Duration::from_secs(3);

#[derive(Clone, Debug, Default)]
struct RemoteDataCentre {
    seeds: Vec<SocketAddr>,
    aggregate: Option<DataCentreAggregate>,
    received_at: Option<Instant>,
    sent_at: Option<Instant>,
    /// Ready targets by pool in the last aggregate sent there.
    sent_ready_counts: Vec<(PoolId, u32)>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteDataCentres {
    data_centres: BTreeMap<u64, RemoteDataCentre>,
    /// Number of aggregates that this instance has tried to send.
    sequence: u64,
}

impl RemoteDataCentres {
    pub(crate) fn new(settings: &MembershipSettings, own: &str) -> Self {
        let mut remotes = Self::default();
        for seed in &settings.seeds {
            if seed.data_centre != own {
                let id = stable_id(&seed.data_centre);
                let remote = remotes.data_centres.entry(id).or_default();
                remote.seeds.push(seed.address);
            }
        }
        remotes
    }

    pub(crate) fn aggregate(&self, data_centre: u64) -> Option<&DataCentreAggregate> {
        self.data_centres.get(&data_centre)?.aggregate.as_ref()
    }

    pub(crate) fn received_aggregates(
        &self,
    ) -> impl Iterator<Item = (&DataCentreAggregate, Instant)> {
        self.data_centres
            .values()
            .filter_map(|remote| Some((remote.aggregate.as_ref()?, remote.received_at?)))
    }
}

impl Membership {
    pub(crate) fn tick_remotes(&mut self, now: Instant) {
        let bridged: Vec<u64> = self
            .remote_data_centres
            .data_centres
            .keys()
            .copied()
            .filter(|id| self.is_bridge_to(*id))
            .collect();
        if bridged.is_empty() || self.is_leaving {
            return;
        }
        let pools = self.own_pools(now);
        let ready_counts: Vec<(PoolId, u32)> = pools.iter().map(|p| (p.pool, p.ready)).collect();
        for id in bridged {
            if self.is_aggregate_due(id, &ready_counts, now) {
                self.send_aggregate(id, &pools, &ready_counts, now);
            }
        }
    }

    fn is_bridge_to(&self, data_centre: u64) -> bool {
        let best = self
            .routers
            .iter()
            .max_by_key(|router| rendezvous_score(data_centre, **router));
        best == Some(&self.own_id)
    }

    fn is_aggregate_due(&self, id: u64, ready_counts: &[(PoolId, u32)], now: Instant) -> bool {
        let Some(remote) = self.remote_data_centres.data_centres.get(&id) else {
            return false;
        };
        let Some(sent_at) = remote.sent_at else {
            return true;
        };
        let age = now.saturating_duration_since(sent_at);
        age >= self.settings.aggregate_period
            || (age >= self.settings.aggregate_change_period
                && remote.sent_ready_counts != ready_counts)
    }

    fn send_aggregate(
        &mut self,
        id: u64,
        pools: &[PoolAggregate],
        ready_counts: &[(PoolId, u32)],
        now: Instant,
    ) {
        let Some(to) = self.random_contact(id) else {
            return;
        };
        self.remote_data_centres.sequence += 1;
        let aggregate = DataCentreAggregate {
            data_centre: self.own_data_centre,
            bridge: self.own_id,
            // The sequence rises over restarts, because the incarnation does.
            sequence: (self.own_record.incarnation << 20)
                .wrapping_add(self.remote_data_centres.sequence),
            instances: u32::try_from(self.routers.len()).unwrap_or(u32::MAX),
            contacts: self.own_contacts(),
            pools: pools.to_vec(),
        };
        let sent = self.send(to, Message::Aggregate(aggregate), TrafficClass::Repair, now);
        if let Some(remote) = self.remote_data_centres.data_centres.get_mut(&id)
            && sent
        {
            remote.sent_at = Some(now);
            remote.sent_ready_counts = ready_counts.to_vec();
        }
    }

    fn random_contact(&mut self, id: u64) -> Option<SocketAddr> {
        let remote = self.remote_data_centres.data_centres.get(&id)?;
        let mut addresses = remote.seeds.clone();
        if let Some(aggregate) = &remote.aggregate {
            addresses.extend(aggregate.contacts.iter().map(|contact| contact.address));
        }
        let index = self.rng.index(addresses.len());
        addresses.get(index).copied()
    }

    fn own_contacts(&mut self) -> Vec<Contact> {
        let mut contacts = vec![Contact {
            instance: self.own_id,
            address: self.own_record.address,
        }];
        let start = self.rng.index(self.peers.len());
        let others = self.peers.iter().cycle().skip(start);
        for (instance, address) in others.take(self.peers.len().min(CONTACT_COUNT - 1)) {
            contacts.push(Contact {
                instance: *instance,
                address: *address,
            });
        }
        contacts
    }

    fn own_pools(&self, now: Instant) -> Vec<PoolAggregate> {
        let mut sums: BTreeMap<PoolId, (u32, u64, u64)> = BTreeMap::new();
        for view in self.targets(now) {
            let sum = sums.entry(view.record.pool_id()).or_default();
            if view.state == MemberState::Ready {
                sum.0 += 1;
                sum.1 = sum.1.saturating_add(view.load.tokens);
                sum.2 = sum.2.saturating_add(view.record.capacity_tokens);
            }
        }
        let pools = sums.into_iter().take(MAX_POOLS);
        pools
            .map(|(pool, (ready, tokens, capacity_tokens))| PoolAggregate {
                pool,
                ready,
                tokens: quantise(tokens),
                capacity_tokens,
            })
            .collect()
    }

    pub(crate) fn on_aggregate(&mut self, aggregate: DataCentreAggregate, now: Instant) {
        let data_centre = aggregate.data_centre;
        if data_centre == self.own_data_centre || aggregate.pools.len() > MAX_POOLS {
            return;
        }
        let remote = self
            .remote_data_centres
            .data_centres
            .entry(data_centre)
            .or_default();
        let is_newer = match (&remote.aggregate, remote.received_at) {
            (Some(known), Some(at)) if known.bridge != aggregate.bridge => {
                now.saturating_duration_since(at) >= BRIDGE_TAKEOVER_AGE
            }
            (Some(known), _) => aggregate.sequence > known.sequence,
            (None, _) => true,
        };
        if !is_newer {
            return;
        }
        remote.aggregate = Some(aggregate);
        remote.received_at = Some(now);
        self.queue.add_aggregate(data_centre);
        let change = MembershipChange::DataCentre { data_centre };
        self.outputs.push(MembershipOutput::Changed(change));
    }
}
