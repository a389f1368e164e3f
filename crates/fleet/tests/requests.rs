//! Who may answer a request, without a network.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_fleet::link::{Requests, Responder};

const TIMEOUT: Duration = Duration::from_millis(850);

fn peer(host: u8) -> Responder {
    Responder::Peer(SocketAddr::from(([10, 0, 0, host], 9110)))
}

#[test]
fn only_the_receiver_of_a_request_may_answer_it() {
    let mut requests = Requests::default();
    let deadline = Instant::now() + TIMEOUT;
    let ticket = requests.add_sent("a", peer(1), deadline);
    assert_eq!(requests.get(ticket, peer(2)), None);
    assert_eq!(requests.get_mut(ticket, Responder::Own), None);
    assert_eq!(requests.take(ticket, peer(2)), None);
    assert_eq!(requests.take(ticket, peer(1)), Some("a"));
    assert_eq!(requests.take(ticket, peer(1)), None, "answered before");
}

#[test]
fn a_request_that_was_sent_to_nobody_has_no_answer() {
    let mut requests = Requests::default();
    let ticket = requests.add("a", Instant::now() + TIMEOUT);
    for from in [Responder::Own, peer(1)] {
        assert_eq!(requests.take(ticket, from), None);
    }
    requests.record_sent(ticket, Responder::Own);
    assert_eq!(requests.take(ticket, Responder::Own), Some("a"));
}

/// A request that is sent again gets a ticket of its own, so that the answer to the first try
/// does not end the second one.
#[test]
fn a_request_that_is_sent_again_is_not_ended_by_the_first_answer() {
    let mut requests = Requests::default();
    let deadline = Instant::now() + TIMEOUT;
    let first = requests.add_sent("a", peer(1), deadline);
    let resent = requests.extract_if(|_| true);
    assert_eq!(resent, [("a", deadline)]);
    let second = requests.add_sent("a", peer(1), deadline);
    assert_eq!(requests.take(first, peer(1)), None);
    assert_eq!(requests.take(second, peer(1)), Some("a"));
}

/// The tickets of an instance began at 1 in each process, so that an answer to the process
/// before named a request of the next one.
#[test]
fn an_answer_to_the_process_before_names_no_request_of_the_next_one() {
    let deadline = Instant::now() + TIMEOUT;
    let mut before = Requests::default();
    let mut next = Requests::default();
    let answered: Vec<_> = (0..1_000)
        .map(|_| before.add_sent("before", peer(1), deadline))
        .collect();
    for _ in 0..1_000 {
        next.add_sent("next", peer(1), deadline);
    }
    for ticket in answered {
        assert_eq!(next.take(ticket, peer(1)), None, "{ticket}");
    }
}

#[test]
fn expired_requests_are_returned_once_and_have_no_answer() {
    let now = Instant::now();
    let mut requests = Requests::default();
    let first = requests.add_sent("a", peer(1), now + TIMEOUT);
    let second = requests.add_sent("b", peer(1), now + TIMEOUT * 2);
    assert_eq!(requests.next_deadline(), Some(now + TIMEOUT));
    assert!(requests.take_expired(now).is_empty());
    assert_eq!(requests.take_expired(now + TIMEOUT), ["a"]);
    assert_eq!(requests.take(first, peer(1)), None);
    assert_eq!(requests.take(second, peer(1)), Some("b"));
    assert_eq!(requests.next_deadline(), None);
}
