//! Sending and receiving of gossip: records, states, loads and aggregates.

use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_types::InstanceId;

use crate::budget::TrafficClass;
use crate::entry::{Entry, short_id};
use crate::event::{MembershipChange, MembershipOutput};
use crate::member::{Membership, MergeOutcome};
use crate::message::{
    Gossip, LOAD_BYTES, LoadEntry, MAX_BODY_BYTES, MAX_PACKET_BYTES, Message, RecordEntry,
    STATE_BYTES, StateEntry,
};
use crate::quantity::{dequantise, quantise};
use crate::queue::PendingRecord;
use crate::record::{Load, MemberKey, MemberRecord};

/// Peers to which urgent updates are sent at once; each of them forwards the
/// updates in the same way.
const URGENT_FANOUT: usize = 4;
/// Peers to which other updates are sent at once.
const UPDATE_FANOUT: usize = 3;
/// Peers to which queued updates are sent at each tick.
const TICK_FANOUT: usize = 2;
/// Peers to which loads and aggregates are sent at each tick.
const BULK_FANOUT: usize = 1;
/// Smallest content for which a packet truncated by the budget is sent.
const MIN_TRUNCATED_BYTES: usize = 400;
/// Number of new records in one packet that shows that this instance lags behind
/// its peers.
const BEHIND_RECORD_COUNT: usize = 3;
/// Largest number of queued records at which updates are still sent at once.
const MAX_IMMEDIATE_BACKLOG_RECORDS: usize = 6;
/// Largest number of queued records at which loads are still sent.
const MAX_BULK_BACKLOG_RECORDS: usize = 6;
/// Peers whose records the reply to a joining instance carries.
const JOIN_REPLY_PEERS: usize = 3;

/// A packet under construction, with the keys of the queued updates it carries.
#[derive(Default)]
struct PacketDraft {
    gossip: Gossip,
    bytes: usize,
    is_urgent: bool,
    /// The budget left no room for some of the updates.
    is_truncated: bool,
    records: Vec<MemberKey>,
    loads: Vec<u64>,
    aggregates: Vec<u64>,
}

impl PacketDraft {
    /// Returns false for a truncated packet that is too small: headers take 84
    /// bytes, so its updates wait until a packet can carry more.
    const fn is_worth_sending(&self) -> bool {
        !self.is_truncated || self.bytes >= MIN_TRUNCATED_BYTES
    }

    fn class(&self) -> TrafficClass {
        if self.is_urgent {
            TrafficClass::Urgent
        } else if self.records.is_empty() {
            TrafficClass::Bulk
        } else {
            TrafficClass::Join
        }
    }
}

impl Membership {
    /// Sends new updates at once, so that they reach all instances within a few
    /// round trips.
    pub(crate) fn send_new_updates(&mut self, now: Instant) {
        let draft = self.draft_updates(false, UPDATE_FANOUT, now);
        if draft.is_urgent {
            self.send_to_random_peers(&draft, URGENT_FANOUT, now);
        } else if self.queue.record_backlog() <= MAX_IMMEDIATE_BACKLOG_RECORDS {
            // With a larger backlog, fewer and fuller packets at the next tick cost
            // fewer bytes.
            self.send_to_random_peers(&draft, UPDATE_FANOUT, now);
        }
        self.queue.defer_unsent_records();
    }

    /// Sends the queued records, then loads and aggregates.
    pub(crate) fn send_queued_updates(&mut self, now: Instant) {
        let draft = self.draft_updates(true, TICK_FANOUT, now);
        if draft.is_urgent || draft.is_worth_sending() {
            self.send_to_random_peers(&draft, TICK_FANOUT, now);
        }
        // A large backlog of records has priority over loads.
        if self.queue.record_backlog() > MAX_BULK_BACKLOG_RECORDS || self.repair.is_behind {
            return;
        }
        let bulk = self.draft_bulk(now);
        if bulk.is_worth_sending() {
            self.send_to_random_peers(&bulk, BULK_FANOUT, now);
        }
    }

