//! Announcements, heartbeats and departures of targets.

use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_types::{Incarnation, TargetId, TargetRecord, TargetState};

use crate::budget::TrafficClass;
use crate::entry::rendezvous_score;
use crate::event::{MembershipChange, MembershipOutput};
use crate::member::Membership;
use crate::message::{HeartbeatEntry, Message};
use crate::quantity::{dequantise, quantise};
use crate::record::{Load, MemberKey, MemberRecord, MemberState, Sequence, Version};

/// Watchers other than the first get one heartbeat in this many.
pub(crate) const BACKUP_HEARTBEAT_INTERVAL: Sequence = 2;
/// Change of a quantised load, in codes, from which on the load is sent before
/// `load_refresh` has passed.
const MIN_LOAD_CHANGE_STEPS: u8 = 2;

impl Membership {
    pub(crate) fn on_announce(&mut self, record: TargetRecord, now: Instant) {
        let target = record.id();
        let key = MemberKey::Target(target);
        let version = Version {
            incarnation: record.incarnation,
            sequence: 0,
            state: MemberState::Ready,
        };
        let known = self.entries.get(&key).map(|entry| entry.version);
        let least_incarnation = known.map_or(0, |known| {
            let is_live = matches!(known.state, MemberState::Ready | MemberState::Suspect);
            known.incarnation.saturating_add(u64::from(!is_live))
        });
        let accepted = record.incarnation >= least_incarnation
            && record.data_centre == self.own_record.data_centre;
        if accepted && known.is_none_or(|known| record.incarnation > known.incarnation) {
            let details = MemberRecord::Target(record.into());
            self.apply(key, version, Some(details), now);
        }
        self.outputs.push(MembershipOutput::AnnounceReply {
            target,
            accepted,
            least_incarnation,
        });
    }

    pub(crate) fn on_leave(&mut self, target: TargetId, incarnation: Incarnation, now: Instant) {
        let version = Version {
            incarnation,
            sequence: Sequence::MAX,
            state: MemberState::Left,
        };
        let key = MemberKey::Target(target);
        let replaces = self
            .entries
            .get(&key)
            .is_none_or(|entry| version.replaces(&entry.version));
        if replaces {
            self.apply(key, version, None, now);
        }
        self.copy_departure(target, now);
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        heartbeat_id: (TargetId, Incarnation, Sequence),
        state: TargetState,
        load: Load,
        now: Instant,
    ) {
        let (target, incarnation, sequence) = heartbeat_id;
        let heartbeat = HeartbeatEntry {
            target,
            incarnation,
            sequence,
            state,
            tokens: quantise(load.tokens),
            requests: quantise(u64::from(load.requests)),
        };
        let known = self.apply_heartbeat(heartbeat, now);
        self.outputs
            .push(MembershipOutput::HeartbeatReply { target, known });
        if !known {
            return;
        }
        if state != TargetState::Ready {
            self.copy_departure(target, now);
        }
        for (rank, watcher) in self.watchers_of(target).into_iter().enumerate() {
            // Only the first watcher gets every heartbeat, to save bytes.
            if rank > 0 && !sequence.is_multiple_of(BACKUP_HEARTBEAT_INTERVAL) {
                continue;
            }
            let peer = self.peers.iter().find(|(id, _)| *id == watcher);
            if let Some((_, address)) = peer.copied() {
                let message = Message::Heartbeats(vec![heartbeat]);
                self.send(address, message, TrafficClass::Heartbeat, now);
            }
        }
    }

    /// Handles a heartbeat that another instance forwarded.
    pub(crate) fn on_forwarded_heartbeat(
        &mut self,
        heartbeat: HeartbeatEntry,
        address: SocketAddr,
        now: Instant,
    ) {
        let key = MemberKey::Target(heartbeat.target);
        let known = self
            .entries
            .get(&key)
            .map(|entry| entry.version.incarnation);
        if known.is_none_or(|known| known < heartbeat.incarnation) {
            self.repair.add_wanted(key, address, now);
            return;
        }
        self.apply_heartbeat(heartbeat, now);
    }

