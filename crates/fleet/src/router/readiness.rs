//! What a router that cannot serve a request yet does with it.
//!
//! A router without a valid lease on a configuration serves no requests with a key. If it
//! has just started, or has links to control instances, it expects the lease soon:
//! all processes may have started together, or the control group elects a leader. A
//! request then waits for a limited time, because a rejection would cost its caller more
//! time than the wait, and often the only retry. A router that no control instance
//! reaches is probably cut off by itself, so a retry that goes to another router can be
//! served at once.
//!
//! After its start a router also lacks the list of targets and the places of cached prompts.
//! When a whole fleet starts, both can arrive some time after the first lease. A router without
//! the list cannot tell that a service has no target, so requests wait for it; those with a
//! prompt wait for the places, too.

use std::time::{Duration, Instant};

/// Limits of a router's wait for its lease.
#[derive(Clone, Copy, Debug)]
pub struct ReadinessSettings {
    /// Time that a whole fleet takes from its start to the first lease.
    pub startup_time: Duration,
    /// Time that an election and the query for the configuration take.
    pub recovery_time: Duration,
    /// Time after the first lease in which the list of targets arrives.
    pub targets_time: Duration,
    /// Time after the first lease in which the places of cached prompts arrive.
    pub prefixes_time: Duration,
    /// Most requests that wait at a time; they keep their bodies in memory.
    pub max_waiting: usize,
    /// `Retry-After` of a router that waited in vain. A caller that returns sooner finds
    /// the fleet as it was.
    pub fleet_retry_after: Duration,
    /// `Retry-After` of a router that is cut off.
    pub other_router_retry_after: Duration,
}

impl Default for ReadinessSettings {
    fn default() -> Self {
        Self {
            startup_time: Duration::from_secs(2),
            recovery_time: Duration::from_secs(1),
            targets_time: Duration::from_millis(1_500),
            prefixes_time: Duration::from_millis(900),
            max_waiting: 512,
            fleet_retry_after: Duration::from_millis(700),
            other_router_retry_after: Duration::from_millis(60),
        }
    }
}

/// Decides whether requests wait until a router has a valid lease.
#[derive(Clone, Debug)]
pub struct Readiness {
    settings: ReadinessSettings,
    startup_deadline: Instant,
    /// When waiting requests are rejected; set when a request first finds the router without
    /// a lease.
    wait_deadline: Option<Instant>,
    /// When requests no longer wait for the list of targets; `None` before the first lease.
    targets_deadline: Option<Instant>,
    has_targets: bool,
    /// When prompts no longer wait for the places of cached prompts; `None` before the first
    /// lease.
    prefixes_deadline: Option<Instant>,
    has_prefixes: bool,
    linked_controls: usize,
    waiting: usize,
}

impl Readiness {
    /// Creates the state of a router that starts now.
    #[must_use]
    pub fn new(settings: ReadinessSettings, now: Instant) -> Self {
        Self {
            settings,
            startup_deadline: now + settings.startup_time,
            wait_deadline: None,
            targets_deadline: None,
            has_targets: false,
            prefixes_deadline: None,
            has_prefixes: false,
            linked_controls: 0,
            waiting: 0,
        }
    }

    /// Sets the number of control instances to which links are up. With the first one a
    /// router that was cut off expects its lease again.
    pub fn set_linked_controls(&mut self, count: usize) {
        if self.linked_controls == 0 && count > 0 {
            self.wait_deadline = None;
        }
        self.linked_controls = count;
    }

    /// Records that the router has a valid lease.
    pub fn record_ready(&mut self, now: Instant) {
        self.wait_deadline = None;
        self.targets_deadline
            .get_or_insert(now + self.settings.targets_time);
        self.prefixes_deadline
            .get_or_insert(now + self.settings.prefixes_time);
    }

    /// Records that a list of all targets arrived.
    pub fn record_targets(&mut self) {
        self.has_targets = true;
    }

    /// Whether the router lacks the list of targets and expects it soon.
    #[must_use]
    pub fn expects_targets(&self, now: Instant) -> bool {
        let deadline = self.targets_deadline.filter(|_| !self.has_targets);
        deadline.is_some_and(|deadline| now < deadline)
    }

    /// Returns until when a request waits for the list of targets, or `None` if it does not.
    #[must_use]
    pub fn targets_wait_deadline(&self, now: Instant) -> Option<Instant> {
        self.targets_deadline
            .filter(|_| self.has_room() && self.expects_targets(now))
    }

    /// Records that the places of prompts arrived that were cached before the start.
    pub fn record_prefixes(&mut self) {
        self.has_prefixes = true;
    }

    /// Returns until when a prompt waits for the places of cached prompts, or `None` if it
    /// does not. Without them its target would process again what others have cached.
    #[must_use]
    pub fn prompt_wait_deadline(&self, now: Instant) -> Option<Instant> {
        let deadline = self.prefixes_deadline.filter(|_| !self.has_prefixes)?;
        (self.has_room() && now < deadline).then_some(deadline)
    }

    /// Returns until when a request that finds the router without a lease waits, or `None`
    /// if it is rejected.
    pub fn wait_deadline(&mut self, now: Instant) -> Option<Instant> {
        let recovery_deadline = now + self.settings.recovery_time;
        let deadline = *self
            .wait_deadline
            .get_or_insert(recovery_deadline.max(self.startup_deadline));
        let expects_lease = now < self.startup_deadline || self.linked_controls > 0;
        (expects_lease && self.has_room() && now < deadline).then_some(deadline)
    }

    const fn has_room(&self) -> bool {
        self.waiting < self.settings.max_waiting
    }

    /// Counts a request that begins to wait.
    pub fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that no longer waits.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the time after which the caller of a rejected request should return.
    #[must_use]
    pub fn retry_after(&self, now: Instant) -> Duration {
        if now >= self.startup_deadline && self.linked_controls == 0 {
            self.settings.other_router_retry_after
        } else {
            self.settings.fleet_retry_after
        }
    }
}
