//! What the host of a control instance hears of.

use std::net::SocketAddr;

use bamboospur_agreement::PersistedState;
use bamboospur_group::Document;
use tokio::sync::oneshot;

use crate::calls::TargetCall;
use crate::link::{AcceptEvent, DialEvent};

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
    /// A target called.
    Target(TargetCall),
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
    /// Something happened on an accepted link.
    Accepted(AcceptEvent),
    /// Something happened on a dialled link.
    Dialed(DialEvent),
    /// Writes up to this number are on disk.
    Synced {
        /// Number of the last write.
        sequence: u64,
    },
    /// A write failed.
    DiskFailed,
    /// The folder could be opened again.
    DiskReopened(Box<PersistedState>),
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
