//! Removal of secrets from values that are shown or kept in the audit trail.
//!
//! Hashes are treated as secrets: a short or reused secret can be found from
//! its hash.

use crate::branch::BranchName;
use crate::path::Path;

const REDACTED: &str = "(redacted)";

/// Returns the value at a path with all secrets below it replaced.
pub(crate) fn redacted(path: &Path, value: &toml::Value) -> toml::Value {
    let mut names: Vec<&str> = path.names.iter().map(String::as_str).collect();
    redact(&path.branch, &mut names, value)
}

fn redact<'a>(
    branch: &BranchName,
    names: &mut Vec<&'a str>,
    value: &'a toml::Value,
) -> toml::Value {
    let hidden = toml::Value::String(REDACTED.to_owned());
    if is_secret(branch, names) {
        return hidden;
    }
    let toml::Value::Table(table) = value else {
        let misplaced = may_hold_secrets(branch, names);
        return if misplaced { hidden } else { value.clone() };
    };
    let mut shown = toml::Table::new();
    for (name, inner) in table {
        names.push(name);
        shown.insert(name.clone(), redact(branch, names, inner));
        names.pop();
    }
    toml::Value::Table(shown)
}

fn is_secret(branch: &BranchName, names: &[&str]) -> bool {
    match branch {
        BranchName::Fleet => matches!(names, ["operators", _, "token_hash", ..]),
        BranchName::Team(_) => matches!(names, ["keys", _, ..]),
    }
}

/// Whether secrets belong below these names. A wrong value in place of such a
/// table may be a secret itself.
fn may_hold_secrets(branch: &BranchName, names: &[&str]) -> bool {
    match branch {
        BranchName::Fleet => matches!(names, [] | ["operators"] | ["operators", _]),
        BranchName::Team(_) => matches!(names, [] | ["keys"]),
    }
}
