//! The leader: heartbeats, quorum check, commit and apply.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use bamboospur_types::InstanceId;

use super::Replica;
use super::change::LeadershipTransfer;
use super::progress::Progress;
use super::tickets::PendingRead;
use crate::api::{Output, Role, Violation};
use crate::entry::{Entry, LogIndex, Payload};
use crate::message::MessageBody;

/// State that exists only while this replica leads.
#[derive(Debug)]
pub struct LeaderState {
    pub peers: BTreeMap<InstanceId, Progress>,
    /// Index of the first entry of this leader's term. Once it is committed, the
    /// commit index covers every entry that earlier leaders acknowledged.
    pub term_start_index: LogIndex,
    pub heartbeat_deadline: Instant,
    /// Last heartbeat round started.
    pub round: u64,
    /// Last heartbeat round that a quorum replied to.
    pub confirmed_round: u64,
    pub pending_reads: VecDeque<PendingRead>,
    pub leadership_transfer: Option<LeadershipTransfer>,
}

impl Replica {
    pub(super) fn become_leader(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.votes.clear();
        let last_index = self.log.last_index();
        let peers = self.other_members().into_iter();
        self.leader_state = Some(LeaderState {
            peers: peers
                .map(|id| (id, Progress::new(last_index, now)))
                .collect(),
            term_start_index: last_index + 1,
            heartbeat_deadline: now,
            round: 0,
            confirmed_round: 0,
            pending_reads: VecDeque::new(),
            leadership_transfer: None,
        });
        let uncommitted = self.log.slice(self.commit_index + 1, usize::MAX);
        self.uncommitted_bytes = uncommitted.iter().map(Entry::size_bytes).sum();
        self.set_leader(Some(self.settings.id), now);
        self.append(Payload::Empty);
        self.leader_tick(now);
    }

    fn other_members(&self) -> Vec<InstanceId> {
        let own = self.settings.id;
        let members = self.log.members().current.keys();
        members.copied().filter(|&id| id != own).collect()
    }

    /// Appends an entry of the current term to the leader's log.
    pub(super) fn append(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index() + 1;
        let entry = Entry {
            index,
            term: self.hard_state.term,
            payload,
        };
        self.uncommitted_bytes += entry.size_bytes();
        self.log.push(entry.clone());
        self.current_write().entries.push(entry);
        self.sync_tracker.record_append(index);
        index
    }

