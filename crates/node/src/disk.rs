//! Persistent storage of the replica: a disk thread, or memory only.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};

use bamboospur_agreement::{DiskId, Members, Persist, PersistedState};
use bamboospur_control::MemberInput;
use bamboospur_storage::{DataFolder, Log, LogSettings, StorageError};
use bamboospur_types::InstanceId;
use tracing::{error, warn};

use crate::actors::ControlMessage;
use crate::essential;
use crate::mailbox::{Mailbox, MainLoopMessage};

/// Disk identity of a replica that keeps its state in memory only.
const MEMORY_DISK_ID: DiskId = 1;

/// Destination of the replica's writes.
#[derive(Debug)]
pub enum Disk {
    /// Discards writes; for development nodes without a data folder.
    Memory,
    /// Passes writes to the disk thread, which sends a message to the control
    /// actor once they are synced.
    Thread(Sender<Persist>),
}

/// Storage and restored state for the start of a replica.
#[derive(Debug)]
pub struct OpenedDisk {
    /// Identity of the data folder.
    pub id: DiskId,
    /// State read from the data folder; empty for a new folder, unless the instance
    /// is the only member of its group.
    pub restored: PersistedState,
    /// Destination of further writes.
    pub disk: Disk,
}

impl Disk {
    /// Starts a write and returns its result if it is known at once: memory
    /// reports success, a disk thread that has ended reports a failure.
    #[must_use]
    pub fn write(&self, persist: Persist) -> Option<MemberInput> {
        match self {
            Self::Memory => Some(MemberInput::Synced {
                sequence: persist.sequence,
            }),
            Self::Thread(sender) => match sender.send(persist) {
                Ok(()) => None,
                Err(_) => Some(MemberInput::DiskFailed),
            },
        }
    }
}

/// Creates a control group of one member that keeps its state in memory only.
#[must_use]
pub fn in_memory(own: InstanceId) -> OpenedDisk {
    OpenedDisk {
        id: MEMORY_DISK_ID,
        restored: single_member_group(own, MEMORY_DISK_ID),
        disk: Disk::Memory,
    }
}

/// Opens a data folder and starts the disk thread.
///
/// With `single_member`, an instance with an empty folder becomes the only
/// member of a new group. Otherwise it waits to be added to a group.
///
/// # Errors
///
/// Returns a message for the operator when the folder or its log cannot be opened
/// or written, or the thread cannot be started.
pub fn open(
    path: &Path,
    own: InstanceId,
    single_member: bool,
    mailbox: &Mailbox,
) -> Result<OpenedDisk, String> {
    let failed = |error: StorageError| format!("data folder {}: {error}", path.display());
    let folder = DataFolder::open(path).map_err(failed)?;
    let (mut log, mut restored) = folder.open_log(LogSettings::default()).map_err(failed)?;
    if restored.is_empty() && single_member {
        restored = single_member_group(own, folder.disk_id());
        log.write(&restored.to_persist()).map_err(failed)?;
        log.sync().map_err(failed)?;
    }
    let id = folder.disk_id();
    let (sender, receiver) = channel();
    let mailbox = mailbox.clone();
    let spawned = essential::spawn("disk", move || {
        // Keeps the folder locked until the thread ends.
        let _folder = folder;
        run(&mut log, &receiver, &mailbox);
    });
    spawned.map_err(|error| format!("no thread for the disk: {error}"))?;
    Ok(OpenedDisk {
        id,
        restored,
        disk: Disk::Thread(sender),
    })
}

fn single_member_group(own: InstanceId, disk: DiskId) -> PersistedState {
    PersistedState::bootstrap(Members::from_voters(&[(own, disk)]))
}

/// Writes and syncs pending writes in batches until the main loop drops the sender.
fn run(log: &mut Log, receiver: &Receiver<Persist>, mailbox: &Mailbox) {
    while let Ok(first) = receiver.recv() {
        match write_batch(log, &first, receiver) {
            Ok(sequence) => {
                mailbox.send(MainLoopMessage::Control(ControlMessage::Synced {
                    sequence,
                }));
            }
            Err(error) => {
                error!(%error, "failed to write to the data folder; stopping the disk thread");
                mailbox.send(MainLoopMessage::Control(ControlMessage::DiskFailed));
                return;
            }
        }
    }
}

fn write_batch(
    log: &mut Log,
    first: &Persist,
    receiver: &Receiver<Persist>,
) -> Result<u64, StorageError> {
    log.write(first)?;
    for persist in receiver.try_iter() {
        log.write(&persist)?;
    }
    let report = log.sync()?;
    if report.is_slow {
        warn!(
            took_ms = report.duration.as_millis(),
            "slow sync of the data folder"
        );
    }
    Ok(report.sequence)
}
