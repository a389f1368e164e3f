//! Reads node settings from TOML text and reports every invalid key with its line.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::peers::ControlAddress;
use crate::settings::{NodeSettings, SeedAddress};

/// Most connections, requests or stand-in targets.
const MAX_COUNT: usize = 1_000_000;
/// Longest time limit; a longer one is most likely in the wrong unit.
const MAX_WAIT: Duration = Duration::from_hours(24);

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line number, counted from 1.
    pub line: usize,
    /// Key with the names of its tables, such as `limits.requests`; empty for a
    /// TOML syntax error.
    pub key: String,
    /// Description of the error and how to correct it.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            return write!(f, "line {}: {}", self.line, self.message);
        }
        write!(f, "line {}: {}: {}", self.line, self.key, self.message)
    }
}

/// Reads settings; absent keys keep their defaults.
///
/// # Errors
///
/// Returns all problems found, sorted by line.
pub fn read(text: &str) -> Result<NodeSettings, Vec<Problem>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut reader = Reader {
        text,
        settings: NodeSettings::default(),
        problems: Vec::new(),
    };
    for error in errors {
        let at = error.span().map_or(0, |span| span.start);
        reader.add_problem(at, "", error.message().to_owned());
    }
    reader.read_table("", table.get_ref());
    reader.check_consistency();
    let mut problems = reader.problems;
    problems.sort_by_key(|problem| problem.line);
    if problems.is_empty() {
        return Ok(reader.settings);
    }
    Err(problems)
}

struct Reader<'a> {
    text: &'a str,
    settings: NodeSettings,
    problems: Vec<Problem>,
}

const TABLE_KEYS: [&str; 4] = ["addresses", "dev", "limits", "metrics"];

impl Reader<'_> {
    fn read_table(&mut self, prefix: &str, table: &DeTable<'_>) {
        for (name, value) in table {
            let key = if prefix.is_empty() {
                name.get_ref().to_string()
            } else {
                format!("{prefix}.{}", name.get_ref())
            };
            match value.get_ref() {
                DeValue::Table(inner) if TABLE_KEYS.contains(&key.as_str()) => {
                    self.read_table(&key, inner);
                }
                _ => self.read_value(&key, name.span().start, value),
            }
        }
    }

    fn read_value(&mut self, key: &str, at: usize, value: &Spanned<DeValue<'_>>) {
        if let Err(message) = set_key(&mut self.settings, key, value.get_ref()) {
            self.add_problem(at, key, message);
        }
    }

    /// Checks that the values of different keys are consistent.
    fn check_consistency(&mut self) {
        let addresses = self.settings.addresses;
        if addresses.callers == addresses.operators && addresses.callers.port() != 0 {
            let message = "must differ from addresses.callers".to_owned();
            self.add_problem(self.offset_of("operators"), "addresses.operators", message);
        }
        if !self.settings.seeds.is_empty() && self.settings.fleet_secret_file.is_none() {
            let message = "needs fleet_secret_file, which all instances share".to_owned();
            self.add_problem(self.offset_of("seeds"), "seeds", message);
        }
        self.check_control();
    }

    fn check_control(&mut self) {
        let settings = &self.settings;
        let mut names: Vec<&str> = settings.control.iter().map(|m| m.name.as_str()).collect();
        names.sort_unstable();
        let own = settings.control.iter().find(|m| m.name == settings.name);
        let message = if !names.is_empty() && settings.fleet_secret_file.is_none() {
            "needs fleet_secret_file, which all instances share"
        } else if names.windows(2).any(|pair| pair[0] == pair[1]) {
            "names an instance twice"
        } else if own.is_some() && settings.data_folder.is_none() {
            "names this instance, which then needs data_folder"
        } else if own.is_some_and(|own| own.address != settings.addresses.fleet) {
            "must name this instance with its addresses.fleet"
        } else {
            return;
        };
        self.add_problem(self.offset_of("control"), "control", message.to_owned());
    }

    fn offset_of(&self, name: &str) -> usize {
        self.text.find(name).unwrap_or(0)
    }

    fn add_problem(&mut self, at: usize, key: &str, message: String) {
        let before = self.text.get(..at).unwrap_or_default();
        self.problems.push(Problem {
            line: before.matches('\n').count() + 1,
            key: key.to_owned(),
            message,
        });
    }
}

