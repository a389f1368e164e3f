//! State that all requests of a node share.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use bamboospur_settings::KeyHash;
use bamboospur_types::{BufferBudget, InstanceId, mix64, stable_id};
use bamboospur_upstream::{Client, ClientSettings};

use crate::mailbox::Mailbox;
use crate::metrics::Metrics;
use crate::settings::NodeSettings;

/// State and services that all requests of a node share.
#[derive(Debug)]
pub struct Node {
    /// Settings from the node's settings file and command line.
    pub settings: NodeSettings,
    /// Sends messages to the actors of the main loop.
    pub mailbox: Mailbox,
    /// HTTP client for calls to targets.
    pub client: Client,
    /// Budget for the requests and answers in memory.
    pub buffers: BufferBudget,
    /// Counters and timings of requests.
    pub metrics: Metrics,
    heartbeat_interval: Duration,
    target_token: Option<KeyHash>,
    operator_token: Option<KeyHash>,
    start_unix_us: u64,
    next_offset: AtomicU64,
    draining: AtomicBool,
    closing: AtomicBool,
    violations: AtomicU64,
    in_progress: AtomicUsize,
    running_attempts: Mutex<BTreeSet<u64>>,
}

impl Node {
    /// Creates the shared state, with a heartbeat interval of 1 s and no tokens.
    #[must_use]
    pub fn new(settings: NodeSettings, mailbox: Mailbox, buffers: BufferBudget) -> Self {
        let client = Client::new(&ClientSettings::default(), buffers.clone());
        let metrics = Metrics::new(settings.statsd);
        Self {
            settings,
            mailbox,
            client,
            buffers,
            metrics,
            heartbeat_interval: Duration::from_secs(1),
            target_token: None,
            operator_token: None,
            start_unix_us: unix_us(),
            next_offset: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            violations: AtomicU64::new(0),
            in_progress: AtomicUsize::new(0),
            running_attempts: Mutex::default(),
        }
    }

    /// Sets the interval at which targets are asked to send heartbeats.
    pub const fn set_heartbeat_interval(&mut self, heartbeat: Duration) {
        self.heartbeat_interval = heartbeat;
    }

    /// Returns the interval at which targets are asked to send heartbeats.
    #[must_use]
    pub const fn heartbeat_interval(&self) -> Duration {
        self.heartbeat_interval
    }

    /// Sets the hash of the token that targets must send.
    pub const fn set_target_token(&mut self, token: Option<KeyHash>) {
        self.target_token = token;
    }

    /// Returns the hash of the token that targets must send, if one is set.
    #[must_use]
    pub const fn target_token(&self) -> Option<&KeyHash> {
        self.target_token.as_ref()
    }

    /// Sets the hash of the initial operator's token.
    pub const fn set_operator_token(&mut self, token: Option<KeyHash>) {
        self.operator_token = token;
    }

    /// Returns the hash of the initial operator's token, if one is set.
    #[must_use]
    pub const fn operator_token(&self) -> Option<&KeyHash> {
        self.operator_token.as_ref()
    }

    /// Counts a request as in progress until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        InProgressGuard {
            node: Arc::clone(self),
        }
    }

    /// Returns the number of requests whose guards have not been dropped yet.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Returns the id that is derived from the name of this instance.
    #[must_use]
    pub fn instance_id(&self) -> InstanceId {
        stable_id(&self.settings.name)
    }

    /// Returns a number that no process of this instance has returned before.
    ///
    /// Numbers count up from the start time in microseconds. A restarted process
    /// repeats none of them as long as fewer than a million a second are used.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.start_unix_us + self.next_offset.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a new request id, which cannot be guessed from the previous one.
    #[must_use]
    pub fn next_request_id(&self) -> String {
        let number = self.next_number();
        let mixed = mix64(number ^ self.instance_id());
        format!("{number:013x}{:08x}", mixed >> 32)
    }

    /// Records that the claimed attempt with this number runs in this process.
    pub fn attempt_started(&self, number: u64) {
        self.lock_attempts().insert(number);
    }

    /// Records that the claimed attempt with this number has ended.
    pub fn attempt_ended(&self, number: u64) {
        self.lock_attempts().remove(&number);
    }

    /// Returns whether the claimed attempt with this number runs in this process.
    #[must_use]
    pub fn is_attempt_running(&self, number: u64) -> bool {
        self.lock_attempts().contains(&number)
    }

    fn lock_attempts(&self) -> MutexGuard<'_, BTreeSet<u64>> {
        self.running_attempts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the readiness check fail, so that load balancers stop sending
    /// requests to this node.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether `drain` has been called.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Starts to reject new requests on open connections.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Returns whether `close` has been called.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Counts and logs the violation of an invariant, described by `what`.
    pub fn record_violation(&self, what: &str) {
        self.violations.fetch_add(1, Ordering::Relaxed);
        self.metrics.increment("invariant_violations");
        tracing::error!(what, "an invariant was violated");
    }

    /// Returns how many violations have been recorded.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations.load(Ordering::Relaxed)
    }
}

/// Counts a request as in progress until the guard is dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    node: Arc<Node>,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.node.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX / 2)
}
