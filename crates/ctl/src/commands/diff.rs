//! Comparison of a file with the servers' settings.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde_json::json;

use crate::branches::{leaf_values, read_branch_file, with_defaults};
use crate::client::Client;
use crate::commands::tree::read_branch;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::output::Report;

/// Lists the values that `apply` would change. The exit code tells whether there are any.
pub fn run(client: &Client, file: &str) -> Result<Report, CtlError> {
    let mut text = String::new();
    let mut changes = Vec::new();
    for (name, value) in read_branch_file(file)? {
        let (_, present) = read_branch(client, &name)?;
        let old = present.map(|present| leaf_values(&name, &with_defaults(&name, &present)));
        let old = old.unwrap_or_default();
        let new = leaf_values(&name, &with_defaults(&name, &value));
        for path in differing_paths(&old, &new) {
            let (old, new) = (old.get(path), new.get(path));
            for (sign, value) in [('-', old), ('+', new)] {
                if let Some(value) = value {
                    let _ = writeln!(text, "{sign} {path} = {value}");
                }
            }
            changes.push(json!({ "path": path, "old": old, "new": new }));
        }
    }
    let exit = if changes.is_empty() {
        Exit::Done
    } else {
        Exit::Different
    };
    Ok(Report {
        text,
        json: json!({ "changes": changes }),
        exit,
    })
}

fn differing_paths<'a>(
    old: &'a BTreeMap<String, String>,
    new: &'a BTreeMap<String, String>,
) -> BTreeSet<&'a String> {
    let paths = old.keys().chain(new.keys());
    paths
        .filter(|path| old.get(*path) != new.get(*path))
        .collect()
}
