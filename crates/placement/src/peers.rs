//! Schedule of the messages to each other router: declarations, relayed evictions
//! and load summaries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{ChatId, InstanceId, TargetId};

/// Time after which the state of a router in another data centre is removed if
/// this router held no request on its targets.
const IDLE_EXPIRY: Duration = Duration::from_secs(30);

/// State of the messages to one router.
#[derive(Debug)]
pub struct Peer {
    /// Time at which the next declaration is due.
    pub next_declaration_at: Instant,
    /// Last declaration at which this router held requests on the peer's targets,
    /// or at which the peer was in the own data centre.
    pub last_held_at: Instant,
    /// Time at which the last summary was sent; `None` before the first one.
    pub summary_sent_at: Option<Instant>,
    /// Load that the last summary stated, in tokens; 0 before the first one.
    pub last_summary_tokens: f64,
    /// Evicted chats to relay with the next declaration, by target.
    pub pending_evictions: BTreeMap<TargetId, Vec<ChatId>>,
}

/// Routers that this one sends declarations to.
#[derive(Debug)]
pub struct Peers {
    own_id: InstanceId,
    states: BTreeMap<InstanceId, Peer>,
    version: u64,
}

impl Peers {
    /// Creates the empty table of instance `own_id`; the versions of its messages start
    /// above `version`.
    pub fn new(own_id: InstanceId, version: u64) -> Self {
        Self {
            own_id,
            states: BTreeMap::new(),
            version,
        }
    }

    /// Returns a version above all earlier ones.
    pub fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// Schedules a declaration to `peer` for `due` or earlier.
    ///
    /// Does nothing for the own instance, whose holdings are counted without a
    /// declaration.
    pub fn schedule_declaration(&mut self, peer: InstanceId, due: Instant) {
        if peer == self.own_id {
            return;
        }
        let state = self.get_or_insert(peer, due);
        state.next_declaration_at = state.next_declaration_at.min(due);
    }

    /// Queues an eviction to relay to `peer`, the owner of `target`, by `due`.
    pub fn queue_eviction(
        &mut self,
        peer: InstanceId,
        target: TargetId,
        chat: ChatId,
        due: Instant,
    ) {
        let state = self.get_or_insert(peer, due);
        state.next_declaration_at = state.next_declaration_at.min(due);
        state
            .pending_evictions
            .entry(target)
            .or_default()
            .push(chat);
    }

    /// Returns the routers whose declaration is due.
    pub fn due_peers(&self, now: Instant) -> Vec<InstanceId> {
        let due = self
            .states
            .iter()
            .filter(|(_, peer)| peer.next_declaration_at <= now);
        due.map(|(id, _)| *id).collect()
    }

    /// Returns the state of a router. A new state has its first declaration at
    /// `due`.
    pub fn get_or_insert(&mut self, peer: InstanceId, due: Instant) -> &mut Peer {
        self.states.entry(peer).or_insert_with(|| Peer {
            next_declaration_at: due,
            last_held_at: due,
            summary_sent_at: None,
            last_summary_tokens: 0.0,
            pending_evictions: BTreeMap::new(),
        })
    }

    /// Removes a router that was idle for `IDLE_EXPIRY`; returns whether it did.
    pub fn remove_if_idle(&mut self, peer: InstanceId, now: Instant) -> bool {
        let idle = |peer: &Peer| now.saturating_duration_since(peer.last_held_at) > IDLE_EXPIRY;
        if self.states.get(&peer).is_some_and(idle) {
            self.states.remove(&peer);
            return true;
        }
        false
    }

    /// Returns the load that the last summary to `peer` stated, in tokens.
    pub fn last_summary_tokens(&self, peer: InstanceId) -> f64 {
        self.states
            .get(&peer)
            .map_or(0.0, |state| state.last_summary_tokens)
    }

    pub fn summary_sent_at(&self, peer: InstanceId) -> Option<Instant> {
        self.states.get(&peer)?.summary_sent_at
    }
}
