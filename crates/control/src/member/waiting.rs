//! Proposals, reads and member changes that wait for a result from the log.

use std::collections::BTreeMap;

use bamboospur_agreement::{LogIndex, ProposeError, Term, Ticket};

use crate::command::Reply;
use crate::member::{Member, MemberError, Response};

/// Origin of a pending operation, which decides what happens with its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A client's command.
    Command(Ticket),
    /// A client's read.
    Read(Ticket),
    /// A client's change of members.
    MemberChange(Ticket),
    /// Maintenance command of this member; its result is not used.
    Internal,
    /// Orders proposed by this member.
    Orders,
    /// Read by this member as the new leader of a term, which completes once all
    /// entries of earlier terms are applied.
    NewLeader(Term),
}

#[derive(Clone, Copy, Debug)]
struct PendingOperation {
    purpose: Purpose,
    /// Log index of the entry; `None` until the log reports it.
    index: Option<LogIndex>,
}

/// Pending operations by ticket. The ticket of a proposal is also its proposal number.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingOperations {
    last_ticket: Ticket,
    operations: BTreeMap<Ticket, PendingOperation>,
}

impl PendingOperations {
    pub(crate) fn add(&mut self, purpose: Purpose) -> Ticket {
        self.last_ticket += 1;
        let index = None;
        self.operations
            .insert(self.last_ticket, PendingOperation { purpose, index });
        self.last_ticket
    }

    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<Purpose> {
        self.operations
            .remove(&ticket)
            .map(|operation| operation.purpose)
    }

    fn purpose(&self, ticket: Ticket) -> Option<Purpose> {
        self.operations
            .get(&ticket)
            .map(|operation| operation.purpose)
    }

    pub(crate) fn len(&self) -> usize {
        self.operations.len()
    }

    fn set_index(&mut self, ticket: Ticket, index: LogIndex) {
        if let Some(operation) = self.operations.get_mut(&ticket) {
            operation.index = Some(index);
        }
    }

    /// Removes the proposals whose entry is included in the applied state without
    /// having been applied individually.
    fn take_skipped(&mut self, applied: LogIndex) -> Vec<Purpose> {
        let skipped =
            |operation: &PendingOperation| operation.index.is_some_and(|index| index <= applied);
        let taken = self
            .operations
            .extract_if(.., |_, operation| skipped(operation));
        taken.map(|(_, operation)| operation.purpose).collect()
    }
}

impl Member {
    /// Handles the log's result for a proposal, read or change of members.
    pub(crate) fn handle_log_result(
        &mut self,
        ticket: Ticket,
        result: Result<LogIndex, ProposeError>,
    ) {
        let index = match result {
            Ok(index) => index,
            Err(error) => return self.complete(ticket, Err(MemberError::from(error))),
        };
        match self.pending.purpose(ticket) {
            Some(Purpose::Read(client)) => {
                self.pending.take(ticket);
                self.reply(client, Ok(Response::Read { index }));
            }
            Some(Purpose::MemberChange(client)) => {
                self.pending.take(ticket);
                self.reply(client, Ok(Response::Members { index }));
            }
            Some(Purpose::NewLeader(term)) => {
                self.pending.take(ticket);
                self.order_planner
                    .set_ready(term == self.term && self.is_leader());
            }
            // The client is answered when the entry is applied.
            Some(Purpose::Command(_) | Purpose::Internal | Purpose::Orders) => {
                self.pending.set_index(ticket, index);
            }
            None => {}
        }
    }

    /// Completes a pending operation and answers its client.
    pub(crate) fn complete(&mut self, ticket: Ticket, result: Result<Reply, MemberError>) {
        let Some(purpose) = self.pending.take(ticket) else {
            return;
        };
        match purpose {
            Purpose::Command(client) => self.reply(client, result.map(Response::Applied)),
            Purpose::Read(client) | Purpose::MemberChange(client) => {
                if let Err(error) = result {
                    self.reply(client, Err(error));
                }
            }
            Purpose::Orders => self.order_planner.clear_proposal(),
            Purpose::Internal | Purpose::NewLeader(_) => {}
        }
    }

    /// Answers clients whose entry arrived within a snapshot from the leader: the
    /// reply to such an entry is not known on this member.
    pub(crate) fn answer_skipped(&mut self) {
        for purpose in self.pending.take_skipped(self.state.applied()) {
            match purpose {
                Purpose::Command(client) => self.reply(client, Err(MemberError::OutcomeUnknown)),
                Purpose::Orders => self.order_planner.clear_proposal(),
                _ => {}
            }
        }
    }
}
