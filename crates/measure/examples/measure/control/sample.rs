//! Settings of a fleet of the large size: 11,000 teams and 9 models.

use std::fmt::Write;

use bamboospur_settings::{BranchName, Change, Edit, KeyHash, Path, Value};

pub const TEAM_COUNT: u64 = 11_000;
const MODEL_COUNT: u64 = 9;
/// Validation accepts a team's adapter only if the fleet's branch lists it, so teams
/// share adapters here.
const ADAPTERS_PER_MODEL: u64 = 20;

pub fn team_name(number: u64) -> String {
    format!("team-{number:05}")
}

/// Returns the fleet's branch as TOML: one pool, and 9 models with 20 adapters each.
pub fn fleet_toml() -> String {
    let mut text = "[pools.engines]\nkind = \"engine\"\n".to_owned();
    for model in 0..MODEL_COUNT {
        let adapters = (0..ADAPTERS_PER_MODEL).map(|adapter| format!("\"adapter-{adapter:02}\""));
        let adapters: Vec<String> = adapters.collect();
        let _ = write!(
            text,
            "[models.model-{model}]\npool = \"engines\"\n\
             [models.model-{model}.versions.\"2026-11-01\"]\nadapters = [{}]\n",
            adapters.join(", "),
        );
    }
    text
}

/// Returns a team's branch as TOML: two keys, three models with a version and
/// an adapter each, and two rules for requests that must not be repeated. Another
/// `edit` gives another content of the branch.
pub fn team_toml(number: u64, edit: u64) -> String {
    let mut text = format!(
        "priority = 5\nwithout_key = \"refuse\"\n\
         not_repeatable = [\"POST /services/records/*\", \"POST /services/charges\"]\n\
         [share]\nrequests = 16\nwork_tokens = {}\nwork_tokens_per_minute = 1000000\n[keys]\n",
        200_000 + edit,
    );
    for key in ["production", "staging"] {
        let hash = KeyHash::from_secret(&format!("{number}-{key}"));
        let _ = writeln!(text, "{key} = \"{hash}\"");
    }
    for index in 0..3 {
        let (model, adapter) = (
            (number + index) % MODEL_COUNT,
            (number + index) % ADAPTERS_PER_MODEL,
        );
        let _ = write!(
            text,
            "[models.model-{model}]\nversions = [\"2026-11-01\"]\n\
             adapters = [\"adapter-{adapter:02}\"]\n",
        );
    }
    text
}

/// Returns a change that replaces a whole branch. `base_version` is the version
/// that it replaces, 0 for a new branch.
pub fn branch_change(
    id: String,
    branch: BranchName,
    base_version: u64,
    toml: &str,
) -> Result<Change, String> {
    Ok(Change {
        id,
        operator: "measure".to_owned(),
        path: Path::from_branch(branch),
        base_version,
        edit: Edit::Set(Value::parse_toml(toml)?),
    })
}

/// Returns the changes that create the settings tree, the fleet's branch first.
pub fn all_changes() -> Result<Vec<Change>, String> {
    let fleet = branch_change("fleet".to_owned(), BranchName::Fleet, 0, &fleet_toml())?;
    let mut changes = vec![fleet];
    for number in 0..TEAM_COUNT {
        let name = team_name(number);
        let toml = team_toml(number, 0);
        changes.push(branch_change(
            name.clone(),
            BranchName::Team(name),
            0,
            &toml,
        )?);
    }
    Ok(changes)
}
