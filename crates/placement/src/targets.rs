//! Table of the known targets with their owners and effective weights.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, OfferId, TargetId, TargetState};

use crate::rank::{TopNodes, hash_node_id, owner_of, rendezvous_score};
use crate::request::PlacementRequest;
use crate::view::{DataCentreId, LoadReport, TargetView};

/// Fraction of its full weight that a joining target starts with. With a weight of
/// zero it would never be chosen.
const INITIAL_WEIGHT_RATIO: f64 = 0.1;

/// Steps in which the weight of a joining target grows. Each step moves the chats
/// that rank the target first from then on.
const WARM_UP_STEP_COUNT: f64 = 16.0;

/// Time after a change of owner in which a holder also declares to the previous
/// owner, because other routers may still send it reservation requests.
const OWNER_CHANGE_OVERLAP: Duration = Duration::from_secs(5);

/// Time after the first target is set in which new targets get their full weight at
/// once: they were probably running before this router started.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// A target with its owner and its time of joining.
#[derive(Debug)]
pub struct TargetEntry {
    /// Description of the target by the host.
    pub view: TargetView,
    /// Router that owns the target; `None` if its data centre has no known router.
    pub owner: Option<InstanceId>,
    /// Time of the last change of owner.
    pub owned_since: Instant,
    previous_owner: Option<InstanceId>,
    /// Time at which the target joined; `None` if it was there at the start.
    joined_at: Option<Instant>,
}

impl TargetEntry {
    /// Returns whether the target takes new work.
    pub fn takes_work(&self) -> bool {
        self.view.state == TargetState::Ready && !self.view.damped
    }

    /// Returns whether the target takes new work for `offer`.
    pub fn serves(&self, offer: Option<OfferId>) -> bool {
        self.takes_work() && offer.is_none_or(|offer| self.view.offers.contains(&offer))
    }

    /// Returns the effective capacity, in tokens, which grows to the full one during
    /// `warm_up`.
    pub fn weight(&self, warm_up: Duration, now: Instant) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "weights need no exact integers")]
        let full = self.view.capacity_tokens.max(1) as f64;
        let Some(joined_at) = self.joined_at else {
            return full;
        };
        let age = now.saturating_duration_since(joined_at).as_secs_f64();
        let progress = age / warm_up.as_secs_f64().max(1e-3);
        let step = (progress * WARM_UP_STEP_COUNT).floor() / WARM_UP_STEP_COUNT;
        full * step.clamp(INITIAL_WEIGHT_RATIO, 1.0)
    }

    /// Returns the load that the target reported, in tokens; 0 without a report.
    pub fn reported_tokens(&self) -> u64 {
        self.view.report.map_or(0, |report| report.load_tokens)
    }

    /// Returns the owners that get declarations of the holdings on the target.
    pub fn declaration_receivers(&self, now: Instant) -> impl Iterator<Item = InstanceId> + '_ {
        let overlap = now.saturating_duration_since(self.owned_since) < OWNER_CHANGE_OVERLAP;
        let previous = self.previous_owner.filter(|_| overlap);
        self.owner.into_iter().chain(previous)
    }
}

/// Best targets for a request, by rendezvous score.
#[derive(Debug)]
pub struct Ranking {
    /// Best targets in the own data centre.
    pub local: TopNodes<3>,
    /// Best targets in other data centres.
    pub remote: TopNodes<3>,
}

/// A target that takes work, with the values that the ranking scans.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    target: TargetId,
    node_hash: u64,
    weight: f64,
    same_data_centre: bool,
}

/// All known targets.
#[derive(Debug)]
pub struct Targets {
    entries: BTreeMap<TargetId, TargetEntry>,
    routers: Vec<InstanceId>,
    remote_routers: BTreeMap<DataCentreId, Vec<InstanceId>>,
    own_id: InstanceId,
    owned: Vec<TargetId>,
    /// Time at which the first target was set; `None` before.
    started_at: Option<Instant>,
    /// Candidates by offer; the list under `None` has all of them. Rebuilt after a
    /// change of a target and at every warm-up step.
    candidates: BTreeMap<Option<OfferId>, Vec<Candidate>>,
    candidates_until: Option<Instant>,
}

impl Targets {
    /// Creates the empty table of instance `own_id`.
    pub fn new(own_id: InstanceId) -> Self {
        Self {
            entries: BTreeMap::new(),
            routers: Vec::new(),
            remote_routers: BTreeMap::new(),
            own_id,
            owned: Vec::new(),
            started_at: None,
            candidates: BTreeMap::new(),
            candidates_until: None,
        }
    }

