//! The settings file and its changes.

use std::env;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use bamboospur_platform::settings::{PATH_VARIABLE, ProcessSettings};
use tracing::{error, info};

/// How often the file is looked at without a signal.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A settings file that was read.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    modified: Option<SystemTime>,
    /// Settings in force.
    pub settings: ProcessSettings,
}

impl SettingsFile {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// Returns a sentence for the person who starts the process.
    pub fn open() -> Result<Self, String> {
        let missing = || format!("set {PATH_VARIABLE} to the path of the settings file");
        let path = PathBuf::from(env::var_os(PATH_VARIABLE).ok_or_else(missing)?);
        let settings = read(&path)?;
        Ok(Self {
            modified: modified(&path),
            path,
            settings,
        })
    }

    /// Whether the file has changed since it was read.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        modified(&self.path) != self.modified
    }

    /// Reads the file again. Settings that cannot be used change nothing.
    pub fn reload(&mut self) {
        self.modified = modified(&self.path);
        match read(&self.path) {
            Ok(settings) if settings == self.settings => {
                info!(path = %self.path.display(), "settings read again without a change");
            }
            Ok(settings) => {
                info!(path = %self.path.display(), seeds = ?settings.seeds, "settings changed");
                self.settings = settings;
            }
            Err(message) => {
                error!(
                    message,
                    "the changed settings are invalid; the old ones stay in force"
                );
            }
        }
    }
}

fn read(path: &Path) -> Result<ProcessSettings, String> {
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| failed(&error))?;
    ProcessSettings::from_text(&text).map_err(|error| failed(&error))
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}
