//! The control role: replicates the configuration, tracks the targets and keeps the
//! routers informed of both.
//!
//! One task owns the state ([`host`]). All input reaches the task as events through
//! one queue: calls of operators and targets ([`calls`]), frames on accepted and
//! dialled links ([`link`]), and finished writes ([`disk`]).

mod calls;
mod counters;
mod departures;
mod disk;
mod event;
mod fanout;
mod held_targets;
mod host;
mod link_watch;
mod operators;
mod peers;
mod prefix_queue;
mod prefix_store;
mod route_history;
mod soft;

use std::time::Duration;

use bamboospur_platform::settings::ProcessSettings;
use tokio::sync::mpsc::{Sender, channel};
use tokio::sync::oneshot;
use tokio::time::sleep;
use tracing::info;

use crate::exposition;
use crate::link;
use crate::memory::{Buffers, ControlDoors, ProcessLimits};
use crate::process::{self, Listener, spawn_essential};
use crate::settings_file::SettingsFile;
use crate::signals::Signals;
pub use departures::Departures;
use event::Event;
pub use fanout::{Fanout, FanoutSettings, Selection};
pub use held_targets::{HeldTargets, ReportNumber};
pub use prefix_queue::PrefixQueue;
pub use prefix_store::PrefixStore;
pub use route_history::RouteHistory;
pub use soft::{SoftState, SoftStateSchedule, SoftStateWrites, WriteNumber};

/// Events that can wait for the host. When the queue is full, senders wait.
const MAX_QUEUED_EVENTS: usize = 1_024;
/// Time between a request to stop and the end of the process, for the handover of
/// leadership and the last answers.
const STOP_DELAY: Duration = Duration::from_millis(1_200);

/// Settings of a control instance that are not in its settings file.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlSettings {
    /// Port of the metrics server; `None` for no server.
    pub metrics_port: Option<u16>,
    /// Bounds beyond which routers forward updates and accept reports of targets.
    pub fanout: FanoutSettings,
}

/// Runs a control instance until it is stopped.
///
/// # Errors
///
/// Returns a message for the person who starts the process.
pub fn run(control_settings: ControlSettings) -> Result<(), String> {
    process::run(serve(control_settings))
}

async fn serve(control_settings: ControlSettings) -> Result<(), String> {
    let mut file = SettingsFile::open()?;
    let settings = file.settings.clone();
    let failed = |what: &'static str| move |error| format!("{what}: {error}");
    let operators = settings
        .operator_address
        .ok_or("the settings name no address for operators")?;
    let mut signals = Signals::new().map_err(failed("signals"))?;
    let limits = ProcessLimits::new(settings.memory_limit_bytes, settings.descriptor_limit);
    let doors = ControlDoors::from(limits);
    let buffers = Buffers::new(limits);
    let who = "operators and targets";
    let calls = Listener::bind(operators, doors.calls, &buffers.requests, who)?;
    let links = Listener::bind(settings.link_address, doors.links, &buffers.links, "links")?;
    let (events, receiver) = channel(MAX_QUEUED_EVENTS);
    let host = host::Host::start(&settings, control_settings.fanout, &buffers, events.clone())?;
    info!(
        instance = settings.instance,
        data_centre = settings.data_centre,
        operators = %operators,
        links = %settings.link_address,
        seeds = ?settings.seeds,
        first_start = settings.first_start,
        "control instance started"
    );
    spawn_essential("calls", calls::serve(calls, events.clone()));
    spawn_essential("links", link::serve(links, events.clone(), Event::Accepted));
    spawn_essential("host", host.run(receiver));

    if let Some(port) = control_settings.metrics_port {
        let events = events.clone();
        exposition::start(
            settings.ip,
            port,
            doors.metrics,
            &buffers.requests,
            move || metrics_text(events.clone()),
        );
    }

    let forward_seeds = async |settings: &ProcessSettings| {
        // The host receives events until the process ends.
        let _sent = events.send(Event::Seeds(settings.seeds.clone())).await;
    };
    let stopped = process::until_stopped(&mut file, &mut signals, forward_seeds).await;
    info!("control instance stopping");
    if events.send(Event::Stop).await.is_ok() {
        sleep(STOP_DELAY).await;
    }
    stopped
}

/// Requests the metrics from the host; returns an empty text once the host has ended.
async fn metrics_text(events: Sender<Event>) -> String {
    let (text, received) = oneshot::channel();
    let sent = events.send(Event::Metrics { text }).await;
    match received.await {
        Ok(text) if sent.is_ok() => text,
        _ => String::new(),
    }
}
