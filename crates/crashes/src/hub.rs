//! Decision which parts are blocked.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::message::{Age, CrashMessage, MAX_PARTS_PER_MESSAGE};
use crate::{PartHash, TargetStartId};

/// Limits of a hub.
#[derive(Clone, Copy, Debug)]
pub struct HubSettings {
    /// Crashes without an answer since after which members are asked about a part.
    pub crashes_to_watch: usize,
    /// Crashes without an answer since after which a part is blocked that was never
    /// answered.
    pub crashes_to_block: usize,
    /// As [`Self::crashes_to_block`], for a part that was answered before the crashes.
    pub crashes_to_block_answered: usize,
    /// Time in which questions about parts are collected, as several members report one crash.
    pub watch_delay: Duration,
    /// Time for which a part is watched before it is blocked, so that members can say that it
    /// was answered. Several targets can end at the same time for another reason.
    pub min_watch_time: Duration,
    /// Length of the first block of a part that was never answered; it doubles with each
    /// further one.
    pub first_block: Duration,
    /// As [`Self::first_block`], for a part that was answered before the crashes.
    pub first_block_answered: Duration,
    /// Longest block.
    pub max_block: Duration,
    /// Targets that end within this time count once: a cut or a power loss ends many at a time.
    pub one_moment: Duration,
    /// Longest time from the sending of a target's report to its arrival, if nothing is lost.
    pub max_report_delay: Duration,
    /// Time after which a crash is forgotten.
    pub crash_retention: Duration,
    /// Most crashes that are remembered.
    pub max_crashes: usize,
    /// Most parts that are remembered of one crash.
    pub max_parts_per_crash: usize,
    /// Most parts that are watched or were blocked.
    pub max_parts: usize,
}

impl Default for HubSettings {
    fn default() -> Self {
        Self {
            crashes_to_watch: 2,
            crashes_to_block: 3,
            crashes_to_block_answered: 5,
            watch_delay: Duration::from_millis(50),
            min_watch_time: Duration::from_millis(400),
            first_block: Duration::from_mins(10),
            first_block_answered: Duration::from_mins(1),
            max_block: Duration::from_hours(1),
            one_moment: Duration::from_millis(250),
            max_report_delay: Duration::from_secs(2),
            crash_retention: Duration::from_mins(10),
            max_crashes: 256,
            max_parts_per_crash: 512,
            max_parts: 4_096,
        }
    }
}

/// The end of one start of a target.
#[derive(Clone, Debug)]
struct Crash {
    at: Instant,
    parts: BTreeSet<PartHash>,
}

/// What is known of a part that was watched or blocked.
#[derive(Clone, Copy, Debug)]
struct Part {
    watched_at: Instant,
    /// Last answer that a member told.
    answered_at: Option<Instant>,
    blocked_until: Option<Instant>,
    /// Blocks since the part was last answered.
    blocks: u32,
}

impl Part {
    const fn new(now: Instant) -> Self {
        Self {
            watched_at: now,
            answered_at: None,
            blocked_until: None,
            blocks: 0,
        }
    }

    fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }
}

/// Collects the reports of all members and blocks parts.
#[derive(Clone, Debug)]
pub struct Hub {
    settings: HubSettings,
    crashes: BTreeMap<TargetStartId, Crash>,
    parts: BTreeMap<PartHash, Part>,
    /// Parts about which members are asked next, and when.
    unasked: BTreeSet<PartHash>,
    ask_at: Option<Instant>,
    /// When the next part is due to be blocked, unless it is answered.
    block_at: Option<Instant>,
}

impl Hub {
    /// Creates a hub that knows of no crash.
    #[must_use]
    pub const fn new(settings: HubSettings) -> Self {
        Self {
            settings,
            crashes: BTreeMap::new(),
            parts: BTreeMap::new(),
            unasked: BTreeSet::new(),
            ask_at: None,
            block_at: None,
        }
    }

