//! The commands, grouped into modules.

mod change;
mod control_group;
mod diff;
mod file;
mod history;
mod in_force;
mod tree;

use crate::client::Client;
use crate::error::CtlError;
use crate::options::{Command, Options};
use crate::output::Report;

pub fn run(options: &Options) -> Result<Report, CtlError> {
    let client = Client::new(options)?;
    match &options.command {
        Command::Get { path } => tree::get(&client, path),
        Command::Export { path, redacted } => tree::export(&client, path, *redacted),
        Command::Change(change) => change::run(&client, change),
        Command::Diff { file } => diff::run(&client, file),
        Command::Apply { file, send_options } => file::apply(&client, file, send_options),
        Command::History {
            path,
            before,
            limit,
        } => history::run(&client, path.as_deref(), *before, *limit),
        Command::Status => control_group::status(&client),
        Command::Members => control_group::members(&client),
        Command::ChangeMember {
            action,
            instance,
            disk,
        } => control_group::change_member(&client, *action, instance, disk.as_deref()),
        Command::Drain { name } => control_group::drain(&client, name),
    }
}