    pub fn get(&self, target: TargetId) -> Option<&TargetEntry> {
        self.entries.get(&target)
    }

    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values()
    }

    /// Returns the targets that this router owns.
    pub fn owned(&self) -> &[TargetId] {
        &self.owned
    }

    /// Returns the routers of the own data centre.
    pub fn routers(&self) -> &[InstanceId] {
        &self.routers
    }

    /// Adds or replaces a target; returns whether it is new or has restarted, so that
    /// its caches are empty.
    pub fn set(&mut self, view: TargetView, now: Instant) -> bool {
        let started_at = *self.started_at.get_or_insert(now);
        let starting = now.saturating_duration_since(started_at) < STARTUP_PERIOD;
        let known = self.entries.get(&view.id);
        let same_incarnation = known.is_some_and(|old| old.view.incarnation == view.incarnation);
        let joined_at = match known {
            Some(old) if same_incarnation => old.joined_at,
            _ => (!starting).then_some(now),
        };
        let owner = owner_of(view.id, self.routers_of(&view));
        let entry = match known {
            Some(old) if old.owner == owner => TargetEntry {
                owner,
                owned_since: old.owned_since,
                previous_owner: old.previous_owner,
                joined_at,
                view,
            },
            _ => TargetEntry {
                owner,
                owned_since: now,
                previous_owner: known.and_then(|old| old.owner),
                joined_at,
                view,
            },
        };
        self.candidates_until = None;
        let owner_changed = known.is_none_or(|old| old.owner != entry.owner);
        self.entries.insert(entry.view.id, entry);
        if owner_changed {
            self.update_owned();
        }
        !same_incarnation
    }

    /// Stores a load report; ignores it if the target is unknown.
    pub fn set_report(&mut self, target: TargetId, report: LoadReport) {
        if let Some(entry) = self.entries.get_mut(&target) {
            entry.view.report = Some(report);
        }
    }

    pub fn remove(&mut self, target: TargetId) {
        self.entries.remove(&target);
        self.candidates_until = None;
        self.update_owned();
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

    /// Ranks the targets that can run `request`, by rendezvous hashing of its chat.
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
            local: TopNodes::new(),
            remote: TopNodes::new(),
        };
        let candidates = self.candidates.get(&request.offer);
        for candidate in candidates.into_iter().flatten() {
            if request.excluded.contains(&candidate.target) {
                continue;
            }
            let score = rendezvous_score(request.chat, candidate.node_hash, candidate.weight);
            if candidate.same_data_centre {
                ranking.local.insert(score, candidate.target);
            } else {
                ranking.remote.insert(score, candidate.target);
            }
        }
        ranking
    }

    fn build_candidates(&mut self, warm_up: Duration, now: Instant) {
        self.candidates.clear();
        for entry in self.entries.values().filter(|entry| entry.takes_work()) {
            let candidate = Candidate {
                target: entry.view.id,
                node_hash: hash_node_id(entry.view.id),
                weight: entry.weight(warm_up, now),
                same_data_centre: entry.view.same_data_centre,
            };
            let offers = entry.view.offers.iter().copied().map(Some);
            for offer in offers.chain([None]) {
                self.candidates.entry(offer).or_default().push(candidate);
            }
        }
        self.candidates_until = Some(now + warm_up.div_f64(WARM_UP_STEP_COUNT));
    }

    /// Returns up to `count` candidates for `offer`, in table order from the position
    /// `start` modulo the length; `start` is random.
    pub fn sample(&self, start: u64, count: usize, offer: Option<OfferId>) -> Vec<&TargetEntry> {
        let Some(candidates) = self.candidates.get(&offer) else {
            return Vec::new();
        };
        let length = candidates.len() as u64;
        let first = usize::try_from(start % length.max(1)).unwrap_or(0);
        let rotated = candidates[first..].iter().chain(&candidates[..first]);
        let entries = rotated.filter_map(|c| self.entries.get(&c.target));
        entries.take(count).collect()
    }

    /// Returns the owner of a target; `None` if the target is unknown or has none.
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
            let new = owner_of(entry.view.id, self.routers_of(&entry.view));
            if new != entry.owner {
                entry.previous_owner = entry.owner;
                entry.owner = new;
                entry.owned_since = now;
            }
        }
        self.entries = entries;
        self.update_owned();
    }

    fn update_owned(&mut self) {
        let own = Some(self.own_id);
        let owned = self.entries.values().filter(|entry| entry.owner == own);
        self.owned = owned.map(|entry| entry.view.id).collect();
    }
}
