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
/// Longest invalid value shown in a refusal, so that the remedy after it is not
/// cut off.
const MAX_REFUSED_VALUE_BYTES: usize = 120;

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
/// Returns [`ChangeError::Type`] with the path of the invalid value, or
/// [`ChangeError::TooLarge`].
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

/// Locates the invalid value by the key path in the deserializer's message.
fn type_error(name: &BranchName, value: &toml::Value, error: &toml::de::Error) -> ChangeError {
    let message = error.to_string();
    let (text, keys) = match message.trim_end().rsplit_once("\nin `") {
        Some((text, keys)) => (text, keys.trim_end_matches('`').to_owned()),
        None => (message.trim_end(), String::new()),
    };
    let remedy = strip_invalid_value(text);
    let path = Path {
        branch: name.clone(),
        names: split_key_path(value, &keys),
    };
    let invalid = value_below(value, &path.names).map(|invalid| redacted(&path, invalid));
    let shown = invalid.unwrap_or_else(|| redacted(&Path::from_branch(name.clone()), value));
    ChangeError::Type {
        path: path.to_string(),
        value: shortened(shown.to_string(), MAX_REFUSED_VALUE_BYTES),
        remedy,
    }
}

/// Splits the key path in the deserializer's message into names. The path joins
/// them with dots, so a name that has a dot itself is found by a look-up in the
/// tables.
fn split_key_path(value: &toml::Value, keys: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut table = Some(value);
    let mut name = String::new();
    for part in keys.split('.').filter(|part| !part.is_empty()) {
        if !name.is_empty() {
            name.push('.');
        }
        name.push_str(part);
        if let Some(inner) = table.and_then(|table| table.get(name.as_str())) {
            table = Some(inner);
            names.push(std::mem::take(&mut name));
        }
    }
    if !name.is_empty() {
        names.push(name);
    }
    names
}

/// Removes the invalid value from a message of the deserializer: the value can
/// be long, and it can be a secret. The refusal shows it shortened and redacted.
fn strip_invalid_value(message: &str) -> String {
    let has_value = message.starts_with("invalid ");
    match message.rsplit_once(", expected ") {
        Some((_, expected)) if has_value => format!("expected {expected}"),
        _ => shortened(message.to_owned(), 2 * MAX_REFUSED_VALUE_BYTES),
    }
}

/// Returns the value at the end of a sequence of names.
pub(crate) fn value_below<'a>(value: &'a toml::Value, names: &[String]) -> Option<&'a toml::Value> {
    names.iter().try_fold(value, |inner, name| inner.get(name))
}

/// Sets a value and creates the missing tables above it.
pub(crate) fn set(root: &mut toml::Value, path: &Path, value: &Value) -> Result<(), ChangeError> {
    let mut slot = root;
    for (depth, name) in path.names.iter().enumerate() {
        let table = match slot {
            toml::Value::Table(table) => table,
            other => return Err(not_a_table(path, depth, other)),
        };
        let empty = || toml::Value::Table(toml::Table::new());
        slot = table.entry(name.clone()).or_insert_with(empty);
    }
    *slot = value.to_toml();
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

/// Removes a value, which restores its default.
pub(crate) fn unset(root: &mut toml::Value, path: &Path) -> Result<(), ChangeError> {
    let missing = || ChangeError::Missing {
        path: path.to_string(),
    };
    let (last, outer) = path.names.split_last().ok_or_else(missing)?;
    let mut slot = root;
    for name in outer {
        slot = slot.get_mut(name).ok_or_else(missing)?;
    }
    let table = slot.as_table_mut().ok_or_else(missing)?;
    table.remove(last).map(|_| ()).ok_or_else(missing)
}
