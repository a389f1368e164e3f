//! The membership state machine: its state, its inputs and the merging of records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_types::{InstanceId, Rng, TargetId, mix64, stable_id};

use crate::budget::{ByteBudget, Counters, TrafficClass};
use crate::departure::PendingDeparture;
use crate::detect::Detector;
use crate::entry::{Entry, short_id};
use crate::event::{MembershipChange, MembershipInput, MembershipOutput};
use crate::message::{MAX_PACKET_BYTES, Message, StateEntry};
use crate::queue::UpdateQueue;
use crate::record::{InstanceRecord, MemberKey, MemberRecord, MemberState, Version};
use crate::remote::RemoteDataCentres;
use crate::repair::Repair;
use crate::settings::MembershipSettings;
use crate::watch::WatchedTarget;

/// Result of merging a received version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The received version replaced the known one.
    Applied,
    /// The known version is as new or newer.
    Known,
    /// The received version is newer, but the details of its incarnation are missing.
    NeedsDetails,
}

/// The members of one data centre and the aggregates of the others, as one
/// instance knows them.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) own_record: InstanceRecord,
    pub(crate) own_id: InstanceId,
    pub(crate) own_data_centre: u64,
    pub(crate) is_leaving: bool,
    pub(crate) rng: Rng,
    pub(crate) entries: BTreeMap<MemberKey, Entry>,
    /// Targets by the low 32 bits of their ids.
    pub(crate) short_ids: BTreeMap<u32, TargetId>,
    /// Live routers of the data centre including this one, sorted by id.
    pub(crate) routers: Vec<InstanceId>,
    /// The same routers without this one, with their addresses.
    pub(crate) peers: Vec<(InstanceId, SocketAddr)>,
    pub(crate) queue: UpdateQueue,
    pub(crate) budget: ByteBudget,
    pub(crate) counters: Counters,
    pub(crate) detector: Detector,
    /// Targets whose failures this instance detects.
    pub(crate) watched: BTreeMap<TargetId, WatchedTarget>,
    /// Whether `watched` must be computed again.
    pub(crate) is_watch_stale: bool,
    pub(crate) repair: Repair,
    pub(crate) remote_data_centres: RemoteDataCentres,
    /// Targets that get no new work because they flapped.
    pub(crate) damped: BTreeSet<TargetId>,
    /// Departures whose calls wait until enough peers know them.
    pub(crate) departures: BTreeMap<TargetId, PendingDeparture>,
    pub(crate) outputs: Vec<MembershipOutput>,
}

