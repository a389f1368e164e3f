//! State that the tasks of a router share.
//!
//! All tasks run on one thread, and no borrow is held over a wait.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use bamboospur_catalog::{Catalog, CatalogVersion, Service};
use bamboospur_dispatch::{ChosenTarget, DispatchSettings, Dispatcher, Outcome};
use bamboospur_platform::settings::{Bounds, ProcessSettings};
use bamboospur_registry::{Announcement, Merge, Phase, Registry, RegistrySettings, StartTime};
use bamboospur_retries::{FleetBudget, FleetBudgetSettings};
use bamboospur_types::{Rng, stable_id};
use tokio::sync::watch;
use tracing::info;

use super::lease::Lease;
use super::metrics::Metrics;
use super::pool::Pool;
use crate::clock::BootTime;

/// A router hears of silent targets from the control instances.
const NEVER: std::time::Duration = std::time::Duration::from_hours(24 * 365);
/// A router remembers departed targets for longer than a report can be late.
const DEPARTED_MEMORY: std::time::Duration = std::time::Duration::from_mins(10);
/// Part of a target's connections that the routers use together; the rest is
/// for connections that the target has not seen close yet.
const CONNECTION_USE: f64 = 0.9;

/// With more targets than this, arrivals are brought into force in batches.
const IMMEDIATE_TARGETS: usize = 200;

/// State of a router.
pub struct Router {
    pub bounds: Bounds,
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    pub lease: RefCell<Lease>,
    pub registry: RefCell<Registry>,
    pub dispatcher: RefCell<Dispatcher>,
    pub pool: RefCell<Pool>,
    pub metrics: RefCell<Metrics>,
    pub rng: RefCell<Rng>,
    budgets: RefCell<BTreeMap<String, FleetBudget>>,
    retries: FleetBudgetSettings,
    routers: Cell<u32>,
    /// Whether known targets are not in force yet.
    stale_targets: Cell<bool>,
    draining: Cell<bool>,
    closing: watch::Sender<bool>,
    active: Cell<usize>,
}

impl Router {
    pub fn new(settings: &ProcessSettings) -> Self {
        let seed = stable_id(&settings.instance) ^ BootTime::now().0;
        let bounds = settings.bounds;
        let registry = RegistrySettings {
            silence_timeout: NEVER,
            retention: DEPARTED_MEMORY,
        };
        let dispatch = DispatchSettings::default();
        Self {
            bounds,
            catalog: RefCell::new(None),
            lease: RefCell::new(Lease::new(bounds.key_removal)),
            registry: RefCell::new(Registry::new(registry)),
            dispatcher: RefCell::new(Dispatcher::new(dispatch, &settings.data_centre, seed)),
            pool: RefCell::default(),
            metrics: RefCell::default(),
            rng: RefCell::new(Rng::new(seed)),
            budgets: RefCell::default(),
            retries: FleetBudgetSettings {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                window: bounds.retry_window,
                ..FleetBudgetSettings::default()
            },
            routers: Cell::new(1),
            stale_targets: Cell::new(false),
            draining: Cell::new(false),
            closing: watch::Sender::new(false),
            active: Cell::new(0),
        }
    }

    /// Whether new connections should come.
    pub fn is_ready(&self) -> bool {
        let current = self.lease.borrow().is_valid(BootTime::now());
        let open = !self.draining.get();
        open && current && self.catalog.borrow().is_some()
    }

    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Closes connections without a request, and takes no new ones.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until connections without a request are to be closed.
    pub async fn closing(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as the router.
        let _closed = closing.wait_for(|&closing| closing).await;
    }

    /// Number of requests under way.
    pub fn active(&self) -> usize {
        self.active.get()
    }

    /// Counts a request as under way until the guard is dropped.
    pub fn begin(self: &Rc<Self>) -> ActiveRequest {
        self.active.set(self.active.get() + 1);
        ActiveRequest(Rc::clone(self))
    }

    /// Version of the configuration held; 0 stands for none.
    pub fn config_version(&self) -> CatalogVersion {
        self.catalog.borrow().as_ref().map_or(0, |c| c.version())
    }

    /// Takes a configuration if it is newer.
    pub fn adopt(&self, catalog: Catalog) {
        let version = catalog.version();
        let held = self.config_version();
        if version > held {
            info!(
                version,
                routes = catalog.routes().len(),
                "configuration in force"
            );
            *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        }
        self.lease.borrow_mut().record_version(version.max(held));
    }

    /// Takes announcements of targets and returns those that are news.
    pub fn merge(&self, announcements: Vec<Announcement>) -> Vec<Announcement> {
        let now = Instant::now();
        let mut changed = Vec::new();
        for news in announcements {
            if self.merge_quietly(&news, now) == Merge::Changed {
                changed.push(news);
            }
        }
        self.targets_changed(&changed, now);
        changed
    }

