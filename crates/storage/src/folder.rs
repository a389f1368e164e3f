//! The data folder: its identity, log and blobs.

use std::path::Path;
use std::sync::Arc;

use bamboospur_agreement::{DiskId, PersistedState};

use crate::error::StorageError;
use crate::files::{DiskFiles, Files};
use crate::log::{Log, LogSettings};
use crate::store::{Blob, TEMPORARY_SUFFIX, load_blob, save_blob};

const IDENTITY: &str = "identity";

/// An open data folder.
pub struct DataFolder {
    files: Arc<dyn Files>,
    disk: DiskId,
}

impl DataFolder {
    /// Opens and locks a folder, creating it when it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the folder is in use, not accessible or damaged.
    pub fn open(path: &Path) -> Result<Self, StorageError> {
        Self::with_files(Arc::new(DiskFiles::open(path)?))
    }

    /// Opens a folder through another implementation of file access.
    ///
    /// # Errors
    ///
    /// Fails when the folder is not accessible or damaged.
    pub fn with_files(files: Arc<dyn Files>) -> Result<Self, StorageError> {
        remove_temporary_files(&*files)?;
        let disk = load_identity(&*files)?;
        Ok(Self { files, disk })
    }

    /// Returns the random identity of this folder, which is never 0.
    #[must_use]
    pub const fn disk_id(&self) -> DiskId {
        self.disk
    }

    /// Opens the log and returns the state restored from it.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or written, or when data that was
    /// synced is damaged.
    pub fn open_log(&self, settings: LogSettings) -> Result<(Log, PersistedState), StorageError> {
        let key = u32::try_from(self.disk >> 32).unwrap_or(0);
        Log::open(Arc::clone(&self.files), settings, key)
    }

    /// Opens a named blob.
    #[must_use]
    pub fn blob(&self, name: &str) -> Blob {
        Blob::new(Arc::clone(&self.files), name)
    }
}

/// Removes files whose writing was interrupted before the rename.
fn remove_temporary_files(files: &dyn Files) -> Result<(), StorageError> {
    let error = |action| move |source| StorageError::io(action, "the folder", source);
    let names = files.list().map_err(error("list"))?;
    for name in names.iter().filter(|n| n.ends_with(TEMPORARY_SUFFIX)) {
        files
            .remove(name)
            .map_err(error("remove a temporary file in"))?;
    }
    Ok(())
}

fn load_identity(files: &dyn Files) -> Result<DiskId, StorageError> {
    let Some(blob) = load_blob(files, IDENTITY)? else {
        return create_identity(files);
    };
    let bytes = <[u8; 8]>::try_from(blob.as_slice());
    match bytes.map(u64::from_le_bytes) {
        Ok(disk) if disk != 0 => Ok(disk),
        _ => Err(StorageError::corrupt(
            IDENTITY,
            0,
            "the content is not an identity",
        )),
    }
}

fn create_identity(files: &dyn Files) -> Result<DiskId, StorageError> {
    let error = |action| move |source| StorageError::io(action, IDENTITY, source);
    let names = files.list().map_err(error("list the folder of"))?;
    let has_data = |n: &String| n.starts_with("log-") || n.starts_with("snapshot-");
    if names.iter().any(has_data) {
        let reason = "the file is missing, but the folder has a log";
        return Err(StorageError::corrupt(IDENTITY, 0, reason));
    }
    let disk = files
        .random()
        .map_err(error("choose a random number for"))?
        .max(1);
    save_blob(files, IDENTITY, &disk.to_le_bytes())?;
    Ok(disk)
}
