//! What targets say: announcements, heartbeats and departures.

use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_types::{Incarnation, TargetId, TargetRecord, TargetState};

use crate::budget::Class;
use crate::entry::rendezvous;
use crate::event::{MembershipChange, MembershipOutput};
use crate::member::Membership;
use crate::message::{HeartbeatEntry, Message};
use crate::quantity::{dequantise, quantise};
use crate::record::{Load, MemberKey, MemberRecord, MemberState, Sequence, Version};

/// The other watchers than the first get one heartbeat in this many.
pub(crate) const BACKUP_HEARTBEATS: Sequence = 2;
/// Steps by which a quantised load must change to be spread early.
const LOAD_STEPS: u8 = 2;

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
            let may_return = matches!(known.state, MemberState::Ready | MemberState::Suspect);
            known.incarnation.saturating_add(u64::from(!may_return))
        });
        let accepted =
            record.incarnation >= least_incarnation && record.data_centre == self.own.data_centre;
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
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        number: (TargetId, Incarnation, Sequence),
        state: TargetState,
        load: Load,
        now: Instant,
    ) {
        let (target, incarnation, sequence) = number;
        let beat = HeartbeatEntry {
            target,
            incarnation,
            sequence,
            state,
            tokens: quantise(load.tokens),
            requests: quantise(u64::from(load.requests)),
        };
        let known = self.take_beat(beat, now);
        self.outputs
            .push(MembershipOutput::HeartbeatReply { target, known });
        if !known {
            return;
        }
        for (rank, watcher) in self.watchers_of(target).into_iter().enumerate() {
            // Only the first watcher gets every heartbeat, to save bytes.
            if rank > 0 && !sequence.is_multiple_of(BACKUP_HEARTBEATS) {
                continue;
            }
            let peer = self.peers.iter().find(|(id, _)| *id == watcher);
            if let Some((_, address)) = peer.copied() {
                let message = Message::Heartbeats(vec![beat]);
                self.send(address, message, Class::Heartbeat, now);
            }
        }
    }

    /// Takes a heartbeat that another instance passed on.
    pub(crate) fn on_beat(&mut self, beat: HeartbeatEntry, address: SocketAddr, now: Instant) {
        let key = MemberKey::Target(beat.target);
        let known = self
            .entries
            .get(&key)
            .map(|entry| entry.version.incarnation);
        if known.is_none_or(|known| known < beat.incarnation) {
            self.repair.want(key, address, now);
            return;
        }
        self.take_beat(beat, now);
    }

    /// Returns whether the target is known under the heartbeat's incarnation.
    fn take_beat(&mut self, beat: HeartbeatEntry, now: Instant) -> bool {
        let key = MemberKey::Target(beat.target);
        let Some(known) = self.entries.get(&key).map(|entry| entry.version) else {
            return false;
        };
        if known.incarnation != beat.incarnation || known.state.is_final() {
            return false;
        }
        // The target announced itself again to an instance that had not heard that
        // it was leaving; it needs a higher incarnation to be ready again.
        let returns = known.state == MemberState::Draining && beat.state == TargetState::Ready;
        if returns && beat.sequence > known.sequence {
            return false;
        }
        let version = Version {
            incarnation: beat.incarnation,
            sequence: beat.sequence,
            state: match beat.state {
                TargetState::Ready => MemberState::Ready,
                TargetState::Draining => MemberState::Draining,
                TargetState::Gone => MemberState::Left,
            },
        };
        self.take_load(key, beat, known.sequence, now);
        if version.state == known.state {
            self.raise_sequence(key, version);
        } else if version.replaces(&known) {
            self.apply(key, version, None, now);
        }
        self.note_beat(beat.target, now);
        true
    }

    /// A heartbeat without news is not spread: only the watchers need it.
    fn raise_sequence(&mut self, key: MemberKey, version: Version) {
        if let Some(entry) = self.entries.get_mut(&key)
            && version.replaces(&entry.version)
        {
            entry.version = version;
        }
    }

    fn take_load(&mut self, key: MemberKey, beat: HeartbeatEntry, known: Sequence, now: Instant) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if beat.sequence <= known {
            return;
        }
        let load = Load {
            tokens: dequantise(beat.tokens),
            requests: u32::try_from(dequantise(beat.requests)).unwrap_or(u32::MAX),
        };
        let changed = load != entry.load;
        entry.load = load;
        entry.load_sequence = beat.sequence;
        entry.load_at = now;
        let target = beat.target;
        if changed {
            let change = MembershipChange::Load { target };
            self.outputs.push(MembershipOutput::Changed(change));
        }
        self.spread_load(target, (beat.tokens, beat.requests), now);
    }

    /// The first watcher spreads the load, when it has changed or is old.
    fn spread_load(&mut self, target: TargetId, load: (u8, u8), now: Instant) {
        if self.watchers_of(target).first() != Some(&self.me) {
            return;
        }
        let Some(watch) = self.watched.get_mut(&target) else {
            return;
        };
        let changed = load.0.abs_diff(watch.spread_load.0) >= LOAD_STEPS
            || load.1.abs_diff(watch.spread_load.1) >= LOAD_STEPS;
        let age = watch.spread_at.map(|at| now.saturating_duration_since(at));
        let due = match age {
            None => true,
            Some(age) => {
                (changed && age >= self.settings.load_period) || age >= self.settings.load_refresh
            }
        };
        if due {
            watch.spread_at = Some(now);
            watch.spread_load = load;
            self.queue.add_own_load(target);
        }
    }

    /// Returns the routers that watch a target, the first one first.
    pub(crate) fn watchers_of(&self, target: TargetId) -> Vec<u64> {
        let mut scored: Vec<(u64, u64)> = self
            .routers
            .iter()
            .map(|router| (rendezvous(target, *router), *router))
            .collect();
        scored.sort_unstable_by(|left, right| right.cmp(left));
        scored.truncate(self.settings.watchers_per_target);
        scored.into_iter().map(|(_, router)| router).collect()
    }
}
