//! Structured logs on standard error, as JSON lines.

use tracing_subscriber::EnvFilter;

/// Excludes logs of third-party libraries, because some of them print request headers.
const DEFAULT_FILTER: &str =
    "off,bamboospur=info,bamboospur_fleet=info,bamboospur_node=info,bamboospur_upstream=info";

/// Starts logging to standard error, one JSON object per line. The environment
/// variable `BAMBOOSPUR_LOG` overrides the default filter.
pub fn start() {
    let filter = EnvFilter::try_from_env("BAMBOOSPUR_LOG")
        .unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init();
    if started.is_err() {
        tracing::debug!("a log subscriber is already set up; keeping it");
    }
}
