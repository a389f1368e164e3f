//! Secrets read from files. `Debug` output hides them, so that they never reach logs.

use std::fmt;
use std::fs;
use std::path::Path;

/// A secret, such as a bearer token.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Reads a secret from a file and trims surrounding white space.
    ///
    /// # Errors
    ///
    /// Returns a message that names the file when it cannot be read or is empty.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = fs::read_to_string(path)
            .map_err(|error| format!("{} cannot be read: {error}", path.display()))?;
        let text = text.trim();
        if text.is_empty() {
            return Err(format!(
                "{} is empty; put the secret into it",
                path.display()
            ));
        }
        Ok(Self(text.to_owned()))
    }

    /// Returns the secret in plain text.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(redacted)")
    }
}