fn set_key(settings: &mut NodeSettings, key: &str, value: &DeValue<'_>) -> Result<(), String> {
    let limits = &mut settings.limits;
    match key {
        "name" => settings.name = non_empty_text(value)?,
        "data_centre" => settings.data_centre = non_empty_text(value)?,
        "seeds" => settings.seeds = seeds(value)?,
        "control" => settings.control = control_addresses(value)?,
        "operator_token_file" => settings.operator_token_file = Some(path(value)?),
        "data_folder" => settings.data_folder = Some(path(value)?),
        "fleet_secret_file" => settings.fleet_secret_file = Some(path(value)?),
        "target_token_file" => settings.target_token_file = Some(path(value)?),
        "addresses.callers" => settings.addresses.callers = address(value)?,
        "addresses.operators" => settings.addresses.operators = address(value)?,
        "addresses.fleet" => settings.addresses.fleet = address(value)?,
        "metrics.statsd" => settings.statsd = Some(address(value)?),
        "dev.engines" => settings.standins.engines = count(value, 0)?,
        "dev.records" => settings.standins.records = count(value, 0)?,
        "limits.connections" => limits.connections = count(value, 1)?,
        "limits.requests" => limits.requests = count(value, 1)?,
        "limits.body_bytes" => limits.body_bytes = positive_number(value)?,
        "limits.answer_bytes" => limits.answer_bytes = positive_number(value)?,
        "limits.buffer_bytes" => limits.buffer_bytes = positive_number(value)?,
        "limits.head_timeout_ms" => limits.head_timeout = milliseconds(value)?,
        "limits.body_timeout_ms" => limits.body_timeout = milliseconds(value)?,
        "limits.drain_ms" => limits.drain = milliseconds(value)?,
        "limits.deadline_ms" => limits.deadline = milliseconds(value)?,
        "limits.first_byte_ms" => limits.first_byte = milliseconds(value)?,
        "limits.stall_ms" => limits.stall = milliseconds(value)?,
        "limits.caller_stall_ms" => limits.caller_stall = milliseconds(value)?,
        _ => return Err("no such key; docs/interfaces.md lists all keys".to_owned()),
    }
    Ok(())
}

fn non_empty_text(value: &DeValue<'_>) -> Result<String, String> {
    let text = value.as_str().ok_or("must be text in quotes")?;
    if text.is_empty() {
        return Err("must not be empty".to_owned());
    }
    Ok(text.to_owned())
}

fn path(value: &DeValue<'_>) -> Result<PathBuf, String> {
    non_empty_text(value).map(PathBuf::from)
}

fn address(value: &DeValue<'_>) -> Result<SocketAddr, String> {
    let text = non_empty_text(value)?;
    let error = || format!("{text:?} is not an address; write it as \"10.0.0.1:8080\"");
    text.parse().map_err(|_| error())
}

fn seeds(value: &DeValue<'_>) -> Result<Vec<SeedAddress>, String> {
    let error = "must be a list of addresses, or of \
                 { address = \"ip:port\", data_centre = \"...\" } for other data centres";
    let items = value.as_array().ok_or(error)?;
    let seeds = items.iter().map(|item| {
        let Some(table) = item.get_ref().as_table() else {
            return Ok(SeedAddress {
                address: address(item.get_ref())?,
                data_centre: None,
            });
        };
        let field = |name| table.get(name).map(Spanned::get_ref).ok_or(error);
        if table.len() != 2 {
            return Err(error.to_owned());
        }
        Ok(SeedAddress {
            address: address(field("address")?)?,
            data_centre: Some(non_empty_text(field("data_centre")?)?),
        })
    });
    seeds.collect()
}

fn control_addresses(value: &DeValue<'_>) -> Result<Vec<ControlAddress>, String> {
    let error = "must be a list of { name = \"...\", address = \"ip:port\" }";
    let items = value.as_array().ok_or(error)?;
    let members = items.iter().map(|item| {
        let table = item.get_ref().as_table().ok_or(error)?;
        let field = |name| table.get(name).map(Spanned::get_ref).ok_or(error);
        if table.len() != 2 {
            return Err(error.to_owned());
        }
        Ok(ControlAddress {
            name: non_empty_text(field("name")?)?,
            address: address(field("address")?)?,
        })
    });
    members.collect()
}

fn whole_number(value: &DeValue<'_>) -> Result<usize, String> {
    let error = "must be a whole number";
    let number = value.as_integer().ok_or(error)?;
    let number = usize::from_str_radix(number.as_str(), number.radix());
    number.map_err(|_| error.to_owned())
}

fn positive_number(value: &DeValue<'_>) -> Result<usize, String> {
    let number = whole_number(value).ok().filter(|number| *number > 0);
    number.ok_or_else(|| "must be a whole number above 0".to_owned())
}

/// Reads a number of connections, requests or processes.
fn count(value: &DeValue<'_>, least: usize) -> Result<usize, String> {
    let number = whole_number(value).ok();
    let number = number.filter(|number| (least..=MAX_COUNT).contains(number));
    number.ok_or_else(|| format!("must be a whole number from {least} to {MAX_COUNT}"))
}

fn milliseconds(value: &DeValue<'_>) -> Result<Duration, String> {
    let millis = positive_number(value).map_err(|error| format!("{error}, in milliseconds"))?;
    let time = Duration::from_millis(millis as u64);
    if time > MAX_WAIT {
        let longest_ms = MAX_WAIT.as_millis();
        return Err(format!("must be at most {longest_ms} milliseconds, a day"));
    }
    Ok(time)
}
