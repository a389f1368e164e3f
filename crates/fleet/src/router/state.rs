//! State that the tasks of a router share.
//!
//! All tasks run on one thread, and no borrow is held across an await.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_catalog::{Catalog, CatalogVersion, Route, Service, ServiceName};
use bamboospur_dispatch::{ChosenTarget, DispatchSettings, Dispatcher, Outcome};
use bamboospur_group::{DataCentre, FleetRevision, FleetState};
use bamboospur_platform::settings::{Bounds, ProcessSettings};
use bamboospur_registry::{Announcement, Merge, Phase, Registry, RegistrySettings, StartTime};
use bamboospur_retries::{FleetBudget, FleetBudgetSettings};
use bamboospur_types::{Rng, stable_id};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{timeout, timeout_at};
use tracing::info;

use super::crashes::{Connected, Crashes};
use super::lease::{Accepted, Lease};
use super::metrics::Metrics;
use super::path_checks::PathChecks;
use super::pool::Pool;
use super::readiness::{Readiness, ReadinessSettings};
use crate::clock::BootTime;
use crate::stream_origins::{
    BegunStreams, OwnStreams, PossibleOrigins, StreamId, StreamOrigin, origin_at,
};

/// The router's own detection of silent targets is disabled by a timeout of a year:
/// the control instances report silent targets to the router.
const TARGET_SILENCE_TIMEOUT: Duration = Duration::from_hours(24 * 365);
/// Time for which a router remembers departed targets; longer than a report can be
/// delayed.
const DEPARTURE_RETENTION: Duration = Duration::from_mins(10);
/// Fraction of a target's connections that all routers use together; the rest is
/// reserved for closed connections whose close the target has not noticed yet.
const ROUTER_CONNECTION_FRACTION: f64 = 0.9;

/// Time for which a target gets no requests after another process answered at its address.
/// Meanwhile that process reports, or the target counts as silent.
const REPLACED_PAUSE: Duration = Duration::from_secs(3);

/// With more known targets than this, newly ready targets are applied in batches.
const MAX_IMMEDIATE_UPDATE_TARGETS: usize = 200;

/// Longest wait for the answers of control instances about the origin of a stream.
const MAX_ORIGIN_WAIT: Duration = Duration::from_millis(500);
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
    /// Number of requests in progress.
    active: Cell<usize>,
}

