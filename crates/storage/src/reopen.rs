//! Reopening of a data folder after a failed write.

use std::path::Path;
use std::thread;
use std::time::Duration;

use bamboospur_agreement::{DiskId, PersistedState};
use tracing::{error, info, warn};

use crate::error::StorageError;
use crate::folder::DataFolder;
use crate::log::{Log, LogSettings};

/// Pause before each attempt.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// A data folder that was opened again.
pub struct ReopenedFolder {
    /// The folder.
    pub folder: DataFolder,
    /// The log, open for appending.
    pub log: Log,
    /// State from which the replica has to start again.
    pub restored: PersistedState,
}

/// Opens a folder again until that succeeds, as once a full disk has room. The folder and the log
/// that were open before must have been dropped. Returns `None` if the folder is now another one:
/// a replica that lost its disk must not go on under its old identity.
#[must_use]
pub fn reopen(path: &Path, disk: DiskId, settings: LogSettings) -> Option<ReopenedFolder> {
    loop {
        thread::sleep(REOPEN_PAUSE);
        match try_open(path, settings) {
            Ok(reopened) if reopened.folder.disk_id() != disk => {
                error!(
                    folder = %path.display(),
                    "the data folder was replaced while the process ran; the replica cannot go on"
                );
                return None;
            }
            Ok(reopened) => {
                info!(folder = %path.display(), "data folder reopened; the replica starts from it");
                return Some(reopened);
            }
            Err(error) => {
                warn!(%error, "cannot reopen the data folder; trying again");
            }
        }
    }
}

fn try_open(path: &Path, settings: LogSettings) -> Result<ReopenedFolder, StorageError> {
    let folder = DataFolder::open(path)?;
    let (log, restored) = folder.open_log(settings)?;
    Ok(ReopenedFolder {
        folder,
        log,
        restored,
    })
}
