//! Targets that a router knows: announcements, departures, and what answers say about them.

use std::time::{Duration, Instant};

use bamboospur_dispatch::ChosenTarget;
use bamboospur_registry::{Announcement, Merge, Phase, StartTime};
use tracing::info;

use super::Router;
use crate::stream_origins::origin_at;

/// Time for which a target gets no requests after another process answered at its address.
/// Meanwhile that process reports, or the target counts as silent.
const REPLACED_PAUSE: Duration = Duration::from_secs(3);
/// With more known targets than this, newly ready targets are applied in batches.
const MAX_IMMEDIATE_UPDATE_TARGETS: usize = 200;

impl Router {
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
}
