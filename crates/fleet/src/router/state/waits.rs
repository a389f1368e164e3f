//! Waits of requests for what a router lacks after its start, or without a lease.

use std::cell::RefCell;
use std::time::Instant;

use tokio::time::timeout_at;

use super::Router;
use crate::router::readiness::Readiness;

impl Router {
    pub(super) fn handle_lease_change(&self) {
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
