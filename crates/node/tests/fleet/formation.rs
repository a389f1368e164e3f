//! The first start of a control group, and the loss of a member's disk.

use std::fs;

use crate::fleet::Fleet;
use crate::process::Process;
use crate::support::eventually;

/// Guards against members that form separate groups because they start one after the
/// other.
#[test]
fn a_group_forms_only_when_all_members_are_up() {
    let mut fleet = Fleet::prepare(3);
    for number in 0..2 {
        let process = fleet.spawn_control(number);
        fleet.control.push(process);
    }
    eventually("both are linked", || {
        let links = fleet.control[0].status()["control"]["links"].clone();
        links.as_array().is_some_and(|links| !links.is_empty())
    });
    for process in &fleet.control {
        assert_eq!(process.role(), "", "{}", process.log());
    }
    let last = fleet.spawn_control(2);
    fleet.control.push(last);
    let revision = fleet.add_team(2, "first");
    fleet.wait_for_revision(revision);
    let roles: Vec<String> = fleet.control.iter().map(Process::role).collect();
    let leaders = roles.iter().filter(|role| *role == "leader").count();
    assert_eq!(leaders, 1, "{roles:?}");
    fleet.assert_no_violations();
}

/// Guards against a member that lost its disk and votes again under its old name. It
/// has no record of its earlier votes, so accepted changes could be lost.
#[test]
fn a_member_that_lost_its_disk_does_not_vote_again() {
    let mut fleet = Fleet::start(3, 1);
    let lost = (fleet.leader() + 1) % 3;
    let revision = fleet.add_team(lost, "before");
    fleet.control[lost].kill();
    fs::remove_dir_all(&fleet.control[lost].data).expect("remove the data folder");
    fleet.control[lost].restart();
    eventually("the group rejects the data folder", || {
        fleet.control[lost]
            .log()
            .contains("does not know this data folder")
    });
    let revision = fleet.add_team((lost + 1) % 3, "after").max(revision);
    eventually("the other members accept changes", || {
        fleet.routers[0].revision() >= revision
    });
    let role = fleet.control[lost].role();
    assert!(role.is_empty() || role == "follower", "{role}");
    // The member without its disk has no vote, so one more loss ends the quorum.
    let other = (fleet.leader() + 1) % 3;
    let other = if other == lost {
        (other + 1) % 3
    } else {
        other
    };
    fleet.control[other].kill();
    eventually("the last member does not lead alone", || {
        fleet.control.iter().all(|p| p.role() != "leader")
    });
}
