//! Selection of relays, and distribution of target reports over routers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_fleet::control::{Fanout, FanoutSettings, Selection};
use bamboospur_fleet::link::{Hello, LinkId, Role, RouterLocation};

const SETTINGS: FanoutSettings = FanoutSettings {
    direct_entries: 100,
    relays: 2,
    own_targets: 20,
};

fn router(id: u64, data_centre: &str) -> Hello {
    let address =
        |port: u16| SocketAddr::from(([10, 0, 0, u8::try_from(id).expect("id below 256")], port));
    Hello {
        id,
        role: Role::Router(RouterLocation {
            data_centre: data_centre.to_owned(),
            links: address(1),
            reports: address(2),
        }),
    }
}

fn fleet() -> Vec<(LinkId, Hello)> {
    (1..=10)
        .map(|id| (id, router(id, if id <= 6 { "north" } else { "south" })))
        .collect()
}

fn borrowed(routers: &[(LinkId, Hello)]) -> impl Iterator<Item = (LinkId, &Hello)> {
    routers.iter().map(|(link, hello)| (*link, hello))
}

/// Time within which a lost relay has to be replaced.
const REPLACEMENT_TIME: Duration = Duration::from_secs(1);
/// Time between two selections of a control instance.
const ROUND: Duration = Duration::from_millis(500);

/// Selects relays among these routers for this number of targets; returns whether the
/// relays changed.
fn select(fanout: &mut Fanout, routers: &[(LinkId, Hello)], targets: usize, now: Instant) -> bool {
    fanout.select_relays(borrowed(routers), targets, Selection::KeepLinked, now)
}

/// Returns a fleet with a selection of relays.
fn fleet_with_relays(now: Instant) -> (Fanout, Vec<(LinkId, Hello)>) {
    let (mut fanout, routers) = (Fanout::new(SETTINGS), fleet());
    assert!(select(&mut fanout, &routers, 11, now));
    (fanout, routers)
}

/// Removes the router of a link of a relay and returns its hello.
fn remove_relay(fanout: &Fanout, routers: &mut Vec<(LinkId, Hello)>) -> Hello {
    let lost = fanout.relay_links().next().expect("a relay");
    let index = routers.iter().position(|r| r.0 == lost);
    routers.remove(index.expect("link of the lost relay")).1
}

#[test]
fn a_small_deployment_has_no_relays() {
    let mut fanout = Fanout::new(SETTINGS);
    assert!(!select(&mut fanout, &fleet(), 10, Instant::now()));
    assert!(!fanout.has_relays());
}

#[test]
fn a_large_deployment_has_relays_in_each_data_centre() {
    let now = Instant::now();
    let (mut fanout, routers) = fleet_with_relays(now);
    assert_eq!(fanout.relays_of("north").len(), 2);
    assert_eq!(fanout.relays().len(), 4);
    assert!(!select(&mut fanout, &routers, 11, now));
}

#[test]
fn control_instances_without_a_leader_choose_the_same_relays() {
    let now = Instant::now();
    let routers = fleet();
    let (mut first, mut second) = (Fanout::new(SETTINGS), Fanout::new(SETTINGS));
    let other: Vec<_> = fleet()
        .into_iter()
        .rev()
        .zip(50..)
        .map(|((_, hello), link)| (link, hello))
        .collect();
    // The routers dial both instances at once, but in another order.
    for count in 1..=routers.len() {
        for (fanout, linked) in [(&mut first, &routers), (&mut second, &other)] {
            let linked = borrowed(&linked[..count]);
            fanout.select_relays(linked, 11, Selection::ByRank, now);
        }
    }
    let sorted = |fanout: &Fanout| BTreeSet::from_iter(fanout.relays());
    assert_eq!(sorted(&first), sorted(&second));
}

