//! Elections: pre-votes, votes and changes of role.

use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;

use super::Replica;
use crate::api::{Output, ProposeError, Role};
use crate::entry::{HardState, LogIndex, Term};
use crate::message::MessageBody;

impl Replica {
    /// Sets the first election deadline after a start.
    pub(super) fn start_election_timer(&mut self, now: Instant) {
        if self.starts_until.is_some() {
            self.election_deadline = now + self.pre_vote_pause(now);
        } else {
            self.reset_election_deadline(now);
        }
    }

    /// Waits for a whole election time-out from now on.
    pub(super) fn reset_election_deadline(&mut self, now: Instant) {
        self.starts_until = None;
        self.election_deadline = now + self.election_timeout();
    }

    /// Returns the time until the next round of pre-votes.
    pub(super) fn pre_vote_pause(&mut self, now: Instant) -> Duration {
        let settings = &self.settings;
        let (min, max) = if self.starts_until.is_some_and(|until| now < until) {
            (settings.startup_retry_min, settings.startup_retry_max)
        } else {
            (settings.election_retry_min, settings.election_retry_max)
        };
        self.random.duration_between(min, max)
    }

    fn election_timeout(&mut self) -> Duration {
        let (min, max) = (
            self.settings.election_timeout_min,
            self.settings.election_timeout_max,
        );
        self.random.duration_between(min, max)
    }

    pub(super) fn on_election_timeout(&mut self, now: Instant) {
        self.set_leader(None, now);
        self.election_deadline = now + self.pre_vote_pause(now);
        if !self.can_be_elected() {
            return;
        }
        self.role = Role::PreCandidate;
        self.votes.clear();
        self.votes.insert(self.settings.id);
        if self.votes.len() >= self.log.members().quorum() {
            self.start_election(false, now);
            return;
        }
        let (last_index, last_term) = self.last_index_and_term();
        let body = MessageBody::PreVote {
            last_index,
            last_term,
        };
        for to in self.other_voters() {
            let message = self.message(to, self.hard_state.term + 1, body.clone());
            self.outputs.push(Output::Send { to, message });
        }
    }

    fn can_be_elected(&self) -> bool {
        self.identity_error.is_none() && self.log.members().is_voter(self.settings.id)
    }

    fn last_index_and_term(&self) -> (LogIndex, Term) {
        (self.log.last_index(), self.log.last_term())
    }

    pub(super) fn other_voters(&self) -> Vec<InstanceId> {
        let own = self.settings.id;
        self.log
            .members()
            .voters()
            .filter(|&id| id != own)
            .collect()
    }

