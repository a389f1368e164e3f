//! Persistent storage of the replica: a disk thread, or memory only.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};

use bamboospur_agreement::{DiskId, Members, Persist, PersistedState};
use bamboospur_control::MemberInput;
use bamboospur_storage::{DataFolder, Log, LogSettings, StorageError, reopen};
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
    /// reports success, a disk that has failed and is not reopened yet a failure.
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
    let path = path.to_owned();
    let spawned = essential::spawn("disk", move || {
        run(&path, folder, log, receiver, &mailbox);
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

/// Writes and syncs pending writes in batches until the main loop drops the sender. After a failure,
/// reopens the folder once that is possible and goes on with a new queue: what the replica wrote
/// before does not fit the content of the folder, from which it starts again.
fn run(
    path: &Path,
    mut folder: DataFolder,
    mut log: Log,
    mut receiver: Receiver<Persist>,
    mailbox: &Mailbox,
) {
    let disk = folder.disk_id();
    while let Err(error) = write_queue(&mut log, &receiver, mailbox) {
        error!(%error, "failed to write to the data folder; reopening it");
        mailbox.send(MainLoopMessage::Control(ControlMessage::DiskFailed));
        // The folder can be opened only once.
        drop((folder, log));
        let Some(reopened) = reopen(path, disk, LogSettings::default()) else {
            essential::stop_node("disk");
            return;
        };
        (folder, log) = (reopened.folder, reopened.log);
        let (sender, queue) = channel();
        receiver = queue;
        mailbox.send(MainLoopMessage::Control(ControlMessage::DiskReopened {
            restored: Box::new(reopened.restored),
            disk: Disk::Thread(sender),
        }));
    }
}

fn write_queue(
    log: &mut Log,
    receiver: &Receiver<Persist>,
    mailbox: &Mailbox,
) -> Result<(), StorageError> {
    while let Ok(first) = receiver.recv() {
        let sequence = write_batch(log, &first, receiver)?;
        mailbox.send(MainLoopMessage::Control(ControlMessage::Synced {
            sequence,
        }));
    }
    Ok(())
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
