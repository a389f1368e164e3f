//! Large frames that peers wait for, sent at a limited rate.
//!
//! A process would send many times the rate of its network link when many peers connect
//! at once: each needs the targets, the cached prompts or a whole configuration. If all of
//! that were queued, heartbeats and leases would wait for seconds behind it, links would
//! time out, and the peers that dial again would ask for the same once more. So a
//! [`BulkQueue`] keeps what each link waits for, without the content, and releases one
//! item after the other at a part of the link's rate. The content is taken when an item is
//! released; a newer version replaces the one before without any bytes sent.
//!
//! Everything else on the network link is sent at once, and counts against the same rate.
//! Otherwise both together exceed it, and what is sent at once waits in the network as well.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bamboospur_group::DocumentVersion;
use bamboospur_types::time_at_rate;

use super::accept::LinkId;
use super::frame::Frame;

/// Part of the rate of the network link that urgent content may use. All routers need a new
/// configuration within two or three seconds.
const URGENT_SHARE: f64 = 0.9;
/// Part of the rate that all bulk frames together may use before other content waits.
const TOTAL_SHARE: f64 = 0.5;
/// Part of the rate that is left to other frames. If they take more, bulk frames are sent all
/// the same, since routers cannot wait for them for ever.
const MAX_OTHER_SHARE: f64 = 0.6;
/// Bulk frames that may be sent at once after a pause, as time at their rate.
const BURST: Duration = Duration::from_millis(100);
/// Other frames that are counted at once after a pause, as time at their rate.
const OTHER_BURST: Duration = Duration::from_secs(1);
/// Longest time for which other sends hold back bulk frames.
const MAX_DEBT: Duration = Duration::from_millis(500);
/// Rate of a network link whose rate is not stated: 1 Gbit/s.
const DEFAULT_LINK_BYTES_PER_S: f64 = 125_000_000.0;

/// Cached prompts in one frame; a frame takes at most 12 KB.
const PREFIXES_PER_FRAME: usize = 1_024;

/// Returns cached prompts in frames of limited size, those of one target together.
#[must_use]
pub fn prefix_frames(mut prefixes: Vec<(u64, u64)>) -> Vec<Frame> {
    prefixes.sort_unstable_by_key(|&(_, target)| target);
    let parts = prefixes.chunks(PREFIXES_PER_FRAME);
    parts
        .map(|part| Frame::CachedPrefixes(part.to_vec()))
        .collect()
}

/// Content of a bulk frame, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BulkKind {
    /// The configuration in force.
    Config,
    /// Announcements of all targets.
    Targets,
    /// The newest target of each cached prompt.
    NewestPrefixes,
    /// The other targets of cached prompts.
    OtherPrefixes,
}

impl BulkKind {
    /// Whether a router that has just started needs the content before it can serve requests
    /// well.
    const fn is_urgent(self) -> bool {
        match self {
            Self::Config | Self::Targets | Self::NewestPrefixes => true,
            Self::OtherPrefixes => false,
        }
    }
}

/// Item that a link waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BulkItem {
    /// Link of the peer.
    pub link: LinkId,
    /// What the peer waits for.
    pub kind: BulkKind,
    /// Version of the configuration that the peer holds; 0 for none.
    pub held_version: DocumentVersion,
}

/// Bytes that may be sent, refilled at a fixed rate.
#[derive(Clone, Copy, Debug)]
struct Budget {
    bytes_per_s: f64,
    /// Time whose bytes may be sent at once after a pause.
    burst: Duration,
    /// Bytes that may be sent now; negative after a large frame.
    bytes: f64,
}

impl Budget {
    fn new(bytes_per_s: f64, burst: Duration) -> Self {
        Self {
            bytes_per_s,
            burst,
            bytes: bytes_per_s * burst.as_secs_f64(),
        }
    }

    fn refill(&mut self, elapsed: Duration) {
        let refilled = self.bytes + elapsed.as_secs_f64() * self.bytes_per_s;
        self.bytes = refilled.min(self.bytes_per_s * self.burst.as_secs_f64());
    }

    /// Returns the time until something may be sent.
    fn wait(&self) -> Duration {
        // A byte more than the missing ones, since the budget has to be positive.
        let missing_bytes = (1.0 - self.bytes).max(0.0);
        time_at_rate(missing_bytes, self.bytes_per_s)
    }
}

