//! The open request of a router for all targets and, after its start, for the places of cached
//! prompts.
//!
//! A peer can be silent behind a link that looks up, and a request is lost with its link. So
//! the request stays open until a whole list of targets arrives, from whichever peer, and
//! another peer is asked when the asked one does not answer. The places of prompts follow the
//! list of the peer that was asked; news of others' prompts do not replace them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Another peer is asked when the asked one has sent no list for this time. A list may have
/// to wait for others on the peer's network link; a peer that is silent loses its link sooner.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Nothing is missing.
    Complete,
    /// A peer is to be asked once this time has come.
    Due { ask_at: Instant },
    /// A peer was asked.
    Asked {
        peer: SocketAddr,
        answer_by: Instant,
    },
}

/// Whether the router lacks the list of all targets, and whom it has asked.
#[derive(Clone, Copy, Debug)]
pub struct StateRequest {
    phase: Phase,
    /// The peer that was asked last.
    last_asked: Option<SocketAddr>,
    /// Whether a peer has sent the places of prompts that were cached before the start.
    has_prefixes: bool,
}

impl Default for StateRequest {
    fn default() -> Self {
        Self {
            phase: Phase::Complete,
            last_asked: None,
            has_prefixes: false,
        }
    }
}

impl StateRequest {
    /// Records that changes may have been missed; a peer is asked from `ask_at` on.
    pub fn record_missing(&mut self, ask_at: Instant) {
        self.last_asked = None;
        self.phase = Phase::Due { ask_at };
    }

    /// Whether the places of cached prompts are still to be requested.
    #[must_use]
    pub const fn lacks_prefixes(&self) -> bool {
        !self.has_prefixes
    }

    /// Records that a whole list arrived. Peers also send lists that were not requested, or
    /// requested without the places of prompts.
    pub fn record_complete(&mut self, from: SocketAddr) {
        if let Phase::Asked { peer, .. } = self.phase
            && peer == from
        {
            self.has_prefixes = true;
        }
        if self.has_prefixes {
            self.phase = Phase::Complete;
        }
    }

    /// Returns the peer to ask now, which counts as asked; `None` to wait. `linked` are the
    /// peers whose link is up, the preferred ones first.
    pub fn next_peer(&mut self, linked: &[SocketAddr], now: Instant) -> Option<SocketAddr> {
        match self.phase {
            Phase::Complete => return None,
            Phase::Due { ask_at } if now < ask_at => return None,
            Phase::Asked { peer, answer_by } if now < answer_by && linked.contains(&peer) => {
                return None;
            }
            Phase::Due { .. } | Phase::Asked { .. } => {}
        }
        // After the peer that was asked last comes the next one of the list, or the first.
        let asked = |last| linked.iter().position(|&peer| peer == last);
        let after = self.last_asked.and_then(asked).map_or(0, |index| index + 1);
        let peer = *linked.get(after).or_else(|| linked.first())?;
        self.last_asked = Some(peer);
        self.phase = Phase::Asked {
            peer,
            answer_by: now + ANSWER_TIMEOUT,
        };
        Some(peer)
    }
}
