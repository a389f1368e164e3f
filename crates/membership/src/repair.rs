//! Joining through seeds, and anti-entropy.
//!
//! Every repair period an instance sends a digest, with one hash per bucket of
//! records, to a random peer. The peer answers with its versions in the buckets that
//! differ. The instance then requests the records that are newer at the peer and
//! sends those that are newer here. While differences are found, an exchange runs at
//! every tick.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use crate::budget::TrafficClass;
use crate::entry::{DIGEST_BUCKETS, Entry, bucket_of};
use crate::member::{Membership, MergeOutcome};
use crate::message::{
    Gossip, KEY_BYTES, MAX_BODY_BYTES, Message, RecordEntry, STATE_BYTES, StateEntry,
};
use crate::record::{MemberKey, MemberState};

/// At one periodic exchange in this many, a dead instance or a seed is contacted too,
/// so that the sides of a healed partition find each other again.
const EXCHANGES_PER_RECONNECT: u32 = 4;
/// Seeds contacted at each tick by an instance that knows no peer.
const JOIN_FANOUT: usize = 3;
/// Peers that get a digest at each tick while differences are found.
const BEHIND_FANOUT: usize = 2;
/// Smallest number of bytes that the budget must allow for an answer with records.
const MIN_RECORDS_BYTES: usize = 200;
/// Largest number of versions in a summary of several buckets; versions beyond the
/// records that one answer can carry would only use bytes.
const MAX_SUMMARY_ENTRIES: usize = 16;

#[derive(Clone, Debug, Default)]
pub(crate) struct Repair {
    next_exchange_at: Option<Instant>,
    exchanges: u32,
    /// Whether differences were found since the last exchange.
    pub(crate) is_behind: bool,
    /// Whether records of a repair answer are being merged; ready ones are not
    /// forwarded.
    pub(crate) is_merging_answer: bool,
    /// Records to request, and the address of the peer to request them from.
    wanted: BTreeMap<MemberKey, SocketAddr>,
}

impl Repair {
    pub(crate) fn add_wanted(&mut self, key: MemberKey, from: SocketAddr, _now: Instant) {
        self.wanted.insert(key, from);
    }
}

impl Membership {
    /// Sends the own record to some seeds while no peer is known.
    pub(crate) fn join_by_seeds(&mut self, now: Instant) {
        if !self.peers.is_empty() || self.is_leaving {
            return;
        }
        let mut seeds = self.data_centre_seeds();
        let Some(full) = self.own_record_entry() else {
            return;
        };
        for _ in 0..JOIN_FANOUT.min(seeds.len()) {
            let seed = seeds.swap_remove(self.rng.index(seeds.len()));
            let gossip = Gossip {
                records: vec![full.clone()],
                ..Gossip::default()
            };
            self.send(seed, Message::Gossip(gossip), TrafficClass::Join, now);
        }
    }

    fn own_record_entry(&self) -> Option<RecordEntry> {
        self.entries
            .get(&MemberKey::Instance(self.own_id))?
            .full_record()
    }

    fn data_centre_seeds(&self) -> Vec<SocketAddr> {
        let is_other_in_data_centre = |seed: &&crate::settings::Seed| {
            seed.data_centre == self.own_record.data_centre
                && seed.address != self.own_record.address
        };
        self.settings
            .seeds
            .iter()
            .filter(is_other_in_data_centre)
            .map(|seed| seed.address)
            .collect()
    }

    pub(crate) fn tick_repair(&mut self, now: Instant) {
        self.send_wants(now);
        let due = self.repair.next_exchange_at.is_none_or(|at| now >= at);
        if !due && !self.repair.is_behind {
            return;
        }
        self.repair.is_behind = false;
        if due {
            self.repair.next_exchange_at = Some(now + self.settings.repair_period);
            self.repair.exchanges = self.repair.exchanges.wrapping_add(1);
            if self
                .repair
                .exchanges
                .is_multiple_of(EXCHANGES_PER_RECONNECT)
            {
                self.reconnect(now);
            }
        }
        let digest = self.digest();
        let fanout = if due { 1 } else { BEHIND_FANOUT };
        for to in self.random_peers(fanout) {
            self.send(
                to,
                Message::Digest(digest.clone()),
                TrafficClass::Repair,
                now,
            );
        }
    }

    /// Sends the own record to a dead instance or a seed that is not among the peers.
    /// A receiver that has this instance as dead answers with that state, which this
    /// instance can then refute.
    fn reconnect(&mut self, now: Instant) {
        let is_dead = |entry: &Entry| entry.version.state == MemberState::Dead;
        let mut addresses: Vec<SocketAddr> = self
            .entries
            .values()
            .filter(|entry| is_dead(entry))
            .filter_map(|entry| Some(entry.instance()?.address))
            .collect();
        addresses.extend(self.data_centre_seeds());
        addresses.retain(|address| self.peers.iter().all(|(_, peer)| peer != address));
        if addresses.is_empty() || self.is_leaving {
            return;
        }
        let to = addresses[self.rng.index(addresses.len())];
        let Some(full) = self.own_record_entry() else {
            return;
        };
        let gossip = Gossip {
            records: vec![full],
            ..Gossip::default()
        };
        self.send(to, Message::Gossip(gossip), TrafficClass::Repair, now);
    }

