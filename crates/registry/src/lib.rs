//! Announcements of targets, and the order that decides which of two is newer.
//!
//! Each target announces itself to any control instance; together, the targets send
//! several announcements a second. Announcements are soft state: every control
//! instance and every router keeps a [`Registry`], merges the announcements that it
//! receives, and forwards those that changed it. Merging is commutative and
//! idempotent, so the order in which announcements arrive does not matter.

mod announcement;
mod registry;

pub use announcement::{Announcement, Phase, StartTime};
pub use registry::{Merge, Registry, RegistrySettings};

/// Id that a target gives itself; it can be the same after a restart.
pub type TargetName = String;

/// Version of a target's software, as the target states it; empty if it states none.
pub type SoftwareVersion = String;