    /// Takes the report of a target.
    pub fn merge_one(&self, report: &Announcement) -> Merge {
        let now = Instant::now();
        let merge = self.merge_quietly(report, now);
        if merge == Merge::Changed {
            self.targets_changed(std::slice::from_ref(report), now);
        }
        merge
    }

    /// Brings changes into force. Arrivals of many targets wait for
    /// [`Self::refresh_targets`], as each update goes over all of them.
    fn targets_changed(&self, changed: &[Announcement], now: Instant) {
        let many = self.registry.borrow().len() > IMMEDIATE_TARGETS;
        if changed.is_empty() {
            return;
        }
        if many && changed.iter().all(|news| news.phase == Phase::Ready) {
            self.stale_targets.set(true);
        } else {
            self.update_targets(now);
        }
    }

    /// Brings arrivals into force that have waited.
    pub fn refresh_targets(&self) {
        if self.stale_targets.get() {
            self.update_targets(Instant::now());
        }
    }

    fn merge_quietly(&self, news: &Announcement, now: Instant) -> Merge {
        let merge = self.registry.borrow_mut().merge(news.clone(), now);
        if merge == Merge::Changed {
            let (phase, start) = (news.phase, news.start.0);
            info!(target_name = news.name, %phase, start, sequence = news.sequence, "target changed");
        }
        merge
    }

    /// Takes the departure of a target that told it here.
    pub fn leave(&self, name: &str, start: Option<StartTime>) {
        let now = Instant::now();
        let left = self.registry.borrow_mut().leave(name, start, now);
        if left.is_some() {
            info!(target_name = name, "target leaves");
            self.update_targets(now);
        }
    }

    /// Takes word of targets that announced nothing for long. Returns whether that
    /// is news.
    pub fn silence(&self, silent: &[Announcement]) -> bool {
        let now = Instant::now();
        let mut changed = false;
        for target in silent {
            if self.registry.borrow_mut().mark_silent(target, now) {
                info!(target_name = target.name, "target is silent");
                changed = true;
            }
        }
        if changed {
            self.update_targets(now);
        }
        changed
    }

    fn update_targets(&self, now: Instant) {
        self.stale_targets.set(false);
        let registry = self.registry.borrow();
        let draining: Vec<&Announcement> = registry.draining(now).collect();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.update(&registry.usable(now), &draining, now);
    }

    pub fn routers(&self) -> u32 {
        self.routers.get()
    }

    pub fn set_routers(&self, routers: u32) {
        self.routers.set(routers.max(1));
        self.dispatcher.borrow_mut().set_routers(routers);
    }

    /// Connections that this router may have to one target of a service.
    pub fn connection_share(&self, service: &Service) -> u32 {
        let share = f64::from(service.max_connections) * CONNECTION_USE;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the share is at most the number of connections"
        )]
        let share = (share / f64::from(self.routers.get())) as u32;
        share.max(1)
    }

    /// Counts a fresh request of a service.
    pub fn count_fresh(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.record_request(&self.retries, Instant::now());
    }

    /// Takes a retry of a service from the budget, if there is one.
    pub fn try_retry(&self, service: &str) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        let granted = budget.try_retry(&self.retries, self.routers.get(), Instant::now());
        if granted {
            self.metrics.borrow_mut().retry();
        }
        granted
    }

    /// Closes kept connections that no longer work, and forgets old departures.
    pub fn sweep(&self) {
        self.registry.borrow_mut().remove_expired(Instant::now());
        self.pool.borrow_mut().sweep(tokio::time::Instant::now());
    }

    /// Text of the metrics address.
    pub fn metrics_text(&self) -> String {
        let version = self.config_version();
        let active = u64::try_from(self.active.get()).unwrap_or(u64::MAX);
        let idle = u64::try_from(self.pool.borrow().len()).unwrap_or(u64::MAX);
        let gauges = [
            ("config_version", version),
            ("requests_active", active),
            ("target_connections_idle", idle),
            ("routers_known", u64::from(self.routers.get())),
        ];
        self.metrics.borrow().text(&gauges)
    }
}

/// A request under way.
pub struct ActiveRequest(Rc<Router>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get().saturating_sub(1));
    }
}

/// An attempt under way; it counts on its target until it ends.
pub struct ActiveAttempt {
    router: Rc<Router>,
    service: String,
    pub choice: ChosenTarget,
    outcome: Outcome,
}

impl ActiveAttempt {
    /// Begins an attempt at a chosen target.
    pub fn new(router: &Rc<Router>, service: &str, choice: ChosenTarget) -> Self {
        Self {
            router: Rc::clone(router),
            service: service.to_owned(),
            choice,
            outcome: Outcome::Neutral,
        }
    }

    /// Sets what the attempt told about its target.
    pub fn set(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let mut dispatcher = self.router.dispatcher.borrow_mut();
        dispatcher.finish(&self.service, &self.choice, self.outcome, Instant::now());
    }
}
