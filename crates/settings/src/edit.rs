//! Edits of a branch through its untyped form.

use std::sync::Arc;

use crate::branch::{BranchContent, BranchName};
use crate::change::ChangeError;
use crate::history::shortened;
use crate::path::Path;
use crate::redact::redacted;
use crate::value::Value;

/// Largest team branch in TOML, in bytes; a team of 20 models needs 4 KiB.
const MAX_TEAM_BYTES: usize = 64 * 1024;
/// Largest fleet branch in TOML, in bytes.
const MAX_FLEET_BYTES: usize = 512 * 1024;
/// Longest wrong value in a refusal, so that the remedy after it stays visible.
const SHOWN_BYTES: usize = 120;

/// Converts a branch to its untyped form.
///
/// # Errors
///
/// Returns the message of the serializer.
pub fn branch_to_toml(content: &BranchContent) -> Result<toml::Value, String> {
    let converted = match content {
        BranchContent::Fleet(fleet) => toml::Value::try_from(fleet.as_ref()),
        BranchContent::Team(team) => toml::Value::try_from(team.as_ref()),
    };
    converted.map_err(|error| error.to_string())
}

/// Reads a branch from its untyped form, without checks against the tree.
///
/// # Errors
///
/// Returns [`ChangeError::Type`] with the path of the wrong value.
pub fn branch_from_toml(
    name: &BranchName,
    value: &toml::Value,
) -> Result<BranchContent, ChangeError> {
    let text = value.to_string();
    let limit = match name {
        BranchName::Fleet => MAX_FLEET_BYTES,
        BranchName::Team(_) => MAX_TEAM_BYTES,
    };
    if text.len() > limit {
        return Err(ChangeError::TooLarge {
            branch: name.clone(),
            bytes: text.len(),
            limit,
        });
    }
    let read = match name {
        BranchName::Fleet => value
            .clone()
            .try_into()
            .map(|f| BranchContent::Fleet(Arc::new(f))),
        BranchName::Team(_) => value
            .clone()
            .try_into()
            .map(|t| BranchContent::Team(Arc::new(t))),
    };
    read.map_err(|error: toml::de::Error| type_error(name, value, &error))
}

/// Names the wrong value by the keys that the deserializer passed.
fn type_error(name: &BranchName, value: &toml::Value, error: &toml::de::Error) -> ChangeError {
    let message = error.to_string();
    let (text, keys) = match message.trim_end().rsplit_once("\nin `") {
        Some((text, keys)) => (text, keys.trim_end_matches('`').to_owned()),
        None => (message.trim_end(), String::new()),
    };
    let remedy = without_value(text);
    let path = Path {
        branch: name.clone(),
        names: located(value, &keys),
    };
    let wrong = at(value, &path.names).map(|wrong| redacted(&path, wrong));
    let shown = wrong.unwrap_or_else(|| redacted(&Path::from_branch(name.clone()), value));
    ChangeError::Type {
        path: path.to_string(),
        value: shortened(shown.to_string(), SHOWN_BYTES),
        remedy,
    }
}

/// Splits the keys that the deserializer passed. It joins them with dots, so
/// that a dot inside a name is found by what the tables contain.
fn located(value: &toml::Value, keys: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut place = Some(value);
    let mut name = String::new();
    for part in keys.split('.').filter(|part| !part.is_empty()) {
        if !name.is_empty() {
            name.push('.');
        }
        name.push_str(part);
        if let Some(inner) = place.and_then(|place| place.get(name.as_str())) {
            place = Some(inner);
            names.push(std::mem::take(&mut name));
        }
    }
    if !name.is_empty() {
        names.push(name);
    }
    names
}

/// Removes the wrong value from a message of the deserializer: it can be long,
/// and it can be a secret. The refusal shows it shortened and redacted.
fn without_value(message: &str) -> String {
    let has_value = message.starts_with("invalid ");
    match message.rsplit_once(", expected ") {
        Some((_, expected)) if has_value => format!("expected {expected}"),
        _ => shortened(message.to_owned(), 2 * SHOWN_BYTES),
    }
}

/// Returns the value below some names.
pub(crate) fn at<'a>(value: &'a toml::Value, names: &[String]) -> Option<&'a toml::Value> {
    names.iter().try_fold(value, |inner, name| inner.get(name))
}

/// Sets a value; missing tables on the way are created.
pub(crate) fn set(root: &mut toml::Value, path: &Path, value: &Value) -> Result<(), ChangeError> {
    let mut place = root;
    for (depth, name) in path.names.iter().enumerate() {
        let table = match place {
            toml::Value::Table(table) => table,
            other => return Err(not_a_table(path, depth, other)),
        };
        let empty = || toml::Value::Table(toml::Table::new());
        place = table.entry(name.clone()).or_insert_with(empty);
    }
    *place = value.to_toml();
    Ok(())
}

fn not_a_table(path: &Path, depth: usize, value: &toml::Value) -> ChangeError {
    let outer = Path {
        branch: path.branch.clone(),
        names: path.names[..depth].to_vec(),
    };
    ChangeError::Type {
        path: outer.to_string(),
        value: value.to_string(),
        remedy: format!("it has no names below it, so {path} does not exist"),
    }
}

/// Removes a value.
pub(crate) fn unset(root: &mut toml::Value, path: &Path) -> Result<(), ChangeError> {
    let missing = || ChangeError::Missing {
        path: path.to_string(),
    };
    let (last, outer) = path.names.split_last().ok_or_else(missing)?;
    let mut place = root;
    for name in outer {
        place = place.get_mut(name).ok_or_else(missing)?;
    }
    let table = place.as_table_mut().ok_or_else(missing)?;
    table.remove(last).map(|_| ()).ok_or_else(missing)
}
