//! Reports of the routers on which a change is in force.

use crate::ctl::Ctl;
use crate::fleet::Fleet;

/// Guards against a `--wait` that returns early, misses routers which follow another
/// member than the one asked, or doesn't report a router that is cut off.
#[test]
fn a_change_is_in_force_on_all_live_routers() {
    let fleet = Fleet::start(3, 2);
    for control in &fleet.control {
        let ctl = Ctl::new(control.operators, "operator-token");
        let set = ctl.expect_success(&["set", "teams.demo.priority", "2", "--wait"]);
        assert_eq!(set["in_force"]["live"], 5, "{set}");
        assert_eq!(set["in_force"]["in_force"], 5, "{set}");
        let revision = set["revision"].as_u64().expect("revision");
        for process in fleet.all() {
            assert!(process.revision() >= revision, "{}", process.name);
        }
    }
    fleet.routers[0].suspend();
    let ctl = Ctl::new(fleet.control[0].operators, "operator-token");
    let set = ctl.expect_success(&["set", "teams.demo.priority", "1", "--wait"]);
    fleet.routers[0].resume();
    assert_eq!(set["in_force"]["in_force"], 4, "{set}");
    let lagging = set["in_force"]["lagging"].as_array().expect("lagging");
    let named = lagging
        .iter()
        .find(|router| router["instance"] == "router-0");
    assert_eq!(named.expect("router-0")["cut_off"], true, "{set}");
    fleet.assert_no_violations();
}
