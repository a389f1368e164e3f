//! Membership changes and leadership transfer.

use std::time::Instant;

use bamboospur_types::InstanceId;

use super::Replica;
use super::progress::Progress;
use crate::api::{ProposeError, Ticket};
use crate::entry::Payload;
use crate::members::{MemberChange, Members};
use crate::message::MessageBody;

/// Transfer of leadership in progress.
#[derive(Debug)]
pub struct LeadershipTransfer {
    pub to: InstanceId,
    /// Time at which the transfer is abandoned and this replica goes on leading.
    pub deadline: Instant,
    pub timeout_now_sent: bool,
}

impl Replica {
    pub(super) fn change_members(&mut self, ticket: Ticket, change: MemberChange, now: Instant) {
        let members = match self.check_change(change, now) {
            Ok(members) => members,
            Err(error) => return self.report_result(ticket, Err(error)),
        };
        let last_index = self.log.last_index();
        let index = self.append(Payload::Members(members.clone()));
        self.pending_proposals
            .insert((index, self.hard_state.term), ticket);
        let own = self.settings.id;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state
                .peers
                .retain(|id, _| members.current.contains_key(id));
            for &id in members.current.keys().filter(|&&id| id != own) {
                let progress = || Progress::new(last_index, now);
                leader_state.peers.entry(id).or_insert_with(progress);
            }
        }
        self.replicate_all(now);
    }

    fn check_change(&self, change: MemberChange, now: Instant) -> Result<Members, ProposeError> {
        self.check_leader()?;
        let refused = |reason| ProposeError::ChangeRefused { reason };
        let term_start = self
            .leader_state
            .as_ref()
            .map_or(u64::MAX, |l| l.term_start_index);
        // Before an entry of this term is committed, a change of an earlier leader
        // can still be committed, and two quorums without a common voter could
        // decide.
        if self.commit_index < term_start {
            return Err(refused("the leader is new; try again"));
        }
        if self.log.members_index() > self.commit_index {
            return Err(refused("another change is in progress"));
        }
        match change {
            MemberChange::Promote { id } if !self.is_caught_up(id, now) => {
                return Err(refused("the learner has not caught up yet"));
            }
            MemberChange::Remove { id } if id == self.settings.id => {
                return Err(refused("the leader must hand over first"));
            }
            _ => {}
        }
        let members = self.log.members().with_change(change).map_err(refused)?;
        let reachable = self.count_reachable_voters(&members, now);
        if reachable < members.quorum() {
            return Err(refused("no quorum of the new members is reachable"));
        }
        Ok(members)
    }

    fn is_caught_up(&self, id: InstanceId, now: Instant) -> bool {
        let peer = self.leader_state.as_ref().and_then(|l| l.peers.get(&id));
        let lag = self.settings.promote_lag_entries;
        // A voter without the current members in its log grants no vote, so the
        // loss of one more voter could leave the group without a leader for good.
        let required_index = self
            .log
            .members_index()
            .max(self.commit_index.saturating_sub(lag));
        peer.is_some_and(|p| {
            let recent = now < p.last_reply_at + self.settings.quorum_timeout;
            recent && !p.probing && p.match_index >= required_index
        })
    }

    /// Counts the voters among `members` that replied within the quorum time-out,
    /// the leader included.
    fn count_reachable_voters(&self, members: &Members, now: Instant) -> usize {
        let peers = self.leader_state.as_ref().map(|l| &l.peers);
        let reachable = |id: &InstanceId| {
            let last_reply_at = peers.and_then(|p| p.get(id)).map(|p| p.last_reply_at);
            *id == self.settings.id
                || last_reply_at.is_some_and(|at| now < at + self.settings.quorum_timeout)
        };
        members.voters().filter(reachable).count()
    }

    /// Starts a transfer to the reachable voter with the highest match index.
    pub(super) fn start_leadership_transfer(&mut self, now: Instant) {
        let own = self.settings.id;
        let reachable = self.reachable_voters(now);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let peers = leader_state.peers.iter();
        let successors = peers.filter(|(id, _)| **id != own && reachable.contains(id));
        let best = successors
            .max_by_key(|(_, p)| p.match_index)
            .map(|(&id, _)| id);
        let Some(to) = best else {
            return;
        };
        leader_state.leadership_transfer = Some(LeadershipTransfer {
            to,
            deadline: now + self.settings.election_timeout_max,
            timeout_now_sent: false,
        });
        self.advance_leadership_transfer(now);
    }

    /// Asks the successor to start an election once its log is complete.
    pub(super) fn advance_leadership_transfer(&mut self, now: Instant) {
        let last_index = self.log.last_index();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some(leadership_transfer) = &mut leader_state.leadership_transfer else {
            return;
        };
        if now >= leadership_transfer.deadline {
            leader_state.leadership_transfer = None;
            return;
        }
        let to = leadership_transfer.to;
        let matched = leader_state.peers.get(&to).map_or(0, |p| p.match_index);
        if !leadership_transfer.timeout_now_sent && matched == last_index {
            leadership_transfer.timeout_now_sent = true;
            self.send(to, MessageBody::TimeoutNow);
        }
    }
}
