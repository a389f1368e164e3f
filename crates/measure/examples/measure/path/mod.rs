//! `cargo measure path [--quick]`: added latency, delay of each chunk, open streams, and
//! requests a second and core of one node in front of one stand-in engine.
//!
//! The node and the engine run as child processes of the same program, so that memory
//! and processor time of the node are measured alone. Requests through the node and
//! directly to the engine alternate in one run.

mod client;
mod fleet;
mod latency;
mod role;
mod streams;
mod throughput;

use std::process;

use serde_json::json;

use fleet::Fleet;

/// Amount of work of one run.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    latency_requests: usize,
    streams: usize,
    throughput_s: u64,
}

const FULL_SIZES: Sizes = Sizes {
    latency_requests: 2000,
    streams: 2000,
    throughput_s: 5,
};
const QUICK_SIZES: Sizes = Sizes {
    latency_requests: 200,
    streams: 100,
    throughput_s: 1,
};

/// Runs the program. The roles in the first argument are for its child processes.
pub fn run(args: &[String]) {
    let outcome = match args.first().map(String::as_str) {
        Some("role-node") => role::node(&args[1..]),
        Some("role-engine") => role::engine(&args[1..]),
        Some("--quick") => measure(QUICK_SIZES),
        None => measure(FULL_SIZES),
        Some(other) => Err(format!(
            "unknown argument {other:?}; use --quick or nothing"
        )),
    };
    if let Err(message) = outcome {
        eprintln!("measure path: {message}");
        process::exit(1);
    }
}

fn measure(sizes: Sizes) -> Result<(), String> {
    let fleet = Fleet::start()?;
    let latency = latency::measure(&fleet, sizes.latency_requests)?;
    println!("latency at 100 requests/s each way, ms:");
    println!(
        "  direct   p50 {:.3}  p99 {:.3}",
        latency.direct.p50_ms, latency.direct.p99_ms
    );
    println!(
        "  node     p50 {:.3}  p99 {:.3}",
        latency.node.p50_ms, latency.node.p99_ms
    );
    let throughput = throughput::measure(&fleet, sizes.throughput_s)?;
    println!(
        "throughput: {:.0} requests/s with {:.2} cores of the node",
        throughput.requests_per_s, throughput.cores
    );
    let streams = streams::measure(&fleet, sizes.streams)?;
    println!(
        "streams: {} held at once, {} cut, {} kB a stream, chunk delay through the node \
         p50 {:.3} ms p99 {:.3} ms",
        streams.held,
        streams.incomplete,
        streams.bytes_per_stream / 1024,
        streams.chunk_p50_ms,
        streams.chunk_p99_ms
    );
    let report = json!({
        "added_p50_ms": latency.node.p50_ms - latency.direct.p50_ms,
        "added_p99_ms": latency.node.p99_ms - latency.direct.p99_ms,
        "chunk_p99_ms": streams.chunk_p99_ms,
        "streams_held": streams.held,
        "streams_cut": streams.incomplete,
        "bytes_per_stream": streams.bytes_per_stream,
        "requests_per_core_s": throughput.requests_per_s / throughput.cores.max(f64::EPSILON),
    });
    println!("{report}");
    Ok(())
}
