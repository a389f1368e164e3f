//! Spreading and receiving of records, states, loads and aggregates.

use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_types::InstanceId;

use crate::budget::Class;
use crate::entry::{Entry, short_id};
use crate::event::{MembershipChange, MembershipOutput};
use crate::member::{Membership, Merged};
use crate::message::{
    Gossip, LOAD_BYTES, LoadEntry, MAX_BODY_BYTES, MAX_PACKET_BYTES, Message, RecordEntry,
    STATE_BYTES, StateEntry,
};
use crate::quantity::{dequantise, quantise};
use crate::queue::Pending;
use crate::record::{Load, MemberKey, MemberRecord};

/// Peers that get urgent news at once; each of them does the same.
const URGENT_FANOUT: usize = 4;
/// Peers that get other news at once.
const NEWS_FANOUT: usize = 3;
/// Peers that get what is left at each tick.
const TICK_FANOUT: usize = 2;
/// Peers that get loads at each tick.
const BULK_FANOUT: usize = 1;
/// Least content of a packet that the budget cut short.
const LEAST_CUT_BYTES: usize = 400;
/// New records in one packet that show that this instance is behind.
const MANY_NEW: usize = 3;
/// Records that wait to be spread up to which news go out at once.
const NEWS_BACKLOG: usize = 6;
/// Records that wait to be spread above which loads are not sent.
const BULK_BACKLOG: usize = 6;
/// Peers that a new instance is told of at once.
const WELCOME_PEERS: usize = 3;

/// A packet under construction, with what it takes from the queue.
#[derive(Default)]
struct Draft {
    gossip: Gossip,
    bytes: usize,
    urgent: bool,
    cut_short: bool,
    records: Vec<MemberKey>,
    loads: Vec<u64>,
    aggregates: Vec<u64>,
}

impl Draft {
    /// Headers are 84 bytes, so a packet that the budget cut short waits until
    /// it can carry more.
    const fn is_worth_sending(&self) -> bool {
        !self.cut_short || self.bytes >= LEAST_CUT_BYTES
    }

    fn class(&self) -> Class {
        if self.urgent {
            Class::Urgent
        } else if self.records.is_empty() {
            Class::Bulk
        } else {
            Class::Join
        }
    }
}

impl Membership {
    /// Sends news at once, so that it reaches all within a few round trips.
    pub(crate) fn flush_news(&mut self, now: Instant) {
        let draft = self.draft(false, NEWS_FANOUT, now);
        if draft.urgent {
            self.spread(&draft, URGENT_FANOUT, now);
        } else if self.queue.backlog() <= NEWS_BACKLOG {
            // When much is new, fewer and fuller packets at the next tick are cheaper.
            self.spread(&draft, NEWS_FANOUT, now);
        }
        self.queue.defer_news();
    }

    /// Sends what is left, then loads and aggregates.
    pub(crate) fn flush_rest(&mut self, now: Instant) {
        let draft = self.draft(true, TICK_FANOUT, now);
        if draft.urgent || draft.is_worth_sending() {
            self.spread(&draft, TICK_FANOUT, now);
        }
        // Many new records come before loads.
        if self.queue.backlog() > BULK_BACKLOG || self.repair.behind {
            return;
        }
        let bulk = self.draft_bulk(now);
        if bulk.is_worth_sending() {
            self.spread(&bulk, BULK_FANOUT, now);
        }
    }

    fn spread(&mut self, draft: &Draft, fanout: usize, now: Instant) {
        if draft.gossip.is_empty() {
            return;
        }
        for to in self.random_peers(fanout) {
            let message = Message::Gossip(draft.gossip.clone());
            if self.send(to, message, draft.class(), now) {
                self.count_sent(draft);
            }
        }
    }

    fn count_sent(&mut self, draft: &Draft) {
        for key in &draft.records {
            self.queue.sent_record(*key);
        }
        for target in &draft.loads {
            self.queue.sent_load(*target);
        }
        for data_centre in &draft.aggregates {
            self.queue.sent_aggregate(*data_centre);
        }
    }

