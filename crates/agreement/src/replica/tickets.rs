//! Proposals and reads, from the host's input to the result.

use std::time::Instant;

use super::Replica;
use crate::api::{ProposeError, Role, Ticket};
use crate::entry::{LogIndex, Payload, Term};

/// Read that waits for its round and its index.
#[derive(Debug)]
pub struct PendingRead {
    pub ticket: Ticket,
    /// Heartbeat round that proves that this leader still led when asked.
    pub round: u64,
    /// Entry that must be applied.
    pub index: LogIndex,
}

impl Replica {
    pub(super) fn propose(&mut self, ticket: Ticket, data: Vec<u8>, now: Instant) {
        if let Err(error) = self.check_proposal(data.len()) {
            self.done(ticket, Err(error));
            return;
        }
        let index = self.append(Payload::Data(data));
        self.pending.insert((index, self.hard.term), ticket);
        self.replicate_all(now);
    }

    fn check_proposal(&self, bytes: usize) -> Result<(), ProposeError> {
        self.check_leader()?;
        let limit_bytes = self.settings.max_entry_bytes;
        if bytes > limit_bytes {
            return Err(ProposeError::TooLarge { bytes, limit_bytes });
        }
        let full = self.uncommitted_bytes >= self.settings.max_uncommitted_bytes;
        if full || self.pending.len() >= self.settings.max_pending_tickets {
            return Err(ProposeError::Busy);
        }
        Ok(())
    }

    /// A leader that hands over sends new work to its successor.
    pub(super) fn check_leader(&self) -> Result<(), ProposeError> {
        let leader = self.leader;
        let Some(leading) = &self.leading else {
            return Err(ProposeError::NotLeader { leader });
        };
        let successor = leading.handover.as_ref().map(|h| h.to);
        match successor {
            Some(to) => Err(ProposeError::NotLeader { leader: Some(to) }),
            None => Ok(()),
        }
    }

    pub(super) fn read(&mut self, ticket: Ticket, now: Instant) {
        let limit = self.settings.max_pending_tickets;
        let commit = self.commit;
        let Some(leading) = &mut self.leading else {
            let leader = self.leader;
            self.done(ticket, Err(ProposeError::NotLeader { leader }));
            return;
        };
        if leading.reads.len() >= limit {
            self.done(ticket, Err(ProposeError::Busy));
            return;
        }
        leading.reads.push_back(PendingRead {
            ticket,
            round: leading.round + 1,
            index: commit.max(leading.term_start),
        });
        // Reads that arrive during a round share the next one.
        if leading.confirmed_round == leading.round {
            self.start_round(now);
        }
    }

    pub(super) fn finish_reads(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let applied = self.applied;
        while let Some(leading) = &mut self.leading {
            let confirmed = leading.confirmed_round;
            let ready = leading.reads.front();
            if !ready.is_some_and(|r| r.round <= confirmed && r.index <= applied) {
                return;
            }
            if let Some(read) = leading.reads.pop_front() {
                self.done(read.ticket, Ok(applied));
            }
        }
    }

    /// Reports the proposals for a committed index.
    pub(super) fn settle(&mut self, index: LogIndex, term: Term) {
        let later = self.pending.split_off(&(index + 1, 0));
        let decided = std::mem::replace(&mut self.pending, later);
        for ((_, proposed), ticket) in decided {
            let same = proposed == term;
            let result = if same {
                Ok(index)
            } else {
                Err(ProposeError::Overwritten)
            };
            self.done(ticket, result);
        }
    }
}
