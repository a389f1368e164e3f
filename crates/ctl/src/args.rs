//! Declaration and parsing of the command line. The doc comments of the argument types
//! are the `--help` texts.

use std::time::Duration;

use argh::FromArgs;
use bamboospur_control::operator::MemberAction;

use crate::exit::Exit;
use crate::options::{Change, Command, Edit, Options, SendOptions};

/// Change and watch a bamboospur fleet.
#[derive(FromArgs)]
struct Arguments {
    /// address of an instance, IP:PORT or http://IP:PORT; repeat it to name several, which are tried in turn
    #[argh(option)]
    server: Vec<String>,
    /// file with the operator's token; without it the environment variable `BAMBOOSPUR_TOKEN` is used
    #[argh(option)]
    token_file: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// milliseconds to try the servers for (default 10000)
    #[argh(option, default = "10_000")]
    timeout_ms: u64,
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Get(Get),
    Set(Set),
    Unset(Unset),
    Diff(DiffFile),
    Apply(Apply),
    Export(Export),
    History(History),
    Audit(Audit),
    Rollback(Rollback),
    Status(Status),
    Members(Members),
    Drain(Drain),
}

/// Show a value, such as teams.demo.share.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// path of the value; all settings when absent
    #[argh(positional, default = "String::new()")]
    path: String,
}

/// Set a value.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct Set {
    /// path of the value
    #[argh(positional)]
    path: String,
    /// value in TOML; other text is taken as it is
    #[argh(positional)]
    value: Option<String>,
    /// set the SHA-256 of the secret in this file, for keys and tokens
    #[argh(option)]
    secret_file: Option<String>,
    /// version of the branch that the change is based on
    #[argh(option)]
    base_version: Option<u64>,
    /// id of the change, to repeat one without an answer
    #[argh(option)]
    change_id: Option<String>,
    /// wait until the change is in force on all live routers
    #[argh(switch)]
    wait: bool,
    /// milliseconds to wait (default 10000)
    #[argh(option, default = "10_000")]
    wait_ms: u64,
}

/// Remove a value, or a whole team.
#[derive(FromArgs)]
#[argh(subcommand, name = "unset")]
struct Unset {
    /// path of the value
    #[argh(positional)]
    path: String,
    /// version of the branch that the change is based on
    #[argh(option)]
    base_version: Option<u64>,
    /// id of the change, to repeat one without an answer
    #[argh(option)]
    change_id: Option<String>,
    /// wait until the change is in force on all live routers
    #[argh(switch)]
    wait: bool,
    /// milliseconds to wait (default 10000)
    #[argh(option, default = "10_000")]
    wait_ms: u64,
}

/// Show what apply would change; the exit code is 8 when something differs.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffFile {
    /// file with branches in TOML
    #[argh(positional)]
    file: String,
}

/// Replace the branches that a TOML file names and that differ from it.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// file with branches in TOML
    #[argh(positional)]
    file: String,
    /// id of the change, to repeat one without an answer
    #[argh(option)]
    change_id: Option<String>,
    /// wait until the changes are in force on all live routers
    #[argh(switch)]
    wait: bool,
    /// milliseconds to wait (default 10000)
    #[argh(option, default = "10_000")]
    wait_ms: u64,
}

/// Show branches in the form that apply reads.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
struct Export {
    /// fleet or teams.NAME; the whole tree when absent
    #[argh(positional, default = "String::new()")]
    path: String,
    /// leave the hashes of keys and tokens out, which needs no admin
    #[argh(switch)]
    redacted: bool,
}

/// Show the audit trail, newest change first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// start of the paths to show
    #[argh(positional)]
    path: Option<String>,
    /// newest revision to show
    #[argh(option)]
    before: Option<u64>,
    /// number of changes (default 20)
    #[argh(option, default = "20")]
    limit: usize,
}

/// Same as history.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
struct Audit {
    /// start of the paths to show
    #[argh(positional)]
    path: Option<String>,
    /// newest revision to show
    #[argh(option)]
    before: Option<u64>,
    /// number of changes (default 20)
    #[argh(option, default = "20")]
    limit: usize,
}

/// Restore a whole branch as it was at a revision, with a new change.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
struct Rollback {
    /// fleet or teams.NAME
    #[argh(positional)]
    path: String,
    /// revision to restore
    #[argh(positional)]
    revision: u64,
    /// version of the branch that the change is based on
    #[argh(option)]
    base_version: Option<u64>,
    /// id of the change, to repeat one without an answer
    #[argh(option)]
    change_id: Option<String>,
    /// wait until the change is in force on all live routers
    #[argh(switch)]
    wait: bool,
    /// milliseconds to wait (default 10000)
    #[argh(option, default = "10_000")]
    wait_ms: u64,
}

