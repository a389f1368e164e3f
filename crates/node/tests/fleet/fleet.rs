//! A control group with routers, and changes of the settings by operators.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::process::{Process, free_address, try_send};
use crate::support::{self, Caller, eventually};

const FLEET_SETTINGS: &str =
    "[pools.records]\nkind = \"service\"\nnot_repeatable = [\"POST /*\"]\n";

/// Returns the settings of a team with one key and a limit of requests in flight.
fn team_settings(key: &str, requests: u32) -> String {
    let key = bamboospur_settings::KeyHash::from_secret(key);
    format!(
        "[keys]\nonly = \"{key}\"\n[share]\nrequests = {requests}\n\
         work_tokens = 100000000\nwork_tokens_per_minute = 1000000000\n"
    )
}

/// Running nodes and the folder with their settings files.
pub struct Fleet {
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    /// Members of the control group that the settings files list.
    pub control: Vec<Process>,
    pub routers: Vec<Process>,
}

impl Fleet {
    /// Starts a fleet and waits until its initial settings are in force on all nodes.
    pub fn start(control: usize, routers: usize) -> Self {
        let mut fleet = Self::prepare(control);
        for number in 0..control {
            let process = fleet.spawn_control(number);
            fleet.control.push(process);
        }
        for number in 0..routers {
            let process = fleet.spawn_router(number);
            fleet.routers.push(process);
        }
        fleet.apply(0, "first-fleet", "fleet", FLEET_SETTINGS);
        fleet.apply(0, "first-team", "teams.demo", &team_settings("demo", 4096));
        fleet.wait_for_revision(2);
        fleet
    }

    /// Chooses the addresses of the control group without starting any process.
    pub fn prepare(control: usize) -> Self {
        let folder = support::test_folder_in(&support::disk::test_root());
        fs::write(folder.join("secret"), "fleet secret").expect("secret");
        fs::write(folder.join("operator"), "operator-token").expect("token");
        Self {
            folder,
            addresses: (0..control).map(|_| free_address()).collect(),
            control: Vec::new(),
            routers: Vec::new(),
        }
    }

    pub fn spawn_control(&self, number: usize) -> Process {
        self.spawn(&format!("control-{number}"), self.addresses[number], true)
    }

    pub fn spawn_router(&self, number: usize) -> Process {
        self.spawn(&format!("router-{number}"), free_address(), false)
    }

    fn spawn(&self, name: &str, address: SocketAddr, control: bool) -> Process {
        let seeds: Vec<String> = self.addresses.iter().map(|a| format!("\"{a}\"")).collect();
        let members = self.addresses.iter().enumerate().map(|(number, address)| {
            format!("{{ name = \"control-{number}\", address = \"{address}\" }}")
        });
        let members: Vec<String> = members.collect();
        let file = |name: &str| self.folder.join(name).display().to_string();
        let data = if control {
            format!("data_folder = \"{}\"\n", file(name))
        } else {
            String::new()
        };
        let settings = format!(
            "name = \"{name}\"\ndata_centre = \"dev\"\nfleet_secret_file = \"{}\"\n\
             operator_token_file = \"{}\"\n{data}seeds = [{}]\ncontrol = [{}]\n\
             [addresses]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
             fleet = \"{address}\"\n[limits]\ndrain_ms = 200\n",
            file("secret"),
            file("operator"),
            seeds.join(", "),
            members.join(", "),
        );
        Process::start(name, &self.folder, &settings)
    }

    pub fn all(&self) -> impl Iterator<Item = &Process> {
        self.control.iter().chain(&self.routers)
    }

    /// Waits until a revision is in force on all nodes.
    pub fn wait_for_revision(&self, revision: u64) {
        for process in self.all() {
            let what = format!("revision {revision} on {}", process.name);
            eventually(&what, || process.revision() >= revision);
        }
    }

    /// Waits for a leader and returns its index in `control`.
    pub fn leader(&self) -> usize {
        let mut found = None;
        eventually("there is a leader", || {
            found = self.control.iter().position(|p| p.role() == "leader");
            found.is_some()
        });
        found.expect("leader")
    }

    /// Sets a new branch of the settings through the node with index `via` in `all`;
    /// returns the new revision.
    pub fn apply(&self, via: usize, id: &str, path: &str, toml: &str) -> u64 {
        self.replace(via, id, (path, 0), toml)
    }

    /// Adds a model, its engine pool, and access of the team "demo" to it.
    pub fn add_model(&self, name: &str) {
        let pool = format!("[pools.{name}]\nkind = \"engine\"\n");
        let model = format!("[models.{name}]\npool = \"{name}\"\n");
        let fleet = format!("{FLEET_SETTINGS}{pool}{model}");
        self.replace(0, "fleet-with-model", ("fleet", 1), &fleet);
        let team = format!("{}[models.{name}]\n", team_settings("demo", 4096));
        let revision = self.replace(0, "team-with-model", ("teams.demo", 2), &team);
        self.wait_for_revision(revision);
    }

    /// Adds a pool of a plain service.
    pub fn add_service(&self, name: &str) {
        let fleet = format!("{FLEET_SETTINGS}[pools.{name}]\nkind = \"service\"\n");
        let revision = self.replace(0, "fleet-with-service", ("fleet", 1), &fleet);
        self.wait_for_revision(revision);
    }

    /// Replaces the given version of a branch of the settings.
    fn replace(&self, via: usize, id: &str, (path, version): (&str, u64), toml: &str) -> u64 {
        let body = json!({"change_id": id, "path": path, "base_version": version, "toml": toml});
        let via = self.all().nth(via).expect("node");
        apply_change(via.operators, &body).expect("change")
    }

    /// Adds a team whose key is its name; returns the new revision.
    pub fn add_team(&self, via: usize, name: &str) -> u64 {
        let path = format!("teams.{name}");
        self.apply(
            via,
            &format!("add-{name}"),
            &path,
            &team_settings(name, 4096),
        )
    }

    /// Adds a team with a limit of 8 requests in flight; returns the new revision.
    pub fn add_small_team(&self, via: usize, name: &str) -> u64 {
        let path = format!("teams.{name}");
        self.apply(via, &format!("add-{name}"), &path, &team_settings(name, 8))
    }

    /// Returns whether a node accepts the key of a team.
    pub fn knows_team(process: &Process, name: &str) -> bool {
        let key = format!("Bearer {name}");
        let caller = Caller::new(process.callers).with_header("authorization", &key);
        let answer = caller.get("/services/none/x");
        answer.code() != bamboospur_types::ResultCode::Unauthenticated.number()
    }

    /// Panics when a node counted a violated invariant.
    pub fn assert_no_violations(&self) {
        for process in self.all() {
            assert_eq!(
                process.violations(),
                0,
                "{}\n{}",
                process.name,
                process.log()
            );
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !thread::panicking() {
            // What is left takes memory, but harms no other test.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Makes a change. Without an answer, or on status 503, sends the change again with
/// the same id.
fn apply_change(operators: SocketAddr, body: &Value) -> Result<u64, String> {
    let caller = Caller::new(operators).with_header("authorization", "Bearer operator-token");
    let request = caller.post_request("/control/apply", &body.to_string());
    let mut result = Err("no answer".to_owned());
    eventually(&format!("a change is answered: {body}"), || {
        let Some(answer) = try_send(operators, &request, Duration::from_secs(10)) else {
            return false;
        };
        match answer.status {
            200 => result = Ok(answer.json()["revision"].as_u64().expect("revision")),
            503 => return false,
            _ => result = Err(answer.body),
        }
        true
    });
    result
}
