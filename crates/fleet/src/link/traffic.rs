//! Bytes that this process sends over its links, by kind of frame.
//!
//! On a narrow network link one kind can delay all others, and a late lease looks the same
//! whatever delayed it. These counts tell the kinds apart.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::frame::Frame;

static TRAFFIC: Mutex<Traffic> = Mutex::new(Traffic::new());
/// Sum over all kinds, which is asked for after each event.
static QUEUED_BYTES: AtomicU64 = AtomicU64::new(0);

/// Bytes by kind of frame since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    queued_bytes: BTreeMap<&'static str, u64>,
    written_bytes: u64,
}

impl Traffic {
    /// Returns counts of zero.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            queued_bytes: BTreeMap::new(),
            written_bytes: 0,
        }
    }

    /// Returns the current counts of this process.
    #[must_use]
    pub fn now() -> Self {
        lock().clone()
    }

    /// Bytes of all kinds that were queued.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.queued_bytes.values().sum()
    }

    /// Bytes that wait in queues for the network link.
    #[must_use]
    pub fn waiting_bytes(&self) -> u64 {
        self.total_bytes().saturating_sub(self.written_bytes)
    }

    /// Returns the bytes of each kind that were queued since `earlier`, as text for a log
    /// line; the largest come first.
    #[must_use]
    pub fn describe_since(&self, earlier: &Self) -> String {
        let bytes_before = |kind| earlier.queued_bytes.get(kind).copied().unwrap_or_default();
        let kinds = self.queued_bytes.iter();
        let mut kinds: Vec<_> = kinds
            .map(|(&kind, bytes)| (bytes - bytes_before(kind), kind))
            .filter(|&(bytes, _)| bytes > 0)
            .collect();
        kinds.sort_unstable_by(|a, b| b.cmp(a));
        let kinds = kinds.into_iter();
        let kinds: Vec<String> = kinds
            .map(|(bytes, kind)| format!("{kind}={bytes}"))
            .collect();
        kinds.join(" ")
    }

    /// Returns the counts in the text format of Prometheus.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (kind, bytes) in &self.queued_bytes {
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "bamboospur_link_bytes_total{{kind=\"{kind}\"}} {bytes}"
            );
        }
        let waiting = self.waiting_bytes();
        let _ = writeln!(text, "bamboospur_link_bytes_waiting {waiting}");
        text
    }
}

/// Counts an encoded frame that was queued for a link.
pub fn record_queued(frame: &Frame, bytes: usize) {
    let bytes = to_u64(bytes);
    QUEUED_BYTES.fetch_add(bytes, Ordering::Relaxed);
    *lock().queued_bytes.entry(frame.into()).or_default() += bytes;
}

/// Returns the bytes of all frames that were queued since the start of the process.
#[must_use]
pub fn queued_link_bytes() -> u64 {
    QUEUED_BYTES.load(Ordering::Relaxed)
}

/// Counts bytes that were queued and are now with the kernel, or were dropped with their link.
pub fn record_written(bytes: usize) {
    lock().written_bytes += to_u64(bytes);
}

fn lock() -> MutexGuard<'static, Traffic> {
    TRAFFIC.lock().unwrap_or_else(PoisonError::into_inner)
}

fn to_u64(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
