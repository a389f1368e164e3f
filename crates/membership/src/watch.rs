//! Failure detection of targets by the few routers that watch each one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{Incarnation, TargetId};

use crate::budget::Class;
use crate::event::MembershipOutput;
use crate::member::Membership;
use crate::record::{MemberKey, MemberState, Version};
use crate::target::BACKUP_HEARTBEATS;

/// Estimated bytes of one probe: connection set-up, request and answer.
const PROBE_BYTES: usize = 400;

#[derive(Clone, Debug)]
pub(crate) struct Watch {
    beat_at: Instant,
    /// Silence after which the target is probed.
    patience: Duration,
    probe_deadline: Option<Instant>,
    next_probe_at: Instant,
    pub(crate) spread_at: Option<Instant>,
    pub(crate) spread_load: (u8, u8),
}

impl Membership {
    pub(crate) fn note_beat(&mut self, target: TargetId, now: Instant) {
        if let Some(watch) = self.watched.get_mut(&target) {
            watch.beat_at = now;
            watch.probe_deadline = None;
        }
    }

    pub(crate) fn tick_watch(&mut self, now: Instant) {
        if self.watch_stale {
            self.refresh_watched(now);
        }
        let targets: Vec<TargetId> = self.watched.keys().copied().collect();
        for target in targets {
            self.check_target(target, now);
        }
    }

    fn refresh_watched(&mut self, now: Instant) {
        self.watch_stale = false;
        let mut watched = BTreeMap::new();
        for (key, entry) in &self.entries {
            let MemberKey::Target(target) = key else {
                continue;
            };
            let rank = self
                .watchers_of(*target)
                .iter()
                .position(|id| *id == self.me);
            let Some(rank) = rank.filter(|_| !entry.version.state.is_final()) else {
                continue;
            };
            let mut watch = self.watched.get(target).cloned().unwrap_or(Watch {
                beat_at: now,
                patience: self.settings.probe_after,
                probe_deadline: None,
                next_probe_at: now,
                spread_at: None,
                spread_load: (0, 0),
            });
            watch.patience = self.patience(rank);
            watched.insert(*target, watch);
        }
        self.watched = watched;
    }

    /// A backup watcher gets fewer heartbeats and so waits longer.
    fn patience(&self, rank: usize) -> Duration {
        if rank == 0 {
            return self.settings.probe_after;
        }
        self.settings.probe_after + self.settings.heartbeat_period * (BACKUP_HEARTBEATS - 1)
    }

    fn check_target(&mut self, target: TargetId, now: Instant) {
        let key = MemberKey::Target(target);
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        let (version, state_at) = (entry.version, entry.state_at);
        let Some(watch) = self.watched.get(&target) else {
            return;
        };
        if version.state.is_final() {
            return;
        }
        let silence = now.saturating_duration_since(watch.beat_at);
        if silence < watch.patience {
            return;
        }
        match watch.probe_deadline {
            None if now >= watch.next_probe_at => self.probe(target, now),
            Some(deadline) if now >= deadline => self.miss_probe(target, version, now),
            None | Some(_) => {}
        }
        let silent_for = now.saturating_duration_since(state_at).min(silence);
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
        if !self.budget.take(PROBE_BYTES, Class::Probe, now) {
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

    fn miss_probe(&mut self, target: TargetId, version: Version, now: Instant) {
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

    pub(crate) fn on_probed(
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
        let silence = now.saturating_duration_since(watch.beat_at);
        if version.incarnation != incarnation || version.state.is_final() {
            return;
        }
        if !alive {
            if silence >= watch.patience {
                self.miss_probe(target, version, now);
            }
            return;
        }
        self.note_beat(target, now);
        if version.state == MemberState::Suspect {
            let alive = Version {
                sequence: version.sequence.saturating_add(1),
                state: MemberState::Ready,
                ..version
            };
            self.apply(key, alive, None, now);
        }
    }

    /// Watchers check at once; the others have their circuit breaker, because a
    /// fault on one router's path must not take the target from all.
    pub(crate) fn on_connect_failed(&mut self, target: TargetId, now: Instant) {
        let Some(watch) = self.watched.get_mut(&target) else {
            return;
        };
        if watch.probe_deadline.is_some() {
            return;
        }
        if let Some(earlier) = now.checked_sub(watch.patience) {
            watch.beat_at = watch.beat_at.min(earlier);
        }
        self.probe(target, now);
    }
}
