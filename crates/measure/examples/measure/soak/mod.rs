//! `cargo measure soak --minutes N --seed S`: simulates the whole fleet under failures,
//! one run per seed.

mod shrink;
mod sim;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bamboospur_types::time_from_s;
use serde_json::json;
use sim::{FaultKind, Plan, Report, ViolationKind};

struct Options {
    /// Real time in which new runs are started.
    minutes: f64,
    /// Seed of the first run; each further run adds one.
    seed: u64,
    /// Virtual time with failures in each run.
    seconds: u64,
    /// Runs the first seed only.
    once: bool,
    no_failures: bool,
}

fn parse_options(arguments: &[String]) -> Options {
    let mut options = Options {
        minutes: 1.0,
        seed: 1,
        seconds: 60,
        once: false,
        no_failures: false,
    };
    let mut rest = arguments.iter();
    while let Some(name) = rest.next() {
        if name == "--once" {
            options.once = true;
            continue;
        }
        if name == "--no-failures" {
            options.no_failures = true;
            continue;
        }
        let value = rest.next().map_or("", String::as_str);
        let known = match name.as_str() {
            "--minutes" => value.parse().map(|v| options.minutes = v).is_ok(),
            "--seed" => value.parse().map(|v| options.seed = v).is_ok(),
            "--seconds" => value.parse().map(|v| options.seconds = v).is_ok(),
            _ => false,
        };
        if !known {
            eprintln!(
                "measure soak: {name} {value}: use --minutes N --seed S --seconds T --once --no-failures"
            );
            std::process::exit(2);
        }
    }
    options
}

pub fn run(arguments: &[String]) {
    let options = parse_options(arguments);
    let end = Instant::now() + time_from_s(options.minutes * 60.0).unwrap_or_default();
    let mut total = Total::default();
    let mut seed = options.seed;
    while total.runs == 0 || (!options.once && Instant::now() < end) {
        let plan = Plan {
            seed,
            seconds: options.seconds,
            disabled_kinds: FaultKind::ALL
                .into_iter()
                .filter(|_| options.no_failures)
                .collect(),
            omitted_faults: BTreeSet::new(),
            stop_at: None,
        };
        let report = sim::run(&plan);
        println!(
            "seed {seed}: {} s, {} requests, {} failures, {} violations",
            report.virtual_ms / 1000,
            report.tally.requests,
            report.faults.len(),
            report.tally.violations.values().sum::<u64>()
        );
        total.add(&report);
        total.explain(&plan, &report);
        seed += 1;
    }
    println!("{}", total.json());
}

#[derive(Default)]
struct Total {
    runs: u64,
    virtual_ms: u64,
    sums: BTreeMap<&'static str, u64>,
    faults: BTreeMap<&'static str, u64>,
    violations: BTreeMap<&'static str, u64>,
    explained: BTreeSet<ViolationKind>,
    worst_grant_percent: u64,
    worst_excused_percent: u64,
}

impl Total {
    fn add(&mut self, report: &Report) {
        self.runs += 1;
        self.virtual_ms += report.virtual_ms;
        let tally = &report.tally;
        for (name, value) in [
            ("requests", tally.requests),
            ("sends", tally.sends),
            ("engine_runs", tally.runs),
            ("not_repeatable_runs", tally.kept_runs),
            ("answered", tally.answered),
            ("not_run", tally.not_run),
            ("unknown", tally.unknown),
            ("not_run_resends_of_a_run_key", tally.not_run_resends),
            ("changes", tally.changes),
            ("changes_checked_on_routers", tally.checked_changes),
            ("conflicts", tally.conflicts),
            ("orders", tally.orders),
            ("leaves", tally.leaves),
            ("stops", tally.stops),
            ("repairs", tally.repairs),
            ("grants", tally.grants),
            ("excused_grants", tally.excused_grants),
        ] {
            *self.sums.entry(name).or_default() += value;
        }
        for (name, count) in &tally.faults {
            *self.faults.entry(name).or_default() += count;
        }
        for (name, count) in &tally.violations {
            *self.violations.entry(name).or_default() += count;
        }
        self.worst_grant_percent = self.worst_grant_percent.max(tally.worst_grant_percent);
        self.worst_excused_percent = self.worst_excused_percent.max(tally.worst_excused_percent);
    }

    /// Prints each kind of violation with the shortest trace found for it. Kinds that
    /// were printed for an earlier seed are only counted.
    fn explain(&mut self, plan: &Plan, report: &Report) {
        for violation in &report.violations {
            if self.explained.insert(violation.kind) {
                shrink::explain(plan, violation);
            }
        }
    }

    fn json(&self) -> serde_json::Value {
        let hours = Duration::from_millis(self.virtual_ms).as_secs_f64() / 3600.0;
        json!({
            "runs": self.runs,
            "virtual_hours": hours,
            "counts": self.sums,
            "worst_excused_percent_of_limit": self.worst_excused_percent,
            "worst_grant_percent_of_limit": self.worst_grant_percent,
            "failures": self.faults,
            "violations": self.violations.values().sum::<u64>(),
            "violations_by_kind": self.violations,
        })
    }
}
