//! Which connections give way when a listener has more of them than it may hold.
//!
//! A connection holds a descriptor, its buffers and what has arrived unread, whether or not its
//! peer ever completes a request. When there is no room for another one, those give way that
//! progressed least for their time: first unfinished requests, then idle connections. If there are
//! none, connections that had requests before are closed after the response to the current one. A
//! request that is being served never ends for that.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that a peer has for a request before its connection can give way to another one.
const GRACE: Duration = Duration::from_millis(500);
/// Part of the connections that give way at a time. Those are closed side by side, so that many
/// peers that wait do not wait for each other.
const VICTIMS_DIVISOR: usize = 8;

/// Number of a connection, unique for its listener.
pub type ConnectionId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The next request has not arrived completely.
    Reading {
        /// Since when the connection waits for the request, or since when it arrives.
        since: Instant,
        received_bytes: u64,
    },
    /// A complete request is being served.
    Serving {
        /// Whether the connection is to be closed after the response.
        gives_way: bool,
    },
    /// The connection is to be closed.
    Closing,
}

/// Progress of a connection, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    /// No request was ever complete, or one has arrived in part.
    Unfinished { bytes_per_s: u128, since: Instant },
    /// Idle after a complete request.
    Idle { since: Instant },
    /// Serving a request, and not the first one.
    Serving { opened: Instant },
}

impl Progress {
    const fn is_serving(self) -> bool {
        matches!(self, Self::Serving { .. })
    }
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    opened: Instant,
    /// Number of requests that were complete.
    requests: u64,
}

impl Connection {
    /// Returns the progress of a connection that can give way, and when its grace ends.
    fn progress(&self, now: Instant) -> Option<(Progress, Instant)> {
        let (since, received_bytes) = match self.phase {
            Phase::Reading {
                since,
                received_bytes,
            } => (since, received_bytes),
            Phase::Serving { gives_way: false } if self.requests > 1 => {
                let opened = self.opened;
                return Some((Progress::Serving { opened }, opened + GRACE));
            }
            Phase::Serving { .. } | Phase::Closing => return None,
        };
        let progress = if self.requests > 0 && received_bytes == 0 {
            Progress::Idle { since }
        } else {
            let elapsed_ms = now.saturating_duration_since(since).as_millis().max(1);
            Progress::Unfinished {
                bytes_per_s: u128::from(received_bytes) * 1_000 / elapsed_ms,
                since,
            }
        };
        Some((progress, since + GRACE))
    }
}

/// Connections of one listener.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limit: usize,
    connections: BTreeMap<ConnectionId, Connection>,
    last_id: ConnectionId,
}

impl ConnectionTable {
    /// Creates a table for at most this many connections, one at least.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            connections: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Adds a connection; returns `None` when there is no room.
    pub fn open(&mut self, now: Instant) -> Option<ConnectionId> {
        if self.connections.len() >= self.limit {
            return None;
        }
        self.last_id += 1;
        let connection = Connection {
            phase: reading(now),
            opened: now,
            requests: 0,
        };
        self.connections.insert(self.last_id, connection);
        Some(self.last_id)
    }

    /// Records that bytes of the next request have arrived.
    pub fn record_received(&mut self, id: ConnectionId, bytes: usize, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id)
            && let Phase::Reading {
                since,
                received_bytes,
            } = &mut connection.phase
        {
            if *received_bytes == 0 {
                *since = now;
            }
            *received_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        }
    }

    /// Records that a request is complete and is being served.
    pub fn start_serving(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id)
            && matches!(connection.phase, Phase::Reading { .. })
        {
            connection.phase = Phase::Serving { gives_way: false };
            connection.requests += 1;
        }
    }

    /// Records that the connection waits for its next request.
    pub fn start_reading(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id)
            && let Phase::Serving { gives_way } = connection.phase
        {
            connection.phase = if gives_way {
                Phase::Closing
            } else {
                reading(now)
            };
        }
    }

    /// Records that the connection is about to be closed.
    pub fn start_closing(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = Phase::Closing;
        }
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Returns the connections that have to be closed so that others find room: those that wait for
    /// their request at once, the others after their response. None are returned while enough
    /// earlier ones still close.
    pub fn take_victims(&mut self, now: Instant) -> Vec<ConnectionId> {
        let mut candidates: Vec<_> = self
            .candidates(now)
            .filter(|&(_, grace_end, _)| grace_end <= now)
            .map(|(progress, _, id)| (progress, id))
            .collect();
        candidates.sort_unstable();
        let is_waiting = |&(progress, _): &(Progress, _)| !progress.is_serving();
        let waiting = candidates.iter().filter(|entry| is_waiting(entry)).count();
        if waiting > 0 {
            candidates.truncate(waiting);
        }
        candidates.truncate(self.most_victims(waiting == 0));
        let victims: Vec<_> = candidates.into_iter().map(|(_, id)| id).collect();
        for id in &victims {
            let Some(connection) = self.connections.get_mut(id) else {
                continue;
            };
            connection.phase = match connection.phase {
                Phase::Serving { .. } => Phase::Serving { gives_way: true },
                Phase::Reading { .. } | Phase::Closing => Phase::Closing,
            };
        }
        victims
    }

    /// Returns the connections that can give way now or later, and the ends of their grace.
    fn candidates(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Progress, Instant, ConnectionId)> + '_ {
        let closing = self.count(Phase::Closing);
        let connections = self.connections.iter();
        let candidates = connections.filter_map(move |(&id, connection)| {
            let (progress, grace_end) = connection.progress(now)?;
            Some((progress, grace_end, id))
        });
        // Connections that serve a request stay while others already make room.
        candidates.filter(move |(progress, ..)| closing == 0 || !progress.is_serving())
    }

    /// Returns how many connections can be told to close beside those that were.
    fn most_victims(&self, are_serving: bool) -> usize {
        let told = if are_serving {
            self.count(Phase::Serving { gives_way: true })
        } else {
            self.count(Phase::Closing)
        };
        let most = (self.limit / VICTIMS_DIVISOR).max(1);
        most.saturating_sub(told)
    }

    fn count(&self, phase: Phase) -> usize {
        let connections = self.connections.values();
        connections
            .filter(|connection| connection.phase == phase)
            .count()
    }

    /// Returns when the next connection can give way, unless one has to be closed first.
    #[must_use]
    pub fn next_victim_at(&self, now: Instant) -> Option<Instant> {
        let most = [self.most_victims(false), self.most_victims(true)];
        let candidates = self.candidates(now);
        let candidates =
            candidates.filter(|(progress, ..)| most[usize::from(progress.is_serving())] > 0);
        candidates.map(|(_, grace_end, _)| grace_end).min()
    }

    /// Number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}

const fn reading(now: Instant) -> Phase {
    Phase::Reading {
        since: now,
        received_bytes: 0,
    }
}