    fn send_to_random_peers(&mut self, draft: &PacketDraft, fanout: usize, now: Instant) {
        if draft.gossip.is_empty() {
            return;
        }
        for to in self.random_peers(fanout) {
            let message = Message::Gossip(draft.gossip.clone());
            if self.send(to, message, draft.class(), now) {
                self.mark_sent(draft);
            }
        }
    }

    fn mark_sent(&mut self, draft: &PacketDraft) {
        for key in &draft.records {
            self.queue.mark_record_sent(*key);
        }
        for target in &draft.loads {
            self.queue.mark_load_sent(*target);
        }
        for data_centre in &draft.aggregates {
            self.queue.mark_aggregate_sent(*data_centre);
        }
    }

    /// Fills a packet with records, of a size that the budget allows `fanout`
    /// times. Without `include_sent`, takes only records that are to be sent at once.
    fn draft_updates(&mut self, include_sent: bool, fanout: usize, now: Instant) -> PacketDraft {
        let mut draft = PacketDraft {
            bytes: Gossip::default().encoded_bytes(),
            ..PacketDraft::default()
        };
        let urgent_room = self.available_body_bytes(TrafficClass::Urgent, fanout, now);
        let room = self.available_body_bytes(TrafficClass::Join, fanout, now);
        for (key, pending) in self.queue.records() {
            if include_sent || pending.is_unsent {
                let room = if pending.is_urgent { urgent_room } else { room };
                self.draft_record(&mut draft, key, pending, room);
            }
        }
        draft
    }

    /// Fills a packet with loads and aggregates, of a size that the budget allows.
    fn draft_bulk(&mut self, now: Instant) -> PacketDraft {
        let mut draft = PacketDraft {
            bytes: Gossip::default().encoded_bytes(),
            ..PacketDraft::default()
        };
        let room = self.available_body_bytes(TrafficClass::Bulk, BULK_FANOUT, now);
        self.draft_aggregates(&mut draft, room);
        self.draft_loads(&mut draft, room);
        draft
    }

    /// Returns the largest content of a packet that the budget allows `count` times.
    /// Sizing packets by the budget prevents a steady flow of small packets from
    /// blocking large ones for ever.
    pub(crate) fn available_body_bytes(
        &mut self,
        class: TrafficClass,
        count: usize,
        now: Instant,
    ) -> usize {
        let room = self.budget.available_bytes(class, now) / count;
        room.saturating_sub(MAX_PACKET_BYTES - MAX_BODY_BYTES)
            .min(MAX_BODY_BYTES)
    }

    fn draft_record(
        &mut self,
        draft: &mut PacketDraft,
        key: MemberKey,
        pending: PendingRecord,
        room: usize,
    ) {
        let record = match self.entries.get(&key) {
            Some(entry) if pending.sends_full_record => entry.full_record(),
            Some(_) => None,
            None => {
                self.queue.remove_record(key);
                return;
            }
        };
        let bytes = record
            .as_ref()
            .map_or(STATE_BYTES, RecordEntry::encoded_bytes);
        if draft.bytes + bytes > room {
            draft.is_truncated = true;
            return;
        }
        draft.bytes += bytes;
        draft.is_urgent |= pending.is_urgent;
        draft.records.push(key);
        match record {
            Some(record) => draft.gossip.records.push(record),
            None => draft.gossip.states.extend(self.state_entry(key)),
        }
    }

