//! The roles of the child processes: the node and the stand-in engine.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use bamboospur_node::settings::{Addresses, NodeSettings, StandInCounts};
use bamboospur_standin::announcer::AnnounceSettings;
use bamboospur_standin::{Engine, EngineSettings};
use bamboospur_types::Offer;

/// The engine's only model; its first token comes without delay, for the latency and
/// throughput measurements.
pub const FAST_MODEL: &str = "demo-chat";
/// Requests that the engine runs at once, above the largest count of streams.
const CAPACITY_REQUESTS: u32 = 4096;
/// Interval between the tokens of a stream; 2,000 streams give 4,000 chunks a second.
const TOKEN_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a node in development mode without stand-ins of its own.
pub fn node(args: &[String]) -> Result<(), String> {
    let [callers, operators] = parse_addresses(args)?;
    let settings = NodeSettings {
        addresses: Addresses {
            callers,
            operators,
            fleet: SocketAddr::from(([127, 0, 0, 1], 0)),
        },
        dev: true,
        standins: StandInCounts {
            engines: 0,
            records: 0,
        },
        ..NodeSettings::default()
    };
    bamboospur_node::run::run(settings)
}

/// Runs an engine that sends the first token of each answer without delay.
pub fn engine(args: &[String]) -> Result<(), String> {
    let [listen, operators] = parse_addresses(args)?;
    let offer: Offer = FAST_MODEL.parse().map_err(|error| format!("{error}"))?;
    let _engine = Engine::start(EngineSettings {
        listen,
        offers: BTreeSet::from([offer]),
        capacity_requests: CAPACITY_REQUESTS,
        first_token: Duration::ZERO,
        token_interval: TOKEN_INTERVAL,
        stamps_events: true,
        announce: Some(AnnounceSettings {
            instances: vec![operators.to_string()],
            token: None,
        }),
        ..EngineSettings::default()
    })?;
    loop {
        thread::park();
    }
}

fn parse_addresses<const N: usize>(args: &[String]) -> Result<[SocketAddr; N], String> {
    let parsed: Result<Vec<SocketAddr>, _> = args.iter().map(|text| text.parse()).collect();
    let parsed = parsed.map_err(|error| format!("invalid address: {error}"))?;
    parsed
        .try_into()
        .map_err(|_| format!("expected {N} addresses"))
}
