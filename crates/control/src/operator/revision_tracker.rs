//! Tracks which settings revision is in force on each router.

use std::collections::BTreeMap;
use std::time::Instant;

use bamboospur_settings::Revision;
use bamboospur_types::ResultCode;

use crate::operator::answer::{InForceResponse, LaggingInstance, ResponseMeta};

/// Router as known to the membership of the answering instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// Name of the instance.
    pub instance: String,
    /// Whether the router is suspected to have failed or is unreachable.
    pub cut_off: bool,
}

#[derive(Clone, Copy, Debug)]
struct RevisionReport {
    revision: Revision,
    at: Instant,
}

/// Revisions reported by routers to the instance that answers operators. The
/// reports are not replicated, because routers repeat them.
#[derive(Clone, Debug)]
pub struct RevisionTracker {
    started: Instant,
    reports: BTreeMap<String, RevisionReport>,
}

impl RevisionTracker {
    /// Creates a tracker without reports.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            reports: BTreeMap::new(),
        }
    }

    /// Records a report. A late report of an older revision only updates the time
    /// of the last report, because the revision of a running router never
    /// decreases. A router that lost its copy of the settings reports an older
    /// revision under a new incarnation: call [`Self::forget`] for the router first.
    pub fn report(&mut self, instance: &str, revision: Revision, now: Instant) {
        let known = self.reports.get(instance).map_or(0, |known| known.revision);
        let report = RevisionReport {
            revision: known.max(revision),
            at: now,
        };
        self.reports.insert(instance.to_owned(), report);
    }

    /// Drops the report of a router that left or restarted.
    pub fn forget(&mut self, instance: &str) {
        self.reports.remove(instance);
    }

    /// Returns whether a revision is in force on all live routers.
    #[must_use]
    pub fn answer(&self, revision: Revision, routers: &[Router], now: Instant) -> InForceResponse {
        let live = routers.iter().filter(|router| !router.cut_off).count();
        let behind = routers
            .iter()
            .filter(|router| self.reported_revision(router) < revision);
        let lagging: Vec<LaggingInstance> = behind
            .map(|router| self.lagging_instance(router, now))
            .collect();
        let lagging_live = lagging.iter().filter(|router| !router.cut_off).count();
        let head = if lagging_live == 0 {
            ResponseMeta::ok()
        } else {
            let message =
                format!("revision {revision} is not in force on {lagging_live} live routers yet");
            ResponseMeta::failed(ResultCode::NotInForceYet, message)
        };
        InForceResponse {
            head,
            revision,
            live: live as u64,
            in_force: (live - lagging_live) as u64,
            lagging,
        }
    }

    fn reported_revision(&self, router: &Router) -> Revision {
        let report = self.reports.get(&router.instance);
        report.map_or(0, |report| report.revision)
    }

    fn lagging_instance(&self, router: &Router, now: Instant) -> LaggingInstance {
        let last_report_at = self.reports.get(&router.instance).map(|report| report.at);
        let silent = now.saturating_duration_since(last_report_at.unwrap_or(self.started));
        LaggingInstance {
            instance: router.instance.clone(),
            revision: self.reported_revision(router),
            silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
            cut_off: router.cut_off,
        }
    }
}
