//! State that the tasks of a router share. The parts that concern the waits of requests, targets
//! and the origins of streams are in modules of their own.
//!
//! All tasks run on one thread, and no borrow is held across an await.

mod streams;
mod targets;
mod waits;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_catalog::{Catalog, CatalogVersion, Route, Service, ServiceName};
use bamboospur_dispatch::{ChosenTarget, DispatchSettings, Dispatcher, Outcome};
use bamboospur_group::{DataCentre, FleetRevision, FleetState};
use bamboospur_platform::settings::{Bounds, ProcessSettings};
use bamboospur_registry::{Announcement, Registry, RegistrySettings};
use bamboospur_retries::{FleetBudget, FleetBudgetSettings};
use bamboospur_types::{BufferBudget, Rng, stable_id};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tracing::info;

use super::crashes::{Connected, Crashes};
use super::lease::{Accepted, ConfigState, Lease};
use super::metrics::Metrics;
use super::path_checks::PathChecks;
use super::pool::Pool;
use super::readiness::{Readiness, ReadinessSettings};
use crate::clock::BootTime;
use crate::memory::ProcessLimits;
use crate::stream_origins::{OwnStreams, StreamId, StreamOrigin};

/// The router's own detection of silent targets is disabled by a timeout of a year:
/// the control instances report silent targets to the router.
const TARGET_SILENCE_TIMEOUT: Duration = Duration::from_hours(24 * 365);
/// Time for which a router remembers departed targets; longer than a report can be
/// delayed.
const DEPARTURE_RETENTION: Duration = Duration::from_mins(10);
/// Fraction of a target's connections that all routers use together; the rest is
/// reserved for closed connections whose close the target has not noticed yet.
const ROUTER_CONNECTION_FRACTION: f64 = 0.9;
/// Queries for origins that can wait to be sent; more callers than this resume streams at
/// once only if something is wrong, and are refused.
const MAX_QUEUED_ORIGIN_QUERIES: usize = 1_024;

/// Query of a request for the origin of the stream that it resumes.
#[derive(Debug)]
pub struct OriginQuery {
    /// Id of the stream; `None` if the caller does not name it.
    pub stream: Option<StreamId>,
    /// Services at which the stream may have begun.
    pub services: Vec<ServiceName>,
    /// Receives the origin, or `None` when no control instance knows it.
    pub reply: oneshot::Sender<Option<StreamOrigin>>,
}

/// State of a router.
pub struct Router {
    pub bounds: Bounds,
    /// Budget for the requests and answers in memory.
    pub buffers: BufferBudget,
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    lease: RefCell<Lease>,
    /// State of the fleet that the control group agreed on.
    fleet: RefCell<FleetState>,
    pub readiness: RefCell<Readiness>,
    /// Notified when the lease has become valid, and when the list of targets or the places of
    /// cached prompts arrived.
    readiness_changed: Notify,
    pub registry: RefCell<Registry>,
    pub dispatcher: RefCell<Dispatcher>,
    pub pool: RefCell<Pool>,
    pub path_checks: RefCell<PathChecks>,
    pub metrics: RefCell<Metrics>,
    pub rng: RefCell<Rng>,
    retry_budgets: RefCell<BTreeMap<String, FleetBudget>>,
    retry_settings: FleetBudgetSettings,
    own_streams: RefCell<OwnStreams>,
    /// Notified when a stream has begun.
    pub stream_began: Notify,
    origin_queries: mpsc::Sender<OriginQuery>,
    pub crashes: Crashes,
    /// Number of routers that the leader last stated.
    routers: Cell<u32>,
    /// Targets that said in answers that they leave, to report to a control instance.
    leaving: RefCell<Vec<Announcement>>,
    /// Whether the registry has targets that the dispatcher does not know yet.
    has_pending_targets: Cell<bool>,
    draining: Cell<bool>,
    closing: watch::Sender<bool>,
    /// Whether the requests in progress are to end.
    ending: watch::Sender<bool>,
    /// Number of requests in progress.
    active: Cell<usize>,
}

