//! Branches in files and on servers, compared in their typed form.

use std::collections::BTreeMap;
use std::fs;

use bamboospur_settings::{BranchName, Path, Value, branch_from_toml, branch_to_toml};

use crate::error::CtlError;

/// Untyped branches by name; the fleet's branch comes first.
pub type Branches = BTreeMap<BranchName, Value>;

/// Reads the branches of a TOML file with the tables `fleet` and `teams.NAME`.
pub fn read_file(file: &str) -> Result<Branches, CtlError> {
    let text = fs::read_to_string(file)
        .map_err(|error| CtlError::Usage(format!("file {file} cannot be read: {error}")))?;
    let value = Value::parse_toml(&text)
        .map_err(|error| CtlError::Usage(format!("file {file} is not valid TOML: {error}")))?;
    split(value).map_err(|message| CtlError::Usage(format!("file {file}: {message}")))
}

/// Splits a tree into its branches.
pub fn split(tree: Value) -> Result<Branches, String> {
    let Value::Table(tables) = tree else {
        return Err("the settings are not a table".to_owned());
    };
    let mut branches = Branches::new();
    for (name, value) in tables {
        match (name.as_str(), value) {
            ("fleet", value) => {
                branches.insert(BranchName::Fleet, value);
            }
            ("teams", Value::Table(teams)) => {
                let teams = teams.into_iter();
                branches.extend(teams.map(|(name, value)| (BranchName::Team(name), value)));
            }
            (other, _) => return Err(format!("{other} is neither fleet nor teams.NAME")),
        }
    }
    Ok(branches)
}

/// Fills in all defaults, so that equal settings are equal text. A branch that
/// cannot be typed, such as a redacted one, is returned as it is.
pub fn complete(name: &BranchName, value: &Value) -> Value {
    let typed = branch_from_toml(name, &value.to_toml());
    let text = typed.ok().and_then(|content| branch_to_toml(&content).ok());
    text.map_or_else(|| value.clone(), |complete| Value::from_toml(&complete))
}

/// Lists the single values of a branch by path.
pub fn leaves(name: &BranchName, value: &Value) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    collect(&mut Path::from_branch(name.clone()), value, &mut found);
    found
}

fn collect(path: &mut Path, value: &Value, found: &mut BTreeMap<String, String>) {
    match value {
        Value::Table(table) if !table.is_empty() => {
            for (name, inner) in table {
                path.names.push(name.clone());
                collect(path, inner, found);
                path.names.pop();
            }
        }
        other => {
            found.insert(path.to_string(), other.text());
        }
    }
}
