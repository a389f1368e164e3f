//! The time for which a router trusts its configuration.
//!
//! A router queries the control group for the configuration in force and records
//! the time of the query. The answer confirms that no newer configuration was
//! accepted before that time. Once the last confirmation is older than the lease,
//! the router refuses requests whose keys may have been removed since. So a removed
//! key stops working everywhere in time, also on a router that is cut off from the
//! control group or was suspended. Times come from the boot-time clock, which
//! includes suspends.
//!
//! Other changes take effect sooner than the removal of a key. A router whose last
//! confirmation is older than that goes on serving what it knows, but not having heard of a
//! route or key no longer means that there is none. A router that has heard of a change
//! for which it still waits then serves nothing, since the change may be to any route.

use std::time::Duration;

use bamboospur_catalog::CatalogVersion;
use bamboospur_group::FleetRevision;

use crate::clock::BootTime;

/// Duration of the lease, as a fraction of the time allowed for the removal of a
/// key.
const LEASE_FRACTION: f64 = 0.95;
/// Age up to which a confirmation counts as recent, as a fraction of the time in which a
/// change takes effect.
const CONFIRMATION_FRACTION: f64 = 0.9;

/// Whether a router's configuration is known to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigState {
    /// It is: the last confirmation is recent.
    Confirmed,
    /// A change may be in force that the router has not heard of.
    Unconfirmed,
    /// A change that the router has heard of and not received may be in force.
    Outdated,
    /// The lease is over: keys may have been removed.
    Expired,
}

/// What the control group has accepted, as far as a router has received it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Accepted {
    /// Version of the configuration.
    pub config: CatalogVersion,
    /// Revision of the state of the fleet.
    pub fleet: FleetRevision,
}

impl Accepted {
    const fn includes(self, other: Self) -> bool {
        self.config >= other.config && self.fleet >= other.fleet
    }
}

/// Confirmation that the router's configuration is in force, for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    duration: Duration,
    /// Age up to which a confirmation is recent.
    recent_age: Duration,
    /// When the newest query was sent whose answer confirmed what the router holds.
    confirmed_at: Option<BootTime>,
    /// Newest answer about something that the router has not received yet, with the time of
    /// the query.
    pending: Option<(Accepted, BootTime)>,
    /// What the router has received.
    held: Accepted,
}

impl Lease {
    /// Creates a lease that is not valid yet. `key_removal` is the time within which a
    /// removed key must stop working, and `change` that in which any change takes effect.
    #[must_use]
    pub fn new(key_removal: Duration, change: Duration) -> Self {
        Self {
            duration: key_removal.mul_f64(LEASE_FRACTION),
            recent_age: change.mul_f64(CONFIRMATION_FRACTION),
            confirmed_at: None,
            pending: None,
            held: Accepted::default(),
        }
    }

    /// Records the answer to a query that was sent at `asked_at`. The answer takes
    /// effect once the router has received all of `accepted`.
    pub fn confirm(&mut self, accepted: Accepted, asked_at: BootTime) {
        if self.held.includes(accepted) {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        } else if self
            .pending
            .is_none_or(|(_, pending_asked_at)| asked_at > pending_asked_at)
        {
            self.pending = Some((accepted, asked_at));
        }
    }

    /// Records that the router has received a version of the configuration.
    pub fn record_config(&mut self, version: CatalogVersion) {
        self.held.config = self.held.config.max(version);
        self.apply_pending();
    }

    /// Records that the router has received a state of the fleet.
    pub fn record_fleet(&mut self, revision: FleetRevision) {
        self.held.fleet = self.held.fleet.max(revision);
        self.apply_pending();
    }

    fn apply_pending(&mut self) {
        if let Some((accepted, asked_at)) = self.pending
            && self.held.includes(accepted)
        {
            self.pending = None;
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
    }

    /// Whether the last confirmation is recent enough to trust the configuration.
    #[must_use]
    pub fn is_valid(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age < self.duration)
    }

    /// Returns what is known about the router's configuration.
    #[must_use]
    pub fn config_state(&self, now: BootTime) -> ConfigState {
        let lacks_change = self.held.config < self.accepted_config();
        match self.age(now) {
            Some(age) if age < self.recent_age.min(self.duration) => ConfigState::Confirmed,
            Some(_) if lacks_change => ConfigState::Outdated,
            Some(age) if age < self.duration => ConfigState::Unconfirmed,
            _ => ConfigState::Expired,
        }
    }

    /// Returns the newest version of the configuration that is known to be accepted.
    #[must_use]
    pub fn accepted_config(&self) -> CatalogVersion {
        let pending = self.pending.map(|(accepted, _)| accepted.config);
        self.held.config.max(pending.unwrap_or_default())
    }

    /// Returns the age of the last confirmation, or `None` before the first one.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
