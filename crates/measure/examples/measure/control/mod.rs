//! `cargo measure control [--quick] [--only PART,...]`
//!
//! Measures the control plane. The parts are:
//!
//! - `commits` and `outage`: commit rate, commit latency and time without a
//!   leader of replica groups that run in this process, connected by channels,
//!   with real fsyncs in a temporary folder;
//! - `claims`: claims granted by a group of three members;
//! - `followers`: propagation of a change to 420 followers over loopback TCP;
//! - `nodes`: propagation, idle load and restart on seven node processes;
//! - `memory`: resident memory of control state.
//!
//! Each result is printed on a line of its own; the last line is a JSON object.

mod claims;
mod commits;
mod followers;
mod group;
mod members;
mod memory;
mod nodes;
mod outage;
mod replica_runner;
mod report;
mod sample;

use std::fs::File;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use self::claims::measure_claims;
use self::commits::{CommitStats, Load, measure_commits};
use self::followers::{FOLLOWER_COUNT, measure_followers};
use self::nodes::NodeFleet;
use self::outage::{Fault, measure_outage};
use self::report::Report;

/// Proposals in flight under the saturating load.
const CONCURRENT_PROPOSALS: usize = 64;
/// Clients of the saturating claim load, each with one claim in flight.
const CLAIM_CLIENT_COUNT: usize = 256;
/// Delay added to each sync in the runs with a slow disk. A virtual disk can
/// sync faster than a physical one.
const ADDED_SYNC_DELAY: Duration = Duration::from_millis(5);
/// Proposals or claims per second under the fixed-rate load. The same number is
/// the target for commits per second.
const TARGET_RATE_PER_S: f64 = 1000.0;

fn print_commits(name: &str, stats: &CommitStats) {
    println!(
        "commits: {name}: {:.0}/s, p50 {:.2} ms, p99 {:.2} ms, \
         max {:.2} ms, {:.1} commits per sync, {} failed",
        stats.commits_per_s,
        stats.p50_ms,
        stats.p99_ms,
        stats.max_ms,
        stats.commits_per_sync,
        stats.failed,
    );
}