impl Router {
    /// Creates a router and the queue of its queries to control instances.
    pub fn new(
        settings: &ProcessSettings,
        limits: ProcessLimits,
        buffers: BufferBudget,
    ) -> (Self, mpsc::Receiver<OriginQuery>) {
        let seed = stable_id(&settings.instance) ^ BootTime::now().0;
        let bounds = settings.bounds;
        let registry = RegistrySettings {
            silence_timeout: TARGET_SILENCE_TIMEOUT,
            retention: DEPARTURE_RETENTION,
        };
        let dispatch = DispatchSettings::default();
        let (origin_queries, queries) = mpsc::channel(MAX_QUEUED_ORIGIN_QUERIES);
        let router = Self {
            bounds,
            buffers,
            catalog: RefCell::new(None),
            lease: RefCell::new(Lease::new(bounds.key_removal_limit, bounds.change_limit)),
            fleet: RefCell::default(),
            readiness: RefCell::new(Readiness::new(ReadinessSettings::default(), Instant::now())),
            readiness_changed: Notify::new(),
            registry: RefCell::new(Registry::new(registry)),
            dispatcher: RefCell::new(Dispatcher::new(dispatch, &settings.data_centre, seed)),
            pool: RefCell::new(Pool::new(limits.idle_connections())),
            path_checks: RefCell::default(),
            metrics: RefCell::default(),
            rng: RefCell::new(Rng::new(seed)),
            retry_budgets: RefCell::default(),
            retry_settings: FleetBudgetSettings {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                window: bounds.retry_window,
                ..FleetBudgetSettings::default()
            },
            own_streams: RefCell::default(),
            stream_began: Notify::new(),
            origin_queries,
            crashes: Crashes::default(),
            routers: Cell::new(1),
            leaving: RefCell::default(),
            has_pending_targets: Cell::new(false),
            draining: Cell::new(false),
            closing: watch::Sender::new(false),
            ending: watch::Sender::new(false),
            active: Cell::new(0),
        };
        (router, queries)
    }

    /// Whether the balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        let expects_targets = self.readiness.borrow().expects_targets(Instant::now());
        !self.draining.get() && self.has_lease() && !expects_targets
    }

    /// Whether the router has a configuration that is known to be in force.
    pub fn has_lease(&self) -> bool {
        self.lease.borrow().is_valid(BootTime::now()) && self.catalog.borrow().is_some()
    }

    /// Returns whether the configuration is known to be in force.
    pub fn config_state(&self) -> ConfigState {
        self.lease.borrow().config_state(BootTime::now())
    }

    /// Returns the age of the last confirmation of the configuration, or `None` before the
    /// first one.
    pub fn lease_age(&self) -> Option<Duration> {
        self.lease.borrow().age(BootTime::now())
    }

    /// Records the answer of the control group to a query sent at `asked_at`.
    pub fn confirm_accepted(&self, accepted: Accepted, asked_at: BootTime) {
        self.lease.borrow_mut().confirm(accepted, asked_at);
        self.handle_lease_change();
    }

    /// Returns the flag that says whether connections are closed after their answer.
    pub const fn draining(&self) -> &Cell<bool> {
        &self.draining
    }

    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Closes connections without a request, and stops accepting new ones.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until [`Self::close_idle`] is called.
    pub async fn closing(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as the router.
        let _closed = closing.wait_for(|&closing| closing).await;
    }

    /// Ends the requests in progress, because the process is about to end.
    pub fn end_requests(&self) {
        self.ending.send_replace(true);
    }

    /// Waits until [`Self::end_requests`] is called.
    pub async fn ending(&self) {
        let mut ending = self.ending.subscribe();
        // The sender lives as long as the router.
        let _ended = ending.wait_for(|&ending| ending).await;
    }

    /// Returns the number of requests in progress.
    pub fn active(&self) -> usize {
        self.active.get()
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> ActiveRequest {
        self.active.set(self.active.get() + 1);
        ActiveRequest(Rc::clone(self))
    }

    /// Returns the version of the router's configuration, or 0 without one.
    pub fn config_version(&self) -> CatalogVersion {
        self.catalog.borrow().as_ref().map_or(0, |c| c.version())
    }

    /// Applies a configuration if it is newer.
    pub fn apply_config(&self, catalog: Catalog) {
        let version = catalog.version();
        let current = self.config_version();
        if version > current {
            info!(
                version,
                routes = catalog.routes().len(),
                "configuration in force"
            );
            let mut current = self.catalog.borrow_mut();
            if current
                .as_ref()
                .is_some_and(|old| moves_routes(old, &catalog))
            {
                self.own_streams.borrow_mut().make_all_due();
            }
            *current = Some(Rc::new(catalog));
        }
        self.lease.borrow_mut().record_config(version.max(current));
        self.handle_lease_change();
    }

    /// Returns the revision of the router's state of the fleet.
    pub fn fleet_revision(&self) -> FleetRevision {
        self.fleet.borrow().revision()
    }

    /// Applies a state of the fleet if it is newer.
    pub fn apply_fleet(&self, fleet: FleetState) {
        if fleet.revision() <= self.fleet_revision() {
            return;
        }
        let evacuated: BTreeSet<DataCentre> = fleet.evacuated().cloned().collect();
        info!(
            revision = fleet.revision(),
            ?evacuated,
            "state of the fleet in force"
        );
        self.dispatcher.borrow_mut().set_evacuated(evacuated);
        self.lease.borrow_mut().record_fleet(fleet.revision());
        self.fleet.replace(fleet);
        self.handle_lease_change();
    }

    pub fn router_count(&self) -> u32 {
        self.routers.get()
    }

    pub fn set_router_count(&self, routers: u32) {
        self.routers.set(routers.max(1));
        self.dispatcher.borrow_mut().set_router_count(routers);
    }

    /// Returns how many connections this router may have to one target of a service.
    pub fn connection_share(&self, service: &Service) -> u32 {
        let share = f64::from(service.max_connections) * ROUTER_CONNECTION_FRACTION;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the share is at most the number of connections"
        )]
        let share = (share / f64::from(self.routers.get())) as u32;
        share.max(1)
    }

    /// Counts a request, other than a retry, towards the retry budget of a service.
    pub fn count_request(&self, service: &str) {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.record_request(&self.retry_settings, Instant::now());
    }

    /// Takes a retry from the budget of a service. Returns whether the budget had one.
    pub fn try_retry(&self, service: &str) -> bool {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        let granted = budget.try_retry(&self.retry_settings, self.routers.get(), Instant::now());
        if granted {
            self.metrics.borrow_mut().record_retry();
        }
        granted
    }

    /// Closes idle connections that are no longer usable, and removes expired
    /// departures.
    pub fn sweep(&self) {
        self.registry.borrow_mut().remove_expired(Instant::now());
        self.pool.borrow_mut().sweep(tokio::time::Instant::now());
    }

    /// Returns the text that the metrics endpoint serves.
    pub fn metrics_text(&self) -> String {
        let version = self.config_version();
        let active = u64::try_from(self.active.get()).unwrap_or(u64::MAX);
        let idle = u64::try_from(self.pool.borrow().len()).unwrap_or(u64::MAX);
        let limits = self.dispatcher.borrow().limit_count();
        let confirmed = self.lease_age().unwrap_or(Duration::MAX);
        let confirmation_age_ms = u64::try_from(confirmed.as_millis()).unwrap_or(u64::MAX);
        let gauges = [
            ("confirmation_age_ms", confirmation_age_ms),
            (
                "config_version_accepted",
                self.lease.borrow().accepted_config(),
            ),
            ("target_limits", u64::try_from(limits).unwrap_or(u64::MAX)),
            ("config_version", version),
            (
                "buffered_bytes",
                u64::try_from(self.buffers.used_bytes()).unwrap_or(u64::MAX),
            ),
            ("buffers_refused_total", self.buffers.refused()),
            ("requests_active", active),
            ("target_connections_idle", idle),
            ("routers_known", u64::from(self.routers.get())),
        ];
        self.metrics.borrow().text(&gauges)
    }
}

