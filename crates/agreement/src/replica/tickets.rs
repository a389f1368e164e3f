//! Proposals and reads, from the host's request to the result.

use std::time::Instant;

use super::Replica;
use crate::api::{ProposeError, Role, Ticket};
use crate::entry::{LogIndex, Payload, Term};

/// Read that waits for a heartbeat round and an applied index.
#[derive(Debug)]
pub struct PendingRead {
    pub ticket: Ticket,
    /// Heartbeat round that proves that this replica still led after the request.
    pub round: u64,
    /// Index that must be applied first.
    pub index: LogIndex,
}

impl Replica {
    pub(super) fn propose(&mut self, ticket: Ticket, data: Vec<u8>, now: Instant) {
        if let Err(error) = self.check_proposal(data.len()) {
            self.report_result(ticket, Err(error));
            return;
        }
        let index = self.append(Payload::Data(data));
        self.pending_proposals
            .insert((index, self.hard_state.term), ticket);
        self.replicate_all(now);
    }

    fn check_proposal(&self, bytes: usize) -> Result<(), ProposeError> {
        self.check_leader()?;
        let limit_bytes = self.settings.max_entry_bytes;
        if bytes > limit_bytes {
            return Err(ProposeError::TooLarge { bytes, limit_bytes });
        }
        let full = self.uncommitted_bytes >= self.settings.max_uncommitted_bytes;
        if full || self.pending_proposals.len() >= self.settings.max_pending_tickets {
            return Err(ProposeError::Busy);
        }
        Ok(())
    }

    /// Checks that this replica leads. During a leadership transfer, the error names
    /// the successor.
    pub(super) fn check_leader(&self) -> Result<(), ProposeError> {
        let leader = self.leader;
        let Some(leader_state) = &self.leader_state else {
            return Err(ProposeError::NotLeader { leader });
        };
        let successor = leader_state.leadership_transfer.as_ref().map(|t| t.to);
        match successor {
            Some(to) => Err(ProposeError::NotLeader { leader: Some(to) }),
            None => Ok(()),
        }
    }

    pub(super) fn read(&mut self, ticket: Ticket, now: Instant) {
        let limit = self.settings.max_pending_tickets;
        let commit = self.commit_index;
        let Some(leader_state) = &mut self.leader_state else {
            let leader = self.leader;
            self.report_result(ticket, Err(ProposeError::NotLeader { leader }));
            return;
        };
        if leader_state.pending_reads.len() >= limit {
            self.report_result(ticket, Err(ProposeError::Busy));
            return;
        }
        leader_state.pending_reads.push_back(PendingRead {
            ticket,
            round: leader_state.round + 1,
            index: commit.max(leader_state.term_start_index),
        });
        // Reads that arrive during a round share the next round.
        if leader_state.confirmed_round == leader_state.round {
            self.start_heartbeat_round(now);
        }
    }

    pub(super) fn complete_reads(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let applied = self.last_applied;
        while let Some(leader_state) = &mut self.leader_state {
            let confirmed = leader_state.confirmed_round;
            let ready = leader_state.pending_reads.front();
            if !ready.is_some_and(|r| r.round <= confirmed && r.index <= applied) {
                return;
            }
            if let Some(read) = leader_state.pending_reads.pop_front() {
                self.report_result(read.ticket, Ok(applied));
            }
        }
    }

    /// Reports the results of the proposals up to a committed index.
    pub(super) fn resolve_proposals(&mut self, index: LogIndex, term: Term) {
        let later = self.pending_proposals.split_off(&(index + 1, 0));
        let decided = std::mem::replace(&mut self.pending_proposals, later);
        for ((_, proposed), ticket) in decided {
            let same = proposed == term;
            let result = if same {
                Ok(index)
            } else {
                Err(ProposeError::Overwritten)
            };
            self.report_result(ticket, result);
        }
    }
}
