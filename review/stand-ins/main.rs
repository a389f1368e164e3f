//! Stand-ins of the platform, operators, consumers and replicas for the cases of the review, and
//! the cases themselves. Usage: `cases CASE RECORD`, in the root of the repository.

mod bad_report;
mod deployment;
mod http;
mod moved_route;
mod outage;
mod record;
mod replica;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: cases CASE RECORD");
        return ExitCode::from(2);
    };
    if let Err(error) = record::open(Path::new(path)) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    note!("case {case}, with the disruption: {trouble}");
    let verdict = match case.as_str() {
        "moved-route" => moved_route::run(trouble),
        "bad-report" => bad_report::run(trouble),
        "outage" => outage::run(trouble),
        _ => Ok(Verdict::CouldNotRun("there is no such case")),
    };
    let (code, text) = match verdict {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Ok(Verdict::CouldNotRun(reason)) => (2, format!("could not run: {reason}")),
        Err(error) => (2, format!("could not run: {error}")),
    };
    note!("result: {text}");
    println!("{case}: {text}");
    ExitCode::from(code)
}
