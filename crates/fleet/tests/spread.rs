//! Selection of relays, and distribution of target reports over routers.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bamboospur_fleet::control::{Fanout, FanoutSettings};
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

#[test]
fn a_small_deployment_has_no_relays() {
    let mut fanout = Fanout::new(SETTINGS);
    assert!(!fanout.select_relays(borrowed(&fleet()), 10));
    assert!(!fanout.has_relays());
}

#[test]
fn a_large_deployment_has_relays_in_each_data_centre() {
    let mut fanout = Fanout::new(SETTINGS);
    assert!(fanout.select_relays(borrowed(&fleet()), 11));
    let relays = fanout.relays();
    let north = relays
        .iter()
        .filter(|(data_centre, _)| data_centre == "north");
    assert_eq!((north.count(), relays.len()), (2, 4));
    assert!(!fanout.select_relays(borrowed(&fleet()), 11));
}

#[test]
fn control_instances_choose_the_same_relays() {
    let (mut first, mut second) = (Fanout::new(SETTINGS), Fanout::new(SETTINGS));
    first.select_relays(borrowed(&fleet()), 11);
    let other: Vec<_> = fleet()
        .into_iter()
        .rev()
        .zip(50..)
        .map(|((_, hello), link)| (link, hello))
        .collect();
    second.select_relays(borrowed(&other), 11);
    let sorted = |fanout: &Fanout| BTreeSet::from_iter(fanout.relays());
    assert_eq!(sorted(&first), sorted(&second));
}

#[test]
fn an_ended_relay_is_replaced_and_a_returning_one_is_selected_again() {
    let mut fanout = Fanout::new(SETTINGS);
    let mut routers = fleet();
    fanout.select_relays(borrowed(&routers), 11);
    let lost = fanout.relay_links().next().expect("a relay");
    let (_, hello) = routers.remove(
        routers
            .iter()
            .position(|r| r.0 == lost)
            .expect("link of the lost relay"),
    );
    let others: BTreeSet<LinkId> = fanout.relay_links().filter(|&l| l != lost).collect();
    assert!(fanout.select_relays(borrowed(&routers), 11));
    let relays: BTreeSet<LinkId> = fanout.relay_links().collect();
    assert!(
        relays.is_superset(&others) && relays.len() == 4,
        "{relays:?}"
    );
    routers.push((99, hello));
    assert!(fanout.select_relays(borrowed(&routers), 11));
    let relays: BTreeSet<LinkId> = fanout.relay_links().collect();
    assert!(relays.contains(&99) && relays.len() == 4, "{relays:?}");
}

#[test]
fn relays_do_not_flap_near_the_bound() {
    let mut fanout = Fanout::new(SETTINGS);
    fanout.select_relays(borrowed(&fleet()), 11);
    assert!(!fanout.select_relays(borrowed(&fleet()), 9));
    assert!(fanout.select_relays(borrowed(&fleet()), 5));
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