/// Whether a new catalog sends the requests of a route to other services than the old one.
fn moves_routes(old: &Catalog, new: &Catalog) -> bool {
    let services = |route: &Route| -> Vec<ServiceName> {
        route.shares.iter().map(|s| s.service.clone()).collect()
    };
    let by_place = |catalog: &Catalog| -> BTreeMap<(String, String), Vec<ServiceName>> {
        let routes = catalog.routes().iter().filter(|route| route.resumable);
        let place = |route: &Route| (route.host.clone(), route.path_prefix.clone());
        routes.map(|r| (place(r), services(r))).collect()
    };
    let new = by_place(new);
    by_place(old)
        .iter()
        .any(|(place, services)| new.get(place).is_some_and(|moved| moved != services))
}

/// Guard that counts a request as in progress until it is dropped.
pub struct ActiveRequest(Rc<Router>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get().saturating_sub(1));
    }
}

/// An attempt in progress, which counts towards the load of its target until it is
/// dropped.
pub struct ActiveAttempt {
    router: Rc<Router>,
    service: String,
    pub choice: ChosenTarget,
    outcome: Outcome,
    connected: Option<Connected>,
}

impl ActiveAttempt {
    /// Starts an attempt at a chosen target.
    pub fn new(router: &Rc<Router>, service: &str, choice: ChosenTarget) -> Self {
        Self {
            router: Rc::clone(router),
            service: service.to_owned(),
            choice,
            outcome: Outcome::Neutral,
            connected: None,
        }
    }

    /// Records that the attempt has a connection to the target.
    pub fn set_connected(&mut self) {
        self.connected = Some(Crashes::connect(&self.router, &self.choice));
    }

    /// Sets the outcome that is recorded for the target when the attempt ends.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let mut dispatcher = self.router.dispatcher.borrow_mut();
        dispatcher.finish(&self.service, &self.choice, self.outcome, Instant::now());
    }
}
