//! Changes of one value or one branch.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

use bamboospur_control::operator::{ChangeRequest, ChangeResponse, RollbackRequest, paths};
use bamboospur_settings::{BranchName, Path, Value};
use bamboospur_types::ResultCode;
use serde_json::json;

use crate::client::{Answered, Client};
use crate::commands::{force, tree};
use crate::error::CtlError;
use crate::options::{Change, Edit};
use crate::output::Report;
use crate::secret::hash_file;

/// Sends a change and waits until it is in force, if asked to.
pub fn run(client: &Client, change: &Change) -> Result<Report, CtlError> {
    let path: Path = change
        .path
        .parse()
        .map_err(|error: bamboospur_settings::PathError| CtlError::Usage(error.to_string()))?;
    let base_version = match change.base_version {
        Some(version) => version,
        None => version(client, &path.branch)?,
    };
    let id = change.sending.change_id.clone();
    let change_id = id.unwrap_or_else(new_id);
    let answer = send(client, change, &path, base_version, &change_id)?;
    let answer = accepted(&answer)?;
    let revision = answer.revision;
    let text = format!("{path}: accepted as revision {revision}");
    let report = Report::done(text, json!(answer));
    match change.sending.wait {
        Some(wait) => force::wait(client, revision, wait, report),
        None => Ok(report),
    }
}

fn version(client: &Client, branch: &BranchName) -> Result<u64, CtlError> {
    tree::read_branch(client, branch).map(|(version, _)| version)
}

fn send(
    client: &Client,
    change: &Change,
    path: &Path,
    base_version: u64,
    change_id: &str,
) -> Result<Answered, CtlError> {
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
        Edit::SetHash(file) => Some(Value::Text(hash_file(file)?.to_string())),
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

/// Reads a TOML value; text that is none is taken as it is.
fn parse_value(text: &str) -> Result<Value, CtlError> {
    let Ok(Value::Table(mut table)) = Value::parse_toml(&format!("value = {text}")) else {
        return Ok(Value::Text(text.to_owned()));
    };
    let value = table.remove("value").filter(|_| table.is_empty());
    value.ok_or_else(|| CtlError::Usage(format!("{text:?} is not one value")))
}

/// Returns the answer to an accepted change, or its refusal.
pub fn accepted(answer: &Answered) -> Result<ChangeResponse, CtlError> {
    let result = answer.head.result;
    if result == ResultCode::Ok || result == ResultCode::Replayed {
        return answer.read();
    }
    Err(CtlError::Refused(Box::new(answer.head.clone())))
}

/// Returns a random change id. The keys of `RandomState` come from the
/// system's random numbers.
pub fn new_id() -> String {
    let part = || RandomState::new().hash_one(std::process::id());
    format!("ctl-{:016x}{:016x}", part(), part())
}
