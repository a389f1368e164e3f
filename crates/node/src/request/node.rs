//! What all requests of a node share.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use bamboospur_settings::KeyHash;
use bamboospur_types::{InstanceId, mix64, stable_id};
use bamboospur_upstream::Client;

use crate::mailbox::Mailbox;
use crate::metrics::Metrics;
use crate::settings::NodeSettings;

/// Shared parts of a node.
#[derive(Debug)]
pub struct Node {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Mailbox of the main loop.
    pub mailbox: Mailbox,
    /// Calls to targets.
    pub client: Client,
    /// Metrics.
    pub metrics: Metrics,
    heartbeat: Duration,
    target_token: Option<KeyHash>,
    operator_token: Option<KeyHash>,
    start: u64,
    next: AtomicU64,
    draining: AtomicBool,
    closing: AtomicBool,
    violations: AtomicU64,
    in_progress: AtomicUsize,
    attempts: Mutex<BTreeSet<u64>>,
}

impl Node {
    /// Creates the shared parts.
    #[must_use]
    pub fn new(settings: NodeSettings, mailbox: Mailbox, client: Client) -> Self {
        let metrics = Metrics::new(settings.statsd);
        Self {
            settings,
            mailbox,
            client,
            metrics,
            heartbeat: Duration::from_secs(1),
            target_token: None,
            operator_token: None,
            start: unix_micros(),
            next: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            violations: AtomicU64::new(0),
            in_progress: AtomicUsize::new(0),
            attempts: Mutex::default(),
        }
    }

    /// Sets the time between heartbeats that targets are asked for.
    pub const fn set_heartbeat(&mut self, heartbeat: Duration) {
        self.heartbeat = heartbeat;
    }

    /// Returns the time between heartbeats that targets are asked for.
    #[must_use]
    pub const fn heartbeat(&self) -> Duration {
        self.heartbeat
    }

    /// Sets the token that targets must send.
    pub const fn set_target_token(&mut self, token: Option<KeyHash>) {
        self.target_token = token;
    }

    /// Returns the token that targets must send.
    #[must_use]
    pub const fn target_token(&self) -> Option<&KeyHash> {
        self.target_token.as_ref()
    }

    /// Sets the token of the first operator.
    pub const fn set_operator_token(&mut self, token: Option<KeyHash>) {
        self.operator_token = token;
    }

    /// Returns the token of the first operator.
    #[must_use]
    pub const fn operator_token(&self) -> Option<&KeyHash> {
        self.operator_token.as_ref()
    }

    /// Counts a request in progress until the result is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        InProgress {
            node: Arc::clone(self),
        }
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Returns the id of this instance.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        stable_id(&self.settings.name)
    }

    /// Returns a number that no process of this instance used before.
    ///
    /// The start time in microseconds leaves room for a million numbers a
    /// second, so a restarted process does not repeat one.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.start + self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a new request id, not guessable from the last one.
    #[must_use]
    pub fn next_request_id(&self) -> String {
        let number = self.next_number();
        let mixed = mix64(number ^ self.instance());
        format!("{number:013x}{:08x}", mixed >> 32)
    }

    /// Notes that a claimed attempt runs in this process.
    pub fn attempt_started(&self, number: u64) {
        self.lock_attempts().insert(number);
    }

    /// Notes that a claimed attempt has ended.
    pub fn attempt_ended(&self, number: u64) {
        self.lock_attempts().remove(&number);
    }

    /// Returns whether a claimed attempt runs in this process.
    #[must_use]
    pub fn is_attempt_running(&self, number: u64) -> bool {
        self.lock_attempts().contains(&number)
    }

    fn lock_attempts(&self) -> MutexGuard<'_, BTreeSet<u64>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the node out of the balancer.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the node is out of the balancer.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Refuses new requests on open connections.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Counts and logs a broken invariant.
    pub fn record_violation(&self, what: &str) {
        self.violations.fetch_add(1, Ordering::Relaxed);
        self.metrics.increment("invariant_violations");
        tracing::error!(what, "an invariant was violated");
    }

    /// Returns how often an invariant was found broken.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations.load(Ordering::Relaxed)
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct InProgress {
    node: Arc<Node>,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.node.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX / 2)
}
