//! Single faults with a known expected result.

use bamboospur_agreement::{
    IdentityError, Input, MemberChange, Persist, ReplicaSettings, Role, Status, Ticket,
};
use bamboospur_types::InstanceId;

use crate::oracle::FIRST_CHANGE_TICKET;
use crate::sim::Sim;

/// Limit for the time without a leader, with the default settings and the latency
/// of a LAN.
const MAX_LEADERLESS_US: u64 = 2_000_000;

fn sim_with_leader(size: u64, seed: u64) -> (Sim, InstanceId) {
    println!("size {size}, seed {seed}");
    let mut sim = Sim::new(size, seed);
    let all: Vec<_> = sim.nodes.keys().copied().collect();
    let took_us = sim.run_until_commit(5_000_000, &all);
    assert!(took_us < 5_000_000, "no leader was elected at the start");
    let leader = sim.leader().unwrap();
    (sim, leader)
}

fn status(sim: &Sim, id: InstanceId) -> Status {
    sim.nodes[&id].replica.as_ref().unwrap().status()
}

fn others(sim: &Sim, id: InstanceId) -> Vec<InstanceId> {
    sim.nodes.keys().copied().filter(|&o| o != id).collect()
}

fn change_members(sim: &mut Sim, change: MemberChange) -> bool {
    let ticket: Ticket = FIRST_CHANGE_TICKET + sim.now_us;
    let leader = sim.leader().unwrap();
    sim.input(leader, Input::ChangeMembers { ticket, change });
    sim.run(100_000);
    sim.results.get(&ticket) == Some(&true)
}

fn join(sim: &mut Sim, id: InstanceId) {
    let disk = 1000 + id;
    sim.add(id, disk, &Persist::default());
    assert!(change_members(sim, MemberChange::AddLearner { id, disk }));
    sim.run(200_000);
    assert!(change_members(sim, MemberChange::Promote { id }));
}

fn lose_disk(sim: &mut Sim, id: InstanceId) {
    sim.crash(id);
    let node = sim.nodes.get_mut(&id).unwrap();
    node.disk_lost = true;
    node.disk = crate::disk::Disk::default();
    node.settings.disk += 5000;
}

/// Applies a fault to the leader and returns the longest time without commits, in
/// microseconds.
fn worst_outage_us(fault: fn(&mut Sim, InstanceId)) -> u64 {
    let mut worst = 0;
    for seed in 0..60 {
        let (mut sim, leader) = sim_with_leader([3, 5][usize::try_from(seed % 2).unwrap()], seed);
        let rest = others(&sim, leader);
        fault(&mut sim, leader);
        worst = worst.max(sim.run_until_commit(10_000_000, &rest));
    }
    println!("worst outage: {worst} us");
    worst
}

#[test]
fn crashed_leader_is_replaced_in_time() {
    let worst = worst_outage_us(Sim::crash);
    assert!(worst < MAX_LEADERLESS_US);
}

/// Restarts all replicas of groups of three and five within some 40 ms, after `stopped_us`
/// without any, and returns the longest time until a commit.
fn worst_restart_us(stopped_us: u64) -> u64 {
    let mut worst = 0;
    for seed in 0..60 {
        let (mut sim, _) = sim_with_leader([3, 5][usize::try_from(seed % 2).unwrap()], seed);
        let all: Vec<_> = sim.nodes.keys().copied().collect();
        for &id in &all {
            sim.crash(id);
            sim.nodes.get_mut(&id).unwrap().settings.elects_at_start = true;
        }
        sim.run(stopped_us);
        for &id in &all {
            sim.start_node(id);
            let pause_us = sim.random(10_000);
            sim.run(pause_us);
        }
        worst = worst.max(sim.run_until_commit(10_000_000, &all));
    }
    println!("worst restart: {worst} us");
    worst
}

#[test]
fn group_that_restarts_as_a_whole_does_not_wait_for_an_election_timeout() {
    let worst = worst_restart_us(1_000_000);
    let timeout = ReplicaSettings::default().election_timeout_min;
    assert!(u128::from(worst) < timeout.as_micros());
}

#[test]
fn replica_that_restarts_does_not_disrupt_the_leader() {
    for seed in 0..60 {
        let (mut sim, leader) = sim_with_leader(3, seed);
        let term = status(&sim, leader).term;
        let restarted = others(&sim, leader)[0];
        let node = sim.nodes.get_mut(&restarted).unwrap();
        node.settings.elects_at_start = true;
        for _ in 0..5 {
            sim.crash(restarted);
            sim.run(20_000);
            sim.start_node(restarted);
            let pause_us = sim.random(1_000_000);
            sim.run(pause_us);
        }
        assert_eq!(sim.leader(), Some(leader));
        assert_eq!(status(&sim, leader).term, term);
    }
}

#[test]
fn isolated_leader_is_replaced_in_time() {
    let worst = worst_outage_us(Sim::isolate);
    assert!(worst < MAX_LEADERLESS_US);
}

#[test]
fn leader_that_receives_nothing_is_replaced_in_time() {
    let worst = worst_outage_us(|sim, leader| {
        for other in others(sim, leader) {
            sim.blocked_links.insert((other, leader));
        }
    });
    assert!(worst < MAX_LEADERLESS_US);
}

#[test]
fn leader_whose_messages_are_lost_is_replaced_in_time() {
    let worst = worst_outage_us(|sim, leader| {
        for other in others(sim, leader) {
            sim.blocked_links.insert((leader, other));
        }
    });
    assert!(worst < MAX_LEADERLESS_US);
}

