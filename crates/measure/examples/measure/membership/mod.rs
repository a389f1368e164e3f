//! `cargo measure membership`: convergence times and traffic of membership, in virtual
//! time.

use std::time::Duration;

use bamboospur_membership::{MembershipInput, MembershipSettings};
use serde_json::json;

#[path = "../../../../membership/tests/cluster/mod.rs"]
#[allow(missing_docs, reason = "shared with the tests of membership")]
mod cluster;

use cluster::{Cluster, Network};

const SEED: u64 = 20_261_203;
const ROUTER_COUNT: usize = 52;
const TARGET_COUNT: usize = 338;
/// Samples of each event; every event uses its own range of targets.
const SAMPLE_COUNT: usize = 20;

/// Runs the measurement on one data centre of the large size.
pub fn run() {
    println!(
        "seed {SEED}, {ROUTER_COUNT} routers, {TARGET_COUNT} targets, \
         loss 5%, delay 0.5 ms"
    );
    let settings = MembershipSettings::default();
    let mut cluster = Cluster::new(ROUTER_COUNT, TARGET_COUNT, settings, SEED);
    cluster.network = Network {
        loss_percent: 5,
        duplicate_percent: 1,
        delay_us: 500,
        jitter_us: 500,
    };
    let routers_known = cluster.run_until(Duration::from_mins(2), Cluster::routers_agree);
    println!("all routers start at once: known to each other after {routers_known:?}");
    let announce_all = announce_all_targets(&mut cluster);
    println!("all targets announced at once: known everywhere after {announce_all:?}");
    let idle = measure_idle(&mut cluster);
    let join_times_s = sample_times_s(&mut cluster, measure_join);
    let leave_times_s = sample_times_s(&mut cluster, measure_leave);
    let crash_times_s = sample_times_s(&mut cluster, measure_crash);
    let router_restart = measure_router_restart(&mut cluster);
    println!("one target announced: known everywhere after s {join_times_s:?}");
    println!("one target left: no new work anywhere after s {leave_times_s:?}");
    println!("one target died silently: no new work anywhere after s {crash_times_s:?}");
    println!("one router restarted: knows all targets after {router_restart:?}");
    println!(
        "largest second of any router: {} bytes",
        cluster.max_bytes_per_second
    );
    let report = json!({
        "seed": SEED,
        "known_everywhere_s": {
            "p50": join_times_s[SAMPLE_COUNT / 2],
            "max": join_times_s[SAMPLE_COUNT - 1]
        },
        "left_s": {
            "p50": leave_times_s[SAMPLE_COUNT / 2],
            "max": leave_times_s[SAMPLE_COUNT - 1]
        },
        "dead_s": {
            "p50": crash_times_s[SAMPLE_COUNT / 2],
            "max": crash_times_s[SAMPLE_COUNT - 1]
        },
        "mass_announce_s": announce_all.map(|time| time.as_secs_f64()),
        "router_restart_s": router_restart.map(|time| time.as_secs_f64()),
        "quiet": idle,
        "largest_second_bytes": cluster.max_bytes_per_second,
        "violations": cluster.violations(),
    });
    println!("{report}");
}

/// Announces all targets at once and returns the time until all routers know them.
fn announce_all_targets(cluster: &mut Cluster) -> Option<Duration> {
    for target in 0..TARGET_COUNT {
        let home = cluster.targets[target].home;
        cluster.announce(target, home);
    }
    cluster.run_until(Duration::from_mins(5), |cluster| {
        (0..TARGET_COUNT).all(|target| cluster.routing_instances(target) == ROUTER_COUNT)
    })
}

/// Measures traffic, age of the loads and false suspicions over a minute in which only
/// loads change.
fn measure_idle(cluster: &mut Cluster) -> serde_json::Value {
    cluster.run_for(Duration::from_secs(30));
    let bytes_before = cluster.sent_bytes.clone();
    let suspicions_before = suspicion_count(cluster);
    cluster.run_for(Duration::from_mins(1));
    let mut rates: Vec<u64> = cluster
        .sent_bytes
        .iter()
        .zip(&bytes_before)
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
        "false_suspicions": suspicions_since(cluster, suspicions_before),
    })
}

fn suspicion_count(cluster: &Cluster) -> u64 {
    cluster
        .live()
        .map(|node| node.counters().suspected_targets + node.counters().suspected_instances)
        .sum()
}

fn suspicions_since(cluster: &Cluster, before: u64) -> u64 {
    suspicion_count(cluster) - before
}

/// Returns the sorted times of all samples; infinite where no time was found.
fn sample_times_s(
    cluster: &mut Cluster,
    measure_one: fn(&mut Cluster, usize) -> Option<Duration>,
) -> Vec<f64> {
    let mut times: Vec<f64> = (0..SAMPLE_COUNT)
        .map(|sample| measure_one(cluster, sample).map_or(f64::INFINITY, |time| time.as_secs_f64()))
        .collect();
    times.sort_by(f64::total_cmp);
    times
}

/// Returns the time until all routers know a target that left and rejoined under a new
/// incarnation.
fn measure_join(cluster: &mut Cluster, sample: usize) -> Option<Duration> {
    send_leave(cluster, sample);
    cluster.run_for(Duration::from_secs(3));
    cluster.targets[sample].record.incarnation += 1;
    cluster.targets[sample].sequence = 0;
    let node = cluster.rng.index(ROUTER_COUNT);
    cluster.announce(sample, node);
    cluster.run_until(Duration::from_secs(20), |cluster| {
        cluster.routing_instances(sample) == ROUTER_COUNT
    })
}

/// Returns the time until no router sends new work to a target that left.
fn measure_leave(cluster: &mut Cluster, sample: usize) -> Option<Duration> {
    send_leave(cluster, 100 + sample);
    cluster.run_until(Duration::from_secs(20), |cluster| {
        cluster.routing_instances(100 + sample) == 0
    })
}

/// Stops a target and reports its departure to a random router.
fn send_leave(cluster: &mut Cluster, target: usize) {
    cluster.targets[target].alive = false;
    let record = &cluster.targets[target].record;
    let input = MembershipInput::Leave {
        target: record.id(),
        incarnation: record.incarnation,
    };
    let node = cluster.rng.index(ROUTER_COUNT);
    cluster.input(node, input);
}

/// Returns the time until no router sends new work to a target that stopped without
/// notice.
fn measure_crash(cluster: &mut Cluster, sample: usize) -> Option<Duration> {
    let phase = Duration::from_millis(cluster.rng.below(1_000));
    cluster.run_for(phase);
    cluster.targets[200 + sample].alive = false;
    cluster.run_until(Duration::from_secs(20), |cluster| {
        cluster.routing_instances(200 + sample) == 0
    })
}

/// Returns the time until a restarted router knows all targets again.
fn measure_router_restart(cluster: &mut Cluster) -> Option<Duration> {
    let expected = cluster.nodes[1].as_ref()?.targets(cluster.now).count();
    cluster.start_node(0, 2);
    cluster.run_until(Duration::from_mins(2), |cluster| {
        let node = cluster.nodes[0].as_ref();
        node.is_some_and(|node| node.targets(cluster.now).count() >= expected)
    })
}
