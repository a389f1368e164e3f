//! Writes of the replicated log and the soft state, on a separate thread.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use bamboospur_agreement::{Members, Persist, PersistedState};
use bamboospur_storage::{DataFolder, Log, LogSettings, StorageError, reopen};
use bamboospur_types::InstanceId;
use tokio::sync::mpsc::Sender as EventSender;
use tracing::{error, warn};

use super::event::Event;
use super::soft::WriteNumber;
use crate::process::Essential;

/// Size of a log segment, small next to the disk of a control instance.
const SEGMENT_BYTES: usize = 2 * 1024 * 1024;
/// Name of the blob with the id of the instance.
const INSTANCE_ID_BLOB: &str = "instance";

/// Name of the blob with the soft state.
const SOFT_STATE_BLOB: &str = "soft";

/// Write for the disk thread.
#[derive(Debug)]
pub enum Write {
    /// Changes to the replicated log.
    Log(Persist),
    /// Soft state, which replaces the stored one.
    SoftState {
        /// Number of the write.
        number: WriteNumber,
        /// Encoded soft state.
        blob: Vec<u8>,
    },
}

/// Content of the data folder at the start, and the queue of the disk thread.
#[derive(Debug)]
pub struct OpenedFolder {
    /// Id of the instance, stored in the folder.
    pub id: InstanceId,
    /// Content of the log.
    pub restored: PersistedState,
    /// Encoded soft state, if one is stored and readable.
    pub soft: Option<Vec<u8>>,
    /// Queue of writes to the disk thread.
    pub writes: Sender<Write>,
}

/// Opens the data folder and starts the disk thread.
///
/// `founders` are the ids of the first voters. `founder_id` is the id of this
/// instance when the deployment starts for the first time and the instance is a
/// founder. All founders write the same first members, so they need no communication
/// before.
///
/// # Errors
///
/// Returns a message for the person who starts the process.
pub fn open(
    path: &Path,
    founder_id: Option<InstanceId>,
    founders: &[InstanceId],
    events: EventSender<Event>,
) -> Result<OpenedFolder, String> {
    let failed = |error: StorageError| format!("data folder {}: {error}", path.display());
    let folder = DataFolder::open(path).map_err(failed)?;
    let id = load_or_create_instance_id(&folder, founder_id).map_err(failed)?;
    let (mut log, mut restored) = folder.open_log(log_settings()).map_err(failed)?;
    if restored.is_empty() && founder_id == Some(id) {
        let voters: Vec<_> = founders.iter().map(|&id| (id, id)).collect();
        restored = PersistedState::bootstrap(Members::from_voters(&voters));
        log.write(&restored.to_persist()).map_err(failed)?;
        log.sync().map_err(failed)?;
    }
    let soft = folder.blob(SOFT_STATE_BLOB).load();
    let soft = soft.unwrap_or_else(|error| {
        warn!(%error, "failed to read the soft state; starting without it");
        None
    });
    let (writes, receiver) = channel();
    let path = path.to_owned();
    let guard = Essential::new("disk");
    let spawned = thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || {
            // The process must not go on without its disk.
            if run_disk_thread(&path, folder, log, receiver, &events) == DiskEnd::HostEnded {
                guard.release();
            }
        });
    spawned.map_err(|error| format!("no thread for the disk: {error}"))?;
    Ok(OpenedFolder {
        id,
        restored,
        soft,
        writes,
    })
}

fn log_settings() -> LogSettings {
    LogSettings {
        segment_bytes: SEGMENT_BYTES,
        ..LogSettings::default()
    }
}

/// Returns the instance id stored in the folder. Without one, stores and returns
/// `founder_id`, or else the id of the disk.
fn load_or_create_instance_id(
    folder: &DataFolder,
    founder_id: Option<InstanceId>,
) -> Result<InstanceId, StorageError> {
    let blob = folder.blob(INSTANCE_ID_BLOB);
    let stored = blob.load()?;
    if let Some(bytes) = stored.and_then(|blob| blob.try_into().ok()) {
        return Ok(InstanceId::from_le_bytes(bytes));
    }
    let id = founder_id.unwrap_or_else(|| folder.disk_id());
    blob.save(&id.to_le_bytes())?;
    Ok(id)
}

