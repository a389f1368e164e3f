//! Requests that wait for an answer, and who may answer each of them.
//!
//! An answer names its request by a ticket. It counts only if it comes from whom the request was
//! sent to. Tickets of a process begin at a random number: an instance that restarts keeps its
//! id and address, and an answer to the process before would otherwise name a request of the
//! next one. Peers return tickets unchanged, so this holds for answers of any build.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::time::Instant;

use super::frame::Ticket;

/// Who may answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Responder {
    /// This process itself.
    Own,
    /// The process that accepts links at this address.
    Peer(SocketAddr),
}

#[derive(Clone, Debug)]
struct OpenRequest<R> {
    request: R,
    responders: BTreeSet<Responder>,
    deadline: Instant,
}

/// Requests without an answer, by ticket. `R` is the content and who waits for the answer.
#[derive(Clone, Debug)]
pub struct Requests<R> {
    last_ticket: Ticket,
    open: BTreeMap<Ticket, OpenRequest<R>>,
}

impl<R> Default for Requests<R> {
    /// Creates an empty set with a random first ticket.
    fn default() -> Self {
        Self {
            last_ticket: random_ticket(),
            open: BTreeMap::new(),
        }
    }
}

impl<R> Requests<R> {
    /// Adds a request that nobody may answer yet.
    pub fn add(&mut self, request: R, deadline: Instant) -> Ticket {
        self.last_ticket += 1;
        let open = OpenRequest {
            request,
            responders: BTreeSet::new(),
            deadline,
        };
        self.open.insert(self.last_ticket, open);
        self.last_ticket
    }

    /// Adds a request that is sent to one responder.
    pub fn add_sent(&mut self, request: R, to: Responder, deadline: Instant) -> Ticket {
        let ticket = self.add(request, deadline);
        self.record_sent(ticket, to);
        ticket
    }

    /// Records that a request was sent, so that its receiver may answer it.
    pub fn record_sent(&mut self, ticket: Ticket, to: Responder) {
        if let Some(open) = self.open.get_mut(&ticket) {
            open.responders.insert(to);
        }
    }

    /// Returns the request that an answer names; `None` if `from` was not sent it.
    #[must_use]
    pub fn get(&self, ticket: Ticket, from: Responder) -> Option<&R> {
        let open = self.open.get(&ticket)?;
        open.responders.contains(&from).then_some(&open.request)
    }

    /// Returns the request that an answer names, to change it; `None` if `from` was not sent it.
    pub fn get_mut(&mut self, ticket: Ticket, from: Responder) -> Option<&mut R> {
        let open = self.open.get_mut(&ticket)?;
        open.responders.contains(&from).then_some(&mut open.request)
    }

    /// Removes and returns the request that an answer names; `None` if `from` was not sent it.
    pub fn take(&mut self, ticket: Ticket, from: Responder) -> Option<R> {
        self.get(ticket, from)?;
        self.open.remove(&ticket).map(|open| open.request)
    }

    /// Removes and returns the requests for which `ends` holds, whoever was sent them, with their
    /// deadlines.
    pub fn extract_if(&mut self, ends: impl Fn(&R) -> bool) -> Vec<(R, Instant)> {
        let ended = self.open.extract_if(.., |_, open| ends(&open.request));
        ended
            .map(|(_, open)| (open.request, open.deadline))
            .collect()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn take_expired(&mut self, now: Instant) -> Vec<R> {
        let expired = self.open.extract_if(.., |_, open| now >= open.deadline);
        expired.map(|(_, open)| open.request).collect()
    }

    /// Returns the earliest deadline; `None` without requests.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.open.values().map(|open| open.deadline).min()
    }
}

/// Returns a random number that leaves room for more tickets than a process can use. Its
/// randomness comes from the keys of `RandomState`, which the operating system provides.
fn random_ticket() -> Ticket {
    RandomState::new().hash_one(std::process::id()) >> 1
}
