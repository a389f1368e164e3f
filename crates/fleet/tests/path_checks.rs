//! Silent targets: how often routers check whether they can still be reached.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_fleet::router::PathChecks;

fn target(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 80))
}

/// Counts the checks of a target at which requests are silent for ten seconds.
fn checks_in_ten_seconds(routers: u32) -> u32 {
    let start = Instant::now();
    let mut checks = PathChecks::default();
    let steps = (0..10_000).step_by(5).map(Duration::from_millis);
    let begun = steps.filter(|&step| checks.begin(target(1), routers, start + step));
    u32::try_from(begun.count()).expect("a few checks")
}

#[test]
fn one_data_centre_cut_off_and_each_silent_target_is_checked_at_once() {
    let now = Instant::now();
    let mut checks = PathChecks::default();
    for index in 0..100 {
        assert!(checks.begin(target(index), 7, now));
        assert!(!checks.begin(target(index), 7, now));
    }
}

#[test]
fn overloaded_target_is_checked_at_most_twenty_times_a_second_by_all_routers() {
    for routers in [1, 7, 90, 300] {
        let checks = routers * checks_in_ten_seconds(routers);
        // The first check of each router is not limited.
        assert!(
            checks <= 200 + routers,
            "{checks} checks of {routers} routers"
        );
    }
}
