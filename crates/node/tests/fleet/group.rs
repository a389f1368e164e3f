//! The control group while its members crash or are suspended.

use bamboospur_types::stable_id;

use crate::fleet::Fleet;
use crate::process::Process;
use crate::support::eventually;

/// Guards against a change that one node accepts and another never applies, and
/// against a group that accepts no changes after its leader was killed.
#[test]
fn changes_are_accepted_after_the_leader_was_killed() {
    let mut fleet = Fleet::start(3, 2);
    let revision = fleet.add_team(4, "before");
    fleet.wait_for_revision(revision);
    let leader = fleet.leader();
    fleet.control[leader].kill();
    let other = (leader + 1) % 3;
    let revision = fleet.add_team(other, "without");
    let revision = fleet.add_team(4, "without-by-router").max(revision);
    let routers = fleet.routers.iter();
    for process in routers.chain([&fleet.control[other]]) {
        eventually("the change is in force", || process.revision() >= revision);
    }
    fleet.control[leader].restart();
    fleet.wait_for_revision(revision);
    for process in fleet.all() {
        for team in ["before", "without", "without-by-router"] {
            assert!(
                Fleet::knows_team(process, team),
                "{team} on {}",
                process.name
            );
        }
    }
    fleet.assert_no_violations();
}

/// Guards against the loss of accepted changes: every process is killed and restarted
/// several times during many changes.
#[test]
fn no_change_is_lost_over_hundreds_of_changes_and_restarts() {
    const CHANGES: usize = 240;
    let mut fleet = Fleet::start(3, 2);
    let mut revisions = Vec::new();
    for number in 0..CHANGES {
        if number % 12 == 5 {
            let index = number / 12 % 5;
            let process = match index {
                0..3 => &mut fleet.control[index],
                _ => &mut fleet.routers[index - 3],
            };
            process.restart();
        }
        revisions.push(fleet.add_team(number % 5, &format!("team-{number}")));
    }
    let last = *revisions.last().expect("changes");
    fleet.wait_for_revision(last);
    for process in fleet.all() {
        for number in 0..CHANGES {
            let team = format!("team-{number}");
            assert!(
                Fleet::knows_team(process, &team),
                "{team} on {}",
                process.name
            );
        }
    }
    // A change that is sent again gets the answer of its first run.
    for number in (0..CHANGES).step_by(40) {
        let again = fleet.add_team(number % 5, &format!("team-{number}"));
        assert_eq!(again, revisions[number]);
    }
    fleet.assert_no_violations();
}

/// Guards against a group that replaces its leader only when connections close. A
/// suspended process keeps its connections open without sending, and still takes
/// itself for the leader when it resumes.
#[test]
fn a_suspended_leader_is_replaced_and_catches_up() {
    let fleet = Fleet::start(3, 2);
    let leader = fleet.leader();
    fleet.control[leader].suspend();
    let mut revision = 0;
    for number in 0..20 {
        let via = 3 + number % 2;
        revision = fleet.add_team(via, &format!("team-{number}"));
    }
    for router in &fleet.routers {
        eventually("the change is in force", || router.revision() >= revision);
    }
    fleet.control[leader].resume();
    fleet.wait_for_revision(revision);
    let revision = fleet.add_team(leader, "after");
    fleet.wait_for_revision(revision);
    fleet.assert_no_violations();
}

/// Guards against a router that stays with a control instance which keeps the
/// connection open without sending.
#[test]
fn a_router_replaces_a_suspended_control_instance() {
    let fleet = Fleet::start(3, 1);
    let router = &fleet.routers[0];
    let link = router.status()["control"]["links"][0]["peer"].clone();
    let ids = fleet.control.iter().map(|member| stable_id(&member.name));
    let followed = ids.map(|id| format!("{id:016x}"));
    let followed = followed.into_iter().position(|id| link == id.as_str());
    let followed = &fleet.control[followed.expect("a listed member")];
    followed.suspend();
    let revision = fleet.add_team(3, "meanwhile");
    eventually("the change is in force", || router.revision() >= revision);
    followed.resume();
    fleet.wait_for_revision(revision);
    fleet.assert_no_violations();
}

/// Guards against sending the same changes repeatedly. A follower reports after each
/// change of a burst, and each report was once answered with all changes that were
/// still in flight to the follower.
#[test]
fn a_burst_of_changes_is_sent_once() {
    const CALLERS: usize = 8;
    const CHANGES: usize = 50;
    /// Upper bound for one team in a settings frame.
    const CHANGE_BYTES: u64 = 400;
    let fleet = Fleet::start(3, 2);
    let received = |process: &Process| {
        let status = process.status();
        let settings = &status["control"]["traffic"]["tcp"]["settings"];
        settings["received_bytes"].as_u64().expect("counted")
    };
    let before: Vec<u64> = fleet.all().map(received).collect();
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let fleet = &fleet;
            scope.spawn(move || {
                for number in 0..CHANGES {
                    fleet.add_team(caller % 5, &format!("burst-{caller}-{number}"));
                }
            });
        }
    });
    let changes = (CALLERS * CHANGES) as u64;
    fleet.wait_for_revision(2 + changes);
    for (process, before) in fleet.all().zip(before) {
        let bytes = received(process) - before;
        println!("{}: {bytes} bytes of settings", process.name);
        // Each of the three control instances may send each change.
        let most = 3 * changes * CHANGE_BYTES;
        assert!(bytes <= most, "{}: {bytes} bytes", process.name);
    }
    fleet.assert_no_violations();
}
