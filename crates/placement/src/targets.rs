//! Known targets with their owners and effective weights.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, OfferId, TargetId, TargetState};

use crate::rank::{Best, hash_node_id, owner, rendezvous_score};
use crate::request::PlacementRequest;
use crate::view::{DataCentreId, LoadReport, TargetView};

/// Smallest part of its weight that a joining target has. With nothing, it
/// would never be tried.
const FIRST_WEIGHT: f64 = 0.1;

/// Steps in which a joining target's weight grows; each step moves the chats
/// that rank it first from then on.
const WARM_UP_STEPS: f64 = 16.0;

/// Time in which a holder also declares to the previous owner, because other
/// routers may still ask it.
const OVERLAP: Duration = Duration::from_secs(5);

/// Time after the start of a router in which targets count as long known.
const START_TIME: Duration = Duration::from_secs(5);

/// A target and what this router derives from it.
#[derive(Debug)]
pub struct Entry {
    /// Description by the host.
    pub view: TargetView,
    /// Current owner of the count.
    pub owner: Option<InstanceId>,
    /// Time since which the owner keeps the count.
    pub owned_since: Instant,
    previous_owner: Option<InstanceId>,
    joined_at: Option<Instant>,
}

impl Entry {
    /// Returns whether the target takes new work.
    pub fn takes_work(&self) -> bool {
        self.view.state == TargetState::Ready && !self.view.damped
    }

    /// Returns whether the target takes new work for `offer`.
    pub fn serves(&self, offer: Option<OfferId>) -> bool {
        self.takes_work() && offer.is_none_or(|offer| self.view.offers.contains(&offer))
    }

    /// Returns the effective capacity, in tokens.
    pub fn weight(&self, warm_up: Duration, now: Instant) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "weights need no exact integers")]
        let full = self.view.capacity_tokens.max(1) as f64;
        let Some(joined_at) = self.joined_at else {
            return full;
        };
        let age = now.saturating_duration_since(joined_at).as_secs_f64();
        let part = age / warm_up.as_secs_f64().max(1e-3);
        let step = (part * WARM_UP_STEPS).floor() / WARM_UP_STEPS;
        full * step.clamp(FIRST_WEIGHT, 1.0)
    }

    /// Returns the load that the target reported, in tokens.
    pub fn reported_tokens(&self) -> u64 {
        self.view.report.map_or(0, |report| report.load_tokens)
    }

    /// Returns the instances that must know what is held on the target.
    pub fn declared_to(&self, now: Instant) -> impl Iterator<Item = InstanceId> + '_ {
        let overlap = now.saturating_duration_since(self.owned_since) < OVERLAP;
        let previous = self.previous_owner.filter(|_| overlap);
        self.owner.into_iter().chain(previous)
    }
}

/// Best targets for a request, own data centre and others apart.
#[derive(Debug)]
pub struct Ranking {
    /// Best targets in the own data centre.
    pub near: Best<3>,
    /// Best targets in other data centres.
    pub far: Best<3>,
}

/// A target that takes work, laid out for a fast scan.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    target: TargetId,
    mixed: u64,
    weight: f64,
    same_data_centre: bool,
}

/// All known targets.
#[derive(Debug)]
pub struct Targets {
    entries: BTreeMap<TargetId, Entry>,
    routers: Vec<InstanceId>,
    remote_routers: BTreeMap<DataCentreId, Vec<InstanceId>>,
    own: InstanceId,
    owned: Vec<TargetId>,
    started_at: Option<Instant>,
    /// Candidates by offer; `None` holds all. Rebuilt after changes and while
    /// weights grow.
    candidates: BTreeMap<Option<OfferId>, Vec<Candidate>>,
    candidates_until: Option<Instant>,
}

impl Targets {
    /// Creates the empty table of instance `own`.
    pub fn new(own: InstanceId) -> Self {
        Self {
            entries: BTreeMap::new(),
            routers: Vec::new(),
            remote_routers: BTreeMap::new(),
            own,
            owned: Vec::new(),
            started_at: None,
            candidates: BTreeMap::new(),
            candidates_until: None,
        }
    }

    /// Returns an entry.
    pub fn get(&self, target: TargetId) -> Option<&Entry> {
        self.entries.get(&target)
    }