/// Times 500 syncs of a file in the temporary folder. Returns the p50 and the p99
/// in milliseconds.
fn measure_sync() -> std::io::Result<(f64, f64)> {
    let name = format!("bamboospur-measure-sync-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let mut file = File::create(&path)?;
    let mut times_ms = Vec::new();
    for _ in 0..500 {
        let began = Instant::now();
        file.write_all(&[7; 256])?;
        file.sync_data()?;
        times_ms.push(began.elapsed().as_secs_f64() * 1000.0);
    }
    std::fs::remove_file(&path)?;
    times_ms.sort_by(f64::total_cmp);
    Ok((times_ms[249], times_ms[494]))
}

/// Runs the measurement, or one of the roles that the measurement starts as child
/// processes.
pub fn run(arguments: &[String]) {
    let argument = arguments.get(1).map(String::as_str);
    let outcome = match arguments.first().map(String::as_str) {
        Some("role-node") => nodes::run_role(argument),
        Some("role-memory") => memory::run_role(argument),
        Some("role-tree") => memory::write_tree(argument),
        _ => measure(arguments),
    };
    if let Err(message) = outcome {
        eprintln!("measure control: {message}");
        std::process::exit(1);
    }
}

fn measure(arguments: &[String]) -> Result<(), String> {
    let quick = arguments.iter().any(|argument| argument == "--quick");
    let only = arguments.iter().position(|argument| argument == "--only");
    let only = only.and_then(|at| arguments.get(at + 1));
    let is_selected = |part: &str| only.is_none_or(|only| only.split(',').any(|one| one == part));
    let mut report = Report::default();
    print_load_average();
    if is_selected("memory") {
        measure_memory(&mut report)?;
    }
    if is_selected("commits") {
        measure_all_commits(quick, &mut report);
    }
    if is_selected("claims") {
        measure_all_claims(quick, &mut report)?;
    }
    if is_selected("followers") {
        measure_all_followers(quick, &mut report)?;
    }
    if is_selected("nodes") {
        measure_nodes(quick, &mut report)?;
    }
    if is_selected("outage") {
        measure_outages(quick, &mut report);
    }
    print_load_average();
    report.print();
    Ok(())
}

fn print_load_average() {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load of the machine: {}", load.trim());
}

fn measure_all_commits(quick: bool, report: &mut Report) {
    let duration = Duration::from_secs(if quick { 2 } else { 10 });
    match measure_sync() {
        Ok((p50_ms, p99_ms)) => {
            println!("sync of 256 bytes: p50 {p50_ms:.2} ms, p99 {p99_ms:.2} ms");
        }
        Err(error) => println!("sync of 256 bytes: not measured: {error}"),
    }
    for size in [1, 3, 5] {
        for load in [
            Load::Concurrent(CONCURRENT_PROPOSALS),
            Load::Rate(TARGET_RATE_PER_S),
        ] {
            let stats = measure_commits(size, load, duration, Duration::ZERO);
            print_commits(&format!("{size} replicas, {load}"), &stats);
            if size == 3 && matches!(load, Load::Concurrent(_)) {
                report.commits_per_s = Some(stats.commits_per_s);
                report.commit_p99_ms = Some(stats.p99_ms);
            }
        }
    }
    for load in [
        Load::Concurrent(CONCURRENT_PROPOSALS),
        Load::Rate(TARGET_RATE_PER_S),
    ] {
        let stats = measure_commits(3, load, duration, ADDED_SYNC_DELAY);
        let name = format!("3 replicas, {load}, syncs {ADDED_SYNC_DELAY:?} slower");
        print_commits(&name, &stats);
    }
}

fn measure_outages(quick: bool, report: &mut Report) {
    let rounds = if quick { 3 } else { 15 };
    let mut worst: f64 = 0.0;
    for fault in Fault::ALL {
        let outage = measure_outage(fault, rounds);
        println!(
            "leaderless: 3 replicas, leader {fault}: median {:.3} s, worst {:.3} s of {rounds}",
            outage.median_s, outage.worst_s,
        );
        worst = worst.max(outage.worst_s);
    }
    report.leaderless_s = Some(worst);
}

fn measure_all_claims(quick: bool, report: &mut Report) -> Result<(), String> {
    let duration = Duration::from_secs(if quick { 2 } else { 10 });
    for (load, added_sync) in [
        (Load::Concurrent(CLAIM_CLIENT_COUNT), Duration::ZERO),
        (Load::Rate(TARGET_RATE_PER_S), Duration::ZERO),
        (Load::Concurrent(CLAIM_CLIENT_COUNT), ADDED_SYNC_DELAY),
        (Load::Rate(TARGET_RATE_PER_S), ADDED_SYNC_DELAY),
    ] {
        let stats = measure_claims(load, duration, added_sync)?;
        println!(
            "claims: 3 members, {load}, syncs {added_sync:?} slower: {:.0}/s, p50 {:.2} ms, \
             p99 {:.2} ms, max {:.2} ms, {} failed, {} bytes each way at most",
            stats.claims_per_s,
            stats.p50_ms,
            stats.p99_ms,
            stats.max_ms,
            stats.failed,
            stats.message_bytes,
        );
        if added_sync.is_zero() && matches!(load, Load::Concurrent(_)) {
            report.claims_per_s = Some(stats.claims_per_s);
            report.claim_p99_ms = Some(stats.p99_ms);
        }
    }
    Ok(())
}

fn measure_all_followers(quick: bool, report: &mut Report) -> Result<(), String> {
    let paced = if quick { 10 } else { 50 };
    for (changes, pause) in [(paced, Duration::from_millis(100)), (100, Duration::ZERO)] {
        let times = measure_followers(changes, pause)?;
        let last = times.after_acceptance_s.len() - 1;
        println!(
            "in force on {FOLLOWER_COUNT} followers: {changes} changes {pause:?} apart: after \
             acceptance median {:.4} s, worst {:.4} s; after the request median {:.4} s, \
             worst {:.4} s; a change has {} bytes, the whole tree {}",
            times.after_acceptance_s[last / 2],
            times.after_acceptance_s[last],
            times.after_request_s[last / 2],
            times.after_request_s[last],
            times.diff_bytes,
            times.full_bytes,
        );
        let worst = report.in_force_420_s.unwrap_or(0.0);
        report.in_force_420_s = Some(worst.max(times.after_acceptance_s[last]));
        report.tree_encoded_bytes = Some(times.full_bytes);
    }
    Ok(())
}

fn measure_nodes(quick: bool, report: &mut Report) -> Result<(), String> {
    let mut fleet = NodeFleet::start()?;
    thread::sleep(Duration::from_secs(3));
    print_idle_usage("no teams", &fleet);
    let took = fleet.create_all_teams()?;
    println!("7 nodes: 11,000 teams in {:.1} s", took.as_secs_f64());
    let changes = if quick { 10 } else { 50 };
    let times = (0..changes).map(|number| fleet.measure_change(number));
    let mut times = times.collect::<Result<Vec<f64>, String>>()?;
    times.sort_by(f64::total_cmp);
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!("in force on 7 nodes: {changes} changes: median {median:.4} s, worst {worst:.4} s");
    report.in_force_7_nodes_s = Some(worst);
    print_idle_usage("11,000 teams", &fleet);
    let revision = fleet.status(0)["control"]["revision"].as_u64().unwrap_or(0);
    for _ in 0..3 {
        let (seconds, bytes) = fleet.restart_router(6, revision)?;
        println!("restarted router: revision {revision} after {seconds:.3} s, {bytes} bytes");
        report.catch_up_s = Some(report.catch_up_s.unwrap_or(0.0).max(seconds));
        report.catch_up_bytes = Some(bytes);
    }
    Ok(())
}

fn print_idle_usage(what: &str, fleet: &NodeFleet) {
    for (number, usage) in fleet.measure_idle().into_iter().enumerate() {
        let kinds = usage
            .bytes_per_s_by_kind
            .iter()
            .filter(|(_, bytes)| *bytes >= 1.0);
        let kinds = kinds.map(|(kind, bytes)| format!("{kind} {bytes:.0}"));
        println!(
            "quiet, {what}: node {number} {}: {:.2}% of a core, {} bytes resident, \
             {:.0} bytes/s sent, {:.0} received, {:.1} messages/s; both ways {}",
            usage.role,
            usage.cpu_percent,
            usage.memory_bytes,
            usage.sent_per_s,
            usage.received_per_s,
            usage.messages_per_s,
            kinds.collect::<Vec<_>>().join(", "),
        );
    }
}

fn measure_memory(report: &mut Report) -> Result<(), String> {
    for part in memory::PARTS {
        let bytes = memory::measure_part(part)?;
        println!("memory: {part}: {bytes} bytes");
        match part {
            "tree" => report.tree_bytes = Some(bytes),
            "router" => report.control_bytes_total = Some(bytes),
            "claims" => report.million_claims_bytes = Some(bytes),
            _ => {}
        }
    }
    Ok(())
}
