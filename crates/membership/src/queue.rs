//! Queue of the updates to disseminate, with the number of times that each is still
//! to be sent.

use std::collections::BTreeMap;

use bamboospur_types::TargetId;

use crate::record::{MemberKey, MemberState};

/// Number of packets in which an instance sends the departure or death of a member,
/// or that a target is draining.
const LEAVE_SENDS: u8 = 8;
/// Number of packets in which an instance sends the suspicion of a target, which is
/// often refuted.
const SUSPECT_SENDS: u8 = 8;
/// Number of packets in which an instance sends any other change of a record.
const CHANGE_SENDS: u8 = 7;
/// Number of these packets that carry the record with its details; receivers of
/// the others request missing details.
const FULL_RECORD_SENDS: u8 = 3;
/// Number of packets in which the first watcher sends a new load of its target.
const OWN_LOAD_SENDS: u8 = 4;
/// Number of packets in which an instance forwards a load.
const LOAD_SENDS: u8 = 2;
/// Number of packets in which an instance forwards an aggregate.
const AGGREGATE_SENDS: u8 = 2;
/// Number of queued records with details from which on further records are sent as
/// versions only. Receivers then request the details, so that each record crosses
/// each link once.
const FULL_RECORD_BACKLOG: usize = 8;
/// Number of queued records above which further ones are sent less often;
/// anti-entropy delivers them to the remaining instances.
const RECORD_BACKLOG: usize = 24;
/// Number of packets in which an instance sends a change during such a backlog.
const BACKLOG_SENDS: u8 = 2;

/// Sending state of a queued record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRecord {
    /// Whether the next packet carries the details too.
    pub(crate) sends_full_record: bool,
    pub(crate) is_urgent: bool,
    /// Whether the record is to be sent at once: no packet has carried it and it was
    /// not deferred to the next tick.
    pub(crate) is_unsent: bool,
    sends_left: u8,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    records: BTreeMap<MemberKey, PendingRecord>,
    /// Sends left by target.
    loads: BTreeMap<TargetId, u8>,
    /// Sends left by data centre.
    aggregates: BTreeMap<u64, u8>,
    /// Number of `records` with `is_unsent`.
    unsent_records: usize,
    /// Number of `records` with `sends_full_record`.
    full_records: usize,
}

impl UpdateQueue {
    pub(crate) fn add_record(&mut self, key: MemberKey, state: MemberState, full: bool) {
        self.remove_record(key);
        let urgent = match key {
            MemberKey::Target(_) => state != MemberState::Ready,
            MemberKey::Instance(_) => state.is_final(),
        };
        let full = full && self.full_records < FULL_RECORD_BACKLOG;
        let left = match (urgent, self.records.len() > RECORD_BACKLOG) {
            (true, _) if state == MemberState::Suspect => SUSPECT_SENDS,
            (true, _) => LEAVE_SENDS,
            (false, false) => CHANGE_SENDS,
            (false, true) => BACKLOG_SENDS,
        };
        self.unsent_records += 1;
        self.full_records += usize::from(full);
        let pending = PendingRecord {
            sends_full_record: full,
            is_urgent: urgent,
            is_unsent: true,
            sends_left: left,
        };
        self.records.insert(key, pending);
    }

    pub(crate) fn add_own_load(&mut self, target: TargetId) {
        self.loads.insert(target, OWN_LOAD_SENDS);
    }

    pub(crate) fn add_load(&mut self, target: TargetId) {
        self.loads.insert(target, LOAD_SENDS);
    }

    pub(crate) fn add_aggregate(&mut self, data_centre: u64) {
        self.aggregates.insert(data_centre, AGGREGATE_SENDS);
    }

    pub(crate) fn record_backlog(&self) -> usize {
        self.records.len()
    }

    pub(crate) const fn has_unsent_records(&self) -> bool {
        self.unsent_records > 0
    }

    /// Returns the queued records in the order to send them: urgent ones first, then
    /// unsent ones, then those with the most sends left.
    pub(crate) fn records(&self) -> Vec<(MemberKey, PendingRecord)> {
        let mut records: Vec<(MemberKey, PendingRecord)> = self
            .records
            .iter()
            .map(|(key, pending)| (*key, *pending))
            .collect();
        records.sort_by_key(|(_, pending)| {
            (
                !pending.is_urgent,
                !pending.is_unsent,
                u8::MAX - pending.sends_left,
            )
        });
        records
    }

    pub(crate) fn loads(&self) -> Vec<TargetId> {
        let mut loads: Vec<(u8, TargetId)> = self
            .loads
            .iter()
            .map(|(target, left)| (*left, *target))
            .collect();
        loads.sort_by_key(|(left, _)| u8::MAX - left);
        loads.into_iter().map(|(_, target)| target).collect()
    }

    pub(crate) fn aggregates(&self) -> Vec<u64> {
        self.aggregates.keys().copied().collect()
    }

    /// Counts one packet that carried the record, and removes the record after its
    /// last send.
    pub(crate) fn mark_record_sent(&mut self, key: MemberKey) {
        let Some(pending) = self.records.get_mut(&key) else {
            return;
        };
        if pending.is_unsent {
            pending.is_unsent = false;
            self.unsent_records -= 1;
        }
        pending.sends_left = pending.sends_left.saturating_sub(1);
        if pending.sends_full_record && pending.sends_left + FULL_RECORD_SENDS <= CHANGE_SENDS {
            pending.sends_full_record = false;
            self.full_records -= 1;
        }
        if pending.sends_left == 0 {
            self.remove_record(key);
        }
    }

    pub(crate) fn mark_load_sent(&mut self, target: TargetId) {
        count_down_sends(&mut self.loads, target);
    }

    pub(crate) fn mark_aggregate_sent(&mut self, data_centre: u64) {
        count_down_sends(&mut self.aggregates, data_centre);
    }

    /// Defers records that could not be sent at once to the next tick.
    pub(crate) fn defer_unsent_records(&mut self) {
        for pending in self.records.values_mut() {
            pending.is_unsent = false;
        }
        self.unsent_records = 0;
    }

    pub(crate) fn remove_record(&mut self, key: MemberKey) {
        let Some(pending) = self.records.remove(&key) else {
            return;
        };
        self.unsent_records -= usize::from(pending.is_unsent);
        self.full_records -= usize::from(pending.sends_full_record);
    }
}

fn count_down_sends(sends: &mut BTreeMap<u64, u8>, key: u64) {
    let Some(left) = sends.get_mut(&key) else {
        return;
    };
    *left = left.saturating_sub(1);
    if *left == 0 {
        sends.remove(&key);
    }
}
