//! Disks of the control group that are full for some time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::support::eventually;

/// Time for which a disk is full.
const FULL_TIME: Duration = Duration::from_secs(2);

fn has_no_full_disk(fleet: &Fleet) {
    for process in &fleet.control {
        let name = &process.name;
        eventually(&format!("{name} takes part in the group"), || {
            matches!(process.role().as_str(), "leader" | "follower")
        });
    }
}

/// One failed write stopped the replica of a member until its process ended, so that the group
/// had no leader once the disk of each member had been full.
#[test]
fn the_group_accepts_changes_after_each_disk_was_full_in_turn() {
    let mut fleet = Fleet::start(3, 1);
    let mut names = Vec::new();
    for round in 0..2 {
        for full in 0..3 {
            fleet.control[full].set_disk_full(true);
            for via in 0..4 {
                let name = format!("full-{round}-{full}-{via}");
                fleet.add_small_team(via, &name);
                names.push(name);
            }
            thread::sleep(FULL_TIME);
            fleet.control[full].set_disk_full(false);
            has_no_full_disk(&fleet);
        }
    }
    let mut revision = 0;
    for via in 0..4 {
        revision = fleet.add_small_team(via, &format!("room-{via}"));
        names.push(format!("room-{via}"));
    }
    fleet.wait_for_revision(revision);
    // What was accepted is on the disks.
    for process in &mut fleet.control {
        process.kill();
    }
    for process in &mut fleet.control {
        process.restart();
    }
    fleet.wait_for_revision(revision);
    for process in fleet.all() {
        for name in &names {
            let knows = Fleet::knows_team(process, name);
            assert!(knows, "{name} on {}", process.name);
        }
    }
    fleet.assert_no_violations();
}

/// The write that begins a group failed, and the members waited for it for ever.
#[test]
fn a_group_forms_once_the_disks_have_room() {
    let mut fleet = Fleet::prepare(3);
    for number in 0..2 {
        let process = fleet.spawn_control(number);
        fleet.control.push(process);
    }
    for process in &fleet.control {
        process.set_disk_full(true);
    }
    let process = fleet.spawn_control(2);
    fleet.control.push(process);
    thread::sleep(FULL_TIME);
    for process in &fleet.control {
        process.set_disk_full(false);
    }
    has_no_full_disk(&fleet);
    let leader = fleet.leader();
    fleet.apply(leader, "first-fleet", "fleet", "");
    fleet.assert_no_violations();
}

/// Guards against a group that accepts without a disk, and against one that stays without a leader
/// after all disks were full at once.
#[test]
fn changes_wait_while_all_disks_are_full() {
    let fleet = Fleet::start(3, 1);
    for process in &fleet.control {
        process.set_disk_full(true);
    }
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let change = scope.spawn(|| {
            let revision = fleet.add_small_team(3, "waits");
            done.store(true, Ordering::SeqCst);
            revision
        });
        thread::sleep(FULL_TIME);
        assert!(!done.load(Ordering::SeqCst), "accepted without a disk");
        for process in &fleet.control {
            process.set_disk_full(false);
        }
        let revision = change.join().expect("the change is accepted");
        fleet.wait_for_revision(revision);
    });
    for via in 0..4 {
        let revision = fleet.add_small_team(via, &format!("room-{via}"));
        fleet.wait_for_revision(revision);
    }
    fleet.assert_no_violations();
}
