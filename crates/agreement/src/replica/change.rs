//! Changes of members and handover of leadership.

use std::time::Instant;

use bamboospur_types::InstanceId;

use super::Replica;
use super::progress::Progress;
use crate::api::{ProposeError, Ticket};
use crate::entry::Payload;
use crate::members::{MemberChange, Members};
use crate::message::Body;

/// Leadership on its way to another voter.
#[derive(Debug)]
pub struct Handover {
    pub to: InstanceId,
    pub deadline: Instant,
    pub asked: bool,
}

impl Replica {
    pub(super) fn change_members(&mut self, ticket: Ticket, change: MemberChange, now: Instant) {
        let members = match self.check_change(change, now) {
            Ok(members) => members,
            Err(error) => return self.done(ticket, Err(error)),
        };
        let last_index = self.log.last_index();
        let index = self.append(Payload::Members(members.clone()));
        self.pending.insert((index, self.hard.term), ticket);
        let own = self.settings.id;
        if let Some(leading) = &mut self.leading {
            leading
                .peers
                .retain(|id, _| members.current.contains_key(id));
            for &id in members.current.keys().filter(|&&id| id != own) {
                let progress = || Progress::new(last_index, now);
                leading.peers.entry(id).or_insert_with(progress);
            }
        }
        self.replicate_all(now);
    }

    fn check_change(&self, change: MemberChange, now: Instant) -> Result<Members, ProposeError> {
        self.check_leader()?;
        let refused = |reason| ProposeError::ChangeRefused { reason };
        let term_start = self.leading.as_ref().map_or(u64::MAX, |l| l.term_start);
        // Without an own committed entry, a change of an earlier leader could
        // come back, and two groups of voters without a common member decide.
        if self.commit < term_start {
            return Err(refused("the leader is new; try again"));
        }
        if self.log.members_index() > self.commit {
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
        let reachable = self.reachable_with(&members, now);
        if reachable < members.quorum() {
            return Err(refused("no quorum of the new members is reachable"));
        }
        Ok(members)
    }

    fn is_caught_up(&self, id: InstanceId, now: Instant) -> bool {
        let peer = self.leading.as_ref().and_then(|l| l.peers.get(&id));
        let lag = self.settings.promote_lag_entries;
        // A voter that does not know the members yet grants no vote, so that the
        // next loss could leave the group without a leader for good.
        let least = self
            .log
            .members_index()
            .max(self.commit.saturating_sub(lag));
        peer.is_some_and(|p| {
            let recent = now < p.answered + self.settings.quorum_timeout;
            recent && !p.probing && p.matched >= least
        })
    }

    /// Counts the new voters that answered recently, the leader included.
    fn reachable_with(&self, members: &Members, now: Instant) -> usize {
        let peers = self.leading.as_ref().map(|l| &l.peers);
        let reachable = |id: &InstanceId| {
            let answered = peers.and_then(|p| p.get(id)).map(|p| p.answered);
            *id == self.settings.id
                || answered.is_some_and(|at| now < at + self.settings.quorum_timeout)
        };
        members.voters().filter(reachable).count()
    }

    /// Picks the most advanced reachable voter as successor.
    pub(super) fn transfer(&mut self, now: Instant) {
        let own = self.settings.id;
        let reachable = self.reachable_voters(now);
        let Some(leading) = &mut self.leading else {
            return;
        };
        let peers = leading.peers.iter();
        let candidates = peers.filter(|(id, _)| **id != own && reachable.contains(id));
        let best = candidates.max_by_key(|(_, p)| p.matched).map(|(&id, _)| id);
        let Some(to) = best else {
            return;
        };
        leading.handover = Some(Handover {
            to,
            deadline: now + self.settings.election_timeout_max,
            asked: false,
        });
        self.check_handover(now);
    }

    /// Asks the successor to stand for election once it has the whole log.
    pub(super) fn check_handover(&mut self, now: Instant) {
        let last_index = self.log.last_index();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(handover) = &mut leading.handover else {
            return;
        };
        if now >= handover.deadline {
            leading.handover = None;
            return;
        }
        let to = handover.to;
        let matched = leading.peers.get(&to).map_or(0, |p| p.matched);
        if !handover.asked && matched == last_index {
            handover.asked = true;
            self.send(to, Body::TimeoutNow);
        }
    }
}
