//! Newest announcement of each target.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::TargetName;
use crate::announcement::{Announcement, Phase};

/// Bounds of a registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistrySettings {
    /// A target that announced nothing for this time is silent.
    pub silence_timeout: Duration,
    /// A silent or departed target is forgotten after this time. It is longer
    /// than any announcement can be late.
    pub retention: Duration,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self {
            silence_timeout: Duration::from_secs(6),
            retention: Duration::from_mins(2),
        }
    }
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Something that routers have to know has changed.
    Changed,
    /// The target is alive; nothing else changed.
    Refreshed,
    /// An announcement at least as new is known.
    Stale,
}

#[derive(Clone, Debug)]
struct Entry {
    newest: Announcement,
    silent_after: Instant,
    forget_after: Instant,
}

/// Newest announcement of each target.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    settings: RegistrySettings,
    entries: BTreeMap<TargetName, Entry>,
}

impl Registry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
        }
    }

    /// Takes an announcement.
    pub fn merge(&mut self, news: Announcement, now: Instant) -> Merge {
        let entry = Entry {
            silent_after: now + self.settings.silence_timeout,
            forget_after: now + self.settings.retention,
            newest: news,
        };
        let Some(known) = self.entries.get_mut(&entry.newest.name) else {
            self.entries.insert(entry.newest.name.clone(), entry);
            return Merge::Changed;
        };
        if !entry.newest.is_newer_than(&known.newest) {
            return Merge::Stale;
        }
        let was_silent = known.newest.phase == Phase::Ready && now >= known.silent_after;
        let news = was_silent || entry.newest.differs_for_routers(&known.newest);
        *known = entry;
        if news {
            Merge::Changed
        } else {
            Merge::Refreshed
        }
    }

    /// Records that a known target is alive, as another instance heard: it has
    /// reported up to this sequence number, and nothing else has changed.
    pub fn refresh(
        &mut self,
        name: &str,
        start: crate::StartTime,
        sequence: u64,
        now: Instant,
    ) -> Merge {
        let Some(known) = self.entries.get(name) else {
            return Merge::Stale;
        };
        let newest = &known.newest;
        if newest.start != start || newest.phase != Phase::Ready {
            return Merge::Stale;
        }
        let announcement = Announcement {
            sequence,
            ..newest.clone()
        };
        self.merge(announcement, now)
    }

    /// Records that a target leaves. Without a start, the known one leaves.
    /// Returns the announcement that says so when it is news.
    pub fn leave(
        &mut self,
        name: &str,
        start: Option<crate::StartTime>,
        now: Instant,
    ) -> Option<Announcement> {
        let known = &self.entries.get(name)?.newest;
        if start.is_some_and(|start| start != known.start) || known.phase == Phase::Gone {
            return None;
        }
        let gone = Announcement {
            phase: Phase::Gone,
            ..known.clone()
        };
        self.merge(gone.clone(), now);
        Some(gone)
    }

    /// Returns the targets that finish their work and take no more.
    pub fn draining(&self, now: Instant) -> impl Iterator<Item = &Announcement> {
        let live = self.entries.values().filter(move |e| now < e.silent_after);
        live.map(|e| &e.newest)
            .filter(|a| a.phase == Phase::Draining)
    }

    /// Returns the targets that take new work.
    ///
    /// An address belongs to the start that announced it last: a late
    /// announcement of an earlier holder does not bring that one back.
    #[must_use]
    pub fn usable(&self, now: Instant) -> Vec<&Announcement> {
        let mut holders: BTreeMap<SocketAddr, &Announcement> = BTreeMap::new();
        let live = self.entries.values().filter(|e| now < e.silent_after);
        for newest in live.map(|e| &e.newest) {
            let holder = holders.entry(newest.address).or_insert(newest);
            if newest.start > holder.start {
                *holder = newest;
            }
        }
        let mut usable: Vec<&Announcement> = holders.into_values().collect();
        usable.retain(|a| a.phase == Phase::Ready);
        usable.sort_by(|a, b| a.name.cmp(&b.name));
        usable
    }

    /// Records that a target has been silent for long, as another instance
    /// found. Returns whether that is news: a later announcement wins.
    pub fn mark_silent(&mut self, silent: &Announcement, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&silent.name) else {
            return false;
        };
        let live = entry.newest.phase == Phase::Ready && now < entry.silent_after;
        if !live || entry.newest.is_newer_than(silent) {
            return false;
        }
        entry.silent_after = now;
        entry.forget_after = now + self.settings.retention;
        true
    }

    /// Returns the targets that would be usable but are silent.
    pub fn silent(&self, now: Instant) -> impl Iterator<Item = &Announcement> {
        let silent = self.entries.values().filter(move |e| now >= e.silent_after);
        silent
            .map(|e| &e.newest)
            .filter(|a| a.phase == Phase::Ready)
    }

    /// Returns everything that is known, for an instance that knows nothing.
    pub fn all(&self) -> impl Iterator<Item = &Announcement> {
        self.entries.values().map(|e| &e.newest)
    }

    /// Number of known targets, the departed ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the newest announcement of a target.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Announcement> {
        self.entries.get(name).map(|e| &e.newest)
    }

    /// Forgets targets that have been silent or gone for long.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, entry| {
            let live = entry.newest.phase != Phase::Gone && now < entry.silent_after;
            live || now < entry.forget_after
        });
    }
}
