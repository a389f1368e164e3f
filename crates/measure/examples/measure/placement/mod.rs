//! `cargo measure placement [--quick] [--only POLICY] [--size SIZE] [--seed N]
//! [--headroom PART]`
//!
//! Simulates the placement policies on a synthetic trace and prints one line for each
//! of them. The last line is a JSON object with all figures.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a simulation on small numbers"
)]

mod churn;
mod engine;
mod fleet;
mod policy;
mod requests;
mod slopes;
mod tally;
mod trace;
mod traffic;
mod world;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use serde_json::{Map, Value};

use self::policy::Policy;
use self::tally::Tally;
use self::trace::{Arrival, Size, generate};

/// Policies that are simulated at the same time.
const THREAD_COUNT: usize = 4;

fn sizes(quick: bool) -> Vec<Size> {
    let today = Size {
        name: "today",
        data_centres: vec![(3, 4), (2, 3), (2, 3)],
        chats: 17_500,
        teams: 10,
        seconds: if quick { 1_500 } else { 5_400 },
        warm_up_seconds: if quick { 300 } else { 600 },
        surge_team: 5,
    };
    let large = Size {
        name: "large",
        data_centres: vec![if quick { (8, 52) } else { (52, 338) }],
        chats: if quick { 90_800 } else { 590_000 },
        teams: if quick { 1_700 } else { 11_000 },
        seconds: 600,
        warm_up_seconds: 240,
        surge_team: 5,
    };
    vec![today, large]
}

/// Returns the argument after an option.
fn option_value(arguments: &[String], name: &str) -> Option<String> {
    let at = arguments.iter().position(|argument| argument == name)?;
    arguments.get(at + 1).cloned()
}

/// Runs the program with its command line arguments.
pub fn run(arguments: &[String]) {
    let quick = arguments.iter().any(|argument| argument == "--quick");
    let seed = option_value(arguments, "--seed")
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let headroom = option_value(arguments, "--headroom").and_then(|text| text.parse().ok());
    let only_policies = option_value(arguments, "--only");
    let only_size = option_value(arguments, "--size");
    println!("seed {seed}");
    let mut figures = Map::new();
    println!("slopes: {}", slopes::measure());
    for size in sizes(quick) {
        if only_size
            .as_ref()
            .is_none_or(|only_size| only_size == size.name)
        {
            let result = compare_policies(&size, only_policies.as_deref(), seed, headroom);
            figures.insert(size.name.to_owned(), Value::Object(result));
        }
    }
    println!("{}", Value::Object(figures));
}

fn compare_policies(
    size: &Size,
    only: Option<&str>,
    seed: u64,
    headroom: Option<f64>,
) -> Map<String, Value> {
    let arrivals = generate(size, seed);
    let rate = arrivals.len() as f64 / size.seconds as f64;
    println!(
        "{}: {} requests, {rate:.0} a second",
        size.name,
        arrivals.len()
    );
    let mut policies = policy::all();
    for (_, policy) in &mut policies {
        if let (Policy::Placer(settings), Some(headroom)) = (policy, headroom) {
            settings.headroom = headroom;
        }
    }
    policies.retain(|(name, _)| {
        *name == "oracle" || only.is_none_or(|only| only.split(',').any(|wanted| wanted == *name))
    });
    let tallies = simulate_all(size, &arrivals, &policies, seed);
    let oracle_reuse = tallies.first().map_or(1.0, Tally::reuse_share);
    let mut figures = Map::new();
    for ((name, _), mut tally) in policies.iter().zip(tallies) {
        let values = tally.figures(oracle_reuse);
        println!("{} {name}: {values}", size.name);
        figures.insert((*name).to_owned(), values);
    }
    figures
}

fn simulate_all(
    size: &Size,
    arrivals: &[Arrival],
    policies: &[(&str, Policy)],
    seed: u64,
) -> Vec<Tally> {
    let next_policy = AtomicUsize::new(0);
    let tallies = Mutex::new(vec![Tally::default(); policies.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREAD_COUNT.min(policies.len()) {
            scope.spawn(|| {
                loop {
                    let index = next_policy.fetch_add(1, Ordering::Relaxed);
                    let Some((_, policy)) = policies.get(index) else {
                        return;
                    };
                    let tally = world::simulate(size, arrivals, policy, seed);
                    tallies.lock().unwrap_or_else(PoisonError::into_inner)[index] = tally;
                }
            });
        }
    });
    tallies.into_inner().unwrap_or_else(PoisonError::into_inner)
}
