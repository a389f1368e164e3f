//! Command line for operators.
//!
//! The arguments are declared in [`args`] and converted to [`Options`]. A change is sent
//! with the same change id until one of the servers answers, so that it is made at most
//! once.

mod args;
mod branches;
mod client;
mod commands;
mod error;
mod exit;
mod options;
mod output;
mod secret;

pub use exit::Exit;
pub use options::Options;

/// Parses the arguments, runs the command and prints its output. The first argument is the
/// name of the program.
#[must_use]
pub fn run(arguments: &[String]) -> Exit {
    let options = match args::parse(arguments) {
        Ok(options) => options,
        Err(early_exit) => return early_exit.print(),
    };
    match commands::run(&options) {
        Ok(report) => report.print(options.json),
        Err(error) => error.print(options.json),
    }
}