    /// Applies the state and the load of a heartbeat; returns whether the target is
    /// known under the heartbeat's incarnation.
    fn apply_heartbeat(&mut self, heartbeat: HeartbeatEntry, now: Instant) -> bool {
        let key = MemberKey::Target(heartbeat.target);
        let Some(known) = self.entries.get(&key).map(|entry| entry.version) else {
            return false;
        };
        if known.incarnation != heartbeat.incarnation || known.state.is_final() {
            return false;
        }
        // The target announced itself again to an instance that did not know yet that
        // it was draining. It needs a higher incarnation to become ready again.
        let returns = known.state == MemberState::Draining && heartbeat.state == TargetState::Ready;
        if returns && heartbeat.sequence > known.sequence {
            return false;
        }
        let version = Version {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            state: match heartbeat.state {
                TargetState::Ready => MemberState::Ready,
                TargetState::Draining => MemberState::Draining,
                TargetState::Gone => MemberState::Left,
            },
        };
        self.apply_load(key, heartbeat, known.sequence, now);
        if version.state == known.state {
            self.raise_sequence(key, version);
        } else if version.replaces(&known) {
            self.apply(key, version, None, now);
        }
        self.mark_alive(heartbeat.target, now);
        true
    }

    /// Stores the newer sequence number without queueing it for gossip, because only
    /// the watchers need it.
    fn raise_sequence(&mut self, key: MemberKey, version: Version) {
        if let Some(entry) = self.entries.get_mut(&key)
            && version.replaces(&entry.version)
        {
            entry.version = version;
        }
    }

    fn apply_load(
        &mut self,
        key: MemberKey,
        heartbeat: HeartbeatEntry,
        known: Sequence,
        now: Instant,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if heartbeat.sequence <= known {
            return;
        }
        let load = Load {
            tokens: dequantise(heartbeat.tokens),
            requests: u32::try_from(dequantise(heartbeat.requests)).unwrap_or(u32::MAX),
        };
        let changed = load != entry.load;
        entry.load = load;
        entry.load_sequence = heartbeat.sequence;
        entry.load_updated_at = now;
        let target = heartbeat.target;
        if changed {
            let change = MembershipChange::Load { target };
            self.outputs.push(MembershipOutput::Changed(change));
        }
        self.queue_load_if_due(target, (heartbeat.tokens, heartbeat.requests), now);
    }

    /// On the first watcher, queues the load for gossip if it has changed or the last
    /// report is old.
    fn queue_load_if_due(&mut self, target: TargetId, load: (u8, u8), now: Instant) {
        if self.watchers_of(target).first() != Some(&self.own_id) {
            return;
        }
        let Some(watch) = self.watched.get_mut(&target) else {
            return;
        };
        let changed = load.0.abs_diff(watch.queued_load.0) >= MIN_LOAD_CHANGE_STEPS
            || load.1.abs_diff(watch.queued_load.1) >= MIN_LOAD_CHANGE_STEPS;
        let age = watch
            .load_queued_at
            .map(|at| now.saturating_duration_since(at));
        let due = match age {
            None => true,
            Some(age) => {
                (changed && age >= self.settings.load_period) || age >= self.settings.load_refresh
            }
        };
        if due {
            watch.load_queued_at = Some(now);
            watch.queued_load = load;
            self.queue.add_own_load(target);
        }
    }

    /// Returns the routers that detect failures of a target, the first watcher at the
    /// front.
    pub(crate) fn watchers_of(&self, target: TargetId) -> Vec<u64> {
        let mut scored: Vec<(u64, u64)> = self
            .routers
            .iter()
            .map(|router| (rendezvous_score(target, *router), *router))
            .collect();
        scored.sort_unstable_by(|left, right| right.cmp(left));
        scored.truncate(self.settings.watchers_per_target);
        scored.into_iter().map(|(_, router)| router).collect()
    }
}
