//! `cargo measure limits`: team shares under a synthetic trace in virtual time.
//!
//! The teams' request rates follow a Zipf distribution with exponent 1. Requests arrive
//! at random routers and run for 10 s on average, as long answers do. The rate of one
//! team rises tenfold, the router that owns the team crashes during this surge, and
//! refused callers retry each request without limit.

mod policy;
mod trace;

#[path = "../../../../limits/tests/fleet/mod.rs"]
#[allow(missing_docs, reason = "shared with the tests of limits")]
mod fleet;

use std::time::{Duration, Instant};

use policy::Policy;
use serde_json::{Value, json};
use trace::{Size, TraceResult, run_trace};

const SEED: u64 = 20_261_203;

const TODAY: Size = Size {
    name: "today",
    routers: 7,
    teams: 10,
    requests_per_second: 20.0,
};

const LARGE: Size = Size {
    name: "large",
    routers: 52,
    teams: 11_000,
    requests_per_second: 737.0,
};

/// Runs both sizes under each policy. The last line printed is a JSON object.
pub fn run() {
    println!("seed {SEED}, no packet loss, delay 0.5 ms to 0.7 ms");
    let mut results = Vec::new();
    for size in [TODAY, LARGE] {
        let leases = run_trace(&size, Policy::Leases, SEED);
        print_result(&size, "leases", &leases);
        let static_division = run_trace(&size, Policy::StaticDivision, SEED);
        print_result(&size, "static division", &static_division);
        let retries = run_trace(&size, Policy::UnlimitedRetries, SEED);
        print_result(&size, "leases, retries after 100 ms", &retries);
        results.push((size.name, leases, static_division, retries));
    }
    let (_, large, static_division, retries) = &results[1];
    let (_, today, _, _) = &results[0];
    let cost = admission_cost();
    let report = json!({
        "seed": SEED,
        "overshoot_share_after_2s": large.overshoot,
        "small_team_refused": large.small_team_refused,
        "recovery_s": large.recovery_s,
        "bytes_per_second_per_router": large.bytes_per_second,
        "bytes_per_second_per_router_surge": large.surge_bytes_per_second,
        "peak_attempts_per_second": large.peak_attempts,
        "violations": large.violations,
        "today": {
            "overshoot_share_after_2s": today.overshoot,
            "small_team_refused": today.small_team_refused,
            "recovery_s": today.recovery_s,
            "bytes_per_second_per_router": today.bytes_per_second,
        },
        "static_division": {
            "overshoot_share_after_2s": static_division.overshoot,
            "small_team_refused": static_division.small_team_refused,
            "recovery_s": static_division.recovery_s,
        },
        "unlimited_retries": {
            "overshoot_share_after_2s": retries.overshoot,
            "small_team_refused": retries.small_team_refused,
            "recovery_s": retries.recovery_s,
            "peak_attempts_per_second": retries.peak_attempts,
        },
        "slopes": cost,
    });
    println!("{report}");
}

fn print_result(size: &Size, policy: &str, result: &TraceResult) {
    println!(
        "{} ({} routers, {} teams), {policy}: overshoot after 2 s {:.3} at {:.1} s, small teams refused {} \
         of {} (below 3/4 of the share {}), recovery {:?} s, bytes/s per router {:.0}, in the \
         surge {:.0}, attempts/s at most {}, most active teams on a router {}",
        size.name,
        size.routers,
        size.teams,
        result.overshoot,
        result.overshoot_at_s,
        result.small_team_refused,
        result.small_team_offered,
        result.small_team_refused_low,
        result.recovery_s,
        result.bytes_per_second,
        result.surge_bytes_per_second,
        result.peak_attempts,
        result.active_teams,
    );
}

/// Returns the mean time to admit and finish one request with 10 and with 11,000 teams.
fn admission_cost() -> Value {
    let admit_ns = |teams: u64| {
        let start = Instant::now();
        let mut fleet = fleet::Fleet::new(1, trace::equal_shares(teams), SEED);
        let rounds = 200_000;
        let loop_start = Instant::now();
        for round in 0..rounds {
            let team = round % teams;
            let _ = std::hint::black_box(fleet.request(0, team, 100, Duration::from_micros(1)));
            if round % 1_000 == 0 {
                fleet.run_for(Duration::from_millis(1));
            }
        }
        let _ = start;
        u64::try_from(loop_start.elapsed().as_nanos()).unwrap_or(u64::MAX) / rounds
    };
    let ns_10_teams = admit_ns(10);
    let ns_11000_teams = admit_ns(11_000);
    json!({
        "admit_and_finish_ns_10_teams": ns_10_teams,
        "admit_and_finish_ns_11000_teams": ns_11000_teams
    })
}
