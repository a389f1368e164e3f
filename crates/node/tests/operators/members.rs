//! Replacement of a member of the control group.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;

use crate::ctl::Ctl;
use crate::process::{Process, free_address};
use crate::support::{eventually, test_folder};

fn start(folder: &Path, name: &str, own: SocketAddr, group: &[(&str, SocketAddr)]) -> Process {
    let file = |name: &str| folder.join(name).display().to_string();
    let members = group
        .iter()
        .map(|(name, address)| format!("{{ name = \"{name}\", address = \"{address}\" }}"));
    let text = format!(
        "name = \"{name}\"\ndata_folder = \"{}\"\nfleet_secret_file = \"{}\"\n\
         operator_token_file = \"{}\"\ncontrol = [{}]\n[addresses]\n\
         callers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\nfleet = \"{own}\"\n",
        file(&format!("data-{name}")),
        file("secret"),
        file("operator"),
        members.collect::<Vec<_>>().join(", "),
    );
    Process::start(name, folder, &text)
}

/// Guards against a replacement procedure that fails or loses an accepted change.
#[test]
fn a_control_instance_is_replaced() {
    let folder = test_folder();
    fs::write(folder.join("secret"), "fleet-secret").expect("secret");
    fs::write(folder.join("operator"), "operator-token").expect("token");
    let [a, b, c, d] = [(); 4].map(|()| free_address());
    let group = [("one", a), ("two", b), ("three", c)];
    let mut nodes: Vec<_> = group
        .iter()
        .map(|(name, address)| start(&folder, name, *address, &group))
        .collect();
    eventually("there is a leader", || {
        nodes.iter().any(|node| node.role() == "leader")
    });
    let ctl = Ctl::new(nodes[0].operators, "operator-token");
    let set = ctl.expect_success(&["set", "fleet.balancer_drain_ms", "7", "--wait"]);
    assert_eq!(set["in_force"]["in_force"], 3, "{set}");
    nodes[2].kill();

    let fresh = start(&folder, "four", d, &[("one", a), ("two", b), ("four", d)]);
    let disk = fresh.status()["control"]["disk"]
        .as_str()
        .map(str::to_owned);
    let disk = disk.expect("identity of the disk");
    ctl.expect_success(&["members", "add", "four", "--disk", &disk]);
    eventually("the new member is promoted", || {
        ctl.run(&["members", "promote", "four"]).code == 0
    });
    ctl.expect_success(&["members", "remove", "three"]);
    let kinds = |members: &Value| {
        let members = members["members"].as_array().expect("members");
        let kinds = members.iter().map(|m| {
            let text = |field: &str| m[field].as_str().expect("text").to_owned();
            (text("instance"), text("kind"))
        });
        let mut kinds: Vec<_> = kinds.collect();
        kinds.sort();
        kinds
    };
    let fresh_ctl = Ctl::new(fresh.operators, "operator-token");
    eventually("the new member knows the members", || {
        let members = kinds(&fresh_ctl.expect_success(&["members"]));
        let voters = members.iter().filter(|(_, kind)| kind == "voter");
        members.len() == 3 && voters.count() == 3
    });
    // With one of three members killed, a quorum needs the vote of the new member.
    nodes[1].kill();
    eventually("a change is accepted", || {
        ctl.run(&["set", "fleet.claim_validity_ms", "5000"]).code == 0
    });
    eventually("the new member has all settings", || {
        fresh_ctl.value("fleet.balancer_drain_ms") == 7
            && fresh_ctl.value("fleet.claim_validity_ms") == 5000
    });
}