    pub(super) fn leader_tick(&mut self, now: Instant) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        if now < leader_state.heartbeat_deadline {
            return;
        }
        if !self.has_quorum_contact(now) {
            self.step_down();
            self.set_leader(None, now);
            self.reset_election_deadline(now);
            return;
        }
        let interval = self.settings.heartbeat_interval;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.heartbeat_deadline = now + interval;
        }
        self.advance_leadership_transfer(now);
        self.start_heartbeat_round(now);
        self.resend_unanswered(now);
    }

    /// Whether a quorum, the leader included, replied within the quorum time-out.
    fn has_quorum_contact(&self, now: Instant) -> bool {
        self.reachable_voters(now).len() >= self.log.members().quorum()
    }

    pub(super) fn reachable_voters(&self, now: Instant) -> Vec<InstanceId> {
        let peers = self.leader_state.as_ref().map(|l| &l.peers);
        let replied = |id: &InstanceId| {
            let last_reply_at = peers.and_then(|p| p.get(id)).map(|p| p.last_reply_at);
            last_reply_at.is_some_and(|at| now < at + self.settings.quorum_timeout)
        };
        let voters = self.log.members().voters();
        voters
            .filter(|id| *id == self.settings.id || replied(id))
            .collect()
    }

    /// Sends a heartbeat with a new round number to all other members.
    pub(super) fn start_heartbeat_round(&mut self, now: Instant) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.round += 1;
        let round = leader_state.round;
        let commits: Vec<_> = leader_state
            .peers
            .iter()
            .map(|(&id, p)| (id, p.match_index))
            .collect();
        for (to, matched) in commits {
            let commit = self.commit_index.min(matched);
            self.send(to, MessageBody::Heartbeat { commit, round });
        }
        self.confirm_rounds(now);
    }

    pub(super) fn on_heartbeat_reply(&mut self, from: InstanceId, round: u64, now: Instant) {
        let started = self.leader_state.as_ref().map_or(0, |l| l.round);
        let Some(peer) = self.peer(from) else {
            return;
        };
        peer.last_reply_at = now;
        peer.replied_round = peer.replied_round.max(round.min(started));
        self.confirm_rounds(now);
        self.replicate(from, now);
    }

    pub(super) fn peer(&mut self, id: InstanceId) -> Option<&mut Progress> {
        self.leader_state.as_mut()?.peers.get_mut(&id)
    }

    /// Updates the highest round that a quorum of voters replied to, and starts the
    /// next round when reads wait for it.
    fn confirm_rounds(&mut self, now: Instant) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let own_round = leader_state.round;
        let round_of = |id: InstanceId| leader_state.peers.get(&id).map_or(0, |p| p.replied_round);
        let confirmed = self.quorum_value(own_round, round_of);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.confirmed_round = leader_state.confirmed_round.max(confirmed);
        let waiting = leader_state
            .pending_reads
            .back()
            .is_some_and(|r| r.round > own_round);
        if waiting && leader_state.confirmed_round == own_round {
            self.start_heartbeat_round(now);
        }
    }

    /// Returns the highest value that a quorum of voters reached.
    fn quorum_value(&self, own: u64, value_of: impl Fn(InstanceId) -> u64) -> u64 {
        let members = self.log.members();
        let own_id = self.settings.id;
        let voters = members.voters();
        let mut values: Vec<u64> = voters
            .map(|id| if id == own_id { own } else { value_of(id) })
            .collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(members.quorum() - 1).copied().unwrap_or(0)
    }

    /// Commits the entries that are on the disks of a quorum. Entries of earlier
    /// terms are committed only together with one of the current term, because a
    /// later leader could still replace them.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let matched_of = |id: InstanceId| leader_state.peers.get(&id).map_or(0, |p| p.match_index);
        let commit = self.quorum_value(self.sync_tracker.synced_index(), matched_of);
        if commit <= self.commit_index || self.log.term_at(commit) != Some(self.hard_state.term) {
            return;
        }
        let last_index = self.log.last_index();
        if commit > last_index {
            self.stop_on_violation(Violation::CommitPastEnd { commit, last_index });
            return;
        }
        self.commit_index = commit;
        self.send_commit_to_idle_followers(now);
    }

    /// Sends the commit index to idle followers. The others receive it with the
    /// next append.
    fn send_commit_to_idle_followers(&mut self, now: Instant) {
        let last_index = self.log.last_index();
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let round = leader_state.round;
        let idle = leader_state
            .peers
            .iter()
            .filter(|(_, p)| p.is_idle(last_index));
        let idle: Vec<_> = idle.map(|(&id, p)| (id, p.match_index)).collect();
        for (to, matched) in idle {
            let commit = self.commit_index.min(matched);
            self.send(to, MessageBody::Heartbeat { commit, round });
        }
        self.advance_leadership_transfer(now);
    }

    pub(super) fn apply_committed(&mut self) {
        while self.last_applied < self.commit_index && self.role != Role::Stopped {
            let index = self.last_applied + 1;
            let Some(entry) = self.log.get(index) else {
                self.stop_on_violation(Violation::ApplyGap { index });
                return;
            };
            let term = entry.term;
            let size_bytes = entry.size_bytes();
            let payload = entry.payload.clone();
            self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(size_bytes);
            self.last_applied = index;
            match payload {
                Payload::Data(data) => self.outputs.push(Output::Apply { index, term, data }),
                Payload::Members(members) => {
                    self.outputs.push(Output::MembersChanged { index, members });
                }
                Payload::Empty => {}
            }
            self.resolve_proposals(index, term);
        }
    }
}
