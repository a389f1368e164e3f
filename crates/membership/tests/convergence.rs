//! Tests convergence, the byte budget and incarnations in clusters whose network
//! loses, duplicates, delays and reorders packets.

mod cluster;

use std::time::Duration;

use bamboospur_membership::{MemberKey, MemberState, MembershipInput, MembershipSettings};
use bamboospur_types::stable_id;
use cluster::{Cluster, Network};

const NODES: usize = 8;
const TARGETS: usize = 24;

fn faulty_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(NODES, TARGETS, MembershipSettings::default(), seed);
    cluster.network = Network {
        loss_percent: 5,
        duplicate_percent: 5,
        delay_us: 500,
        jitter_us: 20_000,
    };
    let agreed = cluster.run_until(Duration::from_mins(1), Cluster::routers_agree);
    assert!(
        agreed.is_some(),
        "seed {seed}: the routers did not agree on the live routers within a minute"
    );
    for target in 0..TARGETS {
        let home = cluster.targets[target].home;
        cluster.announce(target, home);
    }
    let known = cluster.run_until(Duration::from_mins(1), |cluster| {
        (0..TARGETS).all(|target| cluster.routing_instances(target) == NODES)
    });
    assert!(
        known.is_some(),
        "seed {seed}: not all instances knew all targets within a minute"
    );
    cluster
}

fn leave(cluster: &mut Cluster, target: usize, node: usize) {
    cluster.targets[target].alive = false;
    let record = &cluster.targets[target].record;
    let input = MembershipInput::Leave {
        target: record.id(),
        incarnation: record.incarnation,
    };
    cluster.input(node, input);
}

fn check_budget_and_invariants(cluster: &Cluster, seed: u64) {
    let limit = MembershipSettings::default().bytes_per_second;
    assert!(
        cluster.max_bytes_per_second <= limit,
        "seed {seed}: an instance sent {} bytes in one second",
        cluster.max_bytes_per_second
    );
    assert_eq!(cluster.violations(), 0, "seed {seed}");
}

#[test]
fn left_and_dead_targets_get_no_new_work_after_three_seconds() {
    for seed in 1..=4 {
        let mut cluster = faulty_cluster(seed);
        leave(&mut cluster, 0, 3);
        cluster.targets[1].alive = false;
        cluster.run_for(Duration::from_secs(3));
        assert_eq!(
            cluster.routing_instances(0),
            0,
            "seed {seed}: a departed target still gets new work"
        );
        assert_eq!(
            cluster.routing_instances(1),
            0,
            "seed {seed}: a dead target still gets new work"
        );
        check_budget_and_invariants(&cluster, seed);
    }
}

#[test]
fn a_target_that_left_needs_a_higher_incarnation() {
    let mut cluster = faulty_cluster(11);
    leave(&mut cluster, 0, 0);
    cluster.run_for(Duration::from_secs(5));
    // A delayed duplicate repeats the announcement of the same incarnation.
    let old = cluster.targets[0].record.clone();
    for node in 0..NODES {
        cluster.input(node, MembershipInput::Announce(old.clone()));
    }
    cluster.run_for(Duration::from_secs(5));
    assert_eq!(cluster.routing_instances(0), 0);
    cluster.announce(0, 2);
    assert_eq!(cluster.targets[0].record.incarnation, 2);
    cluster.run_for(Duration::from_secs(3));
    assert_eq!(cluster.routing_instances(0), NODES);
}

#[test]
fn flapping_doubles_the_damping_period() {
    let mut cluster = faulty_cluster(12);
    let mut last = Duration::ZERO;
    for flap in 0..4 {
        cluster.targets[0].alive = false;
        cluster.run_for(Duration::from_secs(3));
        assert_eq!(cluster.routing_instances(0), 0, "flap {flap}");
        cluster.targets[0].alive = true;
        let back = cluster.run_until(Duration::from_mins(1), |cluster| {
            cluster.routing_instances(0) == NODES
        });
        let back = back.expect("the target returns to service within a minute");
        assert!(
            back > last.mul_f64(1.2),
            "flap {flap}: back in service after {back:?}, previously after {last:?}"
        );
        last = back;
    }
}