/// Items that wait to be sent, and the budgets for them.
#[derive(Clone, Debug)]
pub struct BulkQueue {
    /// Budget of urgent items.
    urgent_budget: Budget,
    /// Budget of all items.
    total_budget: Budget,
    /// Bytes of other frames that bulk frames leave room for.
    other_budget: Budget,
    updated_at: Instant,
    /// Items by kind and order of arrival.
    waiting: BTreeMap<(BulkKind, u64), BulkItem>,
    /// Keys of the items in `waiting`.
    queued: BTreeSet<(LinkId, BulkKind)>,
    last_number: u64,
}

impl BulkQueue {
    /// Creates an empty queue for a network link with this rate, if it is known.
    #[must_use]
    pub fn new(link_bytes_per_s: Option<f64>, now: Instant) -> Self {
        let bytes_per_s = link_bytes_per_s.unwrap_or(DEFAULT_LINK_BYTES_PER_S);
        Self {
            urgent_budget: Budget::new(bytes_per_s * URGENT_SHARE, BURST),
            total_budget: Budget::new(bytes_per_s * TOTAL_SHARE, BURST),
            other_budget: Budget::new(bytes_per_s * MAX_OTHER_SHARE, OTHER_BURST),
            updated_at: now,
            waiting: BTreeMap::new(),
            queued: BTreeSet::new(),
            last_number: 0,
        }
    }

    /// Adds an item. An item of the same kind for the same link keeps its place.
    pub fn push(&mut self, item: BulkItem) {
        if !self.queued.insert((item.link, item.kind)) {
            let same = |other: &&mut BulkItem| other.link == item.link && other.kind == item.kind;
            if let Some(other) = self.waiting.values_mut().find(same) {
                *other = item;
            }
            return;
        }
        self.last_number += 1;
        self.waiting.insert((item.kind, self.last_number), item);
    }

    /// Removes the items of the links for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&BulkItem) -> bool) {
        self.waiting.retain(|_, item| keep(item));
        self.queued = self
            .waiting
            .values()
            .map(|item| (item.link, item.kind))
            .collect();
    }

    /// Takes the next item if its budget allows to send it now.
    pub fn take(&mut self, now: Instant) -> Option<BulkItem> {
        self.refill(now);
        if self.budget_of_next()?.bytes <= 0.0 {
            return None;
        }
        let (_, item) = self.waiting.pop_first()?;
        self.queued.remove(&(item.link, item.kind));
        Some(item)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        self.urgent_budget.refill(elapsed);
        self.total_budget.refill(elapsed);
        self.other_budget.refill(elapsed);
    }

    /// Subtracts bytes that were sent from the budgets.
    pub fn record_sent(&mut self, bytes: usize) {
        self.subtract(to_f64(bytes));
    }

    /// Subtracts bytes that are sent over the same network link without waiting here, so
    /// that bulk frames leave room for them: up to [`MAX_OTHER_SHARE`] of the rate.
    pub fn record_other(&mut self, bytes: usize, now: Instant) {
        self.refill(now);
        let counted = to_f64(bytes).min(self.other_budget.bytes);
        self.other_budget.bytes -= counted;
        self.subtract(counted);
        for budget in [&mut self.urgent_budget, &mut self.total_budget] {
            let least_bytes = -budget.bytes_per_s * MAX_DEBT.as_secs_f64();
            budget.bytes = budget.bytes.max(least_bytes);
        }
    }

    fn subtract(&mut self, bytes: f64) {
        self.urgent_budget.bytes -= bytes;
        self.total_budget.bytes -= bytes;
    }

    /// Returns when the next item may be sent; `None` when none waits.
    #[must_use]
    pub fn next_at(&self) -> Option<Instant> {
        Some(self.updated_at + self.budget_of_next()?.wait())
    }

    /// Returns the budget of the first item.
    fn budget_of_next(&self) -> Option<&Budget> {
        let (&(kind, _), _) = self.waiting.first_key_value()?;
        Some(if kind.is_urgent() {
            &self.urgent_budget
        } else {
            &self.total_budget
        })
    }

    /// Whether a configuration waits.
    #[must_use]
    pub fn has_config(&self) -> bool {
        let first = self.waiting.first_key_value();
        first.is_some_and(|(&(kind, _), _)| kind == BulkKind::Config)
    }

    /// Number of items that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no item waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "frames are smaller than 2^53 bytes"
)]
const fn to_f64(bytes: usize) -> f64 {
    bytes as f64
}
