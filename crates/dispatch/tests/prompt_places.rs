//! Where prompts go in fleets of many routers, each of which sees a sliver of the traffic.
//!
//! Guards against copies of cached prefixes without need: with hundreds of routers, the
//! first request with a prefix at one router was taken for a crowd at all of them, and
//! three quarters of all requests went to an engine that had to copy the prefix.

use std::time::Duration;

use bamboospur_emulator::fleet::{Counts, Fleet, FleetSettings};

/// Largest share of requests that may cause a copy in a calm fleet. At three quarters,
/// copies cost 0.15 of what callers gain, and a quarter of that is aimed at.
const MAX_CALM_COPIES: f64 = 0.2;
/// Largest share of requests that deployments may send to a target above the load bound.
const MAX_ABOVE_BOUND: f64 = 0.03;

/// 295 routers and 160 engines, each with a few of 1,800 prefixes.
fn large() -> FleetSettings {
    FleetSettings {
        routers: 295,
        engines: 160,
        slots: 64,
        prefixes: 1_800,
        mean_service_s: 1.0,
        prefix_time: Duration::from_millis(100),
        warm_up_rate_per_s: 745.0,
        rate_per_s: 745.0,
        warm_up: Duration::from_secs(6),
        length: Duration::from_secs(12),
        ..FleetSettings::default()
    }
}

/// 84 routers and 60 engines.
fn medium() -> FleetSettings {
    FleetSettings {
        routers: 84,
        engines: 60,
        slots: 24,
        prefixes: 900,
        warm_up_rate_per_s: 400.0,
        rate_per_s: 400.0,
        ..large()
    }
}

/// 7 routers and 9 engines.
fn small() -> FleetSettings {
    FleetSettings {
        routers: 7,
        engines: 9,
        prefixes: 150,
        warm_up_rate_per_s: 46.0,
        rate_per_s: 46.0,
        ..large()
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn share(part: u64, of: u64) -> f64 {
    part as f64 / of as f64
}

fn run(settings: FleetSettings) -> Counts {
    let (routers, hot_share) = (settings.routers, settings.hot_share);
    let counts = Fleet::new(settings).run();
    println!("{routers} routers, hot share {hot_share}: {counts:?}");
    let above_bound = share(counts.above_bound, counts.sent);
    assert!(above_bound < MAX_ABOVE_BOUND, "{above_bound}: {counts:?}");
    assert_eq!(counts.refused_with_room, 0, "{counts:?}");
    counts
}

#[test]
fn a_calm_fleet_keeps_its_prompts_in_place() {
    for settings in [small(), medium(), large()] {
        let counts = run(settings);
        let copied = share(counts.copied, counts.sent);
        assert!(copied < MAX_CALM_COPIES, "{copied}: {counts:?}");
        assert_eq!(counts.refused, 0);
    }
}

/// One prompt's crowd: a third of the requests suddenly have the same prefix.
#[test]
fn a_prompt_with_a_crowd_spreads_within_the_load_bound() {
    for settings in [small(), medium(), large()] {
        let counts = run(FleetSettings {
            hot_share: 0.3,
            ..settings
        });
        let copied = share(counts.copied, counts.sent);
        assert!(copied < 0.5, "{copied}: {counts:?}");
    }
}

/// Nothing is cached anywhere when the requests start.
#[test]
fn a_cold_fleet_processes_few_prefixes_twice() {
    for settings in [medium(), large()] {
        let prefixes = settings.prefixes;
        let counts = run(FleetSettings {
            warm_up: Duration::ZERO,
            ..settings
        });
        let processed = share(counts.processed, prefixes);
        assert!(processed < 1.25, "{processed} times each: {counts:?}");
    }
}

#[test]
fn no_request_is_refused_while_half_of_the_slots_are_free() {
    for settings in [medium(), large()] {
        let rate_per_s = settings.rate_for_share(0.45);
        let counts = run(FleetSettings {
            rate_per_s,
            warm_up_rate_per_s: rate_per_s,
            warm_up: Duration::from_secs(3),
            length: Duration::from_secs(6),
            ..settings
        });
        assert_eq!(counts.refused, 0, "{counts:?}");
    }
}
