//! Departures of targets that are acknowledged, and the loss of the instance that did so.

mod cluster;

use std::time::Duration;

use bamboospur_membership::{MembershipInput, MembershipSettings};
use cluster::{Cluster, Network};

const NODES: usize = 7;
/// Instance that takes the calls.
const HOME: usize = 3;
/// Time within which a call is answered.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Time after which a departed target gets no new work.
const DRAIN_TIME: Duration = Duration::from_secs(3);

fn start(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(NODES, 1, MembershipSettings::default(), seed);
    let agreed = cluster.run_until(Duration::from_mins(1), Cluster::routers_agree);
    assert!(agreed.is_some(), "seed {seed}: the routers do not agree");
    cluster.targets[0].home = HOME;
    cluster.announce(0, HOME);
    let known = cluster.run_until(Duration::from_mins(1), |cluster| {
        cluster.routing_instances(0) == NODES
    });
    assert!(known.is_some(), "seed {seed}: the target is not known");
    cluster
}

fn leave(cluster: &mut Cluster) {
    cluster.departed.insert(0);
    let record = &cluster.targets[0].record;
    let input = MembershipInput::Leave {
        target: record.id(),
        incarnation: record.incarnation,
    };
    cluster.input(HOME, input);
}

/// Returns the answers to the calls so far.
fn answers(cluster: &Cluster) -> Vec<bool> {
    let replies = cluster.departure_replies.iter();
    replies.map(|(_, _, is_copied)| *is_copied).collect()
}

/// An acknowledged departure was lost when no packet of its news had arrived yet.
#[test]
fn an_acknowledged_departure_survives_the_loss_of_two_instances() {
    for seed in 0..100 {
        let mut cluster = start(seed);
        cluster.network.loss_percent = 40;
        while answers(&cluster).last() != Some(&true) {
            let before = answers(&cluster).len();
            leave(&mut cluster);
            let answered = cluster.run_until(ANSWER_TIME, |c| answers(c).len() > before);
            assert!(answered.is_some(), "seed {seed}: the call is not answered");
        }
        let lost = (HOME + 1 + cluster.rng.index(NODES - 1)) % NODES;
        for node in [HOME, lost] {
            cluster.nodes[node] = None;
        }
        cluster.network = Network::default();
        cluster.run_for(DRAIN_TIME);
        assert_eq!(cluster.routing_instances(0), 0, "seed {seed}");
    }
}

/// An instance that is cut off acknowledged what nobody else would ever know.
#[test]
fn a_departure_that_no_other_instance_knows_is_refused() {
    let mut cluster = start(1);
    cluster.sides[HOME] = 1;
    leave(&mut cluster);
    assert_eq!(answers(&cluster), [] as [bool; 0]);
    cluster.run_for(ANSWER_TIME);
    assert_eq!(answers(&cluster), [false]);
    // Once the others count as lost, the answer needs no wait.
    cluster.run_for(Duration::from_mins(1));
    leave(&mut cluster);
    assert_eq!(answers(&cluster), [false, false]);
    cluster.sides[HOME] = 0;
    cluster.run_for(Duration::from_mins(1));
    leave(&mut cluster);
    cluster.run_for(ANSWER_TIME);
    assert_eq!(answers(&cluster), [false, false, true]);
}

/// A draining target repeats its heartbeats, but only for as long as it lives.
#[test]
fn an_acknowledged_drain_is_known_to_other_instances() {
    for seed in 0..30 {
        let mut cluster = start(seed);
        cluster.network.loss_percent = 40;
        cluster.targets[0].draining = true;
        let acknowledged = cluster.run_until(Duration::from_secs(20), |cluster| {
            answers(cluster).contains(&true)
        });
        assert!(acknowledged.is_some(), "seed {seed}: no acknowledgement");
        cluster.departed.insert(0);
        cluster.nodes[HOME] = None;
        cluster.network = Network::default();
        cluster.run_for(DRAIN_TIME);
        assert_eq!(cluster.routing_instances(0), 0, "seed {seed}");
    }
}

#[test]
fn a_single_instance_without_others_in_its_settings_acknowledges_at_once() {
    let mut cluster = Cluster::new(1, 1, MembershipSettings::default(), 1);
    cluster.targets[0].home = 0;
    cluster.announce(0, 0);
    cluster.departed.insert(0);
    let record = &cluster.targets[0].record;
    let input = MembershipInput::Leave {
        target: record.id(),
        incarnation: record.incarnation,
    };
    cluster.input(0, input);
    assert_eq!(answers(&cluster), [true]);
}
