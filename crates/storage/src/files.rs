//! Access to the files of one folder. Tests replace the access to inject faults.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use crate::error::StorageError;

/// Access to the files of one folder.
pub trait Files: Send + Sync {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Fails when the file does not exist or cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, which replaces an existing one.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be created.
    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>>;

    /// Opens a file for appending, after truncating it to a length.
    ///
    /// # Errors
    ///
    /// Fails when the file does not exist or cannot be truncated.
    fn open_append(&self, name: &str, length_bytes: usize) -> io::Result<Box<dyn DataFile>>;

    /// Renames a file, which replaces an existing one.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be synced.
    fn sync_folder(&self) -> io::Result<()>;

    /// Returns a random number.
    ///
    /// # Errors
    ///
    /// Fails when the system has no source of random numbers.
    fn random(&self) -> io::Result<u64>;
}

/// A file open for appending.
pub trait DataFile: Send {
    /// Appends bytes; after an error some of them may be in the file.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes the appended bytes durable.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken.
    fn sync(&mut self) -> io::Result<()>;
}

/// Files on a real disk, locked against other processes.
#[derive(Debug)]
pub struct DiskFiles {
    path: PathBuf,
    /// Holds the lock until it is dropped.
    _lock: File,
}

impl DiskFiles {
    /// Opens and locks a folder, creating it when it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the folder is in use or not accessible.
    pub fn open(path: &Path) -> Result<Self, StorageError> {
        let folder = path.display().to_string();
        let error = |action| {
            let folder = folder.clone();
            move |source| StorageError::io(action, &folder, source)
        };
        fs::create_dir_all(path).map_err(error("create"))?;
        let lock = File::create(path.join("lock")).map_err(error("lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StorageError::Locked { folder }),
            Err(TryLockError::Error(source)) => return Err(error("lock")(source)),
        }
        Ok(Self {
            path: path.to_owned(),
            _lock: lock,
        })
    }
}

impl Files for DiskFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        Ok(Box::new(File::create(self.path.join(name))?))
    }

    fn open_append(&self, name: &str, length_bytes: usize) -> io::Result<Box<dyn DataFile>> {
        let path = self.path.join(name);
        let file = OpenOptions::new().append(true).open(path)?;
        file.set_len(length_bytes as u64)?;
        Ok(Box::new(file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn random(&self) -> io::Result<u64> {
        let mut bytes = [0; 8];
        File::open("/dev/urandom")?.read_exact(&mut bytes)?;
        Ok(u64::from_le_bytes(bytes))
    }
}

impl DataFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
