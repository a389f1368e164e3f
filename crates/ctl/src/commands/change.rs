//! Changes of one value or one branch, and change ids.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

use bamboospur_control::operator::{ChangeRequest, ChangeResponse, RollbackRequest, paths};
use bamboospur_settings::{BranchName, Path, Value};
use bamboospur_types::ResultCode;
use serde_json::json;

use crate::client::{ApiResponse, Client};
use crate::commands::{in_force, tree};
use crate::error::CtlError;
use crate::options::{Change, Edit};
use crate::output::Report;
use crate::secret::hash_secret_file;

/// Sends a change and, if requested, waits until it is in force.
pub fn run(client: &Client, change: &Change) -> Result<Report, CtlError> {
    let path: Path = change
        .path
        .parse()
        .map_err(|error: bamboospur_settings::PathError| CtlError::Usage(error.to_string()))?;
    let base_version = match change.base_version {
        Some(version) => version,
        None => read_version(client, &path.branch)?,
    };
    let id = change.send_options.change_id.clone();
    let change_id = id.unwrap_or_else(new_change_id);
    let answer = send_change(client, change, &path, base_version, &change_id)?;
    let answer = parse_accepted(&answer)?;
    let revision = answer.revision;
    let text = format!("{path}: accepted as revision {revision}");
    let report = Report::success(text, json!(answer));
    match change.send_options.wait {
        Some(wait) => in_force::wait(client, revision, wait, report),
        None => Ok(report),
    }
}

fn read_version(client: &Client, branch: &BranchName) -> Result<u64, CtlError> {
    tree::read_branch(client, branch).map(|(version, _)| version)
}

fn send_change(
    client: &Client,
    change: &Change,
    path: &Path,
    base_version: u64,
    change_id: &str,
) -> Result<ApiResponse, CtlError> {
    if let Edit::Rollback(revision) = change.edit {
        let body = RollbackRequest {
            change_id: change_id.to_owned(),
            path: path.to_string(),
            base_version,
            revision,
        };
        return client.change(paths::ROLLBACK, change_id, &body);
    }
    let value = match &change.edit {
        Edit::Set(text) => Some(parse_value(text)?),
        Edit::SetHash(file) => Some(Value::Text(hash_secret_file(file)?.to_string())),
        Edit::Unset | Edit::Rollback(_) => None,
    };
    let body = ChangeRequest {
        change_id: change_id.to_owned(),
        path: path.to_string(),
        base_version,
        unset: value.is_none(),
        value,
    };
    client.change(paths::CHANGE, change_id, &body)
}

/// Parses a TOML value. Text that is not valid TOML becomes a text value.
fn parse_value(text: &str) -> Result<Value, CtlError> {
    let Ok(Value::Table(mut table)) = Value::parse_toml(&format!("value = {text}")) else {
        return Ok(Value::Text(text.to_owned()));
    };
    let value = table.remove("value").filter(|_| table.is_empty());
    value.ok_or_else(|| CtlError::Usage(format!("{text:?} is not one value")))
}

/// Parses the answer to a change, or returns an error if the change was refused.
pub fn parse_accepted(answer: &ApiResponse) -> Result<ChangeResponse, CtlError> {
    let result = answer.head.result;
    if result == ResultCode::Ok || result == ResultCode::Replayed {
        return answer.parse();
    }
    Err(CtlError::Refused(Box::new(answer.head.clone())))
}

/// Returns a random change id. Its randomness comes from the keys of `RandomState`, which
/// are seeded from the operating system's random numbers.
pub fn new_change_id() -> String {
    let random = || RandomState::new().hash_one(std::process::id());
    format!("ctl-{:016x}{:016x}", random(), random())
}
