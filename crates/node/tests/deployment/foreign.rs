//! What others than sound targets and operators send to a deployment: reports of another writer,
//! configurations with extreme numbers, and invalid ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use bamboospur_types::Rng;

use super::extremes::{LARGE, all_numbers, config_with};
use super::harness::{config, json_call};

/// Longest pause between two reports.
const MAX_PAUSE_MS: u64 = 60;

/// Starts a writer whose reports have odd fields, until `done`.
pub fn spawn_writer(seed: u64, addresses: Vec<SocketAddr>, done: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut rng = Rng::new(seed ^ 0x0dd);
        while !done.load(Ordering::SeqCst) {
            let path = format!("/replicas/odd-{}", rng.below(20));
            let address = addresses[rng.index(addresses.len())];
            // Whether a report is taken is checked elsewhere.
            let _answer = json_call(address, "PUT", &path, &odd_report(&mut rng));
            thread::sleep(Duration::from_millis(rng.below(MAX_PAUSE_MS)));
        }
    });
}

/// Returns a report in which some fields are odd, or that ends early.
fn odd_report(rng: &mut Rng) -> String {
    let numbers: Vec<&str> = all_numbers()
        .chain(["\"4\"", "[1]", "null", "1e400"])
        .collect();
    let number = |usual: &str, rng: &mut Rng| {
        let odd = numbers[rng.index(numbers.len())];
        if rng.below(3) == 0 { odd } else { usual }.to_owned()
    };
    let address = ["127.0.0.1:9", "127.0.0.1:99999", "::1", "nowhere"][rng.index(4)];
    let state = ["ready", "draining", "napping"][rng.index(3)];
    let report = format!(
        "{{\"service\":\"unused\",\"address\":\"{address}\",\"zone\":\"north\",\
         \"state\":\"{state}\",\"slots\":{},\"seq\":{},\"born\":{},\"coldLeftMs\":{}}}",
        number("4", rng),
        number("1", rng),
        number("1", rng),
        number("0", rng),
    );
    let end = if rng.below(5) == 0 {
        rng.index(report.len())
    } else {
        report.len()
    };
    report[..end].to_owned()
}

/// Returns a valid configuration, with an extreme number in one of its fields.
pub fn extreme_config(version: u64, key: &str, rng: &mut Rng) -> String {
    const TIMES: [&str; 5] = [
        "timeoutMs",
        "sloMs",
        "itlTargetMs",
        "headerTimeoutMs",
        "idleTimeoutMs",
    ];
    const COUNTS: [&str; 4] = ["maxAttempts", "weight", "maxConns", "slots"];
    let (field, number) = match rng.below(3) {
        0 => (COUNTS[rng.index(COUNTS.len())], "4294967295"),
        1 => ("kvCapacity", "18446744073709551615"),
        _ => (TIMES[rng.index(TIMES.len())], LARGE[rng.index(LARGE.len())]),
    };
    config_with(version, key, field, number)
}

/// Returns a configuration that is to be refused.
pub fn invalid_config(version: u64, key: &str, rng: &mut Rng) -> String {
    let valid = config(version, key);
    match rng.below(6) {
        0 => valid[..rng.index(valid.len())].to_owned(),
        1 => valid.replacen("\"service\":\"s\"", "\"service\":\"none\"", 1),
        2 => valid.replacen("/submit/", "/read/", 1),
        3 => valid.replacen("\"timeoutMs\":6000", "\"timeoutMs\":0", 1),
        4 => config_with(version, key, "weight", "0"),
        _ => valid.replacen(
            "\"tenants\":[",
            &format!("\"tenants\":[{{\"name\":\"blue\",\"apiKeys\":[\"{key}\"]}},"),
            1,
        ),
    }
}
