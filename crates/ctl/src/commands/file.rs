//! Replacement of whole branches from a file.

use std::fmt::Write;

use bamboospur_control::operator::{ApplyRequest, ChangeResponse, paths};
use bamboospur_settings::{BranchName, Value};
use serde_json::json;

use crate::branches::{read_branch_file, with_defaults};
use crate::client::Client;
use crate::commands::change::{new_change_id, parse_accepted};
use crate::commands::in_force;
use crate::commands::tree::{format_value, read_branch};
use crate::error::CtlError;
use crate::options::SendOptions;
use crate::output::Report;

/// Replaces the branches that differ between the file and the servers. Stops at the first
/// refusal; the branches before it stay changed.
pub fn apply(client: &Client, file: &str, send_options: &SendOptions) -> Result<Report, CtlError> {
    let branches = read_branch_file(file)?;
    let change_id = send_options.change_id.clone().unwrap_or_else(new_change_id);
    let mut text = String::new();
    let mut answers = Vec::new();
    for (number, (name, value)) in branches.iter().enumerate() {
        let (version, present) = read_branch(client, name)?;
        let wanted = with_defaults(name, value);
        if present.is_some_and(|present| with_defaults(name, &present) == wanted) {
            let _ = writeln!(text, "{name}: unchanged");
            continue;
        }
        let id = format!("{change_id}-{number}");
        let answer = replace_branch(client, name, value, version, &id);
        let answer = answer.inspect_err(|_| eprint!("{text}"))?;
        let _ = writeln!(text, "{name}: accepted as revision {}", answer.revision);
        answers.push(answer);
    }
    let revision = answers.iter().map(|answer| answer.revision).max();
    let report = Report::success(text, json!({ "changes": answers }));
    match (send_options.wait, revision) {
        (Some(wait), Some(revision)) => in_force::wait(client, revision, wait, report),
        _ => Ok(report),
    }
}

fn replace_branch(
    client: &Client,
    name: &BranchName,
    value: &Value,
    base_version: u64,
    change_id: &str,
) -> Result<ChangeResponse, CtlError> {
    let body = ApplyRequest {
        change_id: change_id.to_owned(),
        path: name.to_string(),
        base_version,
        toml: format_value(value),
    };
    parse_accepted(&client.change(paths::APPLY, change_id, &body)?)
}