    /// Starts a term as candidate. Votes are requested only once the vote for
    /// itself is on disk; otherwise a restart could request votes twice in one
    /// term with different logs.
    fn start_election(&mut self, is_leadership_transfer: bool, now: Instant) {
        self.role = Role::Candidate;
        self.is_leadership_transfer = is_leadership_transfer;
        self.votes.clear();
        self.set_hard_state(HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.settings.id),
        });
        self.vote_sequence = self.sync_tracker.issued_sequence();
        self.reset_election_deadline(now);
    }

    fn set_hard_state(&mut self, hard: HardState) {
        self.hard_state = hard;
        self.current_write().hard_state = Some(hard);
    }

    pub(super) fn on_own_vote_synced(&mut self, now: Instant) {
        if self.sync_tracker.synced_sequence() < self.vote_sequence
            || !self.votes.insert(self.settings.id)
        {
            return;
        }
        // The other voters must sync their votes too. Without a new deadline, slow
        // disks could let every election time out.
        self.reset_election_deadline(now);
        let (last_index, last_term) = self.last_index_and_term();
        for to in self.other_voters() {
            let transfer = self.is_leadership_transfer;
            self.send(
                to,
                MessageBody::Vote {
                    last_index,
                    last_term,
                    transfer,
                },
            );
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Instant) {
        let members = self.log.members();
        let votes = self.votes.iter().filter(|&&id| members.is_voter(id));
        if votes.count() >= members.quorum() {
            self.become_leader(now);
        }
    }

    /// Whether the candidate's log has every entry of this log that could be
    /// committed.
    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        let (own_index, own_term) = self.last_index_and_term();
        (last_term, last_index) >= (own_term, own_index)
    }

    /// Whether this replica leads or heard from a leader within the minimum
    /// election time-out.
    fn has_leader_contact(&self, now: Instant) -> bool {
        self.role == Role::Leader || self.leader_heard_until.is_some_and(|until| now < until)
    }

    /// A replica without members has an empty disk, so it can't know whether its
    /// id voted or acknowledged entries before. It grants no votes.
    fn can_vote(&self) -> bool {
        self.identity_error.is_none() && !self.log.members().current.is_empty()
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: InstanceId,
        term: Term,
        body: &MessageBody,
        now: Instant,
    ) {
        let &MessageBody::PreVote {
            last_index,
            last_term,
        } = body
        else {
            return;
        };
        let granted = term > self.hard_state.term
            && !self.has_leader_contact(now)
            && self.can_vote()
            && self.is_up_to_date(last_index, last_term);
        let reply_term = if granted { term } else { self.hard_state.term };
        let message = self.message(from, reply_term, MessageBody::PreVoteReply { granted });
        self.outputs.push(Output::Send { to: from, message });
    }

    pub(super) fn on_pre_vote_granted(&mut self, from: InstanceId, term: Term, now: Instant) {
        if self.role != Role::PreCandidate || term != self.hard_state.term + 1 {
            return;
        }
        self.votes.insert(from);
        let members = self.log.members();
        let votes = self.votes.iter().filter(|&&id| members.is_voter(id));
        if votes.count() >= members.quorum() {
            self.start_election(false, now);
        }
    }

    /// Ignores vote requests while a leader is heard, so that a removed or
    /// returning member can't disrupt the group.
    pub(super) fn ignores_vote_request(&self, body: &MessageBody, now: Instant) -> bool {
        match body {
            MessageBody::Vote { transfer, .. } => !transfer && self.has_leader_contact(now),
            _ => false,
        }
    }

    pub(super) fn on_vote(&mut self, from: InstanceId, body: &MessageBody, now: Instant) {
        let &MessageBody::Vote {
            last_index,
            last_term,
            ..
        } = body
        else {
            return;
        };
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = vote_available
            && matches!(self.role, Role::Follower | Role::PreCandidate)
            && self.leader.is_none()
            && self.can_vote()
            && self.is_up_to_date(last_index, last_term);
        if !granted {
            self.send(from, MessageBody::VoteReply { granted });
            return;
        }
        if self.hard_state.vote.is_none() {
            self.set_hard_state(HardState {
                vote: Some(from),
                ..self.hard_state
            });
        }
        self.role = Role::Follower;
        self.reset_election_deadline(now);
        self.send_after_sync(from, MessageBody::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: InstanceId, granted: bool, now: Instant) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.votes.insert(from);
        if self.votes.contains(&self.settings.id) {
            self.count_votes(now);
        }
    }

    pub(super) fn on_timeout_now(&mut self, from: InstanceId, now: Instant) {
        if self.leader == Some(from) && self.role == Role::Follower && self.can_be_elected() {
            self.set_leader(None, now);
            self.start_election(true, now);
        }
    }

    /// Adopts a newer term and becomes a follower in it.
    pub(super) fn become_follower(&mut self, term: Term, now: Instant) {
        let was_leader = self.role == Role::Leader;
        self.step_down();
        self.set_hard_state(HardState { term, vote: None });
        self.leader_heard_until = None;
        self.set_leader(None, now);
        if was_leader {
            self.reset_election_deadline(now);
        }
    }

    /// Returns to the follower role within the current term, and fails the pending
    /// reads of a leader.
    pub(super) fn step_down(&mut self) {
        self.role = Role::Follower;
        self.votes.clear();
        self.incoming_snapshot = None;
        let Some(leader_state) = self.leader_state.take() else {
            return;
        };
        self.set_leader(None, self.latest_input_at);
        self.uncommitted_bytes = 0;
        for read in leader_state.pending_reads {
            let leader = None;
            self.report_result(read.ticket, Err(ProposeError::NotLeader { leader }));
        }
    }

    pub(super) fn set_leader(&mut self, leader: Option<InstanceId>, now: Instant) {
        if leader == self.leader {
            return;
        }
        self.leader = leader;
        self.leaderless_since = leader.is_none().then_some(now);
        let term = self.hard_state.term;
        self.outputs.push(Output::LeaderChanged { term, leader });
    }
}