    /// Fills a packet that the budget has room for `fanout` times.
    fn draft(&mut self, all: bool, fanout: usize, now: Instant) -> Draft {
        let mut draft = Draft {
            bytes: Gossip::default().encoded_bytes(),
            ..Draft::default()
        };
        let urgent_room = self.body_room(Class::Urgent, fanout, now);
        let room = self.body_room(Class::Join, fanout, now);
        for (key, pending) in self.queue.records() {
            if all || pending.fresh {
                let room = if pending.urgent { urgent_room } else { room };
                self.draft_record(&mut draft, key, pending, room);
            }
        }
        draft
    }

    /// Fills a packet of the size that the budget has room for.
    fn draft_bulk(&mut self, now: Instant) -> Draft {
        let mut draft = Draft {
            bytes: Gossip::default().encoded_bytes(),
            ..Draft::default()
        };
        let room = self.body_room(Class::Bulk, BULK_FANOUT, now);
        self.draft_aggregates(&mut draft, room);
        self.draft_loads(&mut draft, room);
        draft
    }

    /// Returns the largest content of packets that fit the budget `count` times.
    /// Small packets would otherwise leave no room for large ones for ever.
    pub(crate) fn body_room(&mut self, class: Class, count: usize, now: Instant) -> usize {
        let room = self.budget.room(class, now) / count;
        room.saturating_sub(MAX_PACKET_BYTES - MAX_BODY_BYTES)
            .min(MAX_BODY_BYTES)
    }

    fn draft_record(&mut self, draft: &mut Draft, key: MemberKey, pending: Pending, room: usize) {
        let full = match self.entries.get(&key) {
            Some(entry) if pending.full => entry.full(),
            Some(_) => None,
            None => {
                self.queue.remove_record(key);
                return;
            }
        };
        let bytes = full
            .as_ref()
            .map_or(STATE_BYTES, RecordEntry::encoded_bytes);
        if draft.bytes + bytes > room {
            draft.cut_short = true;
            return;
        }
        draft.bytes += bytes;
        draft.urgent |= pending.urgent;
        draft.records.push(key);
        match full {
            Some(full) => draft.gossip.records.push(full),
            None => draft.gossip.states.extend(self.state_entry(key)),
        }
    }

    fn draft_loads(&self, draft: &mut Draft, room: usize) {
        for target in self.queue.loads() {
            if draft.bytes + LOAD_BYTES > room {
                draft.cut_short = true;
                return;
            }
            let Some(entry) = self.entries.get(&MemberKey::Target(target)) else {
                draft.loads.push(target);
                continue;
            };
            draft.bytes += LOAD_BYTES;
            draft.loads.push(target);
            draft.gossip.loads.push(LoadEntry {
                short_id: short_id(target),
                sequence: (entry.load_sequence & 0xffff) as u16,
                tokens: quantise(entry.load.tokens),
                requests: quantise(u64::from(entry.load.requests)),
            });
        }
    }

    fn draft_aggregates(&self, draft: &mut Draft, room: usize) {
        for data_centre in self.queue.aggregates() {
            let Some(aggregate) = self.remotes.aggregate(data_centre) else {
                continue;
            };
            let bytes = aggregate.encoded_bytes();
            if draft.bytes + bytes <= room {
                draft.bytes += bytes;
                draft.aggregates.push(data_centre);
                draft.gossip.aggregates.push(aggregate.clone());
            }
        }
    }

