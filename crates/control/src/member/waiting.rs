//! Proposals and reads that wait for a result of the log.

use std::collections::BTreeMap;

use bamboospur_agreement::{LogIndex, ProposeError, Term, Ticket};

use crate::command::Reply;
use crate::member::{Member, MemberError, Response};

/// Who waits for a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A client's command.
    Client(Ticket),
    /// A client's read.
    Read(Ticket),
    /// A client's change of members.
    Members(Ticket),
    /// Housekeeping of this member.
    Own,
    /// Orders of this member.
    Orders,
    /// A new leader that waits until it has applied all earlier entries.
    Ready(Term),
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    purpose: Purpose,
    /// Index of the entry, once it is known.
    index: Option<LogIndex>,
}

/// All that wait, by the number of the proposal or read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Waiting {
    last: Ticket,
    waiters: BTreeMap<Ticket, Waiter>,
}

impl Waiting {
    pub(crate) fn add(&mut self, purpose: Purpose) -> Ticket {
        self.last += 1;
        let index = None;
        self.waiters.insert(self.last, Waiter { purpose, index });
        self.last
    }

    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<Purpose> {
        self.waiters.remove(&ticket).map(|waiter| waiter.purpose)
    }

    fn purpose(&self, ticket: Ticket) -> Option<Purpose> {
        self.waiters.get(&ticket).map(|waiter| waiter.purpose)
    }

    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    fn set_index(&mut self, ticket: Ticket, index: LogIndex) {
        if let Some(waiter) = self.waiters.get_mut(&ticket) {
            waiter.index = Some(index);
        }
    }

    /// Takes the proposals whose entry is covered by the applied state, but was
    /// not applied one by one.
    fn skipped(&mut self, applied: LogIndex) -> Vec<Purpose> {
        let skipped = |waiter: &Waiter| waiter.index.is_some_and(|index| index <= applied);
        let taken = self.waiters.extract_if(.., |_, waiter| skipped(waiter));
        taken.map(|(_, waiter)| waiter.purpose).collect()
    }
}

impl Member {
    /// Takes the result of the log for a proposal, read or change of members.
    pub(crate) fn done(&mut self, ticket: Ticket, result: Result<LogIndex, ProposeError>) {
        let index = match result {
            Ok(index) => index,
            Err(error) => return self.finish(ticket, Err(MemberError::from(error))),
        };
        match self.waiting.purpose(ticket) {
            Some(Purpose::Read(client)) => {
                self.waiting.take(ticket);
                self.reply(client, Ok(Response::Read { index }));
            }
            Some(Purpose::Members(client)) => {
                self.waiting.take(ticket);
                self.reply(client, Ok(Response::Members { index }));
            }
            Some(Purpose::Ready(term)) => {
                self.waiting.take(ticket);
                self.engines.ready(term == self.term && self.is_leader());
            }
            // The reply follows when the entry is applied.
            Some(Purpose::Client(_) | Purpose::Own | Purpose::Orders) => {
                self.waiting.set_index(ticket, index);
            }
            None => {}
        }
    }

    /// Answers the one that waits for a proposal.
    pub(crate) fn finish(&mut self, ticket: Ticket, result: Result<Reply, MemberError>) {
        let Some(purpose) = self.waiting.take(ticket) else {
            return;
        };
        match purpose {
            Purpose::Client(client) => self.reply(client, result.map(Response::Applied)),
            Purpose::Read(client) | Purpose::Members(client) => {
                if let Err(error) = result {
                    self.reply(client, Err(error));
                }
            }
            Purpose::Orders => self.engines.issued(),
            Purpose::Own | Purpose::Ready(_) => {}
        }
    }

    /// Tells clients whose entry was covered by a snapshot from the leader
    /// that the reply to it is not known here.
    pub(crate) fn drop_skipped(&mut self) {
        for purpose in self.waiting.skipped(self.state.applied()) {
            match purpose {
                Purpose::Client(client) => self.reply(client, Err(MemberError::Doubt)),
                Purpose::Orders => self.engines.issued(),
                _ => {}
            }
        }
    }
}
