//! Searches for a run with fewer failures and the same kind of violation.

use super::sim::{self, FaultKind, Plan, Report, Violation};

/// Limit of the runs in one search.
const MAX_TRIALS: usize = 60;

/// Prints a violation, and the failures and last steps of the shortest run found. The
/// search first disables whole kinds of failures, then omits groups of single failures
/// of ever smaller size.
pub fn explain(plan: &Plan, violation: &Violation) {
    println!(
        "violation of {:?} at {} ms of seed {}",
        violation.kind, violation.at_ms, plan.seed
    );
    let mut best = Plan {
        stop_at: Some(violation.kind),
        ..plan.clone()
    };
    let mut trials = 0;
    let mut report = sim::run(&best);
    for kind in FaultKind::ALL {
        let mut trial = best.clone();
        trial.disabled_kinds.insert(kind);
        keep_if_shorter(trial, &mut best, &mut report, &mut trials);
    }
    let mut size = report.faults.len().div_ceil(2);
    while size > 0 {
        let numbers: Vec<u64> = report.faults.iter().map(|(number, _)| *number).collect();
        for chunk in numbers.chunks(size) {
            let mut trial = best.clone();
            trial.omitted_faults.extend(chunk);
            keep_if_shorter(trial, &mut best, &mut report, &mut trials);
        }
        size /= 2;
    }
    print(&best, &report, trials);
}

fn keep_if_shorter(trial: Plan, best: &mut Plan, report: &mut Report, trials: &mut usize) {
    if *trials >= MAX_TRIALS {
        return;
    }
    *trials += 1;
    let other = sim::run(&trial);
    let is_reproduced = other
        .violations
        .iter()
        .any(|v| Some(v.kind) == trial.stop_at);
    if is_reproduced && other.faults.len() <= report.faults.len() {
        *best = trial;
        *report = other;
    }
}

fn print(plan: &Plan, report: &Report, trials: usize) {
    println!("shortest of {trials} runs: seed {}, failures:", plan.seed);
    for (number, line) in &report.faults {
        println!("  {number}: {line}");
    }
    println!("last steps:");
    for line in &report.trace {
        println!("  {line}");
    }
    let wanted = report
        .violations
        .iter()
        .filter(|v| Some(v.kind) == plan.stop_at);
    for violation in wanted {
        println!(
            "  => {} ms: {:?}: {}",
            violation.at_ms, violation.kind, violation.what
        );
    }
}
