//! Throughput of the node in a closed loop, and the processor time that it takes.

use std::thread;
use std::time::{Duration, Instant};

use super::client::{agent, send_chat};
use super::fleet::Fleet;

/// Concurrent callers; each sends its next request when the last is answered.
const CALLER_COUNT: usize = 8;

pub struct Throughput {
    pub requests_per_s: f64,
    /// Seconds of the node's processor time in each second.
    pub cores: f64,
}

/// Runs the closed loop for the given time.
pub fn measure(fleet: &Fleet, seconds: u64) -> Result<Throughput, String> {
    let cpu_before = fleet.node_cpu_s()?;
    let start = Instant::now();
    let until = start + Duration::from_secs(seconds);
    let address = fleet.callers_address;
    let counts = thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLER_COUNT)
            .map(|_| scope.spawn(move || call_until(address, until)))
            .collect();
        let joined = threads.into_iter().map(thread::ScopedJoinHandle::join);
        joined.collect::<Result<Vec<_>, _>>()
    });
    let elapsed_s = start.elapsed().as_secs_f64();
    let cpu_s = fleet.node_cpu_s()? - cpu_before;
    let counts = counts.map_err(|_| "a caller thread panicked".to_owned())?;
    let mut total = 0;
    for count in counts {
        total += count?;
    }
    Ok(Throughput {
        requests_per_s: f64::from(total) / elapsed_s,
        cores: cpu_s / elapsed_s,
    })
}

/// Sends requests until a time and returns their count.
fn call_until(address: std::net::SocketAddr, until: Instant) -> Result<u32, String> {
    let agent = agent();
    let mut count = 0;
    while Instant::now() < until {
        send_chat(&agent, address)?;
        count += 1;
    }
    Ok(count)
}
