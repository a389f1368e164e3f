//! Development node: initial settings and stand-in targets.

use std::net::SocketAddr;

use bamboospur_settings::{BranchName, Change, Edit, KeyHash, Path, Value};
use bamboospur_standin::announcer::AnnounceSettings;
use bamboospur_standin::{Engine, EngineSettings, RecordsService, RecordsSettings};

use crate::settings::StandInCounts;

/// API key of the development team.
pub const TEAM_KEY: &str = "demo";
/// Token of the development operator.
pub const OPERATOR_TOKEN: &str = "demo";
/// Model that the development engines offer.
pub const MODEL: &str = "demo-chat";

/// Revision at which all initial settings are in force.
pub const INITIAL_REVISION: u64 = 2;

const FLEET: &str = r#"
[pools.demo-chat]
kind = "engine"

[pools.records]
kind = "service"
not_repeatable = ["POST /*"]

[models.demo-chat]
pool = "demo-chat"
"#;

/// Returns the changes that create the initial settings.
///
/// # Errors
///
/// Returns a message when the built-in settings are not valid TOML.
pub fn initial_changes() -> Result<Vec<Change>, String> {
    let key = KeyHash::from_secret(TEAM_KEY);
    let team = format!(
        "[keys]\ndev = \"{key}\"\n\n[models.{MODEL}]\n\n[share]\nrequests = 4096\nwork_tokens = 100000000\nwork_tokens_per_minute = 1000000000\n"
    );
    let fleet = change("dev-fleet", BranchName::Fleet, FLEET)?;
    let team = change("dev-team", BranchName::Team("demo".to_owned()), &team)?;
    Ok(vec![fleet, team])
}

fn change(id: &str, branch: BranchName, text: &str) -> Result<Change, String> {
    let value: toml::Value = toml::from_str(text).map_err(|error| error.to_string())?;
    Ok(Change {
        id: id.to_owned(),
        operator: "dev".to_owned(),
        path: Path {
            branch,
            names: Vec::new(),
        },
        base_version: 0,
        edit: Edit::Set(Value::from_toml(&value)),
    })
}

/// Running stand-in targets; dropping the value stops them.
pub struct StandIns {
    _engines: Vec<Engine>,
    _records: Vec<RecordsService>,
}

impl StandIns {
    /// Starts stand-in targets that announce themselves to a node.
    ///
    /// # Errors
    ///
    /// Returns a message when one of the targets cannot listen.
    pub fn start(
        counts: StandInCounts,
        operators: SocketAddr,
        token: Option<&str>,
    ) -> Result<Self, String> {
        let announce = AnnounceSettings {
            instances: vec![operators.to_string()],
            token: token.map(str::to_owned),
        };
        let engines = (1..=counts.engines).map(|number| {
            Engine::start(EngineSettings {
                name: format!("engine-{number:02}"),
                incarnation: incarnation(),
                announce: Some(announce.clone()),
                ..EngineSettings::default()
            })
        });
        let engines = engines.collect::<Result<_, _>>()?;
        let records = (1..=counts.records).map(|number| {
            RecordsService::start(RecordsSettings {
                name: format!("records-{number:02}"),
                incarnation: incarnation(),
                announce: Some(announce.clone()),
                ..RecordsSettings::default()
            })
        });
        let records = records.collect::<Result<_, _>>()?;
        Ok(Self {
            _engines: engines,
            _records: records,
        })
    }
}

/// Returns the current Unix time in milliseconds, which is higher at each start
/// of the process.
fn incarnation() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(1)
}

/// Returns example shell commands for the node, to be printed at the start.
#[must_use]
pub fn examples(callers: SocketAddr, operators: SocketAddr) -> String {
    let chat = format!(
        "-H 'Authorization: Bearer {TEAM_KEY}' \
         -d '{{\"model\":\"{MODEL}\",\"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]"
    );
    format!(
        "A development node is running. Try:\n\n\
         curl -s http://{callers}/v1/chat/completions {chat}}}'\n\
         curl -sN http://{callers}/v1/chat/completions {chat},\"stream\":true}}'\n\
         curl -si http://{callers}/services/records/current -H 'Authorization: Bearer {TEAM_KEY}'\n\
         curl -si http://{callers}/services/records/entries -H 'Authorization: Bearer {TEAM_KEY}' \
         -H 'Idempotency-Key: first' -d 'entry'\n\
         curl -s http://{operators}/status\n\n\
         BAMBOOSPUR_TOKEN={OPERATOR_TOKEN} bamboospurctl --server {operators} \
         set teams.demo.priority 5 --wait\n"
    )
}
