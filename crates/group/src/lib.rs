//! Replicated document of a control group that manages its own membership.
//!
//! The group holds one [`Document`], and the highest version is in force. A
//! version keeps the content with which it was accepted first. A document is
//! accepted once it is on the disks of a quorum. The log holds it as a [`Patch`] of the
//! version before, where that is much smaller. Beside it stands a small [`FleetState`], which
//! [`FleetChange`]s change in the same log. [`Group`] drives one
//! [`bamboospur_agreement::Replica`] and does no I/O; docs/agreement.md describes
//! the replicated log.
//!
//! Instances join and leave without an operator. The leader adds reachable
//! instances as learners, promotes them once they have the log, and removes
//! lost voters for which there is a replacement. An instance's id
//! belongs to its data folder, so an instance that lost its disk joins under a
//! new id.

mod change;
mod compression;
mod document;
mod fleet_state;
mod group;
mod members;
mod patch;
mod settings;

pub use change::Change;
pub use document::{Document, DocumentVersion};
pub use fleet_state::{DataCentre, FleetChange, FleetRevision, FleetState, ServiceSoftware};
pub use group::{
    Group, GroupInput, GroupOutput, GroupStatus, ReplacedDocuments, Reply, Unavailable,
};
pub use patch::Patch;
pub use settings::GroupSettings;