    /// Handles a message of a member. Returns the messages for all members.
    pub fn handle(&mut self, message: CrashMessage, now: Instant) -> Vec<CrashMessage> {
        let messages = match message {
            CrashMessage::Crashed { target, parts } => {
                self.record_crash(target, parts, now);
                Vec::new()
            }
            CrashMessage::Answered(answered) => self.record_answers(&answered, now),
            CrashMessage::Blocked(blocked) => self.record_blocks(&blocked, now),
            CrashMessage::Watch(_) | CrashMessage::Released(_) => return Vec::new(),
        };
        self.update_block_at(now);
        messages
    }

    /// Returns when [`Self::tick`] has something to do.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        [self.ask_at, self.block_at].into_iter().flatten().min()
    }

    /// Asks about parts, and blocks those that have been watched for long enough. Returns the
    /// messages for all members.
    pub fn tick(&mut self, now: Instant) -> Vec<CrashMessage> {
        let mut messages = Vec::new();
        if self.ask_at.is_some_and(|at| now >= at) {
            self.ask_at = None;
            let asked: Vec<PartHash> = std::mem::take(&mut self.unasked).into_iter().collect();
            let batches = asked.chunks(MAX_PARTS_PER_MESSAGE);
            messages.extend(batches.map(|batch| CrashMessage::Watch(batch.to_vec())));
        }
        if self.block_at.is_some_and(|at| now >= at) {
            messages.extend(self.block_due_parts(now));
            self.update_block_at(now);
        }
        messages
    }

    fn block_due_parts(&mut self, now: Instant) -> Vec<CrashMessage> {
        let mut blocked = Vec::new();
        // Each block explains crashes, so that the other parts are counted anew.
        while let Some(worst) = self.worst_parts(now) {
            for hash in worst {
                blocked.push((hash, self.block(hash, now)));
            }
        }
        let batches = blocked.chunks(MAX_PARTS_PER_MESSAGE);
        let batches = batches.map(|batch| CrashMessage::Blocked(batch.to_vec()));
        batches.collect()
    }

    /// Forgets old crashes and what is not watched any more.
    pub fn remove_expired(&mut self, now: Instant) {
        let retention = self.settings.crash_retention;
        self.crashes.retain(|_, crash| now < crash.at + retention);
        let seen: BTreeSet<PartHash> = self
            .crashes
            .values()
            .flat_map(|crash| crash.parts.iter().copied())
            .collect();
        let max_block = self.settings.max_block;
        self.parts.retain(|hash, part| {
            let remembered = part.blocked_until.is_some_and(|end| now < end + max_block);
            remembered || seen.contains(hash)
        });
    }

    /// Returns the messages for a member that may have missed earlier ones.
    #[must_use]
    pub fn state(&self, now: Instant) -> Vec<CrashMessage> {
        let blocked = self.parts.iter().filter_map(|(&hash, part)| {
            let left = part.blocked_until?.checked_duration_since(now)?;
            Some((hash, Age::from(left)))
        });
        let blocked: Vec<_> = blocked.collect();
        let watched: Vec<PartHash> = self.parts.keys().copied().collect();
        let blocked = blocked.chunks(MAX_PARTS_PER_MESSAGE);
        let watched = watched.chunks(MAX_PARTS_PER_MESSAGE);
        let blocked = blocked.map(|batch| CrashMessage::Blocked(batch.to_vec()));
        let watched = watched.map(|batch| CrashMessage::Watch(batch.to_vec()));
        blocked.chain(watched).collect()
    }

    /// Returns the number of blocked parts.
    #[must_use]
    pub fn blocked_count(&self, now: Instant) -> usize {
        self.parts.values().filter(|p| p.is_blocked(now)).count()
    }

    fn record_crash(&mut self, target: TargetStartId, parts: Vec<PartHash>, now: Instant) {
        let max_parts = self.settings.max_parts_per_crash;
        let crash = self.crashes.entry(target).or_insert_with(|| Crash {
            at: now,
            parts: BTreeSet::new(),
        });
        let room = max_parts.saturating_sub(crash.parts.len());
        // Each member reports each crash; only what it adds says something new.
        let mut new = parts;
        new.retain(|part| !crash.parts.contains(part));
        new.truncate(room);
        crash.parts.extend(new.iter().copied());
        if self.crashes.len() > self.settings.max_crashes {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(target) = oldest.map(|(&target, _)| target) {
                self.crashes.remove(&target);
            }
        }
        let unexplained = self.unexplained(now);
        let watched = new.into_iter().filter(|part| {
            self.parts.contains_key(part)
                || self.crash_count(*part, &unexplained) >= self.settings.crashes_to_watch
        });
        let watched: Vec<PartHash> = watched.collect();
        for part in watched {
            let has_room = self.parts.len() < self.settings.max_parts;
            if has_room || self.parts.contains_key(&part) {
                self.parts.entry(part).or_insert_with(|| Part::new(now));
                self.unasked.insert(part);
            }
        }
        if !self.unasked.is_empty() {
            let ask_at = now + self.settings.watch_delay;
            self.ask_at.get_or_insert(ask_at);
        }
    }

    /// Records that a target still runs: what members took for its end was none, for example
    /// a cut between them. A report of the target that was sent before its end can arrive
    /// [`HubSettings::max_report_delay`] later. Returns the messages for all members.
    pub fn record_alive(&mut self, target: TargetStartId, now: Instant) -> Vec<CrashMessage> {
        let delay = self.settings.max_report_delay;
        let Some(crash) = self.crashes.get(&target) else {
            return Vec::new();
        };
        if now < crash.at + delay {
            return Vec::new();
        }
        let parts = self.crashes.remove(&target).map(|crash| crash.parts);
        let mut released = Vec::new();
        for hash in parts.unwrap_or_default() {
            let crashes = self.crashes.values();
            let left = crashes.filter(|crash| crash.parts.contains(&hash)).count();
            let Some(part) = self.parts.get_mut(&hash) else {
                continue;
            };
            if part.is_blocked(now) && left < self.settings.crashes_to_block {
                part.blocked_until = None;
                part.blocks = 0;
                released.push(hash);
            }
        }
        self.update_block_at(now);
        let released = released.chunks(MAX_PARTS_PER_MESSAGE);
        let released = released.map(|batch| CrashMessage::Released(batch.to_vec()));
        released.collect()
    }

    /// Whether a target is believed to have ended while it processed requests.
    #[must_use]
    pub fn has_crash(&self, target: TargetStartId) -> bool {
        self.crashes.contains_key(&target)
    }

    /// Updates when the next part is due to be blocked.
    fn update_block_at(&mut self, now: Instant) {
        let unexplained = self.unexplained(now);
        let due = self.parts.iter().filter(|(hash, part)| {
            !part.is_blocked(now) && self.crash_count(**hash, &unexplained) >= self.threshold(part)
        });
        let due = due.map(|(_, part)| part.watched_at + self.settings.min_watch_time);
        self.block_at = due.min();
    }

    /// Returns the crashes that no blocked part explains.
    fn unexplained(&self, now: Instant) -> Vec<&Crash> {
        let blocked = self.parts.iter().filter(|(_, part)| part.is_blocked(now));
        let blocked: Vec<PartHash> = blocked.map(|(&hash, _)| hash).collect();
        let is_explained = |crash: &&Crash| blocked.iter().any(|part| crash.parts.contains(part));
        let crashes = self.crashes.values();
        crashes.filter(|crash| !is_explained(crash)).collect()
    }

    /// Records answers: the crashes before them do not count against the parts.
    fn record_answers(&mut self, answered: &[(PartHash, Age)], now: Instant) -> Vec<CrashMessage> {
        let mut released = Vec::new();
        for &(hash, age) in answered {
            let at = age.before(now);
            let last_crash = self.last_crash(hash);
            let Some(part) = self.parts.get_mut(&hash) else {
                continue;
            };
            part.answered_at = part.answered_at.max(Some(at));
            if last_crash.is_none_or(|crashed_at| crashed_at < at) {
                part.blocks = 0;
                if part.blocked_until.take().is_some_and(|until| now < until) {
                    released.push(hash);
                }
            }
        }
        if released.is_empty() {
            Vec::new()
        } else {
            vec![CrashMessage::Released(released)]
        }
    }

    /// Records blocks that a member knows of. Returns those that are new here, for the other
    /// members.
    fn record_blocks(&mut self, blocked: &[(PartHash, Age)], now: Instant) -> Vec<CrashMessage> {
        let mut new = Vec::new();
        for &(hash, left) in blocked {
            let is_known = self.parts.contains_key(&hash);
            if !is_known && self.parts.len() >= self.settings.max_parts {
                continue;
            }
            let part = self.parts.entry(hash).or_insert_with(|| Part::new(now));
            let was_released = is_known && part.blocks == 0 && part.answered_at.is_some();
            if !part.is_blocked(now) && !was_released {
                part.blocked_until = Some(left.after(now));
                part.blocks = part.blocks.max(1);
                new.push((hash, left));
            }
        }
        if new.is_empty() {
            Vec::new()
        } else {
            let hashes = new.iter().map(|&(hash, _)| hash).collect();
            vec![CrashMessage::Blocked(new), CrashMessage::Watch(hashes)]
        }
    }

    fn last_crash(&self, part: PartHash) -> Option<Instant> {
        let crashes = self.crashes.values().filter(|c| c.parts.contains(&part));
        crashes.map(|crash| crash.at).max()
    }

    /// Returns how many of these crashes count against the part: those since it was last
    /// answered, and of several at one moment the first.
    fn crash_count(&self, part: PartHash, unexplained: &[&Crash]) -> usize {
        let known = self.parts.get(&part);
        let answered_at = known.and_then(|known| known.answered_at);
        // After a block, only new crashes count.
        let unblocked_at = known.and_then(|known| known.blocked_until);
        let since = answered_at.max(unblocked_at);
        let counted = unexplained.iter().filter(|crash| {
            crash.parts.contains(&part) && since.is_none_or(|since| crash.at > since)
        });
        let mut moments: Vec<Instant> = counted.map(|crash| crash.at).collect();
        moments.sort_unstable();
        let mut last: Option<Instant> = None;
        moments.retain(|&at| {
            let is_new = last.is_none_or(|last| at >= last + self.settings.one_moment);
            if is_new {
                last = Some(at);
            }
            is_new
        });
        moments.len()
    }

    /// Returns the crashes after which the part is blocked. A part whose block is over is
    /// blocked again by the first one.
    const fn threshold(&self, part: &Part) -> usize {
        if part.blocks > 0 {
            1
        } else if part.answered_at.is_some() {
            self.settings.crashes_to_block_answered
        } else {
            self.settings.crashes_to_block
        }
    }

    /// Returns the parts to block now: those with the most crashes, the ones that were never
    /// answered first.
    fn worst_parts(&self, now: Instant) -> Option<Vec<PartHash>> {
        let due = self.parts.iter().filter(|(_, part)| {
            !part.is_blocked(now) && now >= part.watched_at + self.settings.min_watch_time
        });
        let unexplained = self.unexplained(now);
        let due = due.filter_map(|(&hash, part)| {
            let count = self.crash_count(hash, &unexplained);
            (count >= self.threshold(part)).then_some(((part.answered_at.is_none(), count), hash))
        });
        let due: Vec<_> = due.collect();
        let worst = due.iter().map(|&(rank, _)| rank).max()?;
        let parts = due.into_iter().filter(|&(rank, _)| rank == worst);
        Some(parts.map(|(_, hash)| hash).collect())
    }

    /// Blocks a part and returns for how long.
    fn block(&mut self, hash: PartHash, now: Instant) -> Age {
        let settings = self.settings;
        let part = self.parts.entry(hash).or_insert_with(|| Part::new(now));
        let first = if part.answered_at.is_some() {
            settings.first_block_answered
        } else {
            settings.first_block
        };
        let length = (first * 2_u32.pow(part.blocks.min(8))).min(settings.max_block);
        part.blocks += 1;
        part.blocked_until = Some(now + length);
        Age::from(length)
    }
}
