//! Checksummed blobs, each in a file that is replaced as a whole.

use std::io;
use std::sync::Arc;

use crate::error::StorageError;
use crate::files::Files;
use crate::record::{HEADER_BYTES, decode, encode};

/// Suffix of the name of a file that is being written.
pub const TEMPORARY_SUFFIX: &str = ".new";

/// A named blob, for example the last copy of the settings.
pub struct Blob {
    files: Arc<dyn Files>,
    name: String,
}

impl Blob {
    pub(crate) fn new(files: Arc<dyn Files>, name: &str) -> Self {
        let name = format!("store-{name}");
        Self { files, name }
    }

    /// Returns the blob saved last, or `None` when nothing was saved.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is damaged.
    pub fn load(&self) -> Result<Option<Vec<u8>>, StorageError> {
        load_blob(&*self.files, &self.name)
    }

    /// Replaces the blob. When this fails, the blob saved before stays.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken.
    pub fn save(&self, blob: &[u8]) -> Result<(), StorageError> {
        save_blob(&*self.files, &self.name, blob)
    }
}

pub fn load_blob(files: &dyn Files, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
    let bytes = match files.read(name) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(StorageError::io("read", name, error)),
    };
    let record = decode(&bytes, 0).filter(|r| r.payload.len() + HEADER_BYTES == bytes.len());
    match record {
        Some(record) => Ok(Some(record.payload.to_vec())),
        None => Err(StorageError::corrupt(
            name,
            0,
            "the checksum does not match",
        )),
    }
}

pub fn save_blob(files: &dyn Files, name: &str, blob: &[u8]) -> Result<(), StorageError> {
    if u32::try_from(blob.len()).is_err() {
        let source = io::ErrorKind::FileTooLarge.into();
        return Err(StorageError::io("write", name, source));
    }
    let mut bytes = Vec::with_capacity(blob.len() + HEADER_BYTES);
    encode(&mut bytes, 0, 1, 0, blob);
    replace(files, name, &bytes)
}

/// Writes a new file and renames it over the old one. The folder is synced
/// last: until then, a crash can leave either file.
fn replace(files: &dyn Files, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
    let new = format!("{name}{TEMPORARY_SUFFIX}");
    let error = |action| move |source| StorageError::io(action, name, source);
    let mut file = files.create(&new).map_err(error("create"))?;
    file.append(bytes).map_err(error("write"))?;
    file.sync().map_err(error("sync"))?;
    drop(file);
    files.rename(&new, name).map_err(error("rename"))?;
    files.sync_folder().map_err(error("sync the folder of"))
}
