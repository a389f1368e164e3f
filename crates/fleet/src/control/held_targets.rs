//! Targets that wait until the group has accepted the version of their software.
//!
//! A stream goes on only at the software version that began it, so no version may serve
//! before every control instance that leads later knows of it: the group accepts each one
//! first. That takes one round of the replicated log for each release.

use std::collections::{BTreeMap, BTreeSet};

use bamboospur_group::{FleetState, ServiceSoftware};
use bamboospur_registry::{Announcement, Phase, StartTime, TargetName};

use crate::stream_origins::origin_at;

/// Start and sequence number of a report, which order the reports of a target.
pub type ReportNumber = (StartTime, u64);

/// Newest announcements of targets whose software is not accepted yet. `R` is what answers the
/// report of a target; the report is answered once the target can get requests.
#[derive(Clone, Debug)]
pub struct HeldTargets<R> {
    held: BTreeMap<TargetName, Announcement>,
    /// What answers the newest report of each held target that has a caller.
    replies: BTreeMap<TargetName, (ReportNumber, R)>,
}

impl<R> Default for HeldTargets<R> {
    fn default() -> Self {
        Self {
            held: BTreeMap::new(),
            replies: BTreeMap::new(),
        }
    }
}

impl<R> HeldTargets<R> {
    /// Returns an announcement that can be merged now. A ready target with software that is
    /// not accepted is held.
    pub fn admit(
        &mut self,
        announcement: Announcement,
        fleet: &FleetState,
    ) -> Option<Announcement> {
        let is_accepted = fleet.software().contains(&origin_at(&announcement));
        let known = self.held.get(&announcement.name);
        let is_newest = known.is_none_or(|known| announcement.is_newer_than(known));
        if announcement.phase != Phase::Ready || is_accepted {
            if is_newest {
                self.remove(&announcement.name);
            }
            return Some(announcement);
        }
        if is_newest {
            self.held.insert(announcement.name.clone(), announcement);
        }
        None
    }

    /// Keeps what answers a report while its target is held, and gives it back otherwise. Of
    /// several reports only the newest is answered: whoever sent an older one has sent that as
    /// well, or has ended.
    pub fn hold_reply(&mut self, name: &str, number: ReportNumber, reply: R) -> Option<R> {
        if !self.held.contains_key(name) {
            return Some(reply);
        }
        let waiting = self.replies.get(name);
        if waiting.is_none_or(|(newest, _)| number >= *newest) {
            self.replies.insert(name.to_owned(), (number, reply));
        }
        None
    }

    /// Drops a held target that leaves, and what answers its report, unless the departure is that
    /// of an earlier start.
    pub fn remove_departed(&mut self, name: &str, start: Option<StartTime>) {
        let held = self.held.get(name);
        if held.is_some_and(|held| start.is_none_or(|start| start >= held.start)) {
            self.remove(name);
        }
    }

    fn remove(&mut self, name: &str) {
        self.held.remove(name);
        self.replies.remove(name);
    }

    /// Removes and returns the targets whose software has been accepted, and what answers
    /// their reports.
    pub fn release(&mut self, fleet: &FleetState) -> (Vec<Announcement>, Vec<R>) {
        let is_accepted = |held: &Announcement| fleet.software().contains(&origin_at(held));
        let released = self.held.extract_if(.., |_, held| is_accepted(held));
        let released: Vec<Announcement> = released.map(|(_, announcement)| announcement).collect();
        let replies = released
            .iter()
            .filter_map(|announcement| self.replies.remove(&announcement.name));
        let replies = replies.map(|(_, reply)| reply).collect();
        (released, replies)
    }

    /// Returns the software that is to be accepted.
    #[must_use]
    pub fn software(&self) -> BTreeSet<ServiceSoftware> {
        self.held.values().map(origin_at).collect()
    }
}
