//! Sends metrics to a `StatsD` server.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bamboospur_types::ResultCode;
use cadence::{
    BufferedUdpMetricSink, Counted, CountedExt, Gauged, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};

const FLUSH_PERIOD: Duration = Duration::from_secs(1);
const PREFIX: &str = "bamboospur";

/// Client of a `StatsD` server; without a server it discards all metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client, and a thread that flushes it every second if a server is given.
    #[must_use]
    pub fn new(server: Option<SocketAddr>) -> Self {
        let client = match server.and_then(connect) {
            Some(sink) => StatsdClient::from_sink(PREFIX, sink),
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        let client = Arc::new(client);
        if server.is_some() {
            start_flush_thread(&client);
        }
        Self { client }
    }

    /// Counts a finished request by its result code and reports its duration.
    pub fn record_request(&self, code: ResultCode, took: Duration) {
        let name = code.to_string();
        let count = self.client.count_with_tags("requests", 1);
        // Metrics are advisory: a failed send is dropped.
        let _ = count.with_tag("code", &name).try_send();
        let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let _ = self.client.time("request_ms", millis);
    }

    /// Increments a counter.
    pub fn increment(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Reports the current value of a gauge with the tag `kind`.
    pub fn gauge_with_kind(&self, name: &str, kind: &str, value: u64) {
        let gauge = self.client.gauge_with_tags(name, value);
        let _ = gauge.with_tag("kind", kind).try_send();
    }

    /// Reports the current value of a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}

/// Flushes the client periodically, because the sink sends its buffer only when full.
/// The thread ends when the client is dropped.
fn start_flush_thread(client: &Arc<StatsdClient>) {
    let client = Arc::downgrade(client);
    thread::spawn(move || {
        while let Some(client) = client.upgrade() {
            // Metrics are advisory: a failed send is dropped.
            let _ = client.flush();
            drop(client);
            thread::sleep(FLUSH_PERIOD);
        }
    });
}

fn connect(server: SocketAddr) -> Option<QueuingMetricSink> {
    let local_address = if server.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local_address).ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = BufferedUdpMetricSink::from(server, socket).ok()?;
    Some(QueuingMetricSink::from(sink))
}
