//! Output of commands, as text or JSON.

use std::io::Write;

use serde_json::Value;

use crate::exit::Exit;

/// Output of a command that did not fail.
#[derive(Debug)]
pub struct Report {
    /// Output without `--json`.
    pub text: String,
    /// Output with `--json`.
    pub json: Value,
    pub exit: Exit,
}

impl Report {
    /// Returns a report with the exit code of success.
    pub fn success(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            exit: Exit::Done,
        }
    }

    /// Prints the report and returns its exit code.
    pub fn print(&self, json: bool) -> Exit {
        let mut text = if json {
            self.json.to_string()
        } else {
            self.text.clone()
        };
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        let mut out = std::io::stdout().lock();
        // A closed pipe, for example after `| head`, is not an error of the command.
        let _ = out.write_all(text.as_bytes());
        self.exit
    }
}
