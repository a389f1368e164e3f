//! Departures whose acknowledgement waits for copies on the disks of other instances.
//!
//! A target that leaves relies on the answer to its call: it may never call again. So the
//! departure is acknowledged like an accepted configuration, once a quorum of the group has it
//! on disk, and survives every loss that the group survives.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::soft::WriteNumber;
use crate::link::Ticket;

/// Longest wait for copies. The target calls another instance after one second.
const COPY_TIMEOUT: Duration = Duration::from_millis(850);

/// Departures that are not acknowledged yet. `R` is what answers the call.
#[derive(Debug)]
pub struct Departures<R> {
    last_ticket: Ticket,
    waiting: BTreeMap<Ticket, Waiting<R>>,
}

#[derive(Debug)]
struct Waiting<R> {
    reply: R,
    needed_copies: usize,
    /// Write after which the disk of this instance has the departure.
    own_write: WriteNumber,
    /// Peers that have it.
    peers: BTreeSet<SocketAddr>,
    expires_at: Instant,
}

impl<R> Default for Departures<R> {
    fn default() -> Self {
        Self {
            last_ticket: 0,
            waiting: BTreeMap::new(),
        }
    }
}

impl<R> Departures<R> {
    /// Adds a departure that needs this many copies, that of this instance included, which it
    /// has once `own_write` is on disk. Returns the ticket for the confirmations of peers.
    pub fn add(
        &mut self,
        reply: R,
        needed_copies: usize,
        own_write: WriteNumber,
        now: Instant,
    ) -> Ticket {
        self.last_ticket += 1;
        let waiting = Waiting {
            reply,
            needed_copies,
            own_write,
            peers: BTreeSet::new(),
            expires_at: now + COPY_TIMEOUT,
        };
        self.waiting.insert(self.last_ticket, waiting);
        self.last_ticket
    }

    /// Records that the peer at this address has a departure.
    pub fn record_copy(&mut self, ticket: Ticket, peer: SocketAddr) {
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.peers.insert(peer);
        }
    }

    /// Removes the departures that have enough copies, with the writes of this instance up to
    /// `stored` on disk, and returns what answers their calls.
    pub fn take_copied(&mut self, stored: WriteNumber) -> Vec<R> {
        let is_copied = |waiting: &Waiting<R>| {
            let own = usize::from(waiting.own_write <= stored);
            waiting.peers.len() + own >= waiting.needed_copies
        };
        let copied = self.waiting.extract_if(.., |_, waiting| is_copied(waiting));
        copied.map(|(_, waiting)| waiting.reply).collect()
    }

    /// Drops the departures whose callers no longer wait. Returns their number.
    pub fn remove_expired(&mut self, now: Instant) -> usize {
        let before = self.waiting.len();
        self.waiting.retain(|_, waiting| now < waiting.expires_at);
        before - self.waiting.len()
    }
}
