//! Entry point of `bamboospurctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    ExitCode::from(bamboospur_ctl::run(&arguments).code())
}
