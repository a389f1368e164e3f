//! Reading of branches from files, and their conversion to a form that can be compared.

use std::collections::BTreeMap;
use std::fs;

use bamboospur_settings::{BranchName, Path, Value, branch_from_toml, branch_to_toml};

use crate::error::CtlError;

/// Untyped branches by name, with the fleet's branch first.
pub type Branches = BTreeMap<BranchName, Value>;

/// Reads the branches of a TOML file with the tables `fleet` and `teams.NAME`.
pub fn read_branch_file(file: &str) -> Result<Branches, CtlError> {
    let text = fs::read_to_string(file)
        .map_err(|error| CtlError::Usage(format!("file {file} cannot be read: {error}")))?;
    let value = Value::parse_toml(&text)
        .map_err(|error| CtlError::Usage(format!("file {file} is not valid TOML: {error}")))?;
    split_tree(value).map_err(|message| CtlError::Usage(format!("file {file}: {message}")))
}

/// Splits a settings tree into its branches.
pub fn split_tree(tree: Value) -> Result<Branches, String> {
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

/// Fills in all defaults, so that branches with equal settings compare as equal. A branch
/// that cannot be typed, such as a redacted one, is returned unchanged.
pub fn with_defaults(name: &BranchName, value: &Value) -> Value {
    let typed = branch_from_toml(name, &value.to_toml());
    let completed = typed.ok().and_then(|content| branch_to_toml(&content).ok());
    completed.map_or_else(|| value.clone(), |completed| Value::from_toml(&completed))
}

/// Lists the values of a branch that are not tables with entries, as text by path.
pub fn leaf_values(name: &BranchName, value: &Value) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    collect_leaf_values(&mut Path::from_branch(name.clone()), value, &mut found);
    found
}

fn collect_leaf_values(path: &mut Path, value: &Value, found: &mut BTreeMap<String, String>) {
    match value {
        Value::Table(table) if !table.is_empty() => {
            for (name, inner) in table {
                path.names.push(name.clone());
                collect_leaf_values(path, inner, found);
                path.names.pop();
            }
        }
        other => {
            found.insert(path.to_string(), other.to_toml_text());
        }
    }
}
