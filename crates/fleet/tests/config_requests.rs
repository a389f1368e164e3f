//! Which peer a router asks for a configuration that it lacks.
//!
//! Guards against a router that waited for a control instance that was cut off from the
//! other two, while the leader was linked: removed routes stayed in force for seconds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_fleet::router::{ConfigRequests, Peer, Peers};

/// Time in which a peer usually gets a version that is accepted.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);
/// Time between two periodic checks of a router.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// Returns linked peers that were heard just now.
fn linked(numbers: &[u8], now: Instant) -> Vec<Peer> {
    let peer = |&number: &u8| Peer {
        address: address(number),
        up: true,
        heard_at: Some(now),
    };
    numbers.iter().map(peer).collect()
}

/// Peers without relays: three control instances, the preferred one first.
fn controls(now: Instant) -> Peers {
    Peers {
        relays: Vec::new(),
        controls: linked(&[1, 2, 3], now),
    }
}

/// Peers with two relays and three control instances.
fn relays_and_controls(now: Instant) -> Peers {
    Peers {
        relays: linked(&[11, 12], now),
        ..controls(now)
    }
}

/// Returns requests of a router that heard of version 8 from the control instance 3.
fn behind() -> ConfigRequests {
    let mut requests = ConfigRequests::default();
    requests.record_known(8, Some(address(3)));
    requests
}

#[test]
fn a_router_with_the_newest_version_asks_nobody() {
    let now = Instant::now();
    let mut requests = behind();
    assert_eq!(requests.next_peer(8, &controls(now), now), None);
    assert_eq!(
        ConfigRequests::default().next_peer(0, &controls(now), now),
        None
    );
}

#[test]
fn the_instance_that_stated_the_version_is_asked_when_the_serving_one_lacks_it() {
    let start = Instant::now();
    let mut requests = behind();
    let asked = requests.next_peer(7, &controls(start), start);
    assert_eq!(asked, Some(address(1)));
    requests.record_lacking(address(1));
    assert_eq!(requests.next_peer(7, &controls(start), start), None);
    let now = start + CATCH_UP_TIME;
    let asked = requests.next_peer(7, &controls(now), now);
    assert_eq!(asked, Some(address(3)));
    assert_eq!(requests.next_peer(7, &controls(now), now), None);
}

/// Guards against a leader that sends a large change to most routers of a fleet, while the
/// instances that serve them have it too: its heartbeats and confirmations were late by seconds.
#[test]
fn a_router_asks_the_instance_that_serves_it_before_the_leader() {
    let now = Instant::now();
    let mut requests = behind();
    let asked = requests.next_peer(7, &controls(now), now);
    assert_eq!(asked, Some(address(1)));
}

/// Guards against a router that waits for seconds because the instance that serves it serves
/// many others, while the other instances have sent the change to theirs.
#[test]
fn a_router_asks_another_instance_than_the_leader_when_the_serving_one_is_slow() {
    let start = Instant::now();
    let mut requests = behind();
    assert_eq!(
        requests.next_peer(7, &controls(start), start),
        Some(address(1))
    );
    let early = start + Duration::from_millis(500);
    assert_eq!(requests.next_peer(7, &controls(early), early), None);
    let now = start + Duration::from_millis(600);
    assert_eq!(requests.next_peer(7, &controls(now), now), Some(address(2)));
    assert!(requests.take_unneeded(7).is_empty());
    // The change has arrived, so the first one need not send it any more.
    assert_eq!(requests.take_unneeded(8), [address(1)].into());
    assert!(requests.take_unneeded(8).is_empty());
}

/// The answer to the last request arrived, and the next version is missed as well.
#[test]
fn the_next_version_is_requested_at_once() {
    let now = Instant::now();
    let mut requests = behind();
    assert!(requests.next_peer(7, &controls(now), now).is_some());
    requests.record_known(9, Some(address(3)));
    assert_eq!(requests.next_peer(7, &controls(now), now), None);
    let asked = requests.next_peer(8, &controls(now), now);
    assert_eq!(asked, Some(address(1)));
}

#[test]
fn a_relay_is_asked_before_a_control_instance() {
    let now = Instant::now();
    let mut requests = behind();
    let asked = requests.next_peer(7, &relays_and_controls(now), now);
    assert_eq!(asked, Some(address(11)));
}

#[test]
fn peers_without_a_newer_version_are_passed_over_once_they_could_have_it() {
    let start = Instant::now();
    let mut requests = behind();
    let peers = relays_and_controls(start);
    assert_eq!(requests.next_peer(7, &peers, start), Some(address(11)));
    requests.record_lacking(address(11));
    assert_eq!(requests.next_peer(7, &peers, start), None);
    let now = start + CATCH_UP_TIME;
    // The serving instance comes first, then the one that stated the version. The others may
    // have it as well; then the round begins again.
    for expected in [12, 1, 3, 2] {
        let asked = requests.next_peer(7, &peers, now).expect("a peer");
        assert_eq!(asked, address(expected));
        requests.record_lacking(asked);
    }
    assert_eq!(requests.next_peer(7, &peers, now), None);
    requests.forget_lacking();
    assert_eq!(requests.next_peer(7, &peers, now), Some(address(11)));
}

#[test]
fn a_silent_peer_is_passed_over_within_a_second() {
    let start = Instant::now();
    let mut requests = behind();
    let peers = relays_and_controls(start);
    assert_eq!(requests.next_peer(7, &peers, start), Some(address(11)));
    let next = (1..=2_u32).find_map(|check| {
        let now = start + CHECK_INTERVAL * check;
        requests.next_peer(7, &peers, now)
    });
    assert_eq!(next, Some(address(12)));
}

#[test]
fn a_peer_that_sends_something_may_take_its_time() {
    let start = Instant::now();
    let mut requests = behind();
    requests.next_peer(0, &relays_and_controls(start), start);
    for check in 1..=6 {
        let now = start + CHECK_INTERVAL * check;
        let peers = relays_and_controls(now);
        assert_eq!(requests.next_peer(0, &peers, now), None, "{check}");
    }
    let now = start + CHECK_INTERVAL * 8;
    let peers = relays_and_controls(now);
    assert_eq!(requests.next_peer(0, &peers, now), Some(address(12)));
}

/// A whole fleet starts: neither relays nor control instances are asked in turn by all.
#[test]
fn a_router_without_a_configuration_waits_for_its_peer() {
    let now = Instant::now();
    let mut requests = behind();
    let peers = relays_and_controls(now);
    assert_eq!(requests.next_peer(0, &peers, now), Some(address(11)));
    requests.record_lacking(address(11));
    assert_eq!(requests.next_peer(0, &peers, now), None);
    // The preferred control instance, not the leader that all routers heard from.
    let mut requests = behind();
    let asked = requests.next_peer(0, &controls(now), now);
    assert_eq!(asked, Some(address(1)));
}

#[test]
fn a_router_that_starts_waits_for_links_to_relays() {
    let start = Instant::now();
    let mut requests = behind();
    let mut peers = relays_and_controls(start);
    for relay in &mut peers.relays {
        relay.up = false;
    }
    assert_eq!(requests.next_peer(0, &peers, start), None);
    let later = start + Duration::from_secs(2);
    assert_eq!(requests.next_peer(0, &peers, later), Some(address(1)));
}
