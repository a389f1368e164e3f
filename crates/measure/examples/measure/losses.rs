//! Table of what callers lost, from the logs of routers.

use std::fs;

use bamboospur_measure::losses::{Cause, Counts, LossSettings, Losses};

/// Causes in a row of the table by time, the most frequent first.
const CAUSES_PER_SLOT: usize = 3;

const USAGE: &str = "usage: losses FILE... [--late-ms N] [--slot-s N]";

pub fn run(arguments: &[String]) {
    let (files, settings) = parse(arguments).unwrap_or_else(|error| fail(&error));
    let mut text = String::new();
    for file in files {
        let read = fs::read_to_string(&file);
        text += &read.unwrap_or_else(|error| fail(&format!("cannot read {file}: {error}")));
    }
    let losses = Losses::read(text.lines(), &settings);
    if losses.malformed > 0 {
        eprintln!("{} lines cannot be decoded", losses.malformed);
    }
    println!(
        "{:>8} {:>8} {:>6}  most frequent causes",
        "second", "requests", "lost"
    );
    for (slot, counts) in &losses.by_slot {
        let causes = most_frequent(counts, CAUSES_PER_SLOT);
        let causes: Vec<String> = causes
            .map(|(c, n)| format!("{n} {}: {}", c.loss, c.reason))
            .collect();
        let lost: u64 = counts.lost.values().sum();
        println!(
            "{slot:>8} {:>8} {lost:>6}  {}",
            counts.requests,
            causes.join("; ")
        );
    }
    for (route, counts) in &losses.by_route {
        let route = if route.is_empty() { "no route" } else { route };
        println!("\n{route}: {} requests", counts.requests);
        for (cause, count) in most_frequent(counts, usize::MAX) {
            println!("{count:>8} {}: {}", cause.loss, cause.reason);
        }
    }
}

fn parse(arguments: &[String]) -> Result<(Vec<String>, LossSettings), String> {
    let mut settings = LossSettings::default();
    let mut files = Vec::new();
    let mut arguments = arguments.iter();
    while let Some(argument) = arguments.next() {
        let mut number = || {
            let value = arguments.next().and_then(|value| value.parse::<u32>().ok());
            let value = value.filter(|&value| value > 0);
            value.ok_or(format!("{argument} needs a positive number; {USAGE}"))
        };
        match argument.as_str() {
            "--late-ms" => settings.late_after_ms = u64::from(number()?),
            "--slot-s" => settings.slot_s = number()?,
            file => files.push(file.to_owned()),
        }
    }
    if files.is_empty() {
        return Err(USAGE.to_owned());
    }
    Ok((files, settings))
}

fn most_frequent(counts: &Counts, limit: usize) -> impl Iterator<Item = (&Cause, u64)> {
    let causes = counts.lost.iter().map(|(cause, &count)| (cause, count));
    let mut causes: Vec<(&Cause, u64)> = causes.collect();
    causes.sort_by_key(|&(_, count)| std::cmp::Reverse(count));
    causes.into_iter().take(limit)
}

fn fail(message: &str) -> ! {
    eprintln!("bamboospur-measure: {message}");
    std::process::exit(2);
}
