//! Kept connections to targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bamboospur_http1::Headers;
use bamboospur_http1::client::ClientConnection;
use tokio::time::Instant;

/// A connection is given up this long before the target would close it, so that
/// a request does not cross the close.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// A target that states no time keeps connections for less than a second.
const UNSTATED_IDLE: Duration = Duration::from_millis(300);
/// Longest time that a connection is kept, whatever the target states.
const MAX_IDLE: Duration = Duration::from_mins(1);

/// Kept connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: BTreeMap<SocketAddr, Vec<ClientConnection>>,
}

impl Pool {
    /// Takes the connection that was used last and still works.
    pub fn take(&mut self, address: SocketAddr, now: Instant) -> Option<ClientConnection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(mut connection) = idle.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection after an answer with these fields.
    pub fn keep(
        &mut self,
        address: SocketAddr,
        mut connection: ClientConnection,
        fields: &Headers,
        now: Instant,
    ) {
        let idle = idle_time(fields);
        if connection.can_keep_alive() && !idle.is_zero() {
            connection.keep_until(now + idle);
            self.idle.entry(address).or_default().push(connection);
        }
    }

    /// Closes connections that no longer work.
    pub fn sweep(&mut self, now: Instant) {
        for idle in self.idle.values_mut() {
            idle.retain_mut(|connection| connection.is_usable(now));
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Number of kept connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}

/// Time for which a connection can be kept after an answer.
fn idle_time(fields: &Headers) -> Duration {
    let parts = fields
        .get_all("keep-alive")
        .flat_map(|value| value.split(','));
    let mut timeouts = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
    let stated = timeouts.next().and_then(|v| v.trim().parse().ok());
    match stated.map(Duration::from_secs) {
        Some(stated) => stated.saturating_sub(CLOSE_MARGIN).min(MAX_IDLE),
        None => UNSTATED_IDLE,
    }
}
