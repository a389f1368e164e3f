//! Who relays news of targets, and who takes their reports.

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
    let at = |port: u16| SocketAddr::from(([10, 0, 0, u8::try_from(id).expect("small")], port));
    Hello {
        id,
        role: Role::Router(RouterLocation {
            data_centre: data_centre.to_owned(),
            links: at(1),
            reports: at(2),
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
    let mut spread = Fanout::new(SETTINGS);
    assert!(!spread.select_relays(borrowed(&fleet()), 10));
    assert!(!spread.has_relays());
}

#[test]
fn a_large_deployment_has_relays_in_each_data_centre() {
    let mut spread = Fanout::new(SETTINGS);
    assert!(spread.select_relays(borrowed(&fleet()), 11));
    let relays = spread.relays();
    let north = relays.iter().filter(|(place, _)| place == "north");
    assert_eq!((north.count(), relays.len()), (2, 4));
    assert!(!spread.select_relays(borrowed(&fleet()), 11));
}

#[test]
fn control_instances_choose_the_same_relays() {
    let (mut one, mut two) = (Fanout::new(SETTINGS), Fanout::new(SETTINGS));
    one.select_relays(borrowed(&fleet()), 11);
    let other: Vec<_> = fleet()
        .into_iter()
        .rev()
        .zip(50..)
        .map(|((_, hello), link)| (link, hello))
        .collect();
    two.select_relays(borrowed(&other), 11);
    let sorted = |spread: &Fanout| BTreeSet::from_iter(spread.relays());
    assert_eq!(sorted(&one), sorted(&two));
}

#[test]
fn a_relay_that_ends_is_replaced_and_one_that_returns_starts_anew() {
    let mut spread = Fanout::new(SETTINGS);
    let mut routers = fleet();
    spread.select_relays(borrowed(&routers), 11);
    let lost = spread.relay_links().next().expect("a relay");
    let (_, hello) = routers.remove(routers.iter().position(|r| r.0 == lost).expect("it"));
    let others: BTreeSet<LinkId> = spread.relay_links().filter(|&l| l != lost).collect();
    assert!(spread.select_relays(borrowed(&routers), 11));
    let now: BTreeSet<LinkId> = spread.relay_links().collect();
    assert!(now.is_superset(&others) && now.len() == 4, "{now:?}");
    routers.push((99, hello));
    assert!(spread.select_relays(borrowed(&routers), 11));
    let now: BTreeSet<LinkId> = spread.relay_links().collect();
    assert!(now.contains(&99) && now.len() == 4, "{now:?}");
}

#[test]
fn a_fleet_near_the_bound_does_not_change_to_and_fro() {
    let mut spread = Fanout::new(SETTINGS);
    spread.select_relays(borrowed(&fleet()), 11);
    assert!(!spread.select_relays(borrowed(&fleet()), 9));
    assert!(spread.select_relays(borrowed(&fleet()), 5));
    assert!(!spread.has_relays());
}

#[test]
fn reports_go_to_routers_of_the_same_data_centre_once_there_are_many() {
    let spread = Fanout::new(SETTINGS);
    let routers = fleet();
    let to = |target: &str, data_centre: &str, targets: usize| {
        let hellos = routers.iter().map(|(_, hello)| hello);
        spread.report_address(hellos, target, data_centre, targets)
    };
    assert_eq!(to("t", "north", 20), None);
    assert_eq!(to("t", "east", 21), None);
    let names: Vec<String> = (0..300).map(|i| format!("t{i}")).collect();
    let north: Vec<_> = names.iter().filter_map(|n| to(n, "north", 21)).collect();
    assert_eq!(north.len(), 300);
    for id in 1..=6 {
        let address = SocketAddr::from(([10, 0, 0, id], 2));
        let share = north.iter().filter(|&&a| a == address).count();
        assert!((25..=75).contains(&share), "router {id} has {share} of 300");
    }
}
