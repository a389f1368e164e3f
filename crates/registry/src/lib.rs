//! Announcements of targets, and which of two is newer.
//!
//! Targets announce themselves to any control instance, several times a second
//! in all. Their announcements are soft state: every control instance and every
//! router keeps a [`Registry`], merges what it hears, and passes on what was
//! news to it. Merging is commutative and idempotent, so the order in which
//! announcements arrive does not matter.

mod announcement;
mod registry;

pub use announcement::{Announcement, Phase, StartTime};
pub use registry::{Merge, Registry, RegistrySettings};

/// Id that a target gives itself; it can be the same after a restart.
pub type TargetName = String;
