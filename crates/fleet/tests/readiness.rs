//! Loads on routers without a lease or without targets: which requests wait, which are
//! rejected, and when their callers return.

use std::time::{Duration, Instant};

use bamboospur_fleet::router::{Readiness, ReadinessSettings};

const SETTINGS: ReadinessSettings = ReadinessSettings {
    startup_time: Duration::from_secs(2),
    recovery_time: Duration::from_secs(1),
    targets_time: Duration::from_millis(1_500),
    prefixes_time: Duration::from_millis(300),
    max_waiting: 3,
    fleet_retry_after: Duration::from_millis(700),
    other_router_retry_after: Duration::from_millis(60),
};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn started() -> (Readiness, Instant) {
    let now = Instant::now();
    (Readiness::new(SETTINGS, now), now)
}

/// A router that has run for long and had a lease until now.
fn without_lease(linked_controls: usize) -> (Readiness, Instant) {
    let (mut readiness, start) = started();
    readiness.set_linked_controls(linked_controls);
    readiness.record_ready(start);
    (readiness, start + Duration::from_mins(1))
}

#[test]
fn all_start_at_once_and_requests_wait_for_the_first_lease() {
    let (mut readiness, start) = started();
    for after in [ms(0), ms(300), ms(1_999)] {
        assert_eq!(
            readiness.wait_deadline(start + after),
            Some(start + ms(2_000))
        );
    }
}

#[test]
fn all_start_at_once_without_a_quorum_and_callers_return_later() {
    let (mut readiness, start) = started();
    readiness.set_linked_controls(1);
    assert!(readiness.wait_deadline(start).is_some());
    let late = start + ms(2_000);
    assert_eq!(readiness.wait_deadline(late), None);
    assert_eq!(readiness.retry_after(late), SETTINGS.fleet_retry_after);
}

#[test]
fn one_router_alone_cut_off_sends_callers_to_another_at_once() {
    let (mut readiness, now) = without_lease(0);
    assert_eq!(readiness.wait_deadline(now), None);
    assert_eq!(
        readiness.retry_after(now),
        SETTINGS.other_router_retry_after
    );
}

#[test]
fn router_that_was_cut_off_waits_once_it_is_linked_again() {
    let (mut readiness, now) = without_lease(0);
    assert_eq!(readiness.wait_deadline(now), None);
    readiness.set_linked_controls(1);
    let linked = now + ms(3_000);
    assert_eq!(readiness.wait_deadline(linked), Some(linked + ms(1_000)));
}

#[test]
fn control_group_without_a_leader_holds_requests_for_one_election() {
    let (mut readiness, now) = without_lease(3);
    assert_eq!(readiness.wait_deadline(now), Some(now + ms(1_000)));
    assert_eq!(
        readiness.wait_deadline(now + ms(500)),
        Some(now + ms(1_000))
    );
    assert_eq!(readiness.wait_deadline(now + ms(1_000)), None);
    assert_eq!(
        readiness.retry_after(now + ms(1_000)),
        SETTINGS.fleet_retry_after
    );
}

#[test]
fn second_outage_has_a_wait_of_its_own() {
    let (mut readiness, now) = without_lease(3);
    assert!(readiness.wait_deadline(now).is_some());
    readiness.record_ready(now);
    let again = now + ms(5_000);
    assert_eq!(readiness.wait_deadline(again), Some(again + ms(1_000)));
}

#[test]
fn crowd_at_a_starting_router_is_held_only_up_to_the_limit() {
    let (mut readiness, start) = started();
    for _ in 0..SETTINGS.max_waiting {
        assert!(readiness.wait_deadline(start).is_some());
        readiness.begin_wait();
    }
    assert_eq!(readiness.wait_deadline(start), None);
    readiness.end_wait();
    assert!(readiness.wait_deadline(start).is_some());
}

#[test]
fn all_start_at_once_and_prompts_wait_for_the_places_of_cached_ones() {
    let (mut readiness, start) = started();
    assert_eq!(readiness.prompt_wait_deadline(start), None);
    let leased = start + ms(800);
    readiness.record_ready(leased);
    let deadline = Some(leased + ms(300));
    assert_eq!(readiness.prompt_wait_deadline(leased), deadline);
    readiness.record_ready(leased + ms(100));
    assert_eq!(readiness.prompt_wait_deadline(leased + ms(200)), deadline);
    assert_eq!(readiness.prompt_wait_deadline(leased + ms(300)), None);
}

#[test]
fn prompts_do_not_wait_once_the_places_are_known() {
    let (mut readiness, start) = started();
    readiness.record_prefixes();
    readiness.record_ready(start);
    assert_eq!(readiness.prompt_wait_deadline(start), None);
}

#[test]
fn all_start_at_once_and_requests_wait_for_the_list_of_targets() {
    let (mut readiness, start) = started();
    assert_eq!(readiness.targets_wait_deadline(start), None);
    let leased = start + ms(800);
    readiness.record_ready(leased);
    let deadline = Some(leased + ms(1_500));
    assert_eq!(readiness.targets_wait_deadline(leased + ms(900)), deadline);
    assert!(readiness.expects_targets(leased + ms(900)));
    assert_eq!(readiness.targets_wait_deadline(leased + ms(1_500)), None);
    assert!(!readiness.expects_targets(leased + ms(1_500)));
}

#[test]
fn requests_do_not_wait_once_the_list_of_targets_is_known() {
    let (mut readiness, start) = started();
    readiness.record_targets();
    readiness.record_ready(start);
    assert_eq!(readiness.targets_wait_deadline(start), None);
    assert!(!readiness.expects_targets(start));
}

#[test]
fn crowd_without_a_list_of_targets_is_held_only_up_to_the_limit() {
    let (mut readiness, start) = started();
    readiness.record_ready(start);
    for _ in 0..SETTINGS.max_waiting {
        assert!(readiness.targets_wait_deadline(start).is_some());
        readiness.begin_wait();
    }
    assert_eq!(readiness.targets_wait_deadline(start), None);
    readiness.end_wait();
    assert!(readiness.targets_wait_deadline(start).is_some());
}
