//! Reading of settings from the servers.

use bamboospur_control::operator::{TreeResponse, paths};
use bamboospur_settings::{BranchName, Path, Value};
use bamboospur_types::ResultCode;
use serde_json::json;

use crate::client::Client;
use crate::error::CtlError;
use crate::output::Report;

/// Shows a value.
pub fn get(client: &Client, path: &str) -> Result<Report, CtlError> {
    let answer = client.get(paths::TREE, &[("path", path)])?;
    let answer: TreeResponse = answer.parse_success()?;
    let text = answer.value.as_ref().map(format_value).unwrap_or_default();
    Ok(Report::success(text, json!(answer)))
}

/// Shows branches in the form that `apply` reads.
pub fn export(client: &Client, path: &str, redacted: bool) -> Result<Report, CtlError> {
    let secrets = if redacted { "false" } else { "true" };
    let query = [("path", path), ("secrets", secrets)];
    let answer: TreeResponse = client.get(paths::TREE, &query)?.parse_success()?;
    let mut value = answer.value.unwrap_or(Value::Table([].into()));
    let nested = match path.parse::<Path>() {
        Ok(path) if path.names.is_empty() => match path.branch {
            BranchName::Fleet => vec!["fleet".to_owned()],
            BranchName::Team(name) => vec!["teams".to_owned(), name],
        },
        Ok(path) => {
            let message = format!("{path} is not a whole branch: export fleet or teams.NAME");
            return Err(CtlError::Usage(message));
        }
        Err(_) if path == "teams" => vec!["teams".to_owned()],
        Err(_) => Vec::new(),
    };
    for name in nested.into_iter().rev() {
        value = Value::Table([(name, value)].into());
    }
    Ok(Report::success(format_value(&value), json!(value)))
}

/// Reads a branch and its version, which is 0 if the branch does not exist. The branch
/// contains the hashes of keys and tokens if the operator may read them.
pub fn read_branch(client: &Client, branch: &BranchName) -> Result<(u64, Option<Value>), CtlError> {
    let path = branch.to_string();
    let with_secrets = [("path", path.as_str()), ("secrets", "true")];
    let mut answer = client.get(paths::TREE, &with_secrets)?;
    if answer.head.result == ResultCode::OperatorForbidden {
        answer = client.get(paths::TREE, &[("path", path.as_str())])?;
    }
    if answer.head.result == ResultCode::NotFound {
        return Ok((0, None));
    }
    let answer: TreeResponse = answer.parse_success()?;
    Ok((answer.version, answer.value))
}

/// Formats a table as a TOML document and any other value on one line.
pub fn format_value(value: &Value) -> String {
    match value.to_toml() {
        toml::Value::Table(table) => {
            toml::to_string(&table).unwrap_or_else(|_| value.to_toml_text())
        }
        other => other.to_string(),
    }
}
