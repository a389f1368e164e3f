//! Changes of whole branches from a file.

use std::fmt::Write;

use bamboospur_control::operator::{ApplyRequest, ChangeResponse, paths};
use bamboospur_settings::{BranchName, Value};
use serde_json::json;

use crate::branches::{complete, read_file};
use crate::client::Client;
use crate::commands::change::{accepted, new_id};
use crate::commands::force;
use crate::commands::tree::{document, read_branch};
use crate::error::CtlError;
use crate::options::Sending;
use crate::output::Report;

/// Replaces the branches of a file that differ from the servers' ones. Stops
/// at the first refusal; the branches before it are changed.
pub fn apply(client: &Client, file: &str, sending: &Sending) -> Result<Report, CtlError> {
    let branches = read_file(file)?;
    let change_id = sending.change_id.clone().unwrap_or_else(new_id);
    let mut text = String::new();
    let mut answers = Vec::new();
    for (number, (name, value)) in branches.iter().enumerate() {
        let (version, present) = read_branch(client, name)?;
        let wanted = complete(name, value);
        if present.is_some_and(|present| complete(name, &present) == wanted) {
            let _ = writeln!(text, "{name}: unchanged");
            continue;
        }
        let id = format!("{change_id}-{number}");
        let answer = replace(client, name, value, version, &id);
        let answer = answer.inspect_err(|_| eprint!("{text}"))?;
        let _ = writeln!(text, "{name}: accepted as revision {}", answer.revision);
        answers.push(answer);
    }
    let revision = answers.iter().map(|answer| answer.revision).max();
    let report = Report::done(text, json!({ "changes": answers }));
    match (sending.wait, revision) {
        (Some(wait), Some(revision)) => force::wait(client, revision, wait, report),
        _ => Ok(report),
    }
}

fn replace(
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
        toml: document(value),
    };
    accepted(&client.change(paths::APPLY, change_id, &body)?)
}
