//! Entry point of the `bamboospur` binary.

use std::fs;
use std::process::ExitCode;

use bamboospur_node::args::{Args, Role};
use bamboospur_node::settings::NodeSettings;
use bamboospur_node::{file, log, run};

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        println!("bamboospur {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Some(role) = args.role {
        return run_role(role);
    }
    let settings = match load_settings(&args) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if args.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    log::start();
    bamboospur_fleet::log::log_panics();
    match run::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            tracing::error!(message, "the node cannot go on");
            eprintln!("bamboospur: {message}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_role(role: Role) -> ExitCode {
    bamboospur_fleet::log::start();
    bamboospur_fleet::log::log_panics();
    let ended = match role {
        Role::Router(role) => bamboospur_fleet::router::run(role.metrics),
        Role::Control(role) => bamboospur_fleet::control::run(role.into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            tracing::error!(message, "the process cannot go on");
            eprintln!("bamboospur: {message}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn load_settings(args: &Args) -> Result<NodeSettings, ExitCode> {
    let mut settings = match &args.config {
        Some(path) => {
            let text = fs::read_to_string(path).map_err(|error| {
                eprintln!("bamboospur: {} cannot be read: {error}", path.display());
                ExitCode::from(EXIT_BAD_SETTINGS)
            })?;
            file::read(&text).map_err(|problems| {
                for problem in problems {
                    eprintln!("bamboospur: {}: {problem}", path.display());
                }
                ExitCode::from(EXIT_BAD_SETTINGS)
            })?
        }
        None if args.dev => NodeSettings::default(),
        None => {
            eprintln!("bamboospur: give a settings file with --config FILE, or use --dev");
            return Err(ExitCode::from(EXIT_FAILED));
        }
    };
    settings.dev = args.dev;
    if let Some(address) = args.callers {
        settings.addresses.callers = address;
    }
    if let Some(address) = args.operators {
        settings.addresses.operators = address;
    }
    if args.data.is_some() {
        settings.data_folder.clone_from(&args.data);
    }
    Ok(settings)
}
