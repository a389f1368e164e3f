//! Registry of the newest announcement of each target.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_types::MAX_TIME;

use crate::announcement::{Announcement, Phase, StartTime};
use crate::{SoftwareVersion, TargetName};

/// A target that still warms up states shorter times; how late its reports arrive varies by
/// less than this.
const MAX_COLD_JITTER: Duration = Duration::from_millis(1_500);

/// Time limits of a registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistrySettings {
    /// Time without an announcement after which a target counts as silent.
    pub silence_timeout: Duration,
    /// Time for which a silent or departed target is remembered, from its last
    /// announcement or the report of its silence. This time must exceed the longest
    /// possible delay of an announcement.
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

/// Effect of merging an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Something that routers need has changed, or a silent target is back.
    Changed,
    /// The target is alive; nothing else changed.
    Refreshed,
    /// The announcement was ignored: one at least as new is known, or the target of a
    /// refresh is unknown, not ready or has another start.
    Stale,
}

#[derive(Clone, Debug)]
struct Entry {
    newest: Announcement,
    /// Number of the last merge that said that the target is ready; 0 without one.
    ready_order: u64,
    /// When the target has warmed up.
    cold_until: Instant,
    silent_at: Instant,
    forget_at: Instant,
}

/// Newest announcement of each target.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    settings: RegistrySettings,
    entries: BTreeMap<TargetName, Entry>,
    /// When the last target changed from a service and software version to another one under
    /// its name.
    replaced_at: BTreeMap<(String, SoftwareVersion), Instant>,
    /// Number of merges so far.
    merges: u64,
}

