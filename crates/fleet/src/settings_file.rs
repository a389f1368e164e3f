//! Reads the settings file and detects changes to it.

use std::env;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use bamboospur_platform::settings::{PATH_VARIABLE, ProcessSettings};
use tracing::{error, info};

/// Time between two checks of the file for changes.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Settings file and its last valid content.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    modified_at: Option<SystemTime>,
    /// Settings in force: those of the last read that succeeded.
    pub settings: ProcessSettings,
}

impl SettingsFile {
    /// Reads the file at the path that the environment variable gives.
    ///
    /// # Errors
    ///
    /// Returns a message for the person who starts the process.
    pub fn open() -> Result<Self, String> {
        let unset_error = || format!("set {PATH_VARIABLE} to the path of the settings file");
        let path = PathBuf::from(env::var_os(PATH_VARIABLE).ok_or_else(unset_error)?);
        let settings = read_settings(&path)?;
        Ok(Self {
            modified_at: modification_time(&path),
            path,
            settings,
        })
    }

    /// Whether the modification time of the file has changed since the last read.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        modification_time(&self.path) != self.modified_at
    }

    /// Reads the file again. If its settings are invalid, the old ones stay in force.
    pub fn reload(&mut self) {
        self.modified_at = modification_time(&self.path);
        match read_settings(&self.path) {
            Ok(settings) if settings == self.settings => {
                info!(path = %self.path.display(), "settings file read again; no change");
            }
            Ok(settings) => {
                info!(path = %self.path.display(), seeds = ?settings.seeds, "settings changed");
                self.settings = settings;
            }
            Err(message) => {
                error!(
                    message,
                    "failed to reload the settings file; the old settings stay in force"
                );
            }
        }
    }
}

fn read_settings(path: &Path) -> Result<ProcessSettings, String> {
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| failed(&error))?;
    ProcessSettings::from_text(&text).map_err(|error| failed(&error))
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}
