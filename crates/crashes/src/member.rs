//! What a router knows of answered, watched and blocked parts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::message::{Age, CrashMessage, MAX_PARTS_PER_MESSAGE};
use crate::{PartHash, TargetStartId};

/// Time for which answered parts are remembered, to twice as long.
const ANSWER_RETENTION: Duration = Duration::from_mins(5);
/// Answered parts in each half of that time beyond which the older half is forgotten.
const MAX_ANSWERED_PARTS: usize = 20_000;
/// Time for which a part is watched after a hub has asked about it; longer than a block, so
/// that the first answer after it is told.
const WATCH_TIME: Duration = Duration::from_hours(2);
/// Most parts that are watched, and most that are blocked.
const MAX_WATCHED_PARTS: usize = 4_096;

/// Knowledge of one router.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Last answers, in two generations.
    recent_answers: BTreeMap<PartHash, Instant>,
    older_answers: BTreeMap<PartHash, Instant>,
    /// When the recent answers become the older ones.
    rotate_at: Option<Instant>,
    /// Parts whose next answer is reported, and until when.
    watched_until: BTreeMap<PartHash, Instant>,
    blocked_until: BTreeMap<PartHash, Instant>,
}

impl Member {
    /// Handles a message of a hub. Returns the reply to that hub, if any.
    pub fn handle(&mut self, message: &CrashMessage, now: Instant) -> Option<CrashMessage> {
        match message {
            CrashMessage::Watch(parts) => self.watch(parts, now),
            CrashMessage::Blocked(parts) => {
                self.remove_expired(now);
                for &(part, left) in parts {
                    if self.blocked_until.len() < MAX_WATCHED_PARTS {
                        self.blocked_until.insert(part, left.after(now));
                    }
                }
                None
            }
            CrashMessage::Released(parts) => {
                for part in parts {
                    self.blocked_until.remove(part);
                }
                None
            }
            CrashMessage::Crashed { .. } | CrashMessage::Answered(_) => None,
        }
    }

    /// Records that a target answered a request with these parts. Returns the report for the
    /// hubs, if any part is watched.
    pub fn record_answer(
        &mut self,
        parts: impl IntoIterator<Item = PartHash>,
        now: Instant,
    ) -> Option<CrashMessage> {
        self.rotate(now);
        let mut report = Vec::new();
        for part in parts {
            self.recent_answers.insert(part, now);
            // One answer clears the crashes before it; the hub asks again after the next one.
            if self
                .watched_until
                .remove(&part)
                .is_some_and(|until| now < until)
            {
                report.push((part, Age::default()));
            }
        }
        report.truncate(MAX_PARTS_PER_MESSAGE);
        (!report.is_empty()).then_some(CrashMessage::Answered(report))
    }

    /// Returns a blocked part among these, and when its block ends.
    #[must_use]
    pub fn find_blocked(
        &self,
        parts: impl IntoIterator<Item = PartHash>,
        now: Instant,
    ) -> Option<(PartHash, Instant)> {
        if self.blocked_until.is_empty() {
            return None;
        }
        parts.into_iter().find_map(|part| {
            let until = *self.blocked_until.get(&part)?;
            (now < until).then_some((part, until))
        })
    }

    /// Returns the blocked parts, for a hub that may have lost them.
    #[must_use]
    pub fn state(&self, now: Instant) -> Vec<CrashMessage> {
        let blocked = self.blocked_until.iter().filter_map(|(&part, until)| {
            let left = until.checked_duration_since(now)?;
            Some((part, Age::from(left)))
        });
        let blocked: Vec<_> = blocked.collect();
        let batches = blocked.chunks(MAX_PARTS_PER_MESSAGE);
        let batches = batches.map(|batch| CrashMessage::Blocked(batch.to_vec()));
        batches.collect()
    }

    fn watch(&mut self, parts: &[PartHash], now: Instant) -> Option<CrashMessage> {
        self.remove_expired(now);
        let mut answered = Vec::new();
        for &part in parts {
            if self.watched_until.len() < MAX_WATCHED_PARTS {
                self.watched_until.insert(part, now + WATCH_TIME);
            }
            if let Some(at) = self.answered_at(part) {
                answered.push((part, Age::from(now.saturating_duration_since(at))));
            }
        }
        (!answered.is_empty()).then_some(CrashMessage::Answered(answered))
    }

    fn answered_at(&self, part: PartHash) -> Option<Instant> {
        let recent = self.recent_answers.get(&part);
        recent.or_else(|| self.older_answers.get(&part)).copied()
    }

    fn rotate(&mut self, now: Instant) {
        let is_full = self.recent_answers.len() >= MAX_ANSWERED_PARTS;
        if is_full || self.rotate_at.is_none_or(|at| now >= at) {
            self.rotate_at = Some(now + ANSWER_RETENTION);
            self.older_answers = std::mem::take(&mut self.recent_answers);
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        self.watched_until.retain(|_, &mut until| now < until);
        self.blocked_until.retain(|_, &mut until| now < until);
    }
}

/// Parts of the requests that broke off at targets which may have ended, until that is known.
#[derive(Clone, Debug, Default)]
pub struct SuspectedCrashes {
    suspected: BTreeMap<TargetStartId, Vec<PartHash>>,
}

impl SuspectedCrashes {
    /// Records that a request with these parts broke off. Returns whether it is the first one
    /// at the target, which is then to be checked.
    pub fn record(
        &mut self,
        target: TargetStartId,
        parts: impl IntoIterator<Item = PartHash>,
    ) -> bool {
        let is_first = !self.suspected.contains_key(&target);
        let suspected = self.suspected.entry(target).or_default();
        for part in parts {
            if !suspected.contains(&part) {
                suspected.push(part);
            }
        }
        is_first
    }

    /// Removes and returns the parts once the target is checked.
    pub fn take(&mut self, target: TargetStartId) -> Vec<PartHash> {
        self.suspected.remove(&target).unwrap_or_default()
    }
}