    pub(crate) fn digest(&self) -> Vec<u32> {
        let mut buckets = vec![0_u32; DIGEST_BUCKETS];
        for (key, entry) in &self.entries {
            if !entry.version.state.is_final() {
                buckets[bucket_of(*key)] ^= entry.digest_hash(*key);
            }
        }
        buckets
    }

    pub(crate) fn on_digest(&mut self, peer_digest: &[u32], address: SocketAddr, now: Instant) {
        if peer_digest.len() != DIGEST_BUCKETS {
            return;
        }
        let own_digest = self.digest();
        let differing: Vec<usize> = (0..DIGEST_BUCKETS)
            .filter(|b| own_digest[*b] != peer_digest[*b])
            .collect();
        if differing.is_empty() {
            return;
        }
        // A random first bucket, so that parallel exchanges cover different buckets.
        let start = self.rng.index(differing.len());
        let in_turn = (0..differing.len()).map(|i| differing[(start + i) % differing.len()]);
        let (empty, other): (Vec<usize>, Vec<usize>) = in_turn.partition(|b| peer_digest[*b] == 0);
        if !other.is_empty() {
            self.send_summary(&other, address, now);
        }
        let mut missing: Vec<MemberKey> = empty
            .into_iter()
            .flat_map(|bucket| self.bucket_entries(bucket))
            .map(|state| state.key)
            .collect();
        missing.sort_unstable();
        self.send_records(&missing, address, now);
    }

    fn send_summary(&mut self, differing: &[usize], address: SocketAddr, now: Instant) {
        let room = self.available_body_bytes(TrafficClass::Repair, 1, now);
        let mut buckets = 0_u64;
        let mut entries: Vec<StateEntry> = Vec::new();
        for bucket in differing {
            let content = self.bucket_entries(*bucket);
            let count = entries.len() + content.len();
            let is_full = 8 + count * STATE_BYTES > room || count > MAX_SUMMARY_ENTRIES;
            if is_full && buckets != 0 {
                break;
            }
            buckets |= 1 << bucket;
            entries.extend(content);
        }
        entries.truncate(MAX_BODY_BYTES / STATE_BYTES - 1);
        self.send(
            address,
            Message::Summary { buckets, entries },
            TrafficClass::Repair,
            now,
        );
    }

    fn bucket_entries(&self, bucket: usize) -> Vec<StateEntry> {
        self.entries
            .iter()
            .filter(|(key, entry)| bucket_of(**key) == bucket && !entry.version.state.is_final())
            .map(|(key, entry)| StateEntry {
                key: *key,
                version: entry.version,
            })
            .collect()
    }

    pub(crate) fn on_summary(
        &mut self,
        buckets: u64,
        entries: &[StateEntry],
        address: SocketAddr,
        now: Instant,
    ) {
        self.repair.is_behind = true;
        let mut peer_versions = BTreeMap::new();
        for state in entries {
            peer_versions.insert(state.key, state.version);
            if self.merge(state.key, state.version, None, now) == MergeOutcome::NeedsDetails {
                self.repair.add_wanted(state.key, address, now);
            }
        }
        self.send_wants(now);
        let mut newer: Vec<MemberKey> = Vec::new();
        for (key, entry) in &self.entries {
            let covered = buckets & (1 << bucket_of(*key)) != 0;
            let outdated = match peer_versions.get(key) {
                Some(version) => entry.version.replaces(version),
                None => !entry.version.state.is_final(),
            };
            if covered && outdated {
                newer.push(*key);
            }
        }
        self.send_records(&newer, address, now);
    }

    pub(crate) fn on_want(&mut self, keys: &[MemberKey], address: SocketAddr, now: Instant) {
        self.send_records(keys, address, now);
    }

    /// Sends records in as many packets as they need and the budget allows.
    fn send_records(&mut self, keys: &[MemberKey], to: SocketAddr, now: Instant) {
        let empty = || Gossip {
            is_repair: true,
            ..Gossip::default()
        };
        let mut gossip = empty();
        let mut room = self.available_body_bytes(TrafficClass::Repair, 1, now);
        for key in keys {
            if room < MIN_RECORDS_BYTES {
                return;
            }
            let Some(entry) = self.entries.get(key) else {
                continue;
            };
            let mut next = Gossip::default();
            match entry.full_record() {
                Some(full) => next.records.push(full),
                None => next.states.extend(self.state_entry(*key)),
            }
            if gossip.encoded_bytes() + next.encoded_bytes() > room {
                let packet = Message::Gossip(std::mem::replace(&mut gossip, empty()));
                if !self.send(to, packet, TrafficClass::Repair, now) {
                    return;
                }
                room = self.available_body_bytes(TrafficClass::Repair, 1, now);
            }
            gossip.records.append(&mut next.records);
            gossip.states.append(&mut next.states);
        }
        if !gossip.is_empty() {
            self.send(to, Message::Gossip(gossip), TrafficClass::Repair, now);
        }
    }

    /// Requests the records whose details are missing.
    fn send_wants(&mut self, now: Instant) {
        let mut by_address: BTreeMap<SocketAddr, Vec<MemberKey>> = BTreeMap::new();
        for (key, address) in std::mem::take(&mut self.repair.wanted) {
            by_address.entry(address).or_default().push(key);
        }
        for (address, mut keys) in by_address {
            keys.truncate(MAX_BODY_BYTES / KEY_BYTES);
            self.send(address, Message::Want(keys), TrafficClass::Join, now);
        }
    }
}