/// Show the state of an instance and of the control group.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

/// Show or change the members of the control group.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    /// add, promote or remove, and the name of the instance; without them the members are shown
    #[argh(positional)]
    words: Vec<String>,
    /// identity of the data folder of an instance to add
    #[argh(option)]
    disk: Option<String>,
}

/// Drain a target or an instance: it finishes its work and gets no more.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// name of the target or instance
    #[argh(positional)]
    name: String,
}

/// Text and exit code when no command runs: help was requested, or the command line is
/// not valid.
pub struct EarlyExit {
    text: String,
    exit: Exit,
}

impl EarlyExit {
    fn usage(text: &str) -> Self {
        Self {
            text: text.to_owned(),
            exit: Exit::Usage,
        }
    }

    /// Prints the text, an error to standard error, and returns the exit code.
    pub fn print(&self) -> Exit {
        match self.exit {
            Exit::Done => println!("{}", self.text.trim_end()),
            _ => eprintln!("{}", self.text.trim_end()),
        }
        self.exit
    }
}

/// Parses the command line, whose first argument is the name of the program.
pub fn parse(arguments: &[String]) -> Result<Options, EarlyExit> {
    let rest: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    let parsed = Arguments::from_args(&["bamboospurctl"], &rest);
    let arguments = parsed.map_err(|early| EarlyExit {
        exit: early.status.map_or(Exit::Usage, |()| Exit::Done),
        text: early.output,
    })?;
    if arguments.server.is_empty() {
        return Err(EarlyExit::usage(
            "no server: give --server IP:PORT before the command",
        ));
    }
    Ok(Options {
        servers: arguments.server,
        token_file: arguments.token_file,
        json: arguments.json,
        timeout: Duration::from_millis(arguments.timeout_ms),
        command: build_command(arguments.command)?,
    })
}

fn build_command(subcommand: Subcommand) -> Result<Command, EarlyExit> {
    Ok(match subcommand {
        Subcommand::Get(get) => Command::Get { path: get.path },
        Subcommand::Set(set) => set_command(set)?,
        Subcommand::Unset(unset) => Command::Change(Change {
            path: unset.path,
            edit: Edit::Unset,
            base_version: unset.base_version,
            send_options: build_send_options(unset.change_id, unset.wait, unset.wait_ms),
        }),
        Subcommand::Diff(diff) => Command::Diff { file: diff.file },
        Subcommand::Apply(apply) => Command::Apply {
            file: apply.file,
            send_options: build_send_options(apply.change_id, apply.wait, apply.wait_ms),
        },
        Subcommand::Export(export) => Command::Export {
            path: export.path,
            redacted: export.redacted,
        },
        Subcommand::History(history) => Command::History {
            path: history.path,
            before: history.before,
            limit: history.limit,
        },
        Subcommand::Audit(audit) => Command::History {
            path: audit.path,
            before: audit.before,
            limit: audit.limit,
        },
        Subcommand::Rollback(rollback) => Command::Change(Change {
            path: rollback.path,
            edit: Edit::Rollback(rollback.revision),
            base_version: rollback.base_version,
            send_options: build_send_options(rollback.change_id, rollback.wait, rollback.wait_ms),
        }),
        Subcommand::Status(_) => Command::Status,
        Subcommand::Members(members) => members_command(members)?,
        Subcommand::Drain(drain) => Command::Drain { name: drain.name },
    })
}

fn set_command(set: Set) -> Result<Command, EarlyExit> {
    let edit = match (set.value, set.secret_file) {
        (Some(value), None) => Edit::Set(value),
        (None, Some(file)) => Edit::SetHash(file),
        _ => return Err(EarlyExit::usage("set needs a value or --secret-file FILE")),
    };
    Ok(Command::Change(Change {
        path: set.path,
        edit,
        base_version: set.base_version,
        send_options: build_send_options(set.change_id, set.wait, set.wait_ms),
    }))
}

fn members_command(members: Members) -> Result<Command, EarlyExit> {
    let (action, instance) = match members.words.as_slice() {
        [] => return Ok(Command::Members),
        [action, instance] => (action, instance),
        _ => return Err(EarlyExit::usage("members needs an action and one instance")),
    };
    let action: MemberAction = action
        .parse()
        .map_err(|_| EarlyExit::usage("the action is add, promote or remove"))?;
    Ok(Command::ChangeMember {
        action,
        instance: instance.clone(),
        disk: members.disk,
    })
}

fn build_send_options(change_id: Option<String>, wait: bool, wait_ms: u64) -> SendOptions {
    SendOptions {
        change_id,
        wait: wait.then(|| Duration::from_millis(wait_ms)),
    }
}
