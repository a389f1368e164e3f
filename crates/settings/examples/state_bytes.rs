//! Measures the memory of the replicated settings with 11,000 teams and a full
//! audit trail, and the time of a change:
//! `cargo run --release -p bamboospur-settings --example state_bytes`.

use std::fs;
use std::time::{Duration, Instant, UNIX_EPOCH};

use bamboospur_settings::{Change, Edit, KeyHash, Refusal, Settings, Value};

const TEAMS: u64 = 11_000;
const CHANGES: u64 = 2_000;
const PAGE_BYTES: u64 = 4096;

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

fn fleet() -> String {
    let models = (0..9).map(|number| {
        let adapters: Vec<String> = (0..20)
            .map(|name| format!("\"adapter-{name:02}\""))
            .collect();
        let adapters = adapters.join(", ");
        format!(
            "[models.model-{number:02}]\npool = \"pool\"\n\
             versions = {{ \"2026-11-01\" = {{ replicas = 300, adapters = [{adapters}] }} }}\n"
        )
    });
    let models: String = models.collect();
    format!("[pools.pool]\nkind = \"engine\"\n{models}")
}

fn team(number: u64) -> String {
    let model = |index: u64| {
        let name = (number + index) % 9;
        let adapter = (number + index) % 20;
        format!(
            "[models.model-{name:02}]\nversions = [\"2026-11-01\"]\n\
             adapters = [\"adapter-{adapter:02}\"]\n"
        )
    };
    let key = |name: &str| {
        format!(
            "{name} = \"{}\"\n",
            KeyHash::from_secret(&format!("{number}-{name}"))
        )
    };
    let models: String = (0..3).map(model).collect();
    let keys = key("production") + &key("staging");
    format!(
        "priority = 5\nnot_repeatable = [\"POST /services/records/*\", \"POST /services/charges\"]\n\
         share = {{ requests = 16, work_tokens = 200000 }}\n{models}[keys]\n{keys}"
    )
}

fn change(settings: &mut Settings, path: &str, value: Value) -> Result<(), Refusal> {
    let Ok(path) = path.parse::<bamboospur_settings::Path>() else {
        return Ok(());
    };
    let change = Change {
        id: format!("change-{}", settings.tree().revision()),
        operator: "operator".to_owned(),
        base_version: settings.tree().version(&path.branch),
        path,
        edit: Edit::Set(value),
    };
    let at = UNIX_EPOCH + Duration::from_hours(500_000);
    settings.apply(&change, at).map(|_| ())
}

fn run() -> Result<(), Refusal> {
    let before = resident_bytes();
    let mut settings = Settings::default();
    let table = |text: &str| Value::parse_toml(text).unwrap_or(Value::Flag(false));
    change(&mut settings, "fleet", table(&fleet()))?;
    let start = Instant::now();
    for number in 0..TEAMS {
        let path = format!("teams.team-{number:05}");
        change(&mut settings, &path, table(&team(number)))?;
    }
    println!("{TEAMS} teams made in {:?}", start.elapsed());
    let start = Instant::now();
    for number in 0..CHANGES {
        let path = format!("teams.team-{number:05}.share.requests");
        change(&mut settings, &path, Value::Integer(17))?;
    }
    println!("{CHANGES} changes of teams in {:?}", start.elapsed());
    let start = Instant::now();
    change(&mut settings, "fleet.retry.attempts", Value::Integer(2))?;
    println!("one change of the fleet in {:?}", start.elapsed());
    println!("resident memory {} bytes", resident_bytes() - before);
    Ok(())
}

fn main() {
    if let Err(refusal) = run() {
        eprintln!("{}", refusal.message);
    }
}
