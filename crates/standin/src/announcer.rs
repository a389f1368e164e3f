//! Announces a target to the fleet and sends heartbeats for it until it leaves.
//! Each message goes to one of the given instances.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_types::{TargetRecord, TargetState, WorkTokens};
use serde_json::{Value, json};

/// Interval used until the answer to an announcement sets another one.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest sleep between checks of the stop flag, so that a stop takes effect soon.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Load that a target reports in its heartbeats.
#[derive(Debug, Default)]
pub struct Load {
    /// Tokens of all requests in progress.
    pub tokens: AtomicU64,
    /// Requests in progress.
    pub requests: AtomicU64,
}

impl Load {
    /// Counts a request that starts.
    pub fn start(&self, work_tokens: WorkTokens) {
        self.tokens.fetch_add(work_tokens, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that ended.
    pub fn end(&self, work_tokens: WorkTokens) {
        self.tokens.fetch_sub(work_tokens, Ordering::Relaxed);
        self.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Instances to announce a target to, with the credentials.
#[derive(Clone, Debug)]
pub struct AnnounceSettings {
    /// Addresses (`ip:port`) at which instances take announcements and heartbeats,
    /// tried in turn.
    pub instances: Vec<String>,
    /// Bearer token of targets; `None` when the fleet has no such token.
    pub token: Option<String>,
}

/// Thread that announces one target and sends its heartbeats.
#[derive(Debug)]
pub struct Announcer {
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    settings: AnnounceSettings,
    record: Mutex<TargetRecord>,
    state: Mutex<TargetState>,
    load: Arc<Load>,
    events: Mutex<Vec<Value>>,
    sequence: AtomicU64,
    stop: AtomicBool,
    heartbeats_paused: AtomicBool,
}

impl Announcer {
    /// Starts a thread that announces a target and sends its heartbeats.
    #[must_use]
    pub fn start(settings: AnnounceSettings, record: TargetRecord, load: Arc<Load>) -> Self {
        let shared = Arc::new(Shared {
            settings,
            record: Mutex::new(record),
            state: Mutex::new(TargetState::Ready),
            load,
            events: Mutex::new(Vec::new()),
            sequence: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            heartbeats_paused: AtomicBool::new(false),
        });
        let running = Arc::clone(&shared);
        let thread = thread::spawn(move || run_heartbeats(&running));
        Self {
            shared,
            thread: Some(thread),
        }
    }

    /// Reports the target as draining from the next heartbeat on.
    pub fn drain(&self) {
        *lock(&self.shared.state) = TargetState::Draining;
    }

    /// Pauses or resumes heartbeats without leaving the fleet. While paused, the
    /// target looks to the fleet like a suspended process.
    pub fn set_heartbeats_paused(&self, paused: bool) {
        self.shared
            .heartbeats_paused
            .store(paused, Ordering::Relaxed);
    }

    /// Queues a cache event for the next heartbeat.
    pub fn queue_cache_event(&self, event: Value) {
        lock(&self.shared.events).push(event);
    }

    /// Replaces the offers and announces the target again.
    pub fn set_offers(&self, offers: Vec<bamboospur_types::Offer>) {
        lock(&self.shared.record).offers = offers;
        let record = lock(&self.shared.record).clone();
        announce(&self.shared, &record);
    }

    /// Stops the heartbeats and removes the target from the fleet.
    pub fn leave(mut self) {
        self.stop_thread();
        let record = lock(&self.shared.record).clone();
        let body = json!({"name": record.name, "incarnation": record.incarnation});
        for instance in &self.shared.settings.instances {
            if post(&self.shared, instance, "/targets/leave", &body).is_some() {
                return;
            }
        }
    }

    fn stop_thread(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The heartbeat loop does not panic, and a failed join needs no action.
            let _ = thread.join();
        }
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.stop_thread();
    }
}

fn run_heartbeats(shared: &Shared) {
    let mut next = 0;
    let mut interval = DEFAULT_HEARTBEAT_INTERVAL;
    let mut announced = false;
    while !shared.stop.load(Ordering::Relaxed) {
        if !shared.heartbeats_paused.load(Ordering::Relaxed) {
            announced = announce_or_heartbeat(shared, &mut next, &mut interval, announced);
        }
        sleep_unless_stopped(shared, interval);
    }
}

/// Announces the target unless that has been done, then sends one heartbeat.
/// Returns false when the next call must announce the target again.
fn announce_or_heartbeat(
    shared: &Shared,
    next: &mut usize,
    interval: &mut Duration,
    announced: bool,
) -> bool {
    let record = lock(&shared.record).clone();
    if !announced {
        let Some(answer) = announce(shared, &record) else {
            return false;
        };
        if let Some(ms) = answer["heartbeat_ms"].as_u64() {
            *interval = Duration::from_millis(ms);
        }
    }
    let instances = &shared.settings.instances;
    let Some(instance) = instances.get(*next % instances.len().max(1)) else {
        return false;
    };
    *next += 1;
    send_cache_events(shared, instance, &record);
    heartbeat(shared, instance, &record) != Some(404)
}

fn announce(shared: &Shared, record: &TargetRecord) -> Option<Value> {
    let body = serde_json::to_value(record).ok()?;
    let instances = &shared.settings.instances;
    instances.iter().find_map(|instance| {
        let (status, answer) = post(shared, instance, "/targets/announce", &body)?;
        (status == 200).then_some(answer)
    })
}

fn heartbeat(shared: &Shared, instance: &str, record: &TargetRecord) -> Option<u16> {
    let body = json!({
        "name": record.name,
        "incarnation": record.incarnation,
        "sequence": shared.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        "load_tokens": shared.load.tokens.load(Ordering::Relaxed),
        "load_requests": shared.load.requests.load(Ordering::Relaxed),
        "state": *lock(&shared.state),
    });
    post(shared, instance, "/targets/heartbeat", &body).map(|(status, _)| status)
}

fn send_cache_events(shared: &Shared, instance: &str, record: &TargetRecord) {
    let events = std::mem::take(&mut *lock(&shared.events));
    if events.is_empty() {
        return;
    }
    let body = json!({
        "name": record.name,
        "incarnation": record.incarnation,
        "events": events,
    });
    // Cache events are hints: routers cope with the gap that a lost batch leaves.
    let _ = post(shared, instance, "/targets/cache-events", &body);
}

fn post(shared: &Shared, instance: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .http_status_as_error(false)
        .max_redirects(0)
        .build()
        .into();
    let mut request = agent.post(format!("http://{instance}{path}"));
    request = request.header("content-type", "application/json");
    if let Some(token) = &shared.settings.token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let mut response = request.send(body.to_string()).ok()?;
    let text = response.body_mut().read_to_string().unwrap_or_default();
    let answer = serde_json::from_str(&text).unwrap_or(Value::Null);
    Some((response.status().as_u16(), answer))
}

fn sleep_unless_stopped(shared: &Shared, interval: Duration) {
    let until = Instant::now() + interval;
    while !shared.stop.load(Ordering::Relaxed) {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        thread::sleep(left.min(STOP_POLL_INTERVAL));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
