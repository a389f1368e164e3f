//! Guards against herding in a flash crowd: many routers together receive more requests than
//! the engines can run, each knows only loads that are a few hundred milliseconds old, and so
//! all could send to the same engines.

use bamboospur_emulator::fleet::{Counts, Fleet, FleetSettings};

/// Requests per second that use this share of the engines' slots.
fn rate(share_of_capacity: f64) -> f64 {
    FleetSettings::default().rate_for_share(share_of_capacity)
}

#[expect(clippy::cast_precision_loss)]
fn share(part: u64, of: u64) -> f64 {
    part as f64 / of as f64
}

fn run_seeds(share_of_capacity: f64, skew: f64, crashed: usize) -> Counts {
    // The result of the last seed is returned for further checks.
    run_seed(share_of_capacity, skew, crashed, 2);
    run_seed(share_of_capacity, skew, crashed, 3);
    run_seed(share_of_capacity, skew, crashed, 1)
}

fn run_seed(share_of_capacity: f64, skew: f64, crashed: usize, seed: u64) -> Counts {
    let counts = Fleet::new(FleetSettings {
        warm_up_rate_per_s: rate(share_of_capacity.min(0.2)),
        rate_per_s: rate(share_of_capacity),
        skew,
        crashed,
        seed,
        ..FleetSettings::default()
    })
    .run();
    println!("{share_of_capacity} of capacity, seed {seed}: {counts:?}");
    // Deployments may send up to 3 in 100 requests to a target above the load bound, and one
    // retry for each five requests.
    let Counts {
        offered,
        sent,
        above_bound,
        shed,
        ..
    } = counts;
    assert!(share(above_bound, sent) < 0.03, "{above_bound} of {sent}");
    assert!(share(shed, offered) < 0.2, "{shed} of {offered}");
    counts
}

#[test]
fn few_requests_are_refused_at_light_load() {
    let counts = run_seeds(0.3, 0.0, 0);
    assert!(share(counts.refused, counts.offered) < 0.01);
}

#[test]
fn few_requests_are_refused_near_capacity() {
    let counts = run_seeds(0.8, 0.0, 0);
    assert!(share(counts.refused, counts.offered) < 0.1);
}

#[test]
fn few_requests_are_refused_when_one_router_has_many_callers() {
    let counts = run_seeds(0.6, 0.3, 0);
    assert!(share(counts.refused, counts.offered) < 0.01);
}

#[test]
fn a_crowd_beyond_capacity_keeps_engines_busy_and_below_the_load_bound() {
    let counts = run_seeds(1.8, 0.0, 0);
    let capacity = rate(1.0) * 5.0;
    #[expect(clippy::cast_precision_loss)]
    let used = counts.finished as f64 / capacity;
    assert!(used > 0.8, "{used}");
}

#[test]
fn remaining_engines_are_not_overloaded_when_most_crash() {
    let counts = run_seeds(0.9, 0.0, 36);
    let FleetSettings {
        slots, max_queue, ..
    } = FleetSettings::default();
    let limit = f64::from(slots + max_queue / 2) * 24.0;
    #[expect(clippy::cast_precision_loss)]
    let in_flight = (counts.sent - counts.finished) as f64;
    assert!(in_flight < limit, "{in_flight} of {limit}");
}
