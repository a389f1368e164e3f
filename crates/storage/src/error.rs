//! Errors of the data folder.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Failed operation on the data folder, or damage to its files.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum StorageError {
        /// An operation of the operating system failed.
        Io { action: &'static str, file: String, source: io::Error } {
            display("cannot {action} {file:?}: {source}; check the disk and restart")
            source(source)
        }
        /// The disk is full. Data that was reported as synced is not affected.
        Full { file: String } {
            display("no space is left for {file:?}; free space and restart")
        }
        /// Data that was synced is damaged.
        Corrupt { file: String, offset: usize, reason: &'static str } {
            display("file {file:?} is damaged at offset {offset}: {reason}; \
                     replace this instance as for a lost disk")
        }
        /// Another process uses the folder.
        Locked { folder: String } {
            display("folder {folder:?} is in use by another process; stop it first")
        }
        /// An earlier call failed, so the state of the file is unknown.
        Failed {
            display("an earlier write failed; open the folder again")
        }
    }
}

impl StorageError {
    pub(crate) fn io(action: &'static str, file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { file },
            _ => Self::Io {
                action,
                file,
                source,
            },
        }
    }

    pub(crate) fn corrupt(file: &str, offset: usize, reason: &'static str) -> Self {
        Self::Corrupt {
            file: file.to_owned(),
            offset,
            reason,
        }
    }
}
