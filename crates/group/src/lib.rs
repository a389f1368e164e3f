//! Replicated document of a control group that keeps its own members.
//!
//! The group holds one [`Document`]. The highest version wins, a version keeps
//! the content under which it was accepted first, and accepted means on the
//! disks of a quorum. [`Group`] drives one [`bamboospur_agreement::Replica`] and
//! does no I/O; docs/agreement.md describes the log below it.
//!
//! Instances come and go without an operator: the leader adds instances that
//! are in contact, promotes them once they have the log, and removes voters
//! that stay away while another instance can take their place. An instance has
//! the id of its data folder, so one that lost its disk returns as a new one.

mod document;
mod group;
mod members;
mod settings;

pub use document::{Document, DocumentVersion};
pub use group::{Group, GroupInput, GroupOutput, GroupStatus, Reply, Unavailable};
pub use settings::GroupSettings;