/// Why the disk thread ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiskEnd {
    /// The host has ended.
    HostEnded,
    /// Another folder has taken the place of the data folder.
    FolderReplaced,
}

/// Writes queued changes until the host ends. After a failure, reopens the folder once that is
/// possible and goes on with a new queue: what the replica wrote before does not fit the content of
/// the folder, from which it starts again.
fn run_disk_thread(
    path: &Path,
    mut folder: DataFolder,
    mut log: Log,
    mut receiver: Receiver<Write>,
    events: &EventSender<Event>,
) -> DiskEnd {
    let disk = folder.disk_id();
    while let Err(error) = write_queue(&folder, &mut log, &receiver, events) {
        error!(%error, "failed to write to the data folder; reopening it");
        if events.blocking_send(Event::DiskFailed).is_err() {
            return DiskEnd::HostEnded;
        }
        // The folder can be opened only once.
        drop((folder, log));
        let Some(reopened) = reopen(path, disk, log_settings()) else {
            return DiskEnd::FolderReplaced;
        };
        (folder, log) = (reopened.folder, reopened.log);
        let (writes, queue) = channel();
        receiver = queue;
        let restored = Box::new(reopened.restored);
        let event = Event::DiskReopened { restored, writes };
        if events.blocking_send(event).is_err() {
            return DiskEnd::HostEnded;
        }
    }
    DiskEnd::HostEnded
}

/// Writes queued changes in batches with one sync each, until the host ends or a write to the log
/// fails.
fn write_queue(
    folder: &DataFolder,
    log: &mut Log,
    receiver: &Receiver<Write>,
    events: &EventSender<Event>,
) -> Result<(), StorageError> {
    while let Ok(first) = receiver.recv() {
        let batch = Batch::from_writes(std::iter::once(first).chain(receiver.try_iter()));
        let synced = write_log(log, &batch.log)?;
        let soft = batch.soft;
        let stored = soft.map(|(number, blob)| store_soft_state(folder, number, &blob));
        for event in synced.into_iter().chain(stored) {
            if events.blocking_send(event).is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Writes that wait for the disk thread. Of several soft states only the last is stored.
#[derive(Default)]
struct Batch {
    log: Vec<Persist>,
    soft: Option<(WriteNumber, Vec<u8>)>,
}

impl Batch {
    fn from_writes(writes: impl Iterator<Item = Write>) -> Self {
        let mut batch = Self::default();
        for write in writes {
            match write {
                Write::Log(persist) => batch.log.push(persist),
                Write::SoftState { number, blob } => batch.soft = Some((number, blob)),
            }
        }
        batch
    }
}

/// Writes and syncs changes to the log. Returns the event that reports it, `None` without
/// changes.
fn write_log(log: &mut Log, changes: &[Persist]) -> Result<Option<Event>, StorageError> {
    if changes.is_empty() {
        return Ok(None);
    }
    for persist in changes {
        log.write(persist)?;
    }
    let report = log.sync()?;
    if report.is_slow {
        let took_ms = u64::try_from(report.duration.as_millis()).unwrap_or(u64::MAX);
        warn!(took_ms, "slow sync of the log");
    }
    Ok(Some(Event::Synced {
        sequence: report.sequence,
    }))
}

fn store_soft_state(folder: &DataFolder, number: WriteNumber, blob: &[u8]) -> Event {
    match folder.blob(SOFT_STATE_BLOB).save(blob) {
        Ok(()) => Event::SoftStateStored { number },
        Err(error) => {
            warn!(%error, "failed to store the soft state; the stored one stays until the next try");
            Event::SoftStateFailed
        }
    }
}