#[test]
fn an_instance_adopts_the_relays_of_the_leader_and_keeps_them_when_it_leads() {
    let now = Instant::now();
    let (mut instance, mut routers) = fleet_with_relays(now);
    // The leader replaced a relay that this instance is still linked to.
    let mut leader = instance.clone();
    remove_relay(&leader, &mut routers);
    select(&mut leader, &routers, 11, now);
    assert!(select(&mut leader, &routers, 11, now + REPLACEMENT_TIME));
    assert!(instance.adopt_relays(&leader.relays(), borrowed(&fleet())));
    assert_eq!(instance.relays(), leader.relays());
    assert_eq!(instance.relay_links().count(), 4);
    assert!(!instance.adopt_relays(&leader.relays(), borrowed(&fleet())));
    assert!(!select(&mut instance, &fleet(), 11, now + REPLACEMENT_TIME));
}

#[test]
fn a_relay_that_dials_again_keeps_its_place() {
    let now = Instant::now();
    let (mut fanout, mut routers) = fleet_with_relays(now);
    let before = fanout.relays();
    let hello = remove_relay(&fanout, &mut routers);
    assert!(!select(&mut fanout, &routers, 11, now + ROUND));
    routers.push((99, hello));
    assert!(!select(&mut fanout, &routers, 11, now + ROUND * 2));
    assert_eq!(fanout.relays(), before);
    assert!(fanout.is_relay_link(99));
}

#[test]
fn a_lost_relay_is_replaced_within_a_second_and_the_others_stay() {
    let now = Instant::now();
    let (mut fanout, mut routers) = fleet_with_relays(now);
    let lost = remove_relay(&fanout, &mut routers);
    let others: BTreeSet<LinkId> = fanout.relay_links().skip(1).collect();
    select(&mut fanout, &routers, 11, now);
    assert!(select(&mut fanout, &routers, 11, now + ROUND));
    assert!(ROUND <= REPLACEMENT_TIME);
    let relays: BTreeSet<LinkId> = fanout.relay_links().collect();
    assert!(
        relays.is_superset(&others) && relays.len() == 4,
        "{relays:?}"
    );
    // Its return changes nothing: every change makes a data centre dial again.
    routers.push((99, lost));
    assert!(!select(&mut fanout, &routers, 11, now + ROUND * 2));
}

#[test]
fn relays_do_not_change_while_the_routers_restart_in_turn_except_their_own() {
    let now = Instant::now();
    let (mut fanout, mut routers) = fleet_with_relays(now);
    let mut changes = 0;
    for step in 0..10_u32 {
        let at = now + REPLACEMENT_TIME * 2 * step;
        let (_, hello) = routers.remove(0);
        select(&mut fanout, &routers, 11, at);
        changes += u32::from(select(&mut fanout, &routers, 11, at + ROUND));
        routers.push((100 + u64::from(step), hello));
        assert!(!select(&mut fanout, &routers, 11, at + ROUND * 2));
    }
    assert!(changes <= 10, "{changes} changes of the relays");
    assert_eq!(fanout.relays().len(), 4);
}

#[test]
fn relays_do_not_flap_near_the_bound() {
    let now = Instant::now();
    let (mut fanout, routers) = fleet_with_relays(now);
    assert!(!select(&mut fanout, &routers, 9, now));
    assert!(select(&mut fanout, &routers, 5, now));
    assert!(!fanout.has_relays());
}

#[test]
fn reports_go_to_routers_of_the_same_data_centre_once_there_are_many() {
    let fanout = Fanout::new(SETTINGS);
    let routers = fleet();
    let report_address = |target: &str, data_centre: &str, targets: usize| {
        let hellos = routers.iter().map(|(_, hello)| hello);
        fanout.report_address(hellos, target, data_centre, targets)
    };
    assert_eq!(report_address("t", "north", 20), None);
    assert_eq!(report_address("t", "east", 21), None);
    let names: Vec<String> = (0..300).map(|i| format!("t{i}")).collect();
    let north: Vec<_> = names
        .iter()
        .filter_map(|n| report_address(n, "north", 21))
        .collect();
    assert_eq!(north.len(), 300);
    for id in 1..=6 {
        let address = SocketAddr::from(([10, 0, 0, id], 2));
        let share = north.iter().filter(|&&a| a == address).count();
        assert!((25..=75).contains(&share), "router {id} has {share} of 300");
    }
}