impl Membership {
    /// Creates the membership of an instance that knows only itself.
    #[must_use]
    pub fn new(settings: MembershipSettings, own: &InstanceRecord, seed: u64) -> Self {
        let me = own.id();
        Self {
            budget: ByteBudget::new(settings.bytes_per_second),
            remote_data_centres: RemoteDataCentres::new(&settings, &own.data_centre),
            settings,
            own_record: own.clone(),
            own_id: me,
            own_data_centre: stable_id(&own.data_centre),
            is_leaving: false,
            rng: Rng::new(seed ^ me),
            entries: BTreeMap::new(),
            short_ids: BTreeMap::new(),
            routers: vec![me],
            peers: Vec::new(),
            queue: UpdateQueue::default(),
            counters: Counters::default(),
            detector: Detector::new(mix64(seed ^ me)),
            watched: BTreeMap::new(),
            is_watch_stale: true,
            repair: Repair::default(),
            damped: BTreeSet::new(),
            departures: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Processes one input and returns the actions for the host.
    pub fn handle(&mut self, input: MembershipInput, now: Instant) -> Vec<MembershipOutput> {
        self.ensure_own_entry(now);
        match input {
            MembershipInput::Packet {
                from,
                address,
                message,
            } => self.on_packet(from, address, message, now),
            MembershipInput::Tick => self.on_tick(now),
            MembershipInput::Announce(record) => self.on_announce(record, now),
            MembershipInput::Heartbeat {
                target,
                incarnation,
                sequence,
                state,
                load,
            } => self.on_heartbeat((target, incarnation, sequence), state, load, now),
            MembershipInput::Leave {
                target,
                incarnation,
            } => self.on_leave(target, incarnation, now),
            MembershipInput::ProbeFinished {
                target,
                incarnation,
                alive,
            } => self.on_probe_finished(target, incarnation, alive, now),
            MembershipInput::ConnectFailed { target } => self.on_connect_failed(target, now),
            MembershipInput::Shutdown => self.on_shutdown(now),
        }
        if self.queue.has_unsent_records() {
            self.send_new_updates(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the traffic counters.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the incarnation of this instance, which can rise while the process
    /// runs.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.own_record.incarnation
    }

    fn ensure_own_entry(&mut self, now: Instant) {
        let key = MemberKey::Instance(self.own_id);
        if self.entries.contains_key(&key) {
            return;
        }
        let version = Version {
            incarnation: self.own_record.incarnation,
            sequence: 0,
            state: MemberState::Ready,
        };
        let details = MemberRecord::Instance(self.own_record.clone().into());
        self.entries
            .insert(key, Entry::new(version, Some(details), now));
    }

    fn on_tick(&mut self, now: Instant) {
        self.join_by_seeds(now);
        self.tick_detector(now);
        self.tick_watch(now);
        self.tick_damping(now);
        self.tick_repair(now);
        self.tick_departures(now);
        self.tick_remotes(now);
        self.send_queued_updates(now);
        let retention = self.settings.tombstone_retention;
        self.entries
            .retain(|_, entry| !entry.is_expired(retention, now));
    }

    fn tick_damping(&mut self, now: Instant) {
        let damped: Vec<TargetId> = self.damped.iter().copied().collect();
        for target in damped {
            let key = MemberKey::Target(target);
            let ended = match self.entries.get_mut(&key) {
                Some(entry) => entry.end_damping(now),
                None => true,
            };
            if ended {
                self.damped.remove(&target);
                self.report_change(key);
            }
        }
    }

    fn on_shutdown(&mut self, now: Instant) {
        self.is_leaving = true;
        let version = Version {
            incarnation: self.own_record.incarnation,
            sequence: u32::MAX,
            state: MemberState::Left,
        };
        self.apply(MemberKey::Instance(self.own_id), version, None, now);
    }

    /// Merges a version received from another instance.
    pub(crate) fn merge(
        &mut self,
        key: MemberKey,
        version: Version,
        details: Option<MemberRecord>,
        now: Instant,
    ) -> MergeOutcome {
        if key == MemberKey::Instance(self.own_id) {
            self.merge_own(version, now);
            return MergeOutcome::Known;
        }
        let known = self.entries.get(&key);
        if known.is_some_and(|entry| !version.replaces(&entry.version)) {
            return MergeOutcome::Known;
        }
        let has_details = details.is_some()
            || known.is_some_and(|entry| {
                entry.details.is_some() && entry.version.incarnation == version.incarnation
            });
        if !has_details && !version.state.is_final() {
            return MergeOutcome::NeedsDetails;
        }
        self.apply(key, version, details, now);
        MergeOutcome::Applied
    }

    /// Stores a version that replaces the known one, and queues it for gossip.
    pub(crate) fn apply(
        &mut self,
        key: MemberKey,
        version: Version,
        details: Option<MemberRecord>,
        now: Instant,
    ) {
        let old = self.entries.get(&key).map(|entry| entry.version);
        let revives = old.is_some_and(|old| {
            old.state.is_final()
                && old.incarnation == version.incarnation
                && !version.state.is_final()
        });
        if revives {
            self.counters.violations += 1;
            return;
        }
        let with_details = details.is_some();
        match self.entries.get_mut(&key) {
            Some(entry) => entry.replace(version, details, &self.settings, now),
            None => {
                self.entries.insert(key, Entry::new(version, details, now));
            }
        }
        let is_spread = !self.repair.is_merging_answer || version.state != MemberState::Ready;
        if is_spread && old.is_none_or(|old| version.replaces(&old)) {
            self.queue.add_record(key, version.state, with_details);
        }
        self.update_indexes(key, now);
        let state_changed = old
            .is_none_or(|old| old.state != version.state || old.incarnation != version.incarnation);
        if state_changed {
            self.report_change(key);
        }
    }

    fn update_indexes(&mut self, key: MemberKey, now: Instant) {
        match key {
            MemberKey::Instance(_) => self.refresh_routers(),
            MemberKey::Target(target) => {
                self.is_watch_stale = true;
                self.short_ids.insert(short_id(target), target);
                if self
                    .entries
                    .get(&key)
                    .is_some_and(|entry| entry.is_damped(now))
                {
                    self.damped.insert(target);
                }
            }
        }
    }

    fn report_change(&mut self, key: MemberKey) {
        let MemberKey::Target(target) = key else {
            return;
        };
        let Some(record) = self.entries.get(&key).and_then(Entry::target) else {
            return;
        };
        let pool = record.pool_id();
        let change = MembershipChange::Target { target, pool };
        self.outputs.push(MembershipOutput::Changed(change));
    }

    /// Refutes a version of this instance that others hold and that is wrong.
    fn merge_own(&mut self, version: Version, now: Instant) {
        let key = MemberKey::Instance(self.own_id);
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        if self.is_leaving || !version.replaces(&entry.version) {
            return;
        }
        if version.incarnation == self.own_record.incarnation
            && version.state == MemberState::Suspect
        {
            let sequence = version.sequence.saturating_add(1);
            let refuted = Version {
                sequence,
                state: MemberState::Ready,
                ..version
            };
            self.apply(key, refuted, None, now);
            return;
        }
        self.own_record.incarnation = version.incarnation.saturating_add(1);
        let incarnation = self.own_record.incarnation;
        let raised = Version {
            incarnation,
            sequence: 0,
            state: MemberState::Ready,
        };
        let details = MemberRecord::Instance(self.own_record.clone().into());
        self.apply(key, raised, Some(details), now);
        let change = MembershipChange::IncarnationRaised { incarnation };
        self.outputs.push(MembershipOutput::Changed(change));
    }

    fn refresh_routers(&mut self) {
        let live = |entry: &Entry| {
            matches!(
                entry.version.state,
                MemberState::Ready | MemberState::Suspect
            )
        };
        let instances = self.entries.iter().filter_map(|(key, entry)| match key {
            MemberKey::Instance(id) if live(entry) => Some((*id, entry.instance()?.address)),
            _ => None,
        });
        let live: Vec<(InstanceId, SocketAddr)> = instances.collect();
        let routers: Vec<InstanceId> = live.iter().map(|(id, _)| *id).collect();
        self.peers = live
            .into_iter()
            .filter(|(id, _)| *id != self.own_id)
            .collect();
        if routers == self.routers {
            return;
        }
        self.routers = routers;
        self.is_watch_stale = true;
        let change = MembershipChange::Routers;
        self.outputs.push(MembershipOutput::Changed(change));
    }

    pub(crate) fn state_entry(&self, key: MemberKey) -> Option<StateEntry> {
        let version = self.entries.get(&key)?.version;
        Some(StateEntry { key, version })
    }

    /// Sends a packet; returns false if the budget doesn't allow it.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        class: TrafficClass,
        now: Instant,
    ) -> bool {
        let bytes = message.packet_bytes();
        if bytes > MAX_PACKET_BYTES {
            self.counters.violations += 1;
            return false;
        }
        if !self.budget.try_consume(bytes, class, now) {
            self.counters.throttled_packets += 1;
            return false;
        }
        if !self.budget.is_within_limit() {
            self.counters.violations += 1;
        }
        self.counters
            .sent
            .entry(message.kind())
            .or_default()
            .add(bytes);
        self.outputs
            .push(MembershipOutput::Send { to, message, bytes });
        true
    }
}
