//! Pre-votes, votes and changes of role.

use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;

use super::Replica;
use crate::api::{Output, ProposeError, Role};
use crate::entry::{HardState, LogIndex, Term};
use crate::message::Body;

impl Replica {
    pub(super) fn reset_election_deadline(&mut self, now: Instant) {
        self.election_deadline = now + self.election_timeout();
    }

    fn election_timeout(&mut self) -> Duration {
        let (min, max) = (
            self.settings.election_timeout_min,
            self.settings.election_timeout_max,
        );
        self.random.between(min, max)
    }

    pub(super) fn election_tick(&mut self, now: Instant) {
        self.set_leader(None, now);
        let (min, max) = (
            self.settings.election_retry_min,
            self.settings.election_retry_max,
        );
        self.election_deadline = now + self.random.between(min, max);
        if !self.can_be_elected() {
            return;
        }
        self.role = Role::PreCandidate;
        self.votes.clear();
        self.votes.insert(self.settings.id);
        if self.votes.len() >= self.log.members().quorum() {
            self.campaign(false, now);
            return;
        }
        let (last_index, last_term) = self.log_end();
        let body = Body::PreVote {
            last_index,
            last_term,
        };
        for to in self.other_voters() {
            let message = self.message(to, self.hard.term + 1, body.clone());
            self.out.push(Output::Send { to, message });
        }
    }

    fn can_be_elected(&self) -> bool {
        self.identity.is_none() && self.log.members().is_voter(self.settings.id)
    }

    fn log_end(&self) -> (LogIndex, Term) {
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

    /// Starts a term. Votes are asked for once the own vote is on disk;
    /// otherwise a restart could ask twice in one term with different logs.
    fn campaign(&mut self, taking_over: bool, now: Instant) {
        self.role = Role::Candidate;
        self.taking_over = taking_over;
        self.votes.clear();
        self.set_hard(HardState {
            term: self.hard.term + 1,
            vote: Some(self.settings.id),
        });
        self.vote_sequence = self.disk.written();
        self.reset_election_deadline(now);
    }

    fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
        self.write().hard = Some(hard);
    }

    pub(super) fn on_own_vote_synced(&mut self, now: Instant) {
        if self.disk.synced() < self.vote_sequence || !self.votes.insert(self.settings.id) {
            return;
        }
        // The others sync their votes too, and slow disks must not let every
        // election time out.
        self.reset_election_deadline(now);
        let (last_index, last_term) = self.log_end();
        for to in self.other_voters() {
            let transfer = self.taking_over;
            self.send(
                to,
                Body::Vote {
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
            self.lead(now);
        }
    }

    /// Whether the candidate's log holds everything that could be committed
    /// according to the own log.
    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        let (own_index, own_term) = self.log_end();
        (last_term, last_index) >= (own_term, own_index)
    }

    fn hears_leader(&self, now: Instant) -> bool {
        self.role == Role::Leader || self.leader_heard_until.is_some_and(|until| now < until)
    }

    /// A replica without members has an empty disk and promised nothing yet;
    /// it cannot know whether its id promised something before.
    fn may_vote(&self) -> bool {
        self.identity.is_none() && !self.log.members().current.is_empty()
    }

    pub(super) fn on_pre_vote(&mut self, from: InstanceId, term: Term, body: &Body, now: Instant) {
        let &Body::PreVote {
            last_index,
            last_term,
        } = body
        else {
            return;
        };
        let granted = term > self.hard.term
            && !self.hears_leader(now)
            && self.may_vote()
            && self.is_up_to_date(last_index, last_term);
        let reply_term = if granted { term } else { self.hard.term };
        let message = self.message(from, reply_term, Body::PreVoteReply { granted });
        self.out.push(Output::Send { to: from, message });
    }

    pub(super) fn on_pre_vote_granted(&mut self, from: InstanceId, term: Term, now: Instant) {
        if self.role != Role::PreCandidate || term != self.hard.term + 1 {
            return;
        }
        self.votes.insert(from);
        let members = self.log.members();
        let votes = self.votes.iter().filter(|&&id| members.is_voter(id));
        if votes.count() >= members.quorum() {
            self.campaign(false, now);
        }
    }

    /// A vote request against a leader that is heard is ignored, so that a
    /// removed or returning member cannot disturb the group.
    pub(super) fn ignores_vote(&self, body: &Body, now: Instant) -> bool {
        match body {
            Body::Vote { transfer, .. } => !transfer && self.hears_leader(now),
            _ => false,
        }
    }

    pub(super) fn on_vote(&mut self, from: InstanceId, body: &Body, now: Instant) {
        let &Body::Vote {
            last_index,
            last_term,
            ..
        } = body
        else {
            return;
        };
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = free
            && matches!(self.role, Role::Follower | Role::PreCandidate)
            && self.leader.is_none()
            && self.may_vote()
            && self.is_up_to_date(last_index, last_term);
        if !granted {
            self.send(from, Body::VoteReply { granted });
            return;
        }
        if self.hard.vote.is_none() {
            self.set_hard(HardState {
                vote: Some(from),
                ..self.hard
            });
        }
        self.role = Role::Follower;
        self.reset_election_deadline(now);
        self.send_after_sync(from, Body::VoteReply { granted });
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
            self.campaign(true, now);
        }
    }

    /// Adopts a newer term.
    pub(super) fn become_follower(&mut self, term: Term, now: Instant) {
        let led = self.role == Role::Leader;
        self.step_down();
        self.set_hard(HardState { term, vote: None });
        self.leader_heard_until = None;
        self.set_leader(None, now);
        if led {
            self.reset_election_deadline(now);
        }
    }

    /// Stops leading or standing for election within the current term.
    pub(super) fn step_down(&mut self) {
        self.role = Role::Follower;
        self.votes.clear();
        self.incoming = None;
        let Some(leading) = self.leading.take() else {
            return;
        };
        self.set_leader(None, self.clock);
        self.uncommitted_bytes = 0;
        for read in leading.reads {
            let leader = None;
            self.done(read.ticket, Err(ProposeError::NotLeader { leader }));
        }
    }

    pub(super) fn set_leader(&mut self, leader: Option<InstanceId>, now: Instant) {
        if leader == self.leader {
            return;
        }
        self.leader = leader;
        self.leaderless_since = leader.is_none().then_some(now);
        let term = self.hard.term;
        self.out.push(Output::LeaderChanged { term, leader });
    }
}
