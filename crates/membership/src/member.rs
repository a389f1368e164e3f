//! The state machine: its state, its inputs and the merging of records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_types::{InstanceId, Rng, TargetId, stable_id};

use crate::budget::{ByteBudget, Class, Counters};
use crate::detect::Detector;
use crate::entry::{Entry, short_id};
use crate::event::{MembershipChange, MembershipInput, MembershipOutput};
use crate::message::{MAX_PACKET_BYTES, Message, StateEntry};
use crate::queue::Queue;
use crate::record::{InstanceRecord, MemberKey, MemberRecord, MemberState, Version};
use crate::remote::Remotes;
use crate::repair::Repair;
use crate::settings::MembershipSettings;
use crate::watch::Watch;

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merged {
    /// It replaced the known one.
    Applied,
    /// The known one is as new or newer.
    Known,
    /// It is newer, but its fixed facts are missing.
    NeedsDetails,
}

/// Membership as one instance knows it.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) own: InstanceRecord,
    pub(crate) me: InstanceId,
    pub(crate) own_data_centre: u64,
    pub(crate) leaving: bool,
    pub(crate) rng: Rng,
    pub(crate) entries: BTreeMap<MemberKey, Entry>,
    pub(crate) short_ids: BTreeMap<u32, TargetId>,
    /// Live routers of the data centre with this one, in order.
    pub(crate) routers: Vec<InstanceId>,
    /// The same without this one, with their addresses.
    pub(crate) peers: Vec<(InstanceId, SocketAddr)>,
    pub(crate) queue: Queue,
    pub(crate) budget: ByteBudget,
    pub(crate) counters: Counters,
    pub(crate) detector: Detector,
    pub(crate) watched: BTreeMap<TargetId, Watch>,
    /// Whether the targets to watch must be computed again.
    pub(crate) watch_stale: bool,
    pub(crate) repair: Repair,
    pub(crate) remotes: Remotes,
    pub(crate) damped: BTreeSet<TargetId>,
    pub(crate) outputs: Vec<MembershipOutput>,
}

impl Membership {
    /// Creates the membership of an instance that knows only itself.
    #[must_use]
    pub fn new(settings: MembershipSettings, own: &InstanceRecord, seed: u64) -> Self {
        let me = own.id();
        Self {
            budget: ByteBudget::new(settings.bytes_per_second),
            remotes: Remotes::new(&settings, &own.data_centre),
            settings,
            own: own.clone(),
            me,
            own_data_centre: stable_id(&own.data_centre),
            leaving: false,
            rng: Rng::new(seed ^ me),
            entries: BTreeMap::new(),
            short_ids: BTreeMap::new(),
            routers: vec![me],
            peers: Vec::new(),
            queue: Queue::default(),
            counters: Counters::default(),
            detector: Detector::default(),
            watched: BTreeMap::new(),
            watch_stale: true,
            repair: Repair::default(),
            damped: BTreeSet::new(),
            outputs: Vec::new(),
        }
    }

    /// Takes one input.
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
            } => self.on_probed(target, incarnation, alive, now),
            MembershipInput::ConnectFailed { target } => self.on_connect_failed(target, now),
            MembershipInput::Shutdown => self.on_shutdown(now),
        }
        if self.queue.has_news() {
            self.flush_news(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the traffic counters.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the own incarnation, which can rise while the process runs.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    fn ensure_own_entry(&mut self, now: Instant) {
        let key = MemberKey::Instance(self.me);
        if self.entries.contains_key(&key) {
            return;
        }
        let version = Version {
            incarnation: self.own.incarnation,
            sequence: 0,
            state: MemberState::Ready,
        };
        let details = MemberRecord::Instance(self.own.clone().into());
        self.entries
            .insert(key, Entry::new(version, Some(details), now));
    }

    fn on_tick(&mut self, now: Instant) {
        self.join_by_seeds(now);
        self.tick_detector(now);
        self.tick_watch(now);
        self.tick_damping(now);
        self.tick_repair(now);
        self.tick_remotes(now);
        self.flush_rest(now);
        let tombstone = self.settings.tombstone_retention;
        self.entries
            .retain(|_, entry| !entry.is_expired(tombstone, now));
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
        self.leaving = true;
        let version = Version {
            incarnation: self.own.incarnation,
            sequence: u32::MAX,
            state: MemberState::Left,
        };
        self.apply(MemberKey::Instance(self.me), version, None, now);
    }

    /// Merges a record that others sent.
    pub(crate) fn merge(
        &mut self,
        key: MemberKey,
        version: Version,
        details: Option<MemberRecord>,
        now: Instant,
    ) -> Merged {
        if key == MemberKey::Instance(self.me) {
            self.merge_own(version, now);
            return Merged::Known;
        }
        let known = self.entries.get(&key);
        if known.is_some_and(|entry| !version.replaces(&entry.version)) {
            return Merged::Known;
        }
        let has_details = details.is_some()
            || known.is_some_and(|entry| {
                entry.details.is_some() && entry.version.incarnation == version.incarnation
            });
        if !has_details && !version.state.is_final() {
            return Merged::NeedsDetails;
        }
        self.apply(key, version, details, now);
        Merged::Applied
    }

    /// Stores a version that replaces the known one, and spreads it.
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
        let is_news = !self.repair.is_merging || version.state != MemberState::Ready;
        if is_news && old.is_none_or(|old| version.replaces(&old)) {
            self.queue.add_record(key, version.state, with_details);
        }
        self.after_change(key, now);
        let state_changed = old
            .is_none_or(|old| old.state != version.state || old.incarnation != version.incarnation);
        if state_changed {
            self.report_change(key);
        }
    }

    fn after_change(&mut self, key: MemberKey, now: Instant) {
        match key {
            MemberKey::Instance(_) => self.refresh_routers(),
            MemberKey::Target(target) => {
                self.watch_stale = true;
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

    /// Corrects what others believe about this instance.
    fn merge_own(&mut self, version: Version, now: Instant) {
        let key = MemberKey::Instance(self.me);
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        if self.leaving || !version.replaces(&entry.version) {
            return;
        }
        if version.incarnation == self.own.incarnation && version.state == MemberState::Suspect {
            let sequence = version.sequence.saturating_add(1);
            let refuted = Version {
                sequence,
                state: MemberState::Ready,
                ..version
            };
            self.apply(key, refuted, None, now);
            return;
        }
        self.own.incarnation = version.incarnation.saturating_add(1);
        let incarnation = self.own.incarnation;
        let raised = Version {
            incarnation,
            sequence: 0,
            state: MemberState::Ready,
        };
        let details = MemberRecord::Instance(self.own.clone().into());
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
        self.peers = live.into_iter().filter(|(id, _)| *id != self.me).collect();
        if routers == self.routers {
            return;
        }
        self.routers = routers;
        self.watch_stale = true;
        let change = MembershipChange::Routers;
        self.outputs.push(MembershipOutput::Changed(change));
    }

    pub(crate) fn state_entry(&self, key: MemberKey) -> Option<StateEntry> {
        let version = self.entries.get(&key)?.version;
        Some(StateEntry { key, version })
    }

    /// Sends a packet, if the budget has room for it.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        class: Class,
        now: Instant,
    ) -> bool {
        let bytes = message.packet_bytes();
        if bytes > MAX_PACKET_BYTES {
            self.counters.violations += 1;
            return false;
        }
        if !self.budget.take(bytes, class, now) {
            self.counters.throttled_packets += 1;
            return false;
        }
        if !self.budget.holds() {
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
