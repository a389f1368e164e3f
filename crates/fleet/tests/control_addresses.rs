//! Guards against routers that find the control group never again after a long loss.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_fleet::router::ControlAddresses;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7000))
}

#[test]
fn no_address_is_forgotten_while_no_control_instance_is_heard_of() {
    let start = Instant::now();
    for loss in [5, 36, 5 * 60, 24 * 60 * 60] {
        let mut addresses = ControlAddresses::default();
        addresses.set_seeds(&[address(1), address(2)], start);
        addresses.record_heard(address(3), start);
        let now = start + Duration::from_secs(loss);
        assert!(addresses.take_expired(now).is_empty(), "{loss} s");
    }
}

#[test]
fn an_address_is_forgotten_once_the_group_does_not_name_it_any_more() {
    let start = Instant::now();
    let mut addresses = ControlAddresses::default();
    addresses.set_seeds(&[address(1), address(2)], start);
    addresses.record_heard(address(3), start);
    addresses.record_heard(address(4), start);
    let now = start + Duration::from_secs(31);
    addresses.record_heard(address(4), now);
    // The seeds stay, though only another instance is heard of.
    assert_eq!(addresses.take_expired(now), [address(3)]);
    assert!(addresses.take_expired(now).is_empty());
}

#[test]
fn seeds_that_the_settings_name_no_more_are_forgotten_like_others() {
    let start = Instant::now();
    let mut addresses = ControlAddresses::default();
    addresses.set_seeds(&[address(1), address(2)], start);
    let now = start + Duration::from_secs(31);
    addresses.set_seeds(&[address(2), address(3)], now);
    assert_eq!(addresses.take_expired(now), [address(1)]);
}
