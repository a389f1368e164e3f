//! Operators' requests that wait for the group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_group::Document;
use bamboospur_types::InstanceId;
use tokio::sync::oneshot;

use super::event::PutResult;
use crate::link::Ticket;

/// A request is tried again while its caller still waits for the answer.
const PATIENCE: Duration = Duration::from_millis(850);

/// Who waits for a result.
#[derive(Debug)]
pub enum Waiter {
    /// An operator that called this instance with a change.
    Put {
        /// Told the result.
        result: oneshot::Sender<PutResult>,
        /// Change, to try again.
        document: Document,
    },
    /// An operator that called this instance to read.
    Get {
        /// Told the newest configuration.
        result: oneshot::Sender<Option<Document>>,
    },
    /// A peer that passed on a change.
    PeerPut {
        /// Peer.
        peer: InstanceId,
        /// Its ticket.
        ticket: Ticket,
    },
    /// A peer that passed on a read.
    PeerGet {
        /// Peer.
        peer: InstanceId,
        /// Its ticket.
        ticket: Ticket,
    },
    /// A router that asked what is in force.
    Ask {
        /// Link of the router.
        link: u64,
        /// Number of its question.
        asked: u64,
    },
}

#[derive(Debug)]
struct Waiting {
    waiter: Waiter,
    until: Instant,
}

/// Requests that wait, by ticket.
#[derive(Debug, Default)]
pub struct Waiters {
    next: Ticket,
    waiting: BTreeMap<Ticket, Waiting>,
}

impl Waiters {
    pub fn add(&mut self, waiter: Waiter, now: Instant) -> Ticket {
        self.next += 1;
        let until = now + PATIENCE;
        self.waiting.insert(self.next, Waiting { waiter, until });
        self.next
    }

    pub fn take(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.waiting.remove(&ticket).map(|w| w.waiter)
    }

    /// Returns the operators' requests, to be tried again with another leader.
    pub fn take_own(&mut self) -> Vec<Waiter> {
        let own = |w: &Waiter| matches!(w, Waiter::Put { .. } | Waiter::Get { .. });
        let tickets: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, w)| own(&w.waiter))
            .map(|(&ticket, _)| ticket)
            .collect();
        tickets.into_iter().filter_map(|t| self.take(t)).collect()
    }

    /// Drops requests whose callers no longer wait.
    pub fn drop_old(&mut self, now: Instant) {
        self.waiting.retain(|_, w| now < w.until);
    }
}
