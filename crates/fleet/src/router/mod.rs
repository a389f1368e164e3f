//! The router role: forwards requests of callers to targets.
//!
//! A request passes through these modules: [`serve`] reads the request from a
//! caller's connection, [`mod@admit`] decides whether the request is served,
//! [`forward`] chooses targets and retries, [`attempt`] sends the request to one
//! target over a connection from [`pool`], and [`event_stream`] forwards a stream
//! of events. [`mod@path_checks`] finds out whether a silent target can be reached,
//! [`attempt_history`] limits the attempts of a request, [`rejections`] tells full
//! targets from a request that no target accepts, and [`origin_queries`] finds out where a
//! stream began that a caller resumes.
//!
//! [`reports`] accepts reports of targets on behalf of the control instances of a
//! large deployment, and [`followers`] keeps the links of the routers that this
//! router is a relay for.
//!
//! [`follow`] keeps links to control instances and receives the configuration and
//! the targets from them, asking the peers that [`config_requests`] and [`state_request`]
//! choose; [`lease`] decides how long the configuration is trusted after the last
//! confirmation by the control group, and [`mod@readiness`] what happens to requests
//! meanwhile.

mod admit;
mod attempt;
mod attempt_history;
mod config_requests;
mod control_addresses;
mod crashes;
mod event_stream;
mod follow;
mod followers;
mod forward;
mod lease;
mod metrics;
mod origin_queries;
mod path_checks;
mod pool;
mod readiness;
mod rejections;
mod reports;
mod serve;
mod state;
mod state_request;
mod trace;

pub use admit::{Admission, Admitted, Refusal, admit};
pub use attempt_history::{AttemptHistory, AttemptLimits, Execution};
pub use config_requests::{ConfigRequests, Peer, Peers};
pub use control_addresses::ControlAddresses;
pub use lease::{Accepted, ConfigState, Lease};
pub use origin_queries::{OriginQueries, QueryStep};
pub use path_checks::PathChecks;
pub use readiness::{Readiness, ReadinessSettings};
pub use rejections::{RejectionCause, Rejections};
pub use state_request::StateRequest;

use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use bamboospur_platform::settings::ProcessSettings;
use tokio::time::{Instant, interval, sleep};
use tracing::info;

use crate::exposition;
use crate::link::Traffic;
use crate::memory::{Buffers, ProcessLimits, RouterDoors};
use crate::process::{self, Listener, spawn_essential};
use crate::settings_file::SettingsFile;
use crate::signals::Signals;
use state::Router;

/// Time until a balancer stops sending new connections to a stopping router: the
/// balancer needs two failed readiness checks, a second apart.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace period reserved for the last answers and the exit of the process itself.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time for the last answers, to requests that are ended because the grace period is over.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Time between two checks of a stopping router for requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two removals of unusable idle connections and expired departures.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a router until it is stopped, and serves its metrics on `metrics_port` if
/// there is one.
///
/// # Errors
///
/// Returns a message for the operator when the settings are incomplete, or when
/// the settings, the signals or a listening address cannot be set up.
pub fn run(metrics_port: Option<u16>) -> Result<(), String> {
    process::run(start(metrics_port))
}

async fn start(metrics_port: Option<u16>) -> Result<(), String> {
    let mut file = SettingsFile::open()?;
    let settings = file.settings.clone();
    let failed = |what: &'static str| move |error| format!("{what}: {error}");
    let mut signals = Signals::new().map_err(failed("signals"))?;
    let limits = ProcessLimits::new(settings.memory_limit_bytes, settings.descriptor_limit);
    let doors = RouterDoors::from(limits);
    let buffers = Buffers::new(limits);
    let listeners = Listeners::bind(&settings, &doors, &buffers)?;
    let (router, origin_queries) = Router::new(&settings, limits, buffers.requests);
    let router = Rc::new(router);
    info!(
        instance = settings.instance,
        data_centre = settings.data_centre,
        callers = ?settings.caller_address,
        seeds = ?settings.seeds,
        "router started"
    );
    let seeds = follow::start(
        Rc::clone(&router),
        &settings,
        listeners.links,
        listeners.reports,
        buffers.links,
        origin_queries,
    );
    spawn_essential(
        "callers",
        serve::serve_callers(listeners.callers, Rc::clone(&router)),
    );
    spawn_essential(
        "readiness",
        serve::serve_readiness(listeners.readiness, Rc::clone(&router)),
    );

    if let Some(port) = metrics_port {
        let router = Rc::clone(&router);
        let buffers = router.buffers.clone();
        exposition::start(settings.ip, port, doors.metrics, &buffers, move || {
            ready(router.metrics_text() + &Traffic::now().text())
        });
    }

    spawn_essential("sweep", sweep(Rc::clone(&router)));
    let changed = async |settings: &ProcessSettings| seeds.update(&settings.seeds).await;
    let stopped = process::until_stopped(&mut file, &mut signals, changed).await;
    drain(&router, settings.bounds.stop_grace).await;
    stopped
}

/// Listeners of a router.
struct Listeners {
    callers: Listener,
    readiness: Listener,
    reports: Listener,
    links: Listener,
}

impl Listeners {
    fn bind(
        settings: &ProcessSettings,
        doors: &RouterDoors,
        buffers: &Buffers,
    ) -> Result<Self, String> {
        let callers = settings
            .caller_address
            .ok_or("the settings name no address for callers")?;
        let readiness = settings
            .readiness_address
            .ok_or("the settings name no address for readiness")?;
        let bind = |address, door, who| Listener::bind(address, door, &buffers.requests, who);
        Ok(Self {
            callers: bind(callers, doors.callers, "callers")?,
            readiness: bind(readiness, doors.readiness, "readiness")?,
            reports: bind(settings.report_address, doors.reports, "reports")?,
            links: Listener::bind(settings.link_address, doors.links, &buffers.links, "links")?,
        })
    }
}

async fn sweep(router: Rc<Router>) {
    let mut sweep = interval(SWEEP_INTERVAL);
    loop {
        sweep.tick().await;
        router.sweep();
    }
}

/// Finishes the requests in progress and serves new ones until the balancer has
/// had time to notice the stop. Returns when no request is left or at the end of
/// the grace period, when the callers of the others are told whether they may have run.
async fn drain(router: &Router, grace: Duration) {
    let started = Instant::now();
    router.start_draining();
    info!(
        active = router.active(),
        "router is stopping; waiting for its requests to end"
    );
    let end = started + grace.saturating_sub(EXIT_MARGIN);
    sleep(BALANCER_DETECTION_TIME).await;
    router.close_idle();
    wait_for_requests(router, end).await;
    if router.active() > 0 {
        info!(
            active = router.active(),
            "the time to stop is over; ending the requests in progress"
        );
        router.end_requests();
        wait_for_requests(router, end + LAST_ANSWER_TIME).await;
    }
    info!(active = router.active(), "router stopped");
}

/// Waits until no request is in progress, at most until `deadline`.
async fn wait_for_requests(router: &Router, deadline: Instant) {
    while Instant::now() < deadline && router.active() > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}
