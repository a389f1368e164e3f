//! Departures that wait for copies, and writes of the soft state, without a network.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_fleet::control::{Departures, SoftStateWrites};
use bamboospur_fleet::link::{Responder, Ticket};

const RETRY_TIME: Duration = Duration::from_millis(500);
const WAIT: Duration = Duration::from_secs(1);

fn peer(host: u8) -> Responder {
    Responder::Peer(SocketAddr::from(([10, 0, 0, host], 9110)))
}

/// Adds a departure that two peers are asked to keep.
fn add(
    departures: &mut Departures<&'static str>,
    needed_copies: usize,
    own_write: u64,
    now: Instant,
) -> Ticket {
    let ticket = departures.add("a", needed_copies, own_write, now);
    for host in [2, 3] {
        departures.record_sent(ticket, peer(host));
    }
    ticket
}

#[test]
fn a_departure_is_answered_once_enough_disks_have_it() {
    let now = Instant::now();
    let mut departures = Departures::default();
    let ticket = add(&mut departures, 2, 5, now);
    assert!(departures.take_copied(5).is_empty());
    departures.record_copy(ticket, peer(2));
    assert!(departures.take_copied(4) == [] as [&str; 0]);
    assert_eq!(departures.take_copied(5), ["a"]);
    assert!(departures.take_copied(9).is_empty());
}

#[test]
fn the_own_disk_is_not_needed_if_enough_peers_have_a_copy() {
    let mut departures = Departures::default();
    let ticket = add(&mut departures, 2, 5, Instant::now());
    departures.record_copy(ticket, peer(2));
    departures.record_copy(ticket, peer(2));
    assert!(departures.take_copied(0).is_empty(), "one peer counts once");
    departures.record_copy(ticket, peer(3));
    assert_eq!(departures.take_copied(0), ["a"]);
}

/// A confirmation counts only from an instance that was asked, and only for what it was asked.
#[test]
fn a_copy_counts_only_from_a_peer_that_was_asked() {
    let now = Instant::now();
    let mut departures = Departures::default();
    let first = add(&mut departures, 2, 0, now);
    let second = departures.add("b", 2, 0, now);
    departures.record_copy(first, peer(4));
    departures.record_copy(second, peer(2));
    departures.record_copy(second + 1, peer(2));
    assert!(departures.take_copied(0).is_empty());
    departures.record_copy(first, peer(2));
    assert_eq!(departures.take_copied(0), ["a"]);
}

#[test]
fn a_departure_without_copies_is_dropped_in_time() {
    let now = Instant::now();
    let mut departures = Departures::default();
    let ticket = add(&mut departures, 2, 1, now);
    assert_eq!(departures.remove_expired(now), 0);
    assert_eq!(departures.remove_expired(now + WAIT), 1);
    departures.record_copy(ticket, peer(2));
    assert!(departures.take_copied(1).is_empty());
}

#[test]
fn soft_state_is_written_once_at_a_time_with_all_that_came_meanwhile() {
    let now = Instant::now();
    let mut writes = SoftStateWrites::new(now);
    assert_eq!((writes.start_due(now), writes.require_all()), (None, 0));
    writes.schedule().record_departure();
    assert_eq!(writes.require_all(), 1);
    assert_eq!(writes.start_due(now), Some(1));
    assert_eq!(writes.require_all(), 1);
    writes.schedule().record_change();
    assert_eq!(writes.require_all(), 2);
    assert_eq!(
        writes.start_due(now + WAIT),
        None,
        "the first is in progress"
    );
    writes.record_stored(1);
    assert_eq!(writes.stored(), 1);
    assert_eq!(writes.start_due(now), Some(2));
}

/// A failed write was repeated only with the next change, so a restart forgot departures.
#[test]
fn a_failed_write_of_the_soft_state_is_repeated_until_it_succeeds() {
    let mut now = Instant::now();
    let mut writes = SoftStateWrites::new(now);
    writes.schedule().record_departure();
    let mut last = writes.start_due(now).expect("a write");
    for _ in 0..5 {
        writes.record_failure(now);
        assert_eq!(writes.start_due(now), None);
        now += RETRY_TIME;
        last = writes.start_due(now).expect("another try");
    }
    writes.record_stored(last);
    assert_eq!(writes.stored(), last);
    assert_eq!(writes.start_due(now + WAIT), None);
}