impl Router {
    /// Creates a router and the queue of its queries to control instances.
    pub fn new(settings: &ProcessSettings) -> (Self, mpsc::Receiver<OriginQuery>) {
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
            catalog: RefCell::new(None),
            lease: RefCell::new(Lease::new(bounds.key_removal_limit)),
            fleet: RefCell::default(),
            readiness: RefCell::new(Readiness::new(ReadinessSettings::default(), Instant::now())),
            readiness_changed: Notify::new(),
            registry: RefCell::new(Registry::new(registry)),
            dispatcher: RefCell::new(Dispatcher::new(dispatch, &settings.data_centre, seed)),
            pool: RefCell::default(),
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

    /// Returns the age of the last confirmation of the configuration.
    pub fn lease_age(&self) -> Option<Duration> {
        self.lease.borrow().age(BootTime::now())
    }

    /// Records the answer of the control group to a query sent at `asked_at`.
    pub fn confirm_accepted(&self, accepted: Accepted, asked_at: BootTime) {
        self.lease.borrow_mut().confirm(accepted, asked_at);
        self.handle_lease_change();
    }

    fn handle_lease_change(&self) {
        if self.has_lease() {
            self.readiness.borrow_mut().record_ready(Instant::now());
            self.readiness_changed.notify_waiters();
        }
    }

    /// Records that a list of all targets arrived.
    pub fn record_targets(&self) {
        self.readiness.borrow_mut().record_targets();
        self.readiness_changed.notify_waiters();
    }

    /// Records that the places of prompts arrived that were cached before the start.
    pub fn record_prefixes(&self) {
        self.readiness.borrow_mut().record_prefixes();
        self.readiness_changed.notify_waiters();
    }

    /// Waits until more is known that this router needs for its requests. Returns `false` at
    /// once if it is not expected to get a valid lease soon, and at `deadline`.
    pub async fn wait_until_ready(&self, deadline: tokio::time::Instant) -> bool {
        let expected = self.readiness.borrow_mut().wait_deadline(Instant::now());
        match expected {
            Some(expected) => self.wait_until(deadline.min(expected.into())).await,
            None => false,
        }
    }

    /// Waits until the list of targets is known if it is expected soon, at most until
    /// `deadline`.
    pub async fn wait_for_targets(&self, deadline: tokio::time::Instant) {
        while tokio::time::Instant::now() < deadline {
            let expected = self
                .readiness
                .borrow()
                .targets_wait_deadline(Instant::now());
            let Some(expected) = expected else { return };
            self.wait_until(deadline.min(expected.into())).await;
        }
    }

    /// Waits until the places of cached prompts are known, if they are expected soon.
    pub async fn wait_for_prefixes(&self) {
        loop {
            let expected = self.readiness.borrow().prompt_wait_deadline(Instant::now());
            let Some(expected) = expected else { return };
            self.wait_until(expected.into()).await;
        }
    }

    /// Waits for a change of the readiness; returns whether there was one until `deadline`.
    async fn wait_until(&self, deadline: tokio::time::Instant) -> bool {
        let _waiting = WaitingRequest::new(&self.readiness);
        timeout_at(deadline, self.readiness_changed.notified())
            .await
            .is_ok()
    }

    pub fn is_draining(&self) -> bool {
        self.draining.get()
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

    /// Whether targets with the software of this one may get requests.
    pub fn knows_software(&self, announcement: &Announcement) -> bool {
        let origin = origin_at(announcement);
        self.fleet.borrow().software().contains(&origin)
    }

    /// Merges announcements of targets and returns those that changed the registry.
    pub fn merge_announcements(&self, announcements: Vec<Announcement>) -> Vec<Announcement> {
        let now = Instant::now();
        let mut changed = Vec::new();
        for announcement in announcements {
            if self.merge_into_registry(&announcement, now) == Merge::Changed {
                changed.push(announcement);
            }
        }
        self.handle_changed_targets(&changed, now);
        changed
    }

    /// Merges the report of a target.
    pub fn merge_report(&self, report: &Announcement) -> Merge {
        let now = Instant::now();
        let merge = self.merge_into_registry(report, now);
        if merge == Merge::Changed {
            self.handle_changed_targets(std::slice::from_ref(report), now);
        }
        merge
    }

    /// Passes changed targets on to the dispatcher. With many targets, newly ready
    /// ones are deferred to [`Self::apply_pending_targets`], as each update processes all
    /// targets.
    fn handle_changed_targets(&self, changed: &[Announcement], now: Instant) {
        let many = self.registry.borrow().len() > MAX_IMMEDIATE_UPDATE_TARGETS;
        if changed.is_empty() {
            return;
        }
        if many
            && changed
                .iter()
                .all(|announcement| announcement.phase == Phase::Ready)
        {
            self.has_pending_targets.set(true);
        } else {
            self.update_targets(now);
        }
    }

    /// Passes deferred targets on to the dispatcher.
    pub fn apply_pending_targets(&self) {
        if self.has_pending_targets.get() {
            self.update_targets(Instant::now());
        }
    }

    /// Merges an announcement without updating the dispatcher.
    fn merge_into_registry(&self, announcement: &Announcement, now: Instant) -> Merge {
        let merge = self.registry.borrow_mut().merge(announcement.clone(), now);
        if merge == Merge::Changed {
            info!(
                target_name = announcement.name,
                phase = %announcement.phase,
                start = announcement.start.0,
                sequence = announcement.sequence,
                service = announcement.service,
                software = announcement.software,
                "target changed"
            );
        }
        merge
    }

    /// Records the departure of a target that called this router.
    pub fn leave(&self, name: &str, start: Option<StartTime>) {
        let now = Instant::now();
        let left = self.registry.borrow_mut().leave(name, start, now);
        if left.is_some() {
            info!(target_name = name, "target announced its departure");
            self.update_targets(now);
        }
    }

    /// Records that a target said in an answer that it leaves.
    pub fn record_leaving(&self, choice: &ChosenTarget) {
        let now = Instant::now();
        let mut registry = self.registry.borrow_mut();
        let drained = registry.drain(&choice.name, choice.start, now);
        drop(registry);
        if let Some(drained) = drained {
            info!(
                target_name = choice.name,
                "target says in an answer that it leaves; sending it no further requests"
            );
            self.leaving.borrow_mut().push(drained);
            self.update_targets(now);
        }
    }

    /// Whether this start of a target has announced that it leaves, or has left.
    pub fn is_leaving(&self, name: &str, start: StartTime) -> bool {
        let registry = self.registry.borrow();
        let known = registry.get(name).filter(|known| known.start == start);
        known.is_some_and(|known| known.phase != Phase::Ready)
    }

    /// Records that another process answered at the address of a target, which has probably
    /// ended.
    pub fn record_replaced(&self, service: &str, choice: &ChosenTarget) {
        let now = Instant::now();
        info!(
            target_name = choice.name,
            address = %choice.address,
            "another process answers at the address of a target; avoiding the target"
        );
        let has_successor = self
            .registry
            .borrow_mut()
            .disown(&choice.name, choice.start, now);
        if has_successor {
            self.update_targets(now);
        } else {
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.record_rejection(service, choice, REPLACED_PAUSE, now);
        }
    }

    /// Removes and returns the targets that said in answers that they leave.
    pub fn take_leaving(&self) -> Vec<Announcement> {
        self.leaving.take()
    }

    /// Puts back targets that could not be reported.
    pub fn put_back_leaving(&self, leaving: Vec<Announcement>) {
        self.leaving.borrow_mut().extend(leaving);
    }

    /// Marks targets as silent that have announced nothing for long, according to a
    /// control instance. Returns whether any target changed.
    pub fn mark_silent(&self, silent: &[Announcement]) -> bool {
        let now = Instant::now();
        let mut changed = false;
        for target in silent {
            if self.registry.borrow_mut().mark_silent(target, now) {
                info!(
                    target_name = target.name,
                    "target marked as silent: it has announced nothing for long"
                );
                changed = true;
            }
        }
        if changed {
            self.update_targets(now);
        }
        changed
    }

    /// Passes the usable and the draining targets on to the dispatcher.
    fn update_targets(&self, now: Instant) {
        self.has_pending_targets.set(false);
        let registry = self.registry.borrow();
        let draining: Vec<&Announcement> = registry.draining(now).collect();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.update(&registry.usable(now), &draining, now);
        for (target, until) in registry.cold(now) {
            dispatcher.record_cold(target, until, now);
        }
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

    /// Records where a stream began: its first event was delivered, or it goes on here.
    pub fn begin_stream(&self, stream: StreamId, origin: &StreamOrigin, route: &Route) {
        let several_services = route.shares.len() > 1;
        let mut streams = self.own_streams.borrow_mut();
        streams.record(stream, origin.clone(), several_services, Instant::now());
        drop(streams);
        self.stream_began.notify_one();
    }

    /// Removes and returns the streams whose origin is to be reported now.
    pub fn take_begun_streams(&self) -> Vec<BegunStreams> {
        let now = Instant::now();
        let has_versions = |service: &ServiceName| {
            let possible = self.possible_origins(std::slice::from_ref(service));
            possible.origins.len() > 1
        };
        self.own_streams.borrow_mut().take_due(has_versions, now)
    }

    /// Returns the streams whose origin was reported lately.
    pub fn reported_streams(&self) -> Vec<BegunStreams> {
        self.own_streams.borrow().reported_lately(Instant::now())
    }

    /// Puts back streams whose origin could not be reported.
    pub fn put_back_streams(&self, begun: Vec<BegunStreams>) {
        self.own_streams
            .borrow_mut()
            .put_back(begun, Instant::now());
    }

    /// Returns where a stream that was not reported may have begun, as far as this router
    /// knows.
    pub fn possible_origins(&self, services: &[ServiceName]) -> PossibleOrigins {
        let (registry, fleet) = (self.registry.borrow(), self.fleet.borrow());
        PossibleOrigins::known_to(&registry, &fleet, services, Instant::now())
    }

    /// Returns where a stream that a caller resumes began; `None` if neither this router nor
    /// a control instance can tell.
    pub async fn find_origin(
        &self,
        stream: Option<StreamId>,
        services: Vec<ServiceName>,
    ) -> Option<StreamOrigin> {
        let known = stream.and_then(|stream| self.own_streams.borrow().find(stream).cloned());
        if known.is_some() {
            return known;
        }
        let (reply, answer) = oneshot::channel();
        let query = OriginQuery {
            stream,
            services,
            reply,
        };
        self.origin_queries.try_send(query).ok()?;
        timeout(MAX_ORIGIN_WAIT, answer).await.ok()?.ok()?
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
        let gauges = [
            ("target_limits", u64::try_from(limits).unwrap_or(u64::MAX)),
            ("config_version", version),
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

/// Guard that counts a request as waiting for the lease until it is dropped.
struct WaitingRequest<'a>(&'a RefCell<Readiness>);

impl<'a> WaitingRequest<'a> {
    fn new(readiness: &'a RefCell<Readiness>) -> Self {
        readiness.borrow_mut().begin_wait();
        Self(readiness)
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().end_wait();
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
