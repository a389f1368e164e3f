//! What the host of a control instance hears of.

use std::net::SocketAddr;

use bamboospur_agreement::Restored;
use bamboospur_group::Document;
use bamboospur_registry::{Announcement, Start};
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

use crate::link::{Frame, Hello, LinkEvent};

/// Number of an accepted link.
pub type LinkId = u64;

/// Result of an operator's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutResult {
    /// It is accepted, or one with a higher version is.
    Accepted,
    /// It is not known whether it is accepted.
    Unclear,
}

/// Event of a control instance.
#[derive(Debug)]
pub enum Event {
    /// A target reported.
    Report {
        /// Report.
        announcement: Announcement,
        /// Told when the report is taken.
        taken: oneshot::Sender<()>,
    },
    /// A target leaves.
    Leave {
        /// Target.
        name: String,
        /// Start that leaves, when the target names it.
        start: Option<Start>,
        /// Told when the departure is taken.
        taken: oneshot::Sender<()>,
    },
    /// An operator changes the configuration.
    Put {
        /// Change.
        document: Document,
        /// Told the result.
        result: oneshot::Sender<PutResult>,
    },
    /// An operator reads the configuration.
    Get {
        /// Told the newest configuration, when it is known for certain.
        result: oneshot::Sender<Option<Document>>,
    },
    /// A peer or a router dialled.
    Opened {
        /// Link.
        link: LinkId,
        /// Who dialled.
        hello: Hello,
        /// Takes frames for it.
        frames: Sender<Frame>,
    },
    /// A frame arrived on an accepted link.
    Received {
        /// Link.
        link: LinkId,
        /// Frame.
        frame: Frame,
    },
    /// An accepted link ended.
    Ended {
        /// Link.
        link: LinkId,
    },
    /// Something happened on a dialled link.
    Dialed(LinkEvent),
    /// Writes up to this number are on disk.
    Synced {
        /// Number of the last write.
        sequence: u64,
    },
    /// A write failed.
    DiskFailed,
    /// The folder could be opened again.
    DiskReopened(Box<Restored>),
    /// The settings name other seeds.
    Seeds(Vec<SocketAddr>),
    /// Someone asks for the counters.
    Metrics {
        /// Told the counters as text.
        text: oneshot::Sender<String>,
    },
    /// The process is about to end.
    Stop,
}
