//! Departures whose acknowledgement waits for copies on the disks of other instances.
//!
//! A target that leaves relies on the answer to its call: it may never call again. So the
//! departure is acknowledged like an accepted configuration, once a quorum of the group has it
//! on disk, and survives every loss that the group survives.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::soft::WriteNumber;
use crate::link::{Requests, Responder, Ticket};

/// Longest wait for copies. The target calls another instance after one second.
const COPY_TIMEOUT: Duration = Duration::from_millis(850);

/// Departures that are not acknowledged yet. `R` is what answers the call.
#[derive(Debug)]
pub struct Departures<R>(Requests<Waiting<R>>);

#[derive(Debug)]
struct Waiting<R> {
    reply: R,
    needed_copies: usize,
    /// Write after which the disk of this instance has the departure.
    own_write: WriteNumber,
    /// Peers that have it.
    peers: BTreeSet<Responder>,
}

impl<R> Waiting<R> {
    /// Whether there are enough copies, with the writes of this instance up to `stored` on disk.
    fn is_copied(&self, stored: WriteNumber) -> bool {
        let own = usize::from(self.own_write <= stored);
        self.peers.len() + own >= self.needed_copies
    }
}

impl<R> Default for Departures<R> {
    fn default() -> Self {
        Self(Requests::default())
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
        let waiting = Waiting {
            reply,
            needed_copies,
            own_write,
            peers: BTreeSet::new(),
        };
        self.0.add(waiting, now + COPY_TIMEOUT)
    }

    /// Records that a peer was asked to keep a departure.
    pub fn record_sent(&mut self, ticket: Ticket, to: Responder) {
        self.0.record_sent(ticket, to);
    }

    /// Records that a peer has a departure; nothing changes if the peer was not asked.
    pub fn record_copy(&mut self, ticket: Ticket, peer: Responder) {
        if let Some(waiting) = self.0.get_mut(ticket, peer) {
            waiting.peers.insert(peer);
        }
    }

    /// Removes the departures that have enough copies, with the writes of this instance up to
    /// `stored` on disk, and returns what answers their calls.
    pub fn take_copied(&mut self, stored: WriteNumber) -> Vec<R> {
        let copied = self.0.extract_if(|waiting| waiting.is_copied(stored));
        copied
            .into_iter()
            .map(|(waiting, _)| waiting.reply)
            .collect()
    }

    /// Drops the departures whose callers no longer wait. Returns their number.
    pub fn remove_expired(&mut self, now: Instant) -> usize {
        self.0.take_expired(now).len()
    }
}
