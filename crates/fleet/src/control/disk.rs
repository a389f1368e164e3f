//! Writes of the replicated log, on a thread of their own.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use bamboospur_agreement::{Members, Persist, PersistedState};
use bamboospur_storage::{DataFolder, Log, LogSettings, StorageError};
use bamboospur_types::InstanceId;
use tokio::sync::mpsc::Sender as EventSender;
use tracing::{error, info, warn};

use super::event::Event;

/// Pause between two attempts to open a folder that failed.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// Segments fill a small part of the disk of a control instance.
const SEGMENT_BYTES: usize = 2 * 1024 * 1024;
/// Name of the blob with the id of the instance.
const INSTANCE_BLOB: &str = "instance";

/// Name of the blob with what targets and routers have told.
const SOFT_BLOB: &str = "soft";

/// Work of the disk thread.
#[derive(Debug)]
pub enum Write {
    /// Part of the log.
    Log(Persist),
    /// Soft state, which replaces what was kept before. Nothing waits for it.
    Soft(Vec<u8>),
}

/// What an instance starts from.
#[derive(Debug)]
pub struct Opened {
    /// Id of the instance, kept with the folder.
    pub id: InstanceId,
    /// What the log holds.
    pub restored: PersistedState,
    /// Soft state kept last, if any.
    pub soft: Option<Vec<u8>>,
    /// Takes writes.
    pub writes: Sender<Write>,
}

/// Opens the folder and starts the thread.
///
/// `founders` are the ids of the first voters, and `own` is the one of this
/// instance when the deployment starts for the first time and it is a founder.
/// All founders write the same first members, so they need not talk before.
///
/// # Errors
///
/// Returns a sentence for the person who starts the process.
pub fn open(
    path: &Path,
    own: Option<InstanceId>,
    founders: &[InstanceId],
    events: EventSender<Event>,
) -> Result<Opened, String> {
    let failed = |error: StorageError| format!("data folder {}: {error}", path.display());
    let folder = DataFolder::open(path).map_err(failed)?;
    let id = instance_id(&folder, own).map_err(failed)?;
    let (mut log, mut restored) = folder.open_log(settings()).map_err(failed)?;
    if restored.is_empty() && own == Some(id) {
        let voters: Vec<_> = founders.iter().map(|&id| (id, id)).collect();
        restored = PersistedState::bootstrap(Members::from_voters(&voters));
        log.write(&restored.to_persist()).map_err(failed)?;
        log.sync().map_err(failed)?;
    }
    let soft = folder.blob(SOFT_BLOB).load();
    let soft = soft.unwrap_or_else(|error| {
        warn!(%error, "the soft state is lost");
        None
    });
    let (writes, receiver) = channel();
    let path = path.to_owned();
    let spawned = thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || {
            write_until_end(&path, Some((folder, log)), &receiver, &events);
        });
    spawned.map_err(|error| format!("no thread for the disk: {error}"))?;
    Ok(Opened {
        id,
        restored,
        soft,
        writes,
    })
}

fn settings() -> LogSettings {
    LogSettings {
        segment_bytes: SEGMENT_BYTES,
        ..LogSettings::default()
    }
}

/// Returns the id stored in the folder, and stores one when there is none.
fn instance_id(folder: &DataFolder, own: Option<InstanceId>) -> Result<InstanceId, StorageError> {
    let store = folder.blob(INSTANCE_BLOB);
    let stored = store.load()?;
    if let Some(bytes) = stored.and_then(|blob| blob.try_into().ok()) {
        return Ok(InstanceId::from_le_bytes(bytes));
    }
    let id = own.unwrap_or_else(|| folder.disk_id());
    store.save(&id.to_le_bytes())?;
    Ok(id)
}

/// Writes what waits and syncs it together. After a failure the folder is
/// opened again until that works; writes that were handed over before are
/// dropped, because the replica restarts from what the folder holds.
fn write_until_end(
    path: &Path,
    mut open: Option<(DataFolder, Log)>,
    receiver: &Receiver<Write>,
    events: &EventSender<Event>,
) {
    loop {
        let Some((folder, log)) = &mut open else {
            thread::sleep(REOPEN_PAUSE);
            open = reopen(path, receiver, events);
            continue;
        };
        let Ok(first) = receiver.recv() else {
            return;
        };
        let waiting = std::iter::once(first).chain(receiver.try_iter());
        let event = match write_waiting(folder, log, waiting) {
            Ok(Some(sequence)) => Event::Synced { sequence },
            Ok(None) => continue,
            Err(error) => {
                error!(%error, "the data folder cannot be written");
                open = None;
                Event::DiskFailed
            }
        };
        if events.blocking_send(event).is_err() {
            return;
        }
    }
}

fn reopen(
    path: &Path,
    receiver: &Receiver<Write>,
    events: &EventSender<Event>,
) -> Option<(DataFolder, Log)> {
    let opened = DataFolder::open(path).and_then(|folder| {
        let (log, restored) = folder.open_log(settings())?;
        Ok((folder, log, restored))
    });
    match opened {
        Ok((folder, log, restored)) => {
            while receiver.try_recv().is_ok() {}
            info!("the data folder can be written again");
            let event = Event::DiskReopened(Box::new(restored));
            events.blocking_send(event).ok()?;
            Some((folder, log))
        }
        Err(error) => {
            warn!(%error, "the data folder still fails");
            None
        }
    }
}

/// Returns the number of the last write to the log that is on disk.
fn write_waiting(
    folder: &DataFolder,
    log: &mut Log,
    waiting: impl Iterator<Item = Write>,
) -> Result<Option<u64>, StorageError> {
    let mut soft = None;
    let mut has_log = false;
    for write in waiting {
        match write {
            Write::Log(persist) => {
                log.write(&persist)?;
                has_log = true;
            }
            Write::Soft(blob) => soft = Some(blob),
        }
    }
    let mut synced = None;
    if has_log {
        let report = log.sync()?;
        if report.is_slow {
            let took_ms = u64::try_from(report.duration.as_millis()).unwrap_or(u64::MAX);
            warn!(took_ms, "a sync was slow");
        }
        synced = Some(report.sequence);
    }
    if let Some(Err(error)) = soft.map(|blob| folder.blob(SOFT_BLOB).save(&blob)) {
        warn!(%error, "the soft state was not kept");
    }
    Ok(synced)
}
