//! One announcement.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::TargetName;

/// When a target's process started, by its own clock; orders its restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// Part of a target's life. A later part of one start always replaces an
/// earlier one, whatever the sequence numbers say.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes no more.
    Draining,
    /// Has left.
    Gone,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Id of the target.
    pub name: TargetName,
    /// Start of its process.
    pub start: StartTime,
    /// Counts the announcements of one start.
    pub sequence: u64,
    /// Part of its life.
    pub phase: Phase,
    /// Service that it belongs to.
    pub service: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
}

impl Announcement {
    /// Key that orders the announcements of one target.
    fn order(&self) -> (StartTime, Phase, u64) {
        (self.start, self.phase, self.sequence)
    }

    /// Whether this announcement replaces another one of the same target.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    /// Whether routers have to know of this one after that one.
    #[must_use]
    pub fn differs_for_routers(&self, other: &Self) -> bool {
        self.start != other.start
            || self.phase != other.phase
            || self.service != other.service
            || self.address != other.address
            || self.slots != other.slots
            || self.data_centre != other.data_centre
    }
}