impl Registry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            replaced_at: BTreeMap::new(),
            merges: 0,
        }
    }

    /// Stores an announcement unless one at least as new is known.
    pub fn merge(&mut self, announcement: Announcement, now: Instant) -> Merge {
        self.merges += 1;
        let mut entry = Entry {
            ready_order: if announcement.phase == Phase::Ready {
                self.merges
            } else {
                0
            },
            cold_until: now + announcement.warm_up.min(MAX_TIME),
            silent_at: now + self.settings.silence_timeout,
            forget_at: now + self.settings.retention,
            newest: announcement,
        };
        let Some(known) = self.entries.get_mut(&entry.newest.name) else {
            self.entries.insert(entry.newest.name.clone(), entry);
            return Merge::Changed;
        };
        if !entry.newest.is_newer_than(&known.newest) {
            return Merge::Stale;
        }
        let was_silent = known.newest.phase == Phase::Ready && now >= known.silent_at;
        entry.ready_order = entry.ready_order.max(known.ready_order);
        let is_cold_again =
            now < entry.cold_until && entry.cold_until > known.cold_until + MAX_COLD_JITTER;
        let changed =
            was_silent || is_cold_again || entry.newest.differs_for_routers(&known.newest);
        let (old, new) = (&known.newest, &entry.newest);
        if (&old.service, &old.software) != (&new.service, &new.software) {
            let replaced = (old.service.clone(), old.software.clone());
            self.replaced_at.insert(replaced, now);
        }
        *known = entry;
        if changed {
            Merge::Changed
        } else {
            Merge::Refreshed
        }
    }

    /// Records that a known target is alive, as reported by another instance: the
    /// target has announced up to this sequence number without other changes.
    pub fn refresh(&mut self, name: &str, start: StartTime, sequence: u64, now: Instant) -> Merge {
        let Some(known) = self.entries.get(name) else {
            return Merge::Stale;
        };
        let newest = &known.newest;
        if newest.start != start || newest.phase != Phase::Ready {
            return Merge::Stale;
        }
        let announcement = Announcement {
            sequence,
            warm_up: known.cold_until.saturating_duration_since(now),
            ..newest.clone()
        };
        self.merge(announcement, now)
    }

    /// Records that a target leaves, unless a later start than `start` is known. The target, or this
    /// start of it, can be unknown here and known to others. Returns the resulting announcement, or
    /// `None` if nothing changed.
    pub fn leave(
        &mut self,
        name: &str,
        start: Option<StartTime>,
        now: Instant,
    ) -> Option<Announcement> {
        let Some(known) = self.entries.get(name).map(|entry| &entry.newest) else {
            let departure = Announcement::departure(name, start.unwrap_or_default());
            self.merge(departure.clone(), now);
            return Some(departure);
        };
        let start = start.unwrap_or(known.start);
        let departure = Announcement {
            start,
            phase: Phase::Gone,
            ..known.clone()
        };
        let is_new = (start, Phase::Gone) > (known.start, known.phase);
        is_new.then(|| {
            self.merge(departure.clone(), now);
            departure
        })
    }

    /// Records that this start of a target drains, as found by another way than its
    /// announcements. Returns the resulting announcement, or `None` if nothing changed.
    pub fn drain(&mut self, name: &str, start: StartTime, now: Instant) -> Option<Announcement> {
        let known = &self.entries.get(name)?.newest;
        if start != known.start || known.phase >= Phase::Draining {
            return None;
        }
        let drained = Announcement {
            phase: Phase::Draining,
            ..known.clone()
        };
        self.merge(drained.clone(), now);
        Some(drained)
    }

    /// Returns the draining targets that are not silent.
    pub fn draining(&self, now: Instant) -> impl Iterator<Item = &Announcement> {
        let live = self.entries.values().filter(move |e| now < e.silent_at);
        live.map(|e| &e.newest)
            .filter(|a| a.phase == Phase::Draining)
    }

    /// Returns the targets that accept new requests, sorted by name.
    ///
    /// If several targets announce one address, the one with the latest start owns
    /// it: a late announcement of an earlier owner does not make that owner usable. Among
    /// equal starts, as of targets that state none, the last one to announce that it is ready
    /// owns the address.
    #[must_use]
    pub fn usable(&self, now: Instant) -> Vec<&Announcement> {
        let mut owners: BTreeMap<SocketAddr, &Entry> = BTreeMap::new();
        let rank = |entry: &Entry| (entry.newest.start, entry.ready_order);
        for entry in self.entries.values().filter(|e| now < e.silent_at) {
            let owner = owners.entry(entry.newest.address).or_insert(entry);
            if rank(entry) > rank(owner) {
                *owner = entry;
            }
        }
        let owners = owners.into_values().map(|entry| &entry.newest);
        let mut usable: Vec<&Announcement> = owners.collect();
        usable.retain(|a| a.phase == Phase::Ready);
        usable.sort_by(|a, b| a.name.cmp(&b.name));
        usable
    }

    /// Returns the services of all known targets with the software versions that they have.
    #[must_use]
    pub fn services_with_software(&self) -> BTreeSet<(&str, &SoftwareVersion)> {
        let newest = self.entries.values().map(|entry| &entry.newest);
        newest
            .filter(|target| target.has_details())
            .map(|target| (target.service.as_str(), &target.software))
            .collect()
    }

    /// Whether a known target is in this data centre.
    #[must_use]
    pub fn has_data_centre(&self, data_centre: &str) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.newest.data_centre == data_centre)
    }

    /// Returns the software versions of the targets of a service that are usable, or were
    /// within the last `max_age`. The age of one that drains or has left counts from its last
    /// announcement, since it may end without another one. A version that a target replaced
    /// under its name counts from then.
    #[must_use]
    pub fn software_versions(
        &self,
        service: &str,
        max_age: Duration,
        now: Instant,
    ) -> BTreeSet<&SoftwareVersion> {
        let served_lately = |entry: &&Entry| match entry.newest.phase {
            Phase::Ready => now < entry.silent_at + max_age,
            Phase::Draining | Phase::Gone => {
                now + self.settings.retention < entry.forget_at + max_age
            }
        };
        let entries = self.entries.values().filter(served_lately);
        let of_service = entries.filter(|entry| entry.newest.service == service);
        let replaced = self.replaced_at.iter();
        let replaced = replaced.filter(|((replaced_service, _), at)| {
            replaced_service == service && now < **at + max_age
        });
        let of_service = of_service.map(|entry| &entry.newest.software);
        let replaced = replaced.map(|((_, software), _)| software);
        of_service.chain(replaced).collect()
    }

    /// Records that a target is silent, as found by another instance. Returns `false`,
    /// and changes nothing, if the target is unknown, not ready or already silent, or
    /// if a newer announcement than `silent` is known.
    pub fn mark_silent(&mut self, silent: &Announcement, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&silent.name) else {
            return false;
        };
        let live = entry.newest.phase == Phase::Ready && now < entry.silent_at;
        if !live || entry.newest.is_newer_than(silent) {
            return false;
        }
        entry.silent_at = now;
        entry.forget_at = now + self.settings.retention;
        true
    }

    /// Records that another process answers at the address of this start of a target: any
    /// other target that announces the address owns it, until this one announces again that
    /// it is ready. Returns whether there is another one.
    pub fn disown(&mut self, name: &str, start: StartTime, now: Instant) -> bool {
        let known = self.entries.get_mut(name);
        let Some(entry) = known.filter(|entry| entry.newest.start == start) else {
            return false;
        };
        entry.ready_order = 0;
        let address = entry.newest.address;
        let mut live = self.entries.values().filter(|e| now < e.silent_at);
        live.any(|e| e.newest.address == address && e.newest.name != name && e.ready_order > 0)
    }

    /// Returns the ready targets that are silent.
    pub fn silent(&self, now: Instant) -> impl Iterator<Item = &Announcement> {
        let silent = self.entries.values().filter(move |e| now >= e.silent_at);
        silent
            .map(|e| &e.newest)
            .filter(|a| a.phase == Phase::Ready)
    }

    /// Returns the targets that warm up, and until when.
    pub fn cold(&self, now: Instant) -> impl Iterator<Item = (&Announcement, Instant)> {
        let cold = self.entries.values().filter(move |e| now < e.cold_until);
        cold.map(|entry| (&entry.newest, entry.cold_until))
    }

    /// Returns the newest announcement of every known target, departed ones included,
    /// for an instance that starts with an empty registry. Merged in this order, they have
    /// the same owners of addresses there.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = Announcement> {
        let mut entries: Vec<&Entry> = self.entries.values().collect();
        entries.sort_by_key(|entry| entry.ready_order);
        entries.into_iter().map(move |entry| Announcement {
            warm_up: entry.cold_until.saturating_duration_since(now),
            ..entry.newest.clone()
        })
    }

    /// Returns the number of known targets, departed ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the newest announcement of a target.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Announcement> {
        self.entries.get(name).map(|e| &e.newest)
    }

    /// Removes the silent and departed targets whose retention time is over.
    pub fn remove_expired(&mut self, now: Instant) {
        let retention = self.settings.retention;
        self.replaced_at.retain(|_, &mut at| now < at + retention);
        self.entries.retain(|_, entry| {
            let live = entry.newest.phase != Phase::Gone && now < entry.silent_at;
            live || now < entry.forget_at
        });
    }
}
