//! Which routers have which revision in force.

use std::collections::BTreeMap;
use std::time::Instant;

use bamboospur_settings::Revision;
use bamboospur_types::ResultCode;

use crate::operator::answer::{InForceResponse, LaggingInstance, ResponseMeta};

/// A router as the membership of the answering instance knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// Name of the instance.
    pub instance: String,
    /// Whether it is suspected or out of reach.
    pub cut_off: bool,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    revision: Revision,
    at: Instant,
}

/// Revisions that routers report, on the instance that answers operators.
/// The reports are not replicated: routers repeat them.
#[derive(Clone, Debug)]
pub struct RevisionTracker {
    started: Instant,
    reports: BTreeMap<String, Report>,
}

impl RevisionTracker {
    /// Starts without reports.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            reports: BTreeMap::new(),
        }
    }

    /// Takes a report. A late report of an older revision counts only as a sign
    /// of life, because a router never goes back. A router that lost its copy
    /// reports an older revision under a new incarnation: forget it first.
    pub fn report(&mut self, instance: &str, revision: Revision, now: Instant) {
        let known = self.reports.get(instance).map_or(0, |known| known.revision);
        let report = Report {
            revision: known.max(revision),
            at: now,
        };
        self.reports.insert(instance.to_owned(), report);
    }

    /// Forgets a router that left or restarted.
    pub fn forget(&mut self, instance: &str) {
        self.reports.remove(instance);
    }

    /// Answers whether a revision is in force on all live routers.
    #[must_use]
    pub fn answer(&self, revision: Revision, routers: &[Router], now: Instant) -> InForceResponse {
        let live = routers.iter().filter(|router| !router.cut_off).count();
        let late = routers
            .iter()
            .filter(|router| self.revision(router) < revision);
        let lagging: Vec<LaggingInstance> = late.map(|router| self.lagging(router, now)).collect();
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

    fn revision(&self, router: &Router) -> Revision {
        let report = self.reports.get(&router.instance);
        report.map_or(0, |report| report.revision)
    }

    fn lagging(&self, router: &Router, now: Instant) -> LaggingInstance {
        let heard = self.reports.get(&router.instance).map(|report| report.at);
        let silent = now.saturating_duration_since(heard.unwrap_or(self.started));
        LaggingInstance {
            instance: router.instance.clone(),
            revision: self.revision(router),
            silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
            cut_off: router.cut_off,
        }
    }
}
