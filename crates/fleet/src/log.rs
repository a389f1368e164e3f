//! Log output: JSON lines on standard output, written by a separate thread.
//!
//! Lines pass to the thread through a bounded queue. When the reader of the output is
//! too slow, the queue fills and further lines are dropped; the thread then writes a
//! line with their number after the next batch.

use std::io::{self, Write};
use std::panic;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use tracing::error;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that can wait for the output; further ones are dropped.
const MAX_QUEUED_LINES: usize = 4_096;
/// Lines are collected for this time and written together.
const FLUSH_PERIOD: Duration = Duration::from_millis(50);

/// Number of dropped lines.
static DROPPED: OnceLock<Arc<AtomicU64>> = OnceLock::new();

/// Returns the number of lines dropped since the start.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.get().map_or(0, |d| d.load(Ordering::Relaxed))
}

/// Starts the log output. If its thread cannot be started, the process runs without
/// logs.
pub fn start() {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::clone(DROPPED.get_or_init(Arc::default));
    let drop_counter = Arc::clone(&dropped);
    let spawned = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&receiver, &drop_counter));
    if let Err(error) = spawned {
        eprintln!("bamboospur: no thread for the log: {error}");
        return;
    }
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(LineQueue { sender, dropped })
        .try_init();
    if started.is_err() {
        tracing::debug!("a log subscriber is already set; keeping it");
    }
}

/// Writes a log line for each panic, besides the text that goes to standard error.
pub fn log_panics() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        error!(panic = %info, "panic; the task or thread ends");
        print(info);
    }));
}

fn write_lines(receiver: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut reported = 0;
    while let Ok(first) = receiver.recv() {
        let mut batch = first;
        thread::sleep(FLUSH_PERIOD);
        for line in receiver.try_iter() {
            batch.extend_from_slice(&line);
        }
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            let lost = total - reported;
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{lost}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
            reported = total;
        }
        // There is no other place to report a failed log output.
        let _ = io::stdout().write_all(&batch);
    }
}

#[derive(Clone)]
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl<'a> MakeWriter<'a> for LineQueue {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter {
            queue: self.clone(),
            buffer: Vec::with_capacity(512),
        }
    }
}

/// Collects one line and queues it when dropped.
struct LineWriter {
    queue: LineQueue,
    buffer: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.buffer.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.buffer);
        if line.is_empty() {
            return;
        }
        match self.queue.sender.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.queue.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
