//! Which peer a router asks for a newer configuration.
//!
//! Relays come first, so that control instances need not serve every router, then the control
//! instance that serves this router. All routers hear of a change from the leader, which could
//! not send a large one to all of them.
//!
//! A peer can be linked and behind, and answers that it has no newer version. Usually it gets
//! the version within some hundred milliseconds, so the router waits for a limited time; a
//! router without a configuration waits longer, because after a restart of the whole fleet
//! all peers get the configuration at about the same time. Then the next peer is asked, such
//! as the one that stated the version: the first one may be cut off from the leader.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_group::DocumentVersion;

/// Another peer is asked when the asked one has sent nothing for this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Another peer is asked after this time in any case by a router without a configuration.
/// Relays send a whole configuration to one router after the other.
const START_TIMEOUT: Duration = Duration::from_secs(3);
/// Another peer is asked after this time in any case for a change. Some instances serve more
/// routers than others, which have sent the change to theirs by then.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a router waits for a link to a relay, or for a peer without a newer
/// configuration, before it asks a control instance. After a restart of the whole fleet,
/// control instances could not send the configuration to every router.
const START_WAIT: Duration = Duration::from_millis(1_200);
/// Time for which a router that holds a configuration waits for a peer without a newer one.
const CATCH_UP_WAIT: Duration = Duration::from_millis(500);

/// A relay or a control instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address of the link.
    pub address: SocketAddr,
    /// Whether the link is up.
    pub up: bool,
    /// Time of the last frame from the peer.
    pub heard_at: Option<Instant>,
}

/// Peers, the preferred ones first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Relays of the data centre, linked or not; none for a relay.
    pub relays: Vec<Peer>,
    /// Control instances; the first one that is linked serves this router.
    pub controls: Vec<Peer>,
}

/// Request of the configuration from one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Request {
    address: SocketAddr,
    asked_at: Instant,
    /// Version that the router lacked.
    version: DocumentVersion,
}

/// Requests for the newest known configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigRequests {
    known_version: DocumentVersion,
    /// Control instance that stated the newest version, and so has it.
    known_at: Option<SocketAddr>,
    /// When the router heard of a version that it lacks.
    behind_since: Option<Instant>,
    /// Request that is not answered yet.
    asked: Option<Request>,
    /// Peers that had no newer version.
    lacking: BTreeSet<SocketAddr>,
    /// Peers that were asked and have not answered, besides the one asked last.
    slow: BTreeSet<SocketAddr>,
}

impl ConfigRequests {
    /// Records that a version is in force; `stated_by` is the control instance that said so.
    pub fn record_known(&mut self, version: DocumentVersion, stated_by: Option<SocketAddr>) {
        if version > self.known_version {
            self.known_version = version;
            self.lacking.clear();
            self.known_at = stated_by.or(self.known_at);
        }
    }

    /// Records that a peer has no newer version than the router.
    pub fn record_lacking(&mut self, address: SocketAddr) {
        self.lacking.insert(address);
    }

    /// Returns the peers that need not answer any more, once the router holds the newest
    /// version that it knows of.
    pub fn take_unneeded(&mut self, held: DocumentVersion) -> BTreeSet<SocketAddr> {
        if self.known_version <= held {
            std::mem::take(&mut self.slow)
        } else {
            BTreeSet::new()
        }
    }

    /// Allows to ask peers again that had no newer version; called now and then.
    pub fn forget_lacking(&mut self) {
        self.lacking.clear();
    }

    /// Returns the newest version that is known to be in force.
    #[must_use]
    pub const fn known_version(&self) -> DocumentVersion {
        self.known_version
    }

    /// Returns the peer to ask now; `None` when the router, which holds the version `held`,
    /// lacks none, or waits.
    pub fn next_peer(
        &mut self,
        held: DocumentVersion,
        peers: &Peers,
        now: Instant,
    ) -> Option<SocketAddr> {
        let is_answered = self.asked.is_some_and(|request| request.version <= held);
        if is_answered || self.known_version <= held {
            self.behind_since = None;
            self.asked = None;
        }
        if self.known_version <= held {
            return None;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let starts = held == 0 && now < behind_since + START_WAIT;
        let waits = starts || (held > 0 && now < behind_since + CATCH_UP_WAIT);
        let all = || peers.relays.iter().chain(&peers.controls);
        if let Some(request) = self.asked
            && let Some(peer) = all().find(|peer| peer.address == request.address)
            && self.may_answer(peer, request.asked_at, held, waits, now)
        {
            return None;
        }
        let asked = self.asked.take().map(|request| request.address);
        let slow = asked.filter(|address| !self.lacking.contains(address));
        self.slow.extend(slow);
        let is_candidate = |peer: &&Peer| {
            peer.up && Some(peer.address) != asked && !self.lacking.contains(&peer.address)
        };
        let relay = peers.relays.iter().find(is_candidate);
        if relay.is_none() && starts && !peers.relays.is_empty() {
            return None;
        }
        let serving = peers.controls.iter().find(|peer| peer.up);
        let serving = serving.filter(is_candidate);
        let controls = peers.controls.iter().filter(is_candidate);
        // The instance that stated the version has it, but could not send it to all routers
        // whose own instance is slow, or to all of a fleet that starts.
        let states = |peer: &&Peer| Some(peer.address) == self.known_at;
        let stating = controls.clone().find(states);
        let other = controls.clone().find(|peer| !states(peer));
        let next = if held == 0 || slow.is_some() {
            other.or(stating)
        } else {
            stating.or(other)
        };
        let address = relay.or(serving).or(next)?.address;
        self.slow.remove(&address);
        self.asked = Some(Request {
            address,
            asked_at: now,
            version: self.known_version,
        });
        Some(address)
    }

    /// Whether a peer that was asked may still answer.
    fn may_answer(
        &self,
        peer: &Peer,
        asked_at: Instant,
        held: DocumentVersion,
        waits: bool,
        now: Instant,
    ) -> bool {
        if self.lacking.contains(&peer.address) && !waits {
            return false;
        }
        let active_at = peer.heard_at.map_or(asked_at, |at| at.max(asked_at));
        let timeout = if held == 0 {
            START_TIMEOUT
        } else {
            CHANGE_TIMEOUT
        };
        peer.up && now < active_at + SILENCE_TIMEOUT && now < asked_at + timeout
    }
}