    fn draft_loads(&self, draft: &mut PacketDraft, room: usize) {
        for target in self.queue.loads() {
            if draft.bytes + LOAD_BYTES > room {
                draft.is_truncated = true;
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

    fn draft_aggregates(&self, draft: &mut PacketDraft, room: usize) {
        for data_centre in self.queue.aggregates() {
            let Some(aggregate) = self.remote_data_centres.aggregate(data_centre) else {
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
        // Only joining and reconnecting instances send their own record and no other.
        let is_join = gossip.states.is_empty()
            && matches!(&gossip.records[..], [only] if only.details.key() == MemberKey::Instance(from));
        let mut new_records = 0;
        self.repair.is_merging_answer = gossip.is_repair;
        for record in gossip.records {
            let (key, version) = (record.details.key(), record.version);
            self.record_holder(from, StateEntry { key, version });
            new_records += usize::from(self.on_record(record, address, now));
        }
        self.repair.is_merging_answer = false;
        // Many new records in one packet suggest that more are missing.
        self.repair.is_behind |= new_records >= BEHIND_RECORD_COUNT;
        for state in gossip.states {
            self.record_holder(from, state);
            self.on_state(state, address, now);
        }
        for load in gossip.loads {
            self.on_load(load, now);
        }
        for aggregate in gossip.aggregates {
            self.on_aggregate(aggregate, now);
        }
        if is_join && self.routers.contains(&from) {
            self.reply_to_join(from, address, now);
        }
    }

    /// Merges a received record; returns whether it was new.
    fn on_record(&mut self, record: RecordEntry, address: SocketAddr, now: Instant) -> bool {
        let data_centre = match &record.details {
            MemberRecord::Target(target) => &target.data_centre,
            MemberRecord::Instance(instance) => &instance.data_centre,
        };
        let key = record.details.key();
        let version = record.version;
        if *data_centre != self.own_record.data_centre
            || version.incarnation != record.details.incarnation()
        {
            return false;
        }
        let merged = self.merge(key, version, Some(record.details), now);
        if merged == MergeOutcome::Known {
            self.correct_sender(StateEntry { key, version }, address, now);
        }
        merged == MergeOutcome::Applied
    }

    fn on_state(&mut self, state: StateEntry, address: SocketAddr, now: Instant) {
        match self.merge(state.key, state.version, None, now) {
            MergeOutcome::Applied => {}
            MergeOutcome::Known => self.correct_sender(state, address, now),
            MergeOutcome::NeedsDetails => self.repair.add_wanted(state.key, address, now),
        }
    }

    /// Sends the newer state to the sender of an outdated one, if the member is dead,
    /// has left or has a higher incarnation.
    fn correct_sender(&mut self, state: StateEntry, address: SocketAddr, now: Instant) {
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
        self.send(address, Message::Gossip(gossip), TrafficClass::Repair, now);
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
        // The 16-bit sequence numbers wrap, so without a recent report any number is
        // accepted.
        let age = now.saturating_duration_since(entry.load_updated_at);
        let is_stale = entry.load_sequence == 0 || age > self.settings.load_refresh * 2;
        // Serial number arithmetic: differences in the upper half of the range are
        // older numbers.
        let is_older = ahead > u16::MAX / 2;
        if ahead == 0 || (is_older && !is_stale) {
            return;
        }
        entry.load_sequence = entry.load_sequence.wrapping_add(u32::from(ahead));
        entry.load = Load {
            tokens: dequantise(load.tokens),
            requests: u32::try_from(dequantise(load.requests)).unwrap_or(u32::MAX),
        };
        entry.load_updated_at = now;
        self.queue.add_load(target);
        let change = MembershipChange::Load { target };
        self.outputs.push(MembershipOutput::Changed(change));
    }

    /// Sends the own record and those of some peers to a joining instance, which
    /// gets the rest by anti-entropy. The reply must not be a lone own record: the
    /// receiver would take that for a join and reply in turn.
    fn reply_to_join(&mut self, from: InstanceId, address: SocketAddr, now: Instant) {
        let mut gossip = Gossip::default();
        let mut known = vec![self.own_id];
        if !self.peers.is_empty() {
            let start = self.rng.index(self.peers.len());
            let peers = self.peers.iter().cycle().skip(start).take(self.peers.len());
            let others = peers.filter(|(id, _)| *id != from).map(|(id, _)| *id);
            known.extend(others.take(JOIN_REPLY_PEERS));
        }
        for id in known {
            let entry = self.entries.get(&MemberKey::Instance(id));
            gossip.records.extend(entry.and_then(Entry::full_record));
        }
        if gossip.records.len() > 1 {
            self.send(address, Message::Gossip(gossip), TrafficClass::Urgent, now);
            return;
        }
        // The joining instance is the only peer: a digest lets it find out that the
        // own record is missing, without looking like a join.
        let digest = self.digest();
        self.send(address, Message::Digest(digest), TrafficClass::Urgent, now);
    }
}
