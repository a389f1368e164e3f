//! Settings of the large size: 11,000 teams and 9 models.

use std::fmt::Write;

use bamboospur_settings::{BranchName, Change, Edit, KeyHash, Path, Value};

/// Teams of the large size.
pub const TEAMS: u64 = 11_000;
const MODELS: u64 = 9;
/// Adapters of each model. Checks accept a team's adapter only when the fleet
/// lists it, so adapters are shared by teams here.
const ADAPTERS: u64 = 20;

/// Returns the name of a team.
pub fn team_name(number: u64) -> String {
    format!("team-{number:05}")
}

/// Returns the fleet's branch as TOML: one pool and 9 models.
pub fn fleet_toml() -> String {
    let mut text = "[pools.engines]\nkind = \"engine\"\n".to_owned();
    for model in 0..MODELS {
        let adapters = (0..ADAPTERS).map(|adapter| format!("\"adapter-{adapter:02}\""));
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
/// an adapter each, and two rules for requests that must run once. `edit` makes
/// two versions of a branch differ.
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
        let (model, adapter) = ((number + index) % MODELS, (number + index) % ADAPTERS);
        let _ = write!(
            text,
            "[models.model-{model}]\nversions = [\"2026-11-01\"]\n\
             adapters = [\"adapter-{adapter:02}\"]\n",
        );
    }
    text
}

/// Returns a change of a whole branch.
pub fn change(
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

/// Returns the changes that make the whole tree, the fleet's branch first.
pub fn all_changes() -> Result<Vec<Change>, String> {
    let fleet = change("fleet".to_owned(), BranchName::Fleet, 0, &fleet_toml())?;
    let mut changes = vec![fleet];
    for number in 0..TEAMS {
        let name = team_name(number);
        let toml = team_toml(number, 0);
        changes.push(change(name.clone(), BranchName::Team(name), 0, &toml)?);
    }
    Ok(changes)
}
