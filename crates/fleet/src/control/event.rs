//! Events that the host of a control instance handles.

use std::net::SocketAddr;

use bamboospur_agreement::PersistedState;
use bamboospur_group::{DataCentre, Document};
use tokio::sync::oneshot;

use super::disk::Write;
use super::soft::WriteNumber;
use crate::calls::TargetCall;
use crate::link::{AcceptEvent, DialEvent};

/// Result of an operator's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutResult {
    /// The change, or one with a higher version, is accepted.
    Accepted,
    /// Whether the change is accepted is not known.
    Unknown,
    /// The change names a data centre that does not exist.
    NotFound,
}

/// Input of the host.
#[derive(Debug)]
pub enum Event {
    /// A target called.
    Target(TargetCall),
    /// An operator changes the configuration.
    Put {
        /// New configuration.
        document: Document,
        /// Receives the result of the change.
        result: oneshot::Sender<PutResult>,
    },
    /// An operator evacuates a data centre or takes that back.
    Evacuate {
        /// Data centre.
        data_centre: DataCentre,
        /// Whether its targets are to get no requests.
        evacuated: bool,
        /// Receives the result of the change.
        result: oneshot::Sender<PutResult>,
    },
    /// An operator reads the configuration.
    Get {
        /// Receives the newest configuration, or `None` when the leader could not confirm
        /// it.
        result: oneshot::Sender<Option<Document>>,
    },
    /// Event on an accepted link.
    Accepted(AcceptEvent),
    /// Event on a dialled link.
    Dialed(DialEvent),
    /// Writes to the log up to this sequence number are on disk.
    Synced {
        /// Sequence number of the last write.
        sequence: u64,
    },
    /// A write of the soft state is on disk.
    SoftStateStored {
        /// Number of the write.
        number: WriteNumber,
    },
    /// A write of the soft state failed.
    SoftStateFailed,
    /// A write to the log failed.
    DiskFailed,
    /// The data folder was opened again after a failure. Writes that were queued before are dropped.
    DiskReopened {
        /// Content of the log.
        restored: Box<PersistedState>,
        /// Queue of further writes.
        writes: std::sync::mpsc::Sender<Write>,
    },
    /// The settings file was reloaded, with these seeds.
    Seeds(Vec<SocketAddr>),
    /// Request for the metrics.
    Metrics {
        /// Receives the metrics in the text format of Prometheus.
        text: oneshot::Sender<String>,
    },
    /// The process is about to stop.
    Stop,
}
