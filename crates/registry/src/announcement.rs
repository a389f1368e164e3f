//! Announcement of a target.

use std::net::SocketAddr;
use std::time::Duration;

use bamboospur_types::deserialize_time;
use serde::{Deserialize, Serialize};

use crate::{SoftwareVersion, TargetName};

/// Start of a target's process by the target's own clock, which orders its restarts.
/// The registry only compares the values, whatever their unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// Phase in the life of a target's process. Within one start, a later phase always
/// replaces an earlier one, whatever the sequence numbers are.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// The target accepts new requests.
    Ready,
    /// The target finishes its requests and accepts no new ones.
    Draining,
    /// The target has left the fleet.
    Gone,
}

/// State that a target announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Id that the target gives itself.
    pub name: TargetName,
    /// Start of the target's process.
    pub start: StartTime,
    /// Number of this announcement; it rises with each announcement of one start.
    pub sequence: u64,
    /// Whether the target accepts requests, drains or has left.
    pub phase: Phase,
    /// Service that the target belongs to.
    pub service: String,
    /// Version of the target's software.
    pub software: SoftwareVersion,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Data centre in which the target runs.
    pub data_centre: String,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Remaining time for which the target is slow after its start.
    #[serde(deserialize_with = "deserialize_time")]
    pub warm_up: Duration,
}

impl Announcement {
    /// Returns the announcement of a target that leaves and of which nothing else is known.
    #[must_use]
    pub fn departure(name: &str, start: StartTime) -> Self {
        Self {
            name: name.to_owned(),
            start,
            sequence: 0,
            phase: Phase::Gone,
            service: String::new(),
            software: SoftwareVersion::new(),
            address: SocketAddr::from(([0; 4], 0)),
            data_centre: String::new(),
            slots: 0,
            warm_up: Duration::ZERO,
        }
    }

    /// Whether more is known of the target than that it has left.
    #[must_use]
    pub const fn has_details(&self) -> bool {
        !self.service.is_empty()
    }

    /// Key that orders the announcements of one target.
    fn sort_key(&self) -> (StartTime, Phase, u64) {
        (self.start, self.phase, self.sequence)
    }

    /// Returns whether this announcement replaces another one of the same target.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.sort_key() > other.sort_key()
    }

    /// Returns whether this announcement differs from `other` in a field that routers
    /// need. The sequence number and the remaining warm-up are ignored.
    #[must_use]
    pub fn differs_for_routers(&self, other: &Self) -> bool {
        self.start != other.start
            || self.phase != other.phase
            || self.service != other.service
            || self.software != other.software
            || self.address != other.address
            || self.slots != other.slots
            || self.data_centre != other.data_centre
    }
}
