//! Pool of idle connections to targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bamboospur_http1::Headers;
use bamboospur_http1::client::ClientConnection;
use tokio::time::Instant;

/// A connection is closed this long before the target would close it, so that the
/// target does not close the connection while a request is on its way.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// Idle time for targets that state none in `Keep-Alive`; such targets keep
/// connections for less than a second.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(300);
/// Longest time that an idle connection is kept, whatever the target states.
const MAX_IDLE_TIME: Duration = Duration::from_mins(1);

/// Idle connections by address of the target.
#[derive(Debug)]
pub struct Pool {
    /// Most idle connections.
    limit: usize,
    idle: BTreeMap<SocketAddr, Vec<ClientConnection>>,
}

impl Pool {
    /// Creates an empty pool for at most this many connections.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            idle: BTreeMap::new(),
        }
    }

    /// Removes and returns the most recently used connection that is still usable.
    pub fn take(&mut self, address: SocketAddr, now: Instant) -> Option<ClientConnection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(mut connection) = idle.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection that is still usable after an answer with these header
    /// fields, or closes it if there are too many.
    pub fn keep(
        &mut self,
        address: SocketAddr,
        mut connection: ClientConnection,
        fields: &Headers,
        now: Instant,
    ) {
        let idle = idle_time(fields);
        if connection.can_keep_alive() && !idle.is_zero() && self.len() < self.limit {
            connection.set_idle(now + idle);
            self.idle.entry(address).or_default().push(connection);
        }
    }

    /// Closes the idle connections to a target.
    pub fn close_all(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes connections that are no longer usable.
    pub fn sweep(&mut self, now: Instant) {
        for idle in self.idle.values_mut() {
            idle.retain_mut(|connection| connection.is_usable(now));
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}

/// Returns how long a connection may stay idle after an answer with these header
/// fields; zero if the connection cannot be reused.
fn idle_time(fields: &Headers) -> Duration {
    let parts = fields
        .get_all("keep-alive")
        .flat_map(|value| value.split(','));
    let mut timeouts = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
    let stated = timeouts.next().and_then(|value| value.trim().parse().ok());
    match stated.map(Duration::from_secs) {
        Some(stated) => stated.saturating_sub(CLOSE_MARGIN).min(MAX_IDLE_TIME),
        None => DEFAULT_IDLE_TIME,
    }
}
