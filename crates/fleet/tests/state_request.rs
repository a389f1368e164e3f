//! Tests that a router gets the list of all targets even if the peer that it asks is silent or
//! loses its link.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_fleet::router::StateRequest;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 80))
}

#[test]
fn a_peer_is_asked_once_until_the_list_arrives() {
    let now = Instant::now();
    let peers = [1, 2, 3].map(address);
    let mut request = StateRequest::default();
    assert_eq!(request.next_peer(&peers, now), None);
    let ask_at = now + Duration::from_millis(200);
    request.record_missing(ask_at);
    assert_eq!(request.next_peer(&peers, now), None);
    assert_eq!(request.next_peer(&[], ask_at), None);
    assert_eq!(request.next_peer(&peers, ask_at), Some(address(1)));
    assert_eq!(request.next_peer(&peers, ask_at), None);
    request.record_complete(address(1));
    let later = ask_at + Duration::from_mins(1);
    assert_eq!(request.next_peer(&peers, later), None);
}

#[test]
fn another_peer_is_asked_when_the_link_to_the_asked_one_ends() {
    let now = Instant::now();
    let mut request = StateRequest::default();
    request.record_missing(now);
    let asked = request.next_peer(&[1, 2].map(address), now);
    assert_eq!(asked, Some(address(1)));
    assert_eq!(request.next_peer(&[address(2)], now), Some(address(2)));
    // The link of the first one is up again, and that of the second one is not.
    assert_eq!(request.next_peer(&[address(1)], now), Some(address(1)));
}

#[test]
fn all_peers_are_asked_in_turn_while_none_answers() {
    let mut now = Instant::now();
    let peers = [1, 2, 3].map(address);
    let mut request = StateRequest::default();
    request.record_missing(now);
    for expected in [1, 2, 3, 1] {
        assert_eq!(request.next_peer(&peers, now), Some(address(expected)));
        now += Duration::from_secs(6);
    }
}

#[test]
fn a_list_that_was_not_requested_does_not_replace_the_places_of_prompts() {
    let now = Instant::now();
    let peers = [1, 2].map(address);
    let mut request = StateRequest::default();
    request.record_missing(now);
    request.record_complete(address(1));
    assert!(request.lacks_prefixes());
    assert_eq!(request.next_peer(&peers, now), Some(address(1)));
    request.record_complete(address(2));
    assert!(request.lacks_prefixes());
    request.record_complete(address(1));
    assert!(!request.lacks_prefixes());
    // Later lists are all that is needed.
    request.record_missing(now);
    request.record_complete(address(2));
    assert_eq!(request.next_peer(&peers, now), None);
}
