//! What callers lost, read from the logs of routers: requests that were rejected, failed or
//! late, by time, route and cause.
//!
//! A log has one JSON object a line. A tool that collects the logs of several machines may put
//! the time in seconds and the machine before it.

use std::collections::BTreeMap;

use serde::Deserialize;

/// Which requests count as lost, and the length of the slots of time.
#[derive(Clone, Copy, Debug)]
pub struct LossSettings {
    /// An answer that took longer is late, in milliseconds.
    pub late_after_ms: u64,
    /// Length of a slot, in seconds.
    pub slot_s: u32,
}

impl Default for LossSettings {
    fn default() -> Self {
        Self {
            late_after_ms: 1_000,
            slot_s: 2,
        }
    }
}

/// How a request was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Loss {
    /// The router did not send it, or no target ran it.
    Rejected,
    /// It may have run and has no complete answer.
    Failed,
    /// The answer took too long.
    Late,
    /// The caller gave up.
    Abandoned,
}

/// Why a request was lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cause {
    /// How the request was lost.
    pub loss: Loss,
    /// Result of the request, detail of the log line and ends of the attempts.
    pub reason: String,
}

/// Counts of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All requests, also those that were not lost.
    pub requests: u64,
    /// Lost requests by cause.
    pub lost: BTreeMap<Cause, u64>,
}

/// Counts of the requests of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// By the second at which the slot of the request's arrival begins.
    pub by_slot: BTreeMap<i64, Counts>,
    /// By route; empty for requests that got none.
    pub by_route: BTreeMap<String, Counts>,
    /// Lines that name a request's end and cannot be decoded.
    pub malformed: u64,
}

/// Log line of the end of a request.
#[derive(Deserialize)]
struct EndedLine {
    timestamp: String,
    route: String,
    /// JSON list of texts, one for each attempt.
    attempts: String,
    detail: String,
    result: String,
    took_ms: u64,
}

impl Losses {
    /// Reads the lines of a log; those that do not report the end of a request are skipped.
    pub fn read<'a>(lines: impl IntoIterator<Item = &'a str>, settings: &LossSettings) -> Self {
        let mut losses = Self::default();
        for line in lines {
            if !line.contains("\"message\":\"request ended\"") {
                continue;
            }
            match parse_line(line) {
                Some((ended_at_s, line)) => losses.add(ended_at_s, &line, settings),
                None => losses.malformed += 1,
            }
        }
        losses
    }

    fn add(&mut self, ended_at_s: f64, line: &EndedLine, settings: &LossSettings) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "requests take less than 2^53 ms"
        )]
        let arrived_at_s = ended_at_s - line.took_ms as f64 / 1_000.0;
        #[expect(clippy::cast_possible_truncation, reason = "times of a log are small")]
        let slot = (arrived_at_s / f64::from(settings.slot_s)).floor() as i64;
        let slot = slot * i64::from(settings.slot_s);
        let cause = find_cause(line, settings);
        let by_slot = self.by_slot.entry(slot).or_default();
        let by_route = self.by_route.entry(line.route.clone()).or_default();
        for counts in [by_slot, by_route] {
            counts.requests += 1;
            if let Some(cause) = &cause {
                *counts.lost.entry(cause.clone()).or_default() += 1;
            }
        }
    }
}

/// Returns the time of a line in seconds, and its content.
fn parse_line(line: &str) -> Option<(f64, EndedLine)> {
    let (prefix, _) = line.split_once('{')?;
    let ended: EndedLine = serde_json::from_str(&line[prefix.len()..]).ok()?;
    let stated = prefix.split_whitespace().next();
    let at_s = match stated.and_then(|time| time.parse().ok()) {
        Some(at_s) => at_s,
        None => second_of_day(&ended.timestamp)?,
    };
    Some((at_s, ended))
}

/// Returns the time of day of a timestamp as of RFC 3339, in seconds.
fn second_of_day(timestamp: &str) -> Option<f64> {
    let (_, time) = timestamp.split_once('T')?;
    let mut parts = time.trim_end_matches('Z').split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    let (hours, minutes, seconds) = (next()?, next()?, next()?);
    Some(hours * 3_600.0 + minutes * 60.0 + seconds)
}

fn find_cause(line: &EndedLine, settings: &LossSettings) -> Option<Cause> {
    let is_late = line.took_ms > settings.late_after_ms;
    let loss = match line.result.as_str() {
        "ok" | "replayed" if is_late => Loss::Late,
        "ok" | "replayed" => return None,
        "caller-gone" => Loss::Abandoned,
        "target-failed" | "stream-broken" | "deadline-exceeded" | "truncated" | "wrong-answer" => {
            Loss::Failed
        }
        _ => Loss::Rejected,
    };
    let parts = [line.result.clone(), line.detail.clone(), attempt_ends(line)];
    let parts: Vec<String> = parts.into_iter().filter(|part| !part.is_empty()).collect();
    Some(Cause {
        loss,
        reason: parts.join(", "),
    })
}

/// Returns how the attempts ended, separated by arrows.
fn attempt_ends(line: &EndedLine) -> String {
    let attempts: Vec<String> = serde_json::from_str(&line.attempts).unwrap_or_default();
    let end = |attempt: &String| {
        let words = attempt.split_whitespace();
        let mut ends = words.skip(1).filter(|word| !word.contains('='));
        ends.next().unwrap_or("unknown").to_owned()
    };
    attempts.iter().map(end).collect::<Vec<_>>().join(" -> ")
}
