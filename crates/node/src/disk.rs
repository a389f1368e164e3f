//! Writes of the replica: on a disk thread, or in memory only.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use bamboospur_agreement::{DiskId, Members, Persist, PersistedState};
use bamboospur_control::MemberInput;
use bamboospur_storage::{DataFolder, Log, LogSettings, StorageError};
use bamboospur_types::InstanceId;
use tracing::{error, warn};

use crate::actors::ControlMessage;
use crate::mailbox::{Mailbox, MainLoopMessage};

/// Identity of a replica that keeps nothing.
const MEMORY_DISK: DiskId = 1;

/// Where the replica's writes go.
#[derive(Debug)]
pub enum Disk {
    /// Nothing is kept; for development nodes without a data folder.
    Memory,
    /// Writes go to the disk thread, which reports them when they are synced.
    Thread(Sender<Persist>),
}

/// What a replica starts from.
#[derive(Debug)]
pub struct Opened {
    /// Identity of the disk.
    pub id: DiskId,
    /// What the disk held.
    pub restored: PersistedState,
    /// Where further writes go.
    pub disk: Disk,
}

impl Disk {
    /// Starts a write. In memory it is finished at once.
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

/// Starts a group of one member that keeps nothing.
#[must_use]
pub fn memory(own: InstanceId) -> Opened {
    Opened {
        id: MEMORY_DISK,
        restored: group_of_one(own, MEMORY_DISK),
        disk: Disk::Memory,
    }
}

/// Opens a data folder and starts the disk thread.
///
/// With `alone`, an empty folder becomes the only member of a new group.
/// Otherwise the instance waits to be added to a group.
///
/// # Errors
///
/// Returns a sentence for the person who starts the node.
pub fn open(
    path: &Path,
    own: InstanceId,
    alone: bool,
    mailbox: &Mailbox,
) -> Result<Opened, String> {
    let failed = |error: StorageError| format!("data folder {}: {error}", path.display());
    let folder = DataFolder::open(path).map_err(failed)?;
    let (mut log, mut restored) = folder.open_log(LogSettings::default()).map_err(failed)?;
    if restored.is_empty() && alone {
        restored = group_of_one(own, folder.disk_id());
        log.write(&restored.to_persist()).map_err(failed)?;
        log.sync().map_err(failed)?;
    }
    let id = folder.disk_id();
    let (sender, receiver) = channel();
    let mailbox = mailbox.clone();
    let builder = thread::Builder::new().name("disk".to_owned());
    let spawned = builder.spawn(move || {
        // The folder stays locked as long as its log is written.
        let _folder = folder;
        run(&mut log, &receiver, &mailbox);
    });
    spawned.map_err(|error| format!("no thread for the disk: {error}"))?;
    Ok(Opened {
        id,
        restored,
        disk: Disk::Thread(sender),
    })
}

fn group_of_one(own: InstanceId, disk: DiskId) -> PersistedState {
    PersistedState::bootstrap(Members::from_voters(&[(own, disk)]))
}

/// Writes what waits and syncs it together, until the main loop ends.
fn run(log: &mut Log, receiver: &Receiver<Persist>, mailbox: &Mailbox) {
    while let Ok(first) = receiver.recv() {
        match write_waiting(log, &first, receiver) {
            Ok(sequence) => {
                mailbox.send(MainLoopMessage::Control(ControlMessage::Synced {
                    sequence,
                }));
            }
            Err(error) => {
                error!(%error, "the data folder cannot be written");
                mailbox.send(MainLoopMessage::Control(ControlMessage::DiskFailed));
                return;
            }
        }
    }
}

fn write_waiting(
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
        warn!(took_ms = report.duration.as_millis(), "a sync was slow");
    }
    Ok(report.sequence)
}