    pub(crate) fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut peers: Vec<SocketAddr> = self.peers.iter().map(|(_, address)| *address).collect();
        let count = count.min(peers.len());
        for chosen in 0..count {
            let other = chosen + self.rng.index(peers.len() - chosen);
            peers.swap(chosen, other);
        }
        peers.truncate(count);
        peers
    }

    pub(crate) fn on_gossip(
        &mut self,
        from: InstanceId,
        address: SocketAddr,
        gossip: Gossip,
        now: Instant,
    ) {
        // Only joining and reconnecting instances send just their own record.
        let is_greeting = gossip.states.is_empty()
            && matches!(&gossip.records[..], [only] if only.details.key() == MemberKey::Instance(from));
        let mut learnt = 0;
        self.repair.is_merging = gossip.is_repair;
        for record in gossip.records {
            learnt += usize::from(self.on_record(record, address, now));
        }
        self.repair.is_merging = false;
        // A packet full of news means that more is missing.
        self.repair.behind |= learnt >= MANY_NEW;
        for state in gossip.states {
            self.on_state(state, address, now);
        }
        for load in gossip.loads {
            self.on_load(load, now);
        }
        for aggregate in gossip.aggregates {
            self.on_aggregate(aggregate, now);
        }
        if is_greeting && self.routers.contains(&from) {
            self.welcome(from, address, now);
        }
    }

    /// Returns whether the record was new.
    fn on_record(&mut self, record: RecordEntry, address: SocketAddr, now: Instant) -> bool {
        let data_centre = match &record.details {
            MemberRecord::Target(target) => &target.data_centre,
            MemberRecord::Instance(instance) => &instance.data_centre,
        };
        let key = record.details.key();
        let version = record.version;
        if *data_centre != self.own.data_centre
            || version.incarnation != record.details.incarnation()
        {
            return false;
        }
        let merged = self.merge(key, version, Some(record.details), now);
        if merged == Merged::Known {
            self.correct(StateEntry { key, version }, address, now);
        }
        merged == Merged::Applied
    }

    fn on_state(&mut self, state: StateEntry, address: SocketAddr, now: Instant) {
        match self.merge(state.key, state.version, None, now) {
            Merged::Applied => {}
            Merged::Known => self.correct(state, address, now),
            Merged::NeedsDetails => self.repair.want(state.key, address, now),
        }
    }

    /// Tells the sender of an outdated record that the member has gone.
    fn correct(&mut self, state: StateEntry, address: SocketAddr, now: Instant) {
        let Some(known) = self.state_entry(state.key) else {
            return;
        };
        let outdated =
            known.version.state.is_final() || known.version.incarnation > state.version.incarnation;
        if !outdated || state.version.state.is_final() || !known.version.replaces(&state.version) {
            return;
        }
        let gossip = Gossip {
            states: vec![known],
            ..Gossip::default()
        };
        self.send(address, Message::Gossip(gossip), Class::Repair, now);
    }

    fn on_load(&mut self, load: LoadEntry, now: Instant) {
        let Some(target) = self.short_ids.get(&load.short_id).copied() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&MemberKey::Target(target)) else {
            return;
        };
        let known = (entry.load_sequence & 0xffff) as u16;
        let ahead = load.sequence.wrapping_sub(known);
        // Without a recent report any number is accepted: the short numbers wrap.
        let age = now.saturating_duration_since(entry.load_at);
        let unknown = entry.load_sequence == 0 || age > self.settings.load_refresh * 2;
        // Serial number order: the upper half of the range is behind.
        let behind = ahead > u16::MAX / 2;
        if ahead == 0 || (behind && !unknown) {
            return;
        }
        entry.load_sequence = entry.load_sequence.wrapping_add(u32::from(ahead));
        entry.load = Load {
            tokens: dequantise(load.tokens),
            requests: u32::try_from(dequantise(load.requests)).unwrap_or(u32::MAX),
        };
        entry.load_at = now;
        self.queue.add_load(target);
        let change = MembershipChange::Load { target };
        self.outputs.push(MembershipOutput::Changed(change));
    }

    /// Gives an instance the own record and some peers; the rest it gets by
    /// repair. An instance that greets in return gets nothing.
    fn welcome(&mut self, from: InstanceId, address: SocketAddr, now: Instant) {
        let mut gossip = Gossip::default();
        let mut known = vec![self.me];
        if !self.peers.is_empty() {
            let start = self.rng.index(self.peers.len());
            let peers = self.peers.iter().cycle().skip(start).take(self.peers.len());
            let others = peers.filter(|(id, _)| *id != from).map(|(id, _)| *id);
            known.extend(others.take(WELCOME_PEERS));
        }
        for id in known {
            let entry = self.entries.get(&MemberKey::Instance(id));
            gossip.records.extend(entry.and_then(Entry::full));
        }
        if gossip.records.len() > 1 {
            self.send(address, Message::Gossip(gossip), Class::Urgent, now);
            return;
        }
        // The sender is the only peer: a digest shows it the own record without
        // greeting it again.
        let digest = self.digest();
        self.send(address, Message::Digest(digest), Class::Urgent, now);
    }
}
