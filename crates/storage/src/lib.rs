//! Log, snapshots and small blobs in one data folder.
//!
//! [`DataFolder::open`] locks the folder and loads or creates its identity.
//! [`DataFolder::open_log`] replays the log. The host then writes each
//! [`Persist`](bamboospur_agreement::Persist) with [`Log::write`] and calls
//! [`Log::sync`] once for as many of them as are waiting; the report names the
//! last one that is on disk.
//!
//! After an error of a log, the state of its file is unknown, so every later
//! call fails. The host stops the replica, opens the folder again with [`reopen`] and
//! restores the replica from it.
//!
//! # Files
//!
//! - `lock`: locked while a process uses the folder.
//! - `identity`: random number that identifies the disk.
//! - `log-N`: segments of records, named by the number of their first record.
//! - `snapshot-N`: the snapshot at index N.
//! - `store-NAME`: one blob each.
//!
//! Each record has its length, number, two checksums and the number of the last
//! record that was synced when it was written. A damaged record at the end of
//! the last segment is truncated when no later record proves that it was synced.
//! Any other damage is an error that names file and offset.

mod error;
mod files;
mod folder;
mod log;
mod record;
mod reopen;
mod replay;
mod snapshot;
mod store;

pub use error::StorageError;
pub use files::{DataFile, DiskFiles, Files};
pub use folder::DataFolder;
pub use log::{Log, LogSettings, SyncReport};
pub use reopen::{ReopenedFolder, reopen};
pub use store::Blob;
