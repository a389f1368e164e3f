//! How long the configuration can be trusted.
//!
//! A router asks the control group what is in force and notes when it asked. An
//! answer proves that nothing newer was accepted before that moment. Requests
//! whose keys may have been removed since are refused once the proof is older
//! than the lease, so a removed key stops working everywhere in time, also on a
//! router that is cut off or was suspended. Times come from the boot-time clock,
//! which counts suspends.

use std::time::Duration;

use bamboospur_catalog::CatalogVersion;

use crate::clock::BootTime;

/// Share of the time allowed for the removal of a key that a proof lasts.
const LEASE_SHARE: f64 = 0.95;

/// Proof that the configuration is in force.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    duration: Duration,
    /// When the newest question was asked whose answer is proved.
    proved_at: Option<BootTime>,
    /// Answer about a version that has not arrived yet.
    pending: Option<(CatalogVersion, BootTime)>,
    /// Version held.
    version: CatalogVersion,
}

impl Lease {
    /// Creates a lease that has not begun.
    #[must_use]
    pub fn new(key_removal: Duration) -> Self {
        Self {
            duration: key_removal.mul_f64(LEASE_SHARE),
            proved_at: None,
            pending: None,
            version: 0,
        }
    }

    /// Takes the answer to a question asked at a time.
    pub fn confirm(&mut self, version: CatalogVersion, asked: BootTime) {
        if version <= self.version {
            self.proved_at = self.proved_at.max(Some(asked));
        } else if self.pending.is_none_or(|(_, at)| asked > at) {
            self.pending = Some((version, asked));
        }
    }

    /// Records that a version is held.
    pub fn record_version(&mut self, version: CatalogVersion) {
        self.version = self.version.max(version);
        if let Some((pending, asked)) = self.pending
            && pending <= self.version
        {
            self.pending = None;
            self.proved_at = self.proved_at.max(Some(asked));
        }
    }

    /// Whether the version held is in force as far as it matters.
    #[must_use]
    pub fn is_valid(&self, now: BootTime) -> bool {
        let age = self.proved_at.map(|at| now.since(at));
        age.is_some_and(|age| age < self.duration)
    }

    /// Age of the proof, for the log.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }
}
