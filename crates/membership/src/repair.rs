//! Joining by seeds and anti-entropy.
//!
//! Every repair period an instance sends the hashes of its records, in buckets,
//! to a random peer. The peer answers with its versions in the buckets that
//! differ; the instance then asks for what is newer there and sends what is
//! newer here. While differences are found this runs at every tick.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use crate::budget::Class;
use crate::entry::{BUCKETS, Entry, bucket_of};
use crate::member::{Membership, Merged};
use crate::message::{
    Gossip, KEY_BYTES, MAX_BODY_BYTES, Message, RecordEntry, STATE_BYTES, StateEntry,
};
use crate::record::{MemberKey, MemberState};

/// One exchange in this many goes to a departed instance or a seed, so that two
/// halves of a partition find each other again.
const RECONNECT_EVERY: u32 = 4;
/// Seeds asked at once by an instance that knows nobody.
const JOIN_FANOUT: usize = 3;
/// Peers asked at each tick while differences are found.
const BEHIND_FANOUT: usize = 2;
/// Least room for an answer with records.
const LEAST_ROOM: usize = 200;
/// Versions in one summary: more than the records that one answer can carry
/// would only use bytes.
const SUMMARY_ENTRIES: usize = 16;

#[derive(Clone, Debug, Default)]
pub(crate) struct Repair {
    next_at: Option<Instant>,
    exchanges: u32,
    /// Differences were found since the last exchange.
    pub(crate) behind: bool,
    /// The records of a repair are being merged, which are not spread.
    pub(crate) is_merging: bool,
    /// Records to ask for, and the address to ask.
    wanted: BTreeMap<MemberKey, SocketAddr>,
}

impl Repair {
    pub(crate) fn want(&mut self, key: MemberKey, from: SocketAddr, _now: Instant) {
        self.wanted.insert(key, from);
    }
}

impl Membership {
    /// Sends the own record to seeds while no peer is known.
    pub(crate) fn join_by_seeds(&mut self, now: Instant) {
        if !self.peers.is_empty() || self.leaving {
            return;
        }
        let mut seeds = self.own_seeds();
        let Some(full) = self.own_record() else {
            return;
        };
        for _ in 0..JOIN_FANOUT.min(seeds.len()) {
            let seed = seeds.swap_remove(self.rng.index(seeds.len()));
            let gossip = Gossip {
                records: vec![full.clone()],
                ..Gossip::default()
            };
            self.send(seed, Message::Gossip(gossip), Class::Join, now);
        }
    }

    fn own_record(&self) -> Option<RecordEntry> {
        self.entries.get(&MemberKey::Instance(self.me))?.full()
    }

    fn own_seeds(&self) -> Vec<SocketAddr> {
        let own = |seed: &&crate::settings::Seed| {
            seed.data_centre == self.own.data_centre && seed.address != self.own.address
        };
        self.settings
            .seeds
            .iter()
            .filter(own)
            .map(|seed| seed.address)
            .collect()
    }

    pub(crate) fn tick_repair(&mut self, now: Instant) {
        self.send_wants(now);
        let due = self.repair.next_at.is_none_or(|at| now >= at);
        if !due && !self.repair.behind {
            return;
        }
        self.repair.behind = false;
        if due {
            self.repair.next_at = Some(now + self.settings.repair_period);
            self.repair.exchanges = self.repair.exchanges.wrapping_add(1);
            if self.repair.exchanges.is_multiple_of(RECONNECT_EVERY) {
                self.reconnect(now);
            }
        }
        let digest = self.digest();
        let fanout = if due { 1 } else { BEHIND_FANOUT };
        for to in self.random_peers(fanout) {
            self.send(to, Message::Digest(digest.clone()), Class::Repair, now);
        }
    }

    /// Contacts one instance that is not among the peers, with the own record:
    /// it answers if it believes that this instance has gone.
    fn reconnect(&mut self, now: Instant) {
        let departed = |entry: &Entry| entry.version.state == MemberState::Dead;
        let mut addresses: Vec<SocketAddr> = self
            .entries
            .values()
            .filter(|entry| departed(entry))
            .filter_map(|entry| Some(entry.instance()?.address))
            .collect();
        addresses.extend(self.own_seeds());
        addresses.retain(|address| self.peers.iter().all(|(_, peer)| peer != address));
        if addresses.is_empty() || self.leaving {
            return;
        }
        let to = addresses[self.rng.index(addresses.len())];
        let Some(full) = self.own_record() else {
            return;
        };
        let gossip = Gossip {
            records: vec![full],
            ..Gossip::default()
        };
        self.send(to, Message::Gossip(gossip), Class::Repair, now);
    }

