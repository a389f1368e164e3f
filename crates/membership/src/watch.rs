//! Failure detection of targets. A few routers, the watchers, follow the heartbeats
//! of each target and probe a silent one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{Incarnation, TargetId};

use crate::budget::TrafficClass;
use crate::event::MembershipOutput;
use crate::member::Membership;
use crate::record::{MemberKey, MemberState, Version};
use crate::target::BACKUP_HEARTBEAT_INTERVAL;

/// Estimated size of one probe: connection set-up, request and answer.
const PROBE_BYTES: usize = 400;

/// Failure detection state of a target that this instance watches.
#[derive(Clone, Debug)]
pub(crate) struct WatchedTarget {
    /// Last heartbeat or answered probe.
    last_heartbeat_at: Instant,
    /// Time without a heartbeat after which the target is probed.
    silence_limit: Duration,
    probe_deadline: Option<Instant>,
    next_probe_at: Instant,
    pub(crate) load_queued_at: Option<Instant>,
    pub(crate) queued_load: (u8, u8),
}

impl Membership {
    pub(crate) fn mark_alive(&mut self, target: TargetId, now: Instant) {
        if let Some(watch) = self.watched.get_mut(&target) {
            watch.last_heartbeat_at = now;
            watch.probe_deadline = None;
        }
    }

    pub(crate) fn tick_watch(&mut self, now: Instant) {
        if self.is_watch_stale {
            self.refresh_watched(now);
        }
        let targets: Vec<TargetId> = self.watched.keys().copied().collect();
        for target in targets {
            self.check_target(target, now);
        }
    }

    fn refresh_watched(&mut self, now: Instant) {
        self.is_watch_stale = false;
        let mut watched = BTreeMap::new();
        for (key, entry) in &self.entries {
            let MemberKey::Target(target) = key else {
                continue;
            };
            let rank = self
                .watchers_of(*target)
                .iter()
                .position(|id| *id == self.own_id);
            let Some(rank) = rank.filter(|_| !entry.version.state.is_final()) else {
                continue;
            };
            let mut watch = self.watched.get(target).cloned().unwrap_or(WatchedTarget {
                last_heartbeat_at: now,
                silence_limit: self.settings.probe_after,
                probe_deadline: None,
                next_probe_at: now,
                load_queued_at: None,
                queued_load: (0, 0),
            });
            watch.silence_limit = self.silence_limit(rank);
            watched.insert(*target, watch);
        }
        self.watched = watched;
    }

    /// Returns the time without a heartbeat after which the watcher of this rank probes
    /// a target. Backup watchers wait longer, because they get fewer heartbeats.
    fn silence_limit(&self, rank: usize) -> Duration {
        if rank == 0 {
            return self.settings.probe_after;
        }
        self.settings.probe_after + self.settings.heartbeat_period * (BACKUP_HEARTBEAT_INTERVAL - 1)
    }

    fn check_target(&mut self, target: TargetId, now: Instant) {
        let key = MemberKey::Target(target);
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        let (version, state_since) = (entry.version, entry.state_since);
        let Some(watch) = self.watched.get(&target) else {
            return;
        };
        if version.state.is_final() {
            return;
        }
        let silence = now.saturating_duration_since(watch.last_heartbeat_at);
        if silence < watch.silence_limit {
            return;
        }
        match watch.probe_deadline {
            None if now >= watch.next_probe_at => self.probe(target, now),
            Some(deadline) if now >= deadline => self.on_probe_failed(target, version, now),
            None | Some(_) => {}
        }
        let silent_for = now.saturating_duration_since(state_since).min(silence);
        if version.state != MemberState::Ready && silent_for >= self.settings.target_dead_after {
            let dead = Version {
                state: MemberState::Dead,
                ..version
            };
            self.apply(key, dead, None, now);
        }
    }

    fn probe(&mut self, target: TargetId, now: Instant) {
        let Some(record) = self
            .entries
            .get(&MemberKey::Target(target))
            .and_then(|entry| entry.target())
        else {
            return;
        };
        let (incarnation, address) = (record.incarnation, record.address);
        if !self
            .budget
            .try_consume(PROBE_BYTES, TrafficClass::Probe, now)
        {
            self.counters.throttled_packets += 1;
            return;
        }
        self.counters.probes.add(PROBE_BYTES);
        if let Some(watch) = self.watched.get_mut(&target) {
            watch.probe_deadline = Some(now + self.settings.probe_timeout);
        }
        self.outputs.push(MembershipOutput::Probe {
            target,
            incarnation,
            address,
        });
    }

    fn on_probe_failed(&mut self, target: TargetId, version: Version, now: Instant) {
        if let Some(watch) = self.watched.get_mut(&target) {
            watch.probe_deadline = None;
            watch.next_probe_at = now + self.settings.heartbeat_period;
        }
        if version.state != MemberState::Ready {
            return;
        }
        self.counters.suspected_targets += 1;
        let suspect = Version {
            state: MemberState::Suspect,
            ..version
        };
        self.apply(MemberKey::Target(target), suspect, None, now);
    }

    pub(crate) fn on_probe_finished(
        &mut self,
        target: TargetId,
        incarnation: Incarnation,
        alive: bool,
        now: Instant,
    ) {
        let key = MemberKey::Target(target);
        let Some(version) = self.entries.get(&key).map(|entry| entry.version) else {
            return;
        };
        let Some(watch) = self.watched.get(&target) else {
            return;
        };
        let silence = now.saturating_duration_since(watch.last_heartbeat_at);
        if version.incarnation != incarnation || version.state.is_final() {
            return;
        }
        if !alive {
            if silence >= watch.silence_limit {
                self.on_probe_failed(target, version, now);
            }
            return;
        }
        self.mark_alive(target, now);
        if version.state == MemberState::Suspect {
            let alive = Version {
                sequence: version.sequence.saturating_add(1),
                state: MemberState::Ready,
                ..version
            };
            self.apply(key, alive, None, now);
        }
    }

    /// Probes the target at once if this instance watches the target. Other routers
    /// rely on their own circuit breaker: a fault on one router's path must not take
    /// the target out of service for all.
    pub(crate) fn on_connect_failed(&mut self, target: TargetId, now: Instant) {
        let Some(watch) = self.watched.get_mut(&target) else {
            return;
        };
        if watch.probe_deadline.is_some() {
            return;
        }
        if let Some(earlier) = now.checked_sub(watch.silence_limit) {
            watch.last_heartbeat_at = watch.last_heartbeat_at.min(earlier);
        }
        self.probe(target, now);
    }
}
