//! Departures of targets that are answered once other instances know them.
//!
//! News of a departure is spread in packets that can be lost, and a target that has left does not
//! repeat it. The instance that took the call therefore sends the new state to some peers and asks
//! them for their record of the target, until their answers show that they have it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, TargetId};

use crate::budget::TrafficClass;
use crate::event::MembershipOutput;
use crate::member::Membership;
use crate::message::{Gossip, MAX_BODY_BYTES, Message, STATE_BYTES, StateEntry};
use crate::record::{MemberKey, MemberState, Version};

/// Peers that must know a departure before it is answered, if there are as many: with this
/// instance, any two of them may be lost.
const DEPARTURE_COPIES: usize = 2;
/// Longest wait for them. A target calls another instance after one second.
const COPY_TIMEOUT: Duration = Duration::from_millis(900);
/// Most departures in one packet; further ones wait for the next tick.
const MAX_DEPARTURES_PER_PACKET: usize = MAX_BODY_BYTES / STATE_BYTES / 2;

/// A departure whose call waits for an answer.
#[derive(Clone, Debug)]
pub(crate) struct PendingDeparture {
    version: Version,
    /// Peers that know the departure.
    holders: BTreeSet<InstanceId>,
    expires_at: Instant,
}

impl Membership {
    /// Asks peers to keep the state of a target that leaves. The answer to its call follows as
    /// [`MembershipOutput::DepartureReply`].
    pub(crate) fn copy_departure(&mut self, target: TargetId, now: Instant) {
        let known = self.state_entry(MemberKey::Target(target));
        let leaving = known.filter(|known| {
            let state = known.version.state;
            state == MemberState::Draining || state.is_final()
        });
        let Some(StateEntry { version, .. }) = leaving else {
            // The target has started again, so that the departure is obsolete.
            self.reply_to_departure(target, true);
            return;
        };
        if self.peers.is_empty() {
            let has_lost_peers = self.has_local_seeds();
            self.reply_to_departure(target, !has_lost_peers);
            return;
        }
        let pending = PendingDeparture {
            version,
            holders: BTreeSet::new(),
            expires_at: now + COPY_TIMEOUT,
        };
        self.departures.insert(target, pending);
        self.send_departures(&[target], now);
    }

    /// Sends the departures that too few peers have confirmed again, and gives up those that
    /// waited for too long.
    pub(crate) fn tick_departures(&mut self, now: Instant) {
        let expired = self
            .departures
            .extract_if(.., |_, pending| now >= pending.expires_at);
        let expired: Vec<TargetId> = expired.map(|(target, _)| target).collect();
        for target in expired {
            self.reply_to_departure(target, false);
        }
        self.answer_copied_departures();
        let waiting = self.departures.keys().copied();
        let waiting: Vec<TargetId> = waiting.take(MAX_DEPARTURES_PER_PACKET).collect();
        if !waiting.is_empty() {
            self.send_departures(&waiting, now);
        }
    }

    /// Records that a peer named this version of a member, and so holds it.
    pub(crate) fn record_holder(&mut self, peer: InstanceId, state: StateEntry) {
        let MemberKey::Target(target) = state.key else {
            return;
        };
        if let Some(pending) = self.departures.get_mut(&target)
            && state.version.ends_work_of(&pending.version)
        {
            pending.holders.insert(peer);
            self.answer_copied_departures();
        }
    }

    /// Answers the departures that enough peers know.
    fn answer_copied_departures(&mut self) {
        let needed = DEPARTURE_COPIES.min(self.peers.len()).max(1);
        let copied = self
            .departures
            .extract_if(.., |_, pending| pending.holders.len() >= needed);
        let copied: Vec<TargetId> = copied.map(|(target, _)| target).collect();
        for target in copied {
            self.reply_to_departure(target, true);
        }
    }

    fn reply_to_departure(&mut self, target: TargetId, is_copied: bool) {
        self.outputs
            .push(MembershipOutput::DepartureReply { target, is_copied });
    }

    /// Sends the states of targets to some peers, and requests their records of them.
    fn send_departures(&mut self, targets: &[TargetId], now: Instant) {
        let keys: Vec<MemberKey> = targets.iter().copied().map(MemberKey::Target).collect();
        let states: Vec<StateEntry> = keys
            .iter()
            .filter_map(|&key| self.state_entry(key))
            .collect();
        for to in self.random_peers(DEPARTURE_COPIES) {
            let gossip = Gossip {
                states: states.clone(),
                ..Gossip::default()
            };
            // What the budget holds back is sent with the next tick.
            let is_sent = self.send(to, Message::Gossip(gossip), TrafficClass::Urgent, now);
            if is_sent {
                let want = Message::Want(keys.clone());
                self.send(to, want, TrafficClass::Urgent, now);
            }
        }
    }

    /// Whether the settings name other instances of the data centre.
    fn has_local_seeds(&self) -> bool {
        let mut seeds = self.settings.seeds.iter();
        seeds.any(|seed| {
            seed.data_centre == self.own_record.data_centre
                && seed.address != self.own_record.address
        })
    }
}