    pub(crate) fn digest(&self) -> Vec<u32> {
        let mut buckets = vec![0_u32; BUCKETS];
        for (key, entry) in &self.entries {
            if !entry.version.state.is_final() {
                buckets[bucket_of(*key)] ^= entry.hash(*key);
            }
        }
        buckets
    }

    pub(crate) fn on_digest(&mut self, theirs: &[u32], address: SocketAddr, now: Instant) {
        if theirs.len() != BUCKETS {
            return;
        }
        let own = self.digest();
        let differing: Vec<usize> = (0..BUCKETS).filter(|b| own[*b] != theirs[*b]).collect();
        if differing.is_empty() {
            return;
        }
        // A random start, so that exchanges in parallel cover different buckets.
        let start = self.rng.index(differing.len());
        let in_turn = (0..differing.len()).map(|i| differing[(start + i) % differing.len()]);
        let (empty, other): (Vec<usize>, Vec<usize>) = in_turn.partition(|b| theirs[*b] == 0);
        if !other.is_empty() {
            self.send_summary(&other, address, now);
        }
        let mut missing: Vec<MemberKey> = empty
            .into_iter()
            .flat_map(|bucket| self.bucket(bucket))
            .map(|state| state.key)
            .collect();
        missing.sort_unstable();
        self.send_records(&missing, address, now);
    }

    fn send_summary(&mut self, differing: &[usize], address: SocketAddr, now: Instant) {
        let room = self.body_room(Class::Repair, 1, now);
        let mut buckets = 0_u64;
        let mut entries: Vec<StateEntry> = Vec::new();
        for bucket in differing {
            let content = self.bucket(*bucket);
            let count = entries.len() + content.len();
            let is_full = 8 + count * STATE_BYTES > room || count > SUMMARY_ENTRIES;
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
            Class::Repair,
            now,
        );
    }

    fn bucket(&self, bucket: usize) -> Vec<StateEntry> {
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
        self.repair.behind = true;
        let mut theirs = BTreeMap::new();
        for state in entries {
            theirs.insert(state.key, state.version);
            if self.merge(state.key, state.version, None, now) == Merged::NeedsDetails {
                self.repair.want(state.key, address, now);
            }
        }
        self.send_wants(now);
        let mut newer: Vec<MemberKey> = Vec::new();
        for (key, entry) in &self.entries {
            let covered = buckets & (1 << bucket_of(*key)) != 0;
            let outdated = match theirs.get(key) {
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
        let mut room = self.body_room(Class::Repair, 1, now);
        for key in keys {
            if room < LEAST_ROOM {
                return;
            }
            let Some(entry) = self.entries.get(key) else {
                continue;
            };
            let mut next = Gossip::default();
            match entry.full() {
                Some(full) => next.records.push(full),
                None => next.states.extend(self.state_entry(*key)),
            }
            if gossip.encoded_bytes() + next.encoded_bytes() > room {
                let packet = Message::Gossip(std::mem::replace(&mut gossip, empty()));
                if !self.send(to, packet, Class::Repair, now) {
                    return;
                }
                room = self.body_room(Class::Repair, 1, now);
            }
            gossip.records.append(&mut next.records);
            gossip.states.append(&mut next.states);
        }
        if !gossip.is_empty() {
            self.send(to, Message::Gossip(gossip), Class::Repair, now);
        }
    }

    /// Asks for the records whose facts are missing.
    fn send_wants(&mut self, now: Instant) {
        let mut by_address: BTreeMap<SocketAddr, Vec<MemberKey>> = BTreeMap::new();
        for (key, address) in std::mem::take(&mut self.repair.wanted) {
            by_address.entry(address).or_default().push(key);
        }
        for (address, mut keys) in by_address {
            keys.truncate(MAX_BODY_BYTES / KEY_BYTES);
            self.send(address, Message::Want(keys), Class::Join, now);
        }
    }
}