#[test]
fn a_partition_heals_and_dead_routers_are_dropped() {
    for seed in 21..=23 {
        let mut cluster = faulty_cluster(seed);
        for node in 0..3 {
            cluster.sides[node] = 1;
        }
        cluster.run_for(Duration::from_secs(20));
        let own_side = |node: usize| cluster.nodes[node].as_ref().unwrap().routers().len();
        assert_eq!((own_side(0), own_side(7)), (3, 5), "seed {seed}");
        leave(&mut cluster, 5, 7);
        cluster.sides = vec![0; NODES];
        let healed = cluster.run_until(Duration::from_mins(1), |cluster| {
            cluster.routers_agree() && cluster.routing_instances(5) == 0
        });
        assert!(
            healed.is_some(),
            "seed {seed}: the instances did not agree within a minute after the partition"
        );
        cluster.nodes[4] = None;
        let dropped = cluster.run_until(Duration::from_secs(10), Cluster::routers_agree);
        assert!(
            dropped.is_some(),
            "seed {seed}: a dead router was still listed after 10 seconds"
        );
        check_budget_and_invariants(&cluster, seed);
    }
}

#[test]
fn an_instance_that_leaves_is_dropped_at_once() {
    let mut cluster = faulty_cluster(31);
    cluster.input(6, MembershipInput::Shutdown);
    cluster.nodes[6] = None;
    cluster.run_for(Duration::from_secs(2));
    assert!(cluster.routers_agree());
    let left = cluster.live().all(|node| {
        let version = node.version(MemberKey::Instance(stable_id("router-6")));
        version.is_some_and(|version| version.state == MemberState::Left)
    });
    assert!(left);
}

/// Runs random failures, departures, restarts and partitions. In the end all instances
/// must agree with the actual states of the targets.
#[test]
fn random_churn_converges_to_the_newest_records() {
    for seed in 41..=44 {
        println!("seed {seed}");
        let mut cluster = faulty_cluster(seed);
        for _ in 0..60 {
            let target = cluster.rng.index(TARGETS);
            let node = cluster.rng.index(NODES);
            match cluster.rng.below(6) {
                0 => leave(&mut cluster, target, node),
                1 => cluster.targets[target].alive = false,
                2 => cluster.targets[target].draining = true,
                3 => {
                    // A restarted instance may even have a lower incarnation than before.
                    let incarnation = 1 + cluster.rng.below(1_000_000);
                    cluster.start_node(node, incarnation);
                }
                4 => cluster.sides[node] ^= 1,
                _ => {
                    cluster.targets[target].draining = false;
                    cluster.announce(target, node);
                }
            }
            cluster.run_for(Duration::from_millis(700));
        }
        cluster.sides = vec![0; NODES];
        for target in 0..TARGETS {
            cluster.targets[target].draining = false;
            cluster.targets[target].alive = false;
            // A drained target can return only by a new announcement.
            if target % 2 == 0 {
                cluster.announce(target, target % NODES);
            }
        }
        // Covers the longest damping period and the detection of dead targets.
        cluster.run_for(Duration::from_mins(2));
        for target in 0..TARGETS {
            let expected = if target % 2 == 0 { NODES } else { 0 };
            let id = cluster.targets[target].record.id();
            let views: Vec<_> = cluster
                .live()
                .map(|n| n.version(MemberKey::Target(id)))
                .collect();
            assert_eq!(
                cluster.routing_instances(target),
                expected,
                "seed {seed} target {target} {views:?}"
            );
        }
        assert!(cluster.routers_agree(), "seed {seed}");
        check_budget_and_invariants(&cluster, seed);
    }
}
