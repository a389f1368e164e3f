//! The router role: callers on one side, targets on the other.
//!
//! The way of a request: [`serve`] reads it from a caller's connection,
//! [`admit`] decides whether it is served, [`forward`] chooses targets and
//! retries, [`attempt`] exchanges it with one target over a connection from
//! [`pool`], and [`relay`] passes a stream of events on.
//!
//! [`reports`] takes reports of targets for the control instances of a large
//! deployment, and [`followers`] has the routers that this one relays to.
//!
//! [`follow`] keeps links to control instances and learns the configuration and
//! the targets from them; [`lease`] says how long the configuration can be
//! trusted after a link went silent.

mod admit;
mod attempt;
mod evidence;
mod follow;
mod followers;
mod forward;
mod lease;
mod metrics;
mod pool;
mod relay;
mod reports;
mod serve;
mod state;

pub use admit::{Admission, Admitted, Refusal, admit};
pub use evidence::{AttemptHistory, AttemptLimits, Execution};
pub use lease::Lease;

use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use bamboospur_http1::socket;
use bamboospur_platform::settings::ProcessSettings;
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep};
use tracing::info;

use crate::exposition;
use crate::process;
use crate::settings_file::SettingsFile;
use crate::signals::Signals;
use state::Router;

/// A balancer needs two looks, a second apart, to notice that a router stops;
/// until then new connections still come.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Kept of the grace period for the end of the process itself.
const END_MARGIN: Duration = Duration::from_millis(400);
/// How often a stopping router looks whether its work is done.
const DRAIN_CHECK: Duration = Duration::from_millis(50);
/// Time between two looks at idle connections to targets.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Runs a router until it is stopped, with its counters on a port.
///
/// # Errors
///
/// Returns a sentence for the person who starts the process.
pub fn run(metrics_port: Option<u16>) -> Result<(), String> {
    process::run(start(metrics_port))
}

async fn start(metrics_port: Option<u16>) -> Result<(), String> {
    let mut file = SettingsFile::open()?;
    let settings = file.settings.clone();
    let failed = |what: &'static str| move |error| format!("{what}: {error}");
    let callers = settings
        .callers
        .ok_or("the settings name no address for callers")?;
    let readiness = settings
        .readiness
        .ok_or("the settings name no address for readiness")?;
    let mut signals = Signals::new().map_err(failed("signals"))?;
    let callers_listener = socket::listen(callers).map_err(failed("address for callers"))?;
    let ready_listener = socket::listen(readiness).map_err(failed("address for readiness"))?;
    let links = socket::listen(settings.links).map_err(failed("address for links"))?;
    let reports = socket::listen(settings.reports).map_err(failed("address for reports"))?;
    let router = Rc::new(Router::new(&settings));
    info!(
        instance = settings.instance,
        data_centre = settings.data_centre,
        %callers,
        seeds = ?settings.seeds,
        "router started"
    );
    let seeds = follow::start(Rc::clone(&router), &settings, links, reports);
    spawn_local(serve::callers(callers_listener, Rc::clone(&router)));
    spawn_local(serve::readiness(ready_listener, Rc::clone(&router)));

    if let Some(port) = metrics_port {
        let router = Rc::clone(&router);
        exposition::start(settings.ip, port, move || ready(router.metrics_text()));
    }

    spawn_local(sweep(Rc::clone(&router)));
    let changed = async |settings: &ProcessSettings| seeds.change(&settings.seeds).await;
    process::until_stopped(&mut file, &mut signals, changed).await;
    drain(&router, settings.bounds.stop_grace).await;
    Ok(())
}

async fn sweep(router: Rc<Router>) {
    let mut sweep = interval(SWEEP_PERIOD);
    loop {
        sweep.tick().await;
        router.sweep();
    }
}

/// Finishes the requests under way and takes those that still come.
async fn drain(router: &Router, grace: Duration) {
    let started = Instant::now();
    router.start_draining();
    info!(active = router.active(), "router stops");
    let end = started + grace.saturating_sub(END_MARGIN);
    sleep(NOTICE_TIME).await;
    router.close_idle();
    while Instant::now() < end && router.active() > 0 {
        sleep(DRAIN_CHECK).await;
    }
    info!(active = router.active(), "router stopped");
}
