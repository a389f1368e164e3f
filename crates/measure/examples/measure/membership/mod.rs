//! `cargo measure membership`: times and bytes of membership in virtual time.

use std::time::Duration;

use bamboospur_membership::{MembershipInput, MembershipSettings};
use serde_json::json;

#[path = "../../../../membership/tests/cluster/mod.rs"]
#[allow(missing_docs, reason = "shared with the tests of membership")]
mod cluster;

use cluster::{Cluster, Network};

const SEED: u64 = 20_261_203;
const ROUTERS: usize = 52;
const TARGETS: usize = 338;
const SAMPLES: usize = 20;

/// Runs the measurement at the large size of one data centre.
pub fn run() {
    println!("seed {SEED}, {ROUTERS} routers, {TARGETS} targets, loss 5%, delay 0.5 ms");
    let settings = MembershipSettings::default();
    let mut cluster = Cluster::new(ROUTERS, TARGETS, settings, SEED);
    cluster.network = Network {
        loss_percent: 5,
        duplicate_percent: 1,
        delay_us: 500,
        jitter_us: 500,
    };
    let routers = cluster.run_until(Duration::from_mins(2), Cluster::routers_agree);
    println!("all routers start at once: known to each other after {routers:?}");
    let mass = start_all(&mut cluster);
    println!("all targets announced at once: known everywhere after {mass:?}");
    let quiet = quiet(&mut cluster);
    let join = samples(&mut cluster, join);
    let leave = samples(&mut cluster, leave);
    let death = samples(&mut cluster, death);
    let restart = restart(&mut cluster);
    println!("one target announced: known everywhere after s {join:?}");
    println!("one target left: no new work anywhere after s {leave:?}");
    println!("one target died silently: no new work anywhere after s {death:?}");
    println!("one router restarted: knows all targets after {restart:?}");
    println!(
        "largest second of any router: {} bytes",
        cluster.max_bytes_per_second
    );
    let line = json!({
        "seed": SEED,
        "known_everywhere_s": {"p50": join[SAMPLES / 2], "max": join[SAMPLES - 1]},
        "left_s": {"p50": leave[SAMPLES / 2], "max": leave[SAMPLES - 1]},
        "dead_s": {"p50": death[SAMPLES / 2], "max": death[SAMPLES - 1]},
        "mass_announce_s": mass.map(|time| time.as_secs_f64()),
        "router_restart_s": restart.map(|time| time.as_secs_f64()),
        "quiet": quiet,
        "largest_second_bytes": cluster.max_bytes_per_second,
        "violations": cluster.violations(),
    });
    println!("{line}");
}

fn start_all(cluster: &mut Cluster) -> Option<Duration> {
    for target in 0..TARGETS {
        let home = cluster.targets[target].home;
        cluster.announce(target, home);
    }
    cluster.run_until(Duration::from_mins(5), |cluster| {
        (0..TARGETS).all(|target| cluster.routing_instances(target) == ROUTERS)
    })
}

/// Bytes, load age and false suspicions over a quiet minute with changing loads.
fn quiet(cluster: &mut Cluster) -> serde_json::Value {
    cluster.run_for(Duration::from_secs(30));
    let before = cluster.sent_bytes.clone();
    let suspected = suspected(cluster);
    cluster.run_for(Duration::from_mins(1));
    let mut rates: Vec<u64> = cluster
        .sent_bytes
        .iter()
        .zip(&before)
        .map(|(now, then)| (now - then) / 60)
        .collect();
    rates.sort_unstable();
    let mut ages: Vec<u128> = cluster
        .live()
        .flat_map(|node| node.targets(cluster.now).collect::<Vec<_>>())
        .map(|view| (cluster.now - view.load_updated_at).as_millis())
        .collect();
    ages.sort_unstable();
    for (kind, traffic) in &cluster.live().next().expect("a router").counters().sent {
        println!(
            "router 0 sent {kind}: {} packets, {} bytes",
            traffic.packets, traffic.bytes
        );
    }
    json!({
        "bytes_per_second": {"p50": rates[rates.len() / 2], "max": rates[rates.len() - 1]},
        "load_age_ms": {"p50": ages[ages.len() / 2], "p99": ages[ages.len() * 99 / 100]},
        "false_suspicions": suspected_since(cluster, suspected),
    })
}

fn suspected(cluster: &Cluster) -> u64 {
    cluster
        .live()
        .map(|node| node.counters().suspected_targets + node.counters().suspected_instances)
        .sum()
}

fn suspected_since(cluster: &Cluster, before: u64) -> u64 {
    suspected(cluster) - before
}

fn samples(cluster: &mut Cluster, one: fn(&mut Cluster, usize) -> Option<Duration>) -> Vec<f64> {
    let mut times: Vec<f64> = (0..SAMPLES)
        .map(|sample| one(cluster, sample).map_or(f64::INFINITY, |time| time.as_secs_f64()))
        .collect();
    times.sort_by(f64::total_cmp);
    times
}

/// A target that left comes back under a new incarnation.
fn join(cluster: &mut Cluster, sample: usize) -> Option<Duration> {
    depart(cluster, sample);
    cluster.run_for(Duration::from_secs(3));
    cluster.targets[sample].record.incarnation += 1;
    cluster.targets[sample].sequence = 0;
    let node = cluster.rng.index(ROUTERS);
    cluster.announce(sample, node);
    cluster.run_until(Duration::from_secs(20), |cluster| {
        cluster.routing_instances(sample) == ROUTERS
    })
}

fn leave(cluster: &mut Cluster, sample: usize) -> Option<Duration> {
    depart(cluster, 100 + sample);
    cluster.run_until(Duration::from_secs(20), |cluster| {
        cluster.routing_instances(100 + sample) == 0
    })
}

fn depart(cluster: &mut Cluster, target: usize) {
    cluster.targets[target].alive = false;
    let record = &cluster.targets[target].record;
    let input = MembershipInput::Leave {
        target: record.id(),
        incarnation: record.incarnation,
    };
    let node = cluster.rng.index(ROUTERS);
    cluster.input(node, input);
}

fn death(cluster: &mut Cluster, sample: usize) -> Option<Duration> {
    let phase = Duration::from_millis(cluster.rng.below(1_000));
    cluster.run_for(phase);
    cluster.targets[200 + sample].alive = false;
    cluster.run_until(Duration::from_secs(20), |cluster| {
        cluster.routing_instances(200 + sample) == 0
    })
}

fn restart(cluster: &mut Cluster) -> Option<Duration> {
    let expected = cluster.nodes[1].as_ref()?.targets(cluster.now).count();
    cluster.start_node(0, 2);
    cluster.run_until(Duration::from_mins(2), |cluster| {
        let node = cluster.nodes[0].as_ref();
        node.is_some_and(|node| node.targets(cluster.now).count() >= expected)
    })
}