#[test]
fn returning_member_does_not_disrupt_the_leader() {
    for seed in 0..20 {
        let (mut sim, leader) = sim_with_leader(3, seed);
        let term = status(&sim, leader).term;
        let away = others(&sim, leader)[0];
        sim.isolate(away);
        sim.run(20_000_000);
        sim.propose(leader);
        sim.blocked_links.clear();
        sim.run(3_000_000);
        assert_eq!(sim.leader(), Some(leader));
        assert_eq!(status(&sim, leader).term, term);
        assert_eq!(sim.nodes[&away].state, sim.nodes[&leader].state);
    }
}

#[test]
fn isolated_leader_steps_down_and_fails_reads() {
    let (mut sim, leader) = sim_with_leader(3, 1);
    sim.isolate(leader);
    let read = sim.read(leader);
    sim.run(1_000_000);
    assert_ne!(status(&sim, leader).role, Role::Leader);
    assert_eq!(status(&sim, leader).leader, None);
    assert_eq!(sim.results.get(&read), Some(&false));
}

#[test]
fn replaced_disk_under_the_old_id_is_reported_and_grants_no_vote() {
    let (mut sim, leader) = sim_with_leader(3, 2);
    let lost = others(&sim, leader)[0];
    lose_disk(&mut sim, lost);
    sim.start_node(lost);
    sim.run(1_000_000);
    let error = &sim.nodes[&lost].identity;
    assert!(
        matches!(error, Some(IdentityError::OwnDisk { .. })),
        "{error:?}"
    );
    // The lost member grants no vote, and one voter of three is no quorum.
    sim.crash(leader);
    sim.run(5_000_000);
    assert_eq!(sim.leader(), None);
}

#[test]
fn second_disk_loss_right_after_a_repair_keeps_acknowledged_entries() {
    for seed in 0..20 {
        let (mut sim, leader) = sim_with_leader(3, seed);
        let lost = others(&sim, leader)[0];
        lose_disk(&mut sim, lost);
        sim.propose(leader);
        sim.run(50_000);
        assert!(change_members(&mut sim, MemberChange::Remove { id: lost }));
        join(&mut sim, 4);
        sim.propose(leader);
        sim.run(20_000);
        lose_disk(&mut sim, leader);
        let rest = others(&sim, leader);
        assert!(sim.run_until_commit(5_000_000, &rest) < MAX_LEADERLESS_US);
        sim.run(200_000);
        let now = sim.leader().unwrap();
        sim.oracle.check_final(&sim.nodes[&now].state.clone());
    }
}

#[test]
fn learner_counts_in_no_quorum() {
    let (mut sim, leader) = sim_with_leader(3, 3);
    let away = others(&sim, leader);
    let id = 4;
    sim.add(id, 1004, &Persist::default());
    assert!(change_members(
        &mut sim,
        MemberChange::AddLearner { id, disk: 1004 }
    ));
    sim.run(200_000);
    for id in away {
        sim.crash(id);
    }
    let ticket = sim.propose(leader);
    sim.run(200_000);
    assert_eq!(
        sim.results.get(&ticket),
        None,
        "the entry was committed with one voter of three"
    );
}

#[test]
fn unsafe_member_changes_are_refused() {
    let (mut sim, leader) = sim_with_leader(3, 4);
    let gone = others(&sim, leader)[0];
    assert!(!change_members(
        &mut sim,
        MemberChange::Remove { id: leader }
    ));
    assert!(change_members(&mut sim, MemberChange::Remove { id: gone }));
    let disk = 9;
    assert!(!change_members(
        &mut sim,
        MemberChange::AddLearner { id: gone, disk }
    ));
    sim.add(5, 1005, &Persist::default());
    sim.isolate(5);
    assert!(change_members(
        &mut sim,
        MemberChange::AddLearner { id: 5, disk: 1005 }
    ));
    assert!(
        !change_members(&mut sim, MemberChange::Promote { id: 5 }),
        "a learner that never replied was promoted"
    );
    sim.run(3_000_000);
    assert_eq!(sim.nodes[&gone].identity, Some(IdentityError::Retired));
}

#[test]
fn leadership_transfer_is_quick_and_keeps_acknowledged_entries() {
    for seed in 0..20 {
        let (mut sim, leader) = sim_with_leader(3, seed);
        let before = sim.propose(leader);
        sim.input(leader, Input::TransferLeadership);
        let refused = sim.propose(leader);
        sim.run(100_000);
        let now = sim.leader().unwrap();
        assert_ne!(now, leader);
        assert_eq!(sim.results.get(&before), Some(&true));
        assert_eq!(sim.results.get(&refused), Some(&false));
    }
}

#[test]
fn stopped_follower_catches_up_from_a_snapshot() {
    let (mut sim, leader) = sim_with_leader(3, 5);
    let away = others(&sim, leader)[0];
    sim.crash(away);
    for _ in 0..100 {
        sim.propose(leader);
        sim.run(3_000);
    }
    sim.compact(leader);
    sim.start_node(away);
    sim.run(1_000_000);
    assert!(sim.nodes[&away].compacted > 90, "no snapshot was installed");
    assert_eq!(sim.nodes[&away].state, sim.nodes[&leader].state);
}

#[test]
fn failed_disk_stops_the_replica() {
    let (mut sim, leader) = sim_with_leader(3, 6);
    sim.input(leader, Input::DiskFailed);
    let ticket = sim.propose(leader);
    assert_eq!(sim.results.get(&ticket), Some(&false));
    let rest = others(&sim, leader);
    assert!(sim.run_until_commit(5_000_000, &rest) < MAX_LEADERLESS_US);
    assert_eq!(status(&sim, leader).role, Role::Stopped);
}
