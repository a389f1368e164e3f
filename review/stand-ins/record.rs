//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens the record of this process.
pub fn open(path: &Path) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    Ok(())
}

/// Writes a line.
pub fn line(text: &str) {
    if let Some((file, start)) = RECORD.get() {
        let at = start.elapsed().as_secs_f64();
        if let Ok(mut file) = file.lock() {
            let _ = writeln!(file, "{at:9.3} s  {text}");
        }
    }
}

/// Writes a formatted line to the record.
#[macro_export]
macro_rules! note {
    ($($arg:tt)*) => { $crate::record::line(&format!($($arg)*)) };
}
