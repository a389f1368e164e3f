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
            && connection.phase != Phase::Closing
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
        let most = self.most_victims();
        let connections = self.connections.iter();
        let candidates = connections.filter_map(|(&id, connection)| {
            let (progress, grace_end) = connection.progress(now)?;
            (grace_end <= now).then_some((progress, id))
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_unstable();
        candidates.truncate(most);
        let victims = candidates.into_iter().map(|(_, id)| id);
        let victims: Vec<_> = victims.collect();
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

    /// Returns how many connections can be closed beside those that close.
    fn most_victims(&self) -> usize {
        let connections = self.connections.values();
        let closing = connections.filter(|connection| connection.phase == Phase::Closing);
        let most = (self.limit / VICTIMS_DIVISOR).max(1);
        most.saturating_sub(closing.count())
    }

    /// Returns when the next connection can give way, unless one has to be closed first.
    #[must_use]
    pub fn next_victim_at(&self, now: Instant) -> Option<Instant> {
        if self.most_victims() == 0 {
            return None;
        }
        let connections = self.connections.values();
        let ends = connections.filter_map(|connection| connection.progress(now));
        ends.map(|(_, grace_end)| grace_end).min()
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