    /// Returns all entries.
    pub fn all(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the targets whose counts this router keeps.
    pub fn owned(&self) -> &[TargetId] {
        &self.owned
    }

    /// Returns the routers of the own data centre.
    pub fn routers(&self) -> &[InstanceId] {
        &self.routers
    }

    /// Adds or replaces a target; returns whether its caches are new.
    pub fn set(&mut self, view: TargetView, now: Instant) -> bool {
        let started_at = *self.started_at.get_or_insert(now);
        let starting = now.saturating_duration_since(started_at) < START_TIME;
        let known = self.entries.get(&view.id);
        let same = known.is_some_and(|old| old.view.incarnation == view.incarnation);
        let joined_at = match known {
            Some(old) if same => old.joined_at,
            _ => (!starting).then_some(now),
        };
        let owner = owner(view.id, self.routers_of(&view));
        let entry = match known {
            Some(old) if old.owner == owner => Entry {
                owner,
                owned_since: old.owned_since,
                previous_owner: old.previous_owner,
                joined_at,
                view,
            },
            _ => Entry {
                owner,
                owned_since: now,
                previous_owner: known.and_then(|old| old.owner),
                joined_at,
                view,
            },
        };
        self.candidates_until = None;
        let moved = known.is_none_or(|old| old.owner != entry.owner);
        self.entries.insert(entry.view.id, entry);
        if moved {
            self.list_owned();
        }
        !same
    }

    /// Takes over a load report of a known target.
    pub fn set_report(&mut self, target: TargetId, report: LoadReport) {
        if let Some(entry) = self.entries.get_mut(&target) {
            entry.view.report = Some(report);
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, target: TargetId) {
        self.entries.remove(&target);
        self.candidates_until = None;
        self.list_owned();
    }

    /// Replaces the routers of the own data centre.
    pub fn set_routers(&mut self, routers: &[InstanceId], now: Instant) {
        self.routers = routers.to_vec();
        self.assign_owners(now);
    }

    /// Replaces the routers of another data centre.
    pub fn set_remote_routers(
        &mut self,
        data_centre: DataCentreId,
        routers: &[InstanceId],
        now: Instant,
    ) {
        self.remote_routers.insert(data_centre, routers.to_vec());
        self.assign_owners(now);
    }

    /// Ranks the targets that can run `request`, by rendezvous on its chat.
    pub fn rank(
        &mut self,
        request: &PlacementRequest<'_>,
        warm_up: Duration,
        now: Instant,
    ) -> Ranking {
        if self.candidates_until.is_none_or(|until| now >= until) {
            self.build_candidates(warm_up, now);
        }
        let mut ranking = Ranking {
            near: Best::new(),
            far: Best::new(),
        };
        let candidates = self.candidates.get(&request.offer);
        for candidate in candidates.into_iter().flatten() {
            if request.excluded.contains(&candidate.target) {
                continue;
            }
            let value = rendezvous_score(request.chat, candidate.mixed, candidate.weight);
            if candidate.same_data_centre {
                ranking.near.offer(value, candidate.target);
            } else {
                ranking.far.offer(value, candidate.target);
            }
        }
        ranking
    }

    fn build_candidates(&mut self, warm_up: Duration, now: Instant) {
        self.candidates.clear();
        for entry in self.entries.values().filter(|entry| entry.takes_work()) {
            let candidate = Candidate {
                target: entry.view.id,
                mixed: hash_node_id(entry.view.id),
                weight: entry.weight(warm_up, now),
                same_data_centre: entry.view.same_data_centre,
            };
            let offers = entry.view.offers.iter().copied().map(Some);
            for offer in offers.chain([None]) {
                self.candidates.entry(offer).or_default().push(candidate);
            }
        }
        self.candidates_until = Some(now + warm_up.div_f64(WARM_UP_STEPS));
    }

    /// Draws up to `count` targets for `offer` from a random place on.
    pub fn draw(&self, start: u64, count: usize, offer: Option<OfferId>) -> Vec<&Entry> {
        let Some(candidates) = self.candidates.get(&offer) else {
            return Vec::new();
        };
        let length = candidates.len() as u64;
        let first = usize::try_from(start % length.max(1)).unwrap_or(0);
        let around = candidates[first..].iter().chain(&candidates[..first]);
        let entries = around.filter_map(|c| self.entries.get(&c.target));
        entries.take(count).collect()
    }

    /// Returns the owner of a target's count.
    pub fn owner(&self, target: TargetId) -> Option<InstanceId> {
        self.entries.get(&target)?.owner
    }

    fn routers_of(&self, view: &TargetView) -> &[InstanceId] {
        if view.same_data_centre {
            return &self.routers;
        }
        self.remote_routers
            .get(&view.data_centre)
            .map_or(&[], Vec::as_slice)
    }

    fn assign_owners(&mut self, now: Instant) {
        let mut entries = std::mem::take(&mut self.entries);
        for entry in entries.values_mut() {
            let new = owner(entry.view.id, self.routers_of(&entry.view));
            if new != entry.owner {
                entry.previous_owner = entry.owner;
                entry.owner = new;
                entry.owned_since = now;
            }
        }
        self.entries = entries;
        self.list_owned();
    }

    fn list_owned(&mut self) {
        let own = Some(self.own);
        let owned = self.entries.values().filter(|entry| entry.owner == own);
        self.owned = owned.map(|entry| entry.view.id).collect();
    }
}
