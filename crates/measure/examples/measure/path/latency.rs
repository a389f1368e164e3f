//! Latency of chat requests at a fixed rate, alternately through the node and directly.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::client::{agent, quantile, send_chat};
use super::fleet::Fleet;

/// Time between two requests on the same path: 100 requests/s.
const INTERVAL: Duration = Duration::from_millis(10);
/// Requests that open the connections before the first sample.
const WARM_UP_REQUEST_COUNT: usize = 50;

#[derive(Clone, Copy, Debug)]
pub struct Percentiles {
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// Latencies of the same request on both paths.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    pub direct: Percentiles,
    pub node: Percentiles,
}

/// Takes `count` samples on each path, half an interval apart.
pub fn measure(fleet: &Fleet, count: usize) -> Result<Latency, String> {
    let direct = fleet.engine_address;
    let via_node = fleet.callers_address;
    let start = Instant::now();
    let start_via_node = start + INTERVAL / 2;
    let samples = thread::scope(|scope| {
        let direct = scope.spawn(move || sample_latencies_ms(direct, start, count));
        let via_node = scope.spawn(move || sample_latencies_ms(via_node, start_via_node, count));
        (direct.join(), via_node.join())
    });
    let panicked = |_| "a thread that sends latency requests panicked".to_owned();
    let direct = samples.0.map_err(panicked)??;
    let via_node = samples.1.map_err(panicked)??;
    Ok(Latency {
        direct: percentiles(&direct),
        node: percentiles(&via_node),
    })
}

fn percentiles(sorted_ms: &[f64]) -> Percentiles {
    Percentiles {
        p50_ms: quantile(sorted_ms, 0.5),
        p99_ms: quantile(sorted_ms, 0.99),
    }
}

/// Sends requests at the fixed rate and returns their sorted latencies.
fn sample_latencies_ms(
    address: SocketAddr,
    start: Instant,
    count: usize,
) -> Result<Vec<f64>, String> {
    let agent = agent();
    let mut samples = Vec::with_capacity(count);
    let mut due = start;
    for number in 0..count + WARM_UP_REQUEST_COUNT {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let sent = Instant::now();
        send_chat(&agent, address)?;
        if number >= WARM_UP_REQUEST_COUNT {
            samples.push(sent.elapsed().as_secs_f64() * 1000.0);
        }
        due += INTERVAL;
    }
    samples.sort_by(f64::total_cmp);
    Ok(samples)
}
