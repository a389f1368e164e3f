//! Checks a history against the guarantees of the log.

use std::collections::{BTreeMap, BTreeSet};

use bamboospur_agreement::{LogIndex, ProposeError, Term, Ticket};
use bamboospur_types::InstanceId;

/// Tickets from this one on belong to membership changes, which are not part of
/// the applied state.
pub const FIRST_CHANGE_TICKET: Ticket = 1_000_000_000;

#[derive(Default)]
pub struct Oracle {
    committed: BTreeMap<LogIndex, (Term, Vec<u8>)>,
    leaders: BTreeMap<Term, InstanceId>,
    pub acknowledged: BTreeMap<Ticket, LogIndex>,
    refused: BTreeSet<Ticket>,
    /// Highest acknowledged index at the time when each read was requested.
    reads: BTreeMap<Ticket, LogIndex>,
    pub reads_done: usize,
}

impl Oracle {
    pub fn record_applied(&mut self, index: LogIndex, term: Term, data: &[u8]) {
        let entry = (term, data.to_vec());
        let known = self.committed.entry(index).or_insert_with(|| entry.clone());
        assert_eq!(
            *known, entry,
            "two different entries were applied at index {index}"
        );
    }

    pub fn record_leader(&mut self, term: Term, leader: InstanceId) {
        let known = *self.leaders.entry(term).or_insert(leader);
        assert_eq!(known, leader, "two leaders in term {term}");
    }

    pub fn record_read_start(&mut self, ticket: Ticket) {
        let highest = self.acknowledged.values().max().copied().unwrap_or(0);
        self.reads.insert(ticket, highest);
    }

    pub fn record_result(
        &mut self,
        ticket: Ticket,
        result: &Result<LogIndex, ProposeError>,
        applied: LogIndex,
    ) {
        if let Some(required) = self.reads.remove(&ticket) {
            self.reads_done += usize::from(result.is_ok());
            if let &Ok(index) = result {
                assert!(
                    index >= required,
                    "a read at index {index} does not include entry {required}"
                );
                assert!(
                    applied >= required,
                    "the state at index {applied} does not include entry {required}"
                );
            }
            return;
        }
        if ticket >= FIRST_CHANGE_TICKET {
            return;
        }
        match result {
            Ok(index) => {
                self.acknowledged.insert(ticket, *index);
            }
            Err(ProposeError::Unknown) => {}
            Err(_) => {
                self.refused.insert(ticket);
            }
        }
    }

    /// Checks the final state of a replica, as pairs of index and ticket.
    pub fn check_final(&self, state: &[(LogIndex, Ticket)]) {
        let mut tickets = BTreeSet::new();
        for &(index, ticket) in state {
            assert!(tickets.insert(ticket), "ticket {ticket} was applied twice");
            assert!(
                !self.refused.contains(&ticket),
                "ticket {ticket} was refused and applied"
            );
            let data = &self.committed[&index].1;
            assert_eq!(
                *data,
                ticket.to_le_bytes(),
                "applied entry at index {index} differs from the proposal"
            );
        }
        for (&ticket, &index) in &self.acknowledged {
            let held = state.contains(&(index, ticket));
            assert!(
                held,
                "ticket {ticket} was acknowledged at index {index} and lost"
            );
        }
    }
}
