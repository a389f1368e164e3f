//! The audit trail.

use std::fmt::Write;

use bamboospur_control::operator::{HistoryResponse, paths};
use serde_json::json;

use crate::client::Client;
use crate::error::CtlError;
use crate::output::Report;

/// Lists changes up to the revision `before`, newest first. `path` is the start of the
/// paths to list.
pub fn run(
    client: &Client,
    path: Option<&str>,
    before: Option<u64>,
    limit: usize,
) -> Result<Report, CtlError> {
    let limit = limit.to_string();
    let before = before.map(|before| before.to_string());
    let mut query = vec![("limit", limit.as_str())];
    query.extend(path.map(|path| ("path", path)));
    query.extend(before.as_deref().map(|before| ("before", before)));
    let answer: HistoryResponse = client.get(paths::HISTORY, &query)?.parse_success()?;
    let mut text = String::new();
    for entry in &answer.entries {
        let _ = writeln!(
            text,
            "{} {} {} {}: {} -> {} ({})",
            entry.revision,
            format_utc(entry.at_unix_ms),
            entry.operator,
            entry.path,
            entry.old.as_deref().unwrap_or("unset"),
            entry.new.as_deref().unwrap_or("unset"),
            entry.change_id,
        );
    }
    Ok(Report::success(text, json!(answer)))
}

/// Formats a time as `2026-12-03T20:40:00Z`.
fn format_utc(unix_ms: u64) -> String {
    let seconds = unix_ms / 1000;
    let (days, rest) = (seconds / 86_400, seconds % 86_400);
    let (year, month, day) = date_from_unix_days(days);
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts days since 1970-01-01 to year, month and day. The calculation uses years that
/// start in March, so that a leap day is the last day of its year.
const fn date_from_unix_days(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = year_of_era + era * 400 + (month <= 2) as u64;
    (year, month, day)
}
