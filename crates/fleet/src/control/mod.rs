//! The control role: configuration, targets, and what routers are told.
//!
//! One task owns the state ([`host`]). It hears of everything through one queue
//! of events: calls of operators and targets ([`calls`]), links that others
//! dialled ([`link`]), links of its own, and finished writes ([`disk`]).

mod calls;
mod counters;
mod disk;
mod event;
mod host;
mod operators;
mod peers;
mod soft;
mod spread;

use std::time::Duration;

use bamboospur_http1::socket;
use bamboospur_platform::settings::ProcessSettings;
use tokio::sync::mpsc::{Sender, channel};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::info;

use crate::exposition;
use crate::link;
use crate::process;
use crate::settings_file::SettingsFile;
use crate::signals::Signals;
use event::Event;
pub use soft::{SoftSchedule, SoftState};
pub use spread::{Fanout, FanoutSettings};

/// Events that wait for the host; senders wait for room.
const QUEUE_EVENTS: usize = 1_024;
/// Time for a handover of leadership and the last answers before the end.
const STOP_TIME: Duration = Duration::from_millis(1_200);

/// Settings of a control instance that its deployment does not give.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlSettings {
    /// Port for counters.
    pub metrics_port: Option<u16>,
    /// Who is told of targets, and who takes their reports.
    pub fanout: FanoutSettings,
}

/// Runs a control instance until it is stopped.
///
/// # Errors
///
/// Returns a sentence for the person who starts the process.
pub fn run(own: ControlSettings) -> Result<(), String> {
    process::run(serve(own))
}

async fn serve(own: ControlSettings) -> Result<(), String> {
    let mut file = SettingsFile::open()?;
    let settings = file.settings.clone();
    let failed = |what: &'static str| move |error| format!("{what}: {error}");
    let operators = settings
        .operators
        .ok_or("the settings name no address for operators")?;
    let mut signals = Signals::new().map_err(failed("signals"))?;
    let calls = socket::listen(operators).map_err(failed("address for operators"))?;
    let links = socket::listen(settings.links).map_err(failed("address for links"))?;
    let (events, receiver) = channel(QUEUE_EVENTS);
    let host = host::Host::start(&settings, own.fanout, events.clone())?;
    info!(
        instance = settings.instance,
        data_centre = settings.data_centre,
        operators = %operators,
        links = %settings.links,
        seeds = ?settings.seeds,
        first_start = settings.first_start,
        "control instance started"
    );
    spawn_local(calls::serve(calls, events.clone()));
    spawn_local(link::serve(links, events.clone(), Event::Accepted));
    spawn_local(host.run(receiver));

    if let Some(port) = own.metrics_port {
        let events = events.clone();
        exposition::start(settings.ip, port, move || metrics_text(events.clone()));
    }

    let changed = async |settings: &ProcessSettings| {
        // The host lives as long as the process.
        let _sent = events.send(Event::Seeds(settings.seeds.clone())).await;
    };
    process::until_stopped(&mut file, &mut signals, changed).await;
    info!("control instance stops");
    let _sent = events.send(Event::Stop).await;
    sleep(STOP_TIME).await;
    Ok(())
}

/// Asks the host for its counters; there are none once it has ended.
async fn metrics_text(events: Sender<Event>) -> String {
    let (text, received) = oneshot::channel();
    let sent = events.send(Event::Metrics { text }).await;
    match received.await {
        Ok(text) if sent.is_ok() => text,
        _ => String::new(),
    }
}
