//! Measurement programs, one for each subcommand.

mod control;
mod limits;
mod losses;
mod membership;
mod path;
mod placement;
mod soak;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command = arguments.first().map_or("", String::as_str);
    let rest = arguments.get(1..).unwrap_or_default();
    match command {
        "control" => control::run(rest),
        "limits" => limits::run(),
        "losses" => losses::run(rest),
        "membership" => membership::run(),
        "path" => path::run(rest),
        "placement" => placement::run(rest),
        "soak" => soak::run(rest),
        _ => {
            eprintln!(
                "bamboospur-measure: name one of: path, placement, limits, losses, membership, control, soak"
            );
            std::process::exit(2);
        }
    }
}
