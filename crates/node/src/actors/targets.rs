//! Targets as the router knows them, with their addresses and circuit breakers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_crashes::TargetStartId;
use bamboospur_membership::MemberState;
use bamboospur_placement::{LoadReport, TargetView};
use bamboospur_retries::{Breaker, BreakerSettings};
use bamboospur_types::{Offer, OfferId, TargetId, TargetKind, TargetState, mix64, stable_id};

/// Part of its capacity with which a limited target counts. With all of it the target would
/// count as idle in the mean load, and the others would seem to be above their bound.
const LIMITED_CAPACITY_DIVISOR: u64 = 8;

/// One target as the router sees it.
#[derive(Debug)]
pub struct Target {
    /// Name, unique in the fleet.
    pub name: String,
    /// Pool that the target belongs to.
    pub pool: String,
    /// Engine or service.
    pub kind: TargetKind,
    /// Address for requests.
    pub address: SocketAddr,
    /// View that the placer uses; includes drains by operators.
    pub view: TargetView,
    /// State that membership reports, without drains by operators.
    pub state: TargetState,
    /// Whether an operator drains the target.
    pub drained: bool,
    /// Whether the target states a limit on its requests.
    limited: bool,
    /// Circuit breaker, new for each incarnation of the target.
    pub breaker: Breaker,
}

impl Target {
    /// Returns the identity of this start of the target.
    #[must_use]
    pub fn start_id(&self) -> TargetStartId {
        mix64(self.view.id ^ mix64(self.view.incarnation))
    }

    /// Stops new work until membership reports the target again.
    pub const fn suspend(&mut self) {
        self.view.state = TargetState::Draining;
    }

    /// Sets whether an operator drains the target; a drained target gets no new work.
    pub const fn set_drained(&mut self, drained: bool) {
        self.drained = drained;
        self.view.state = match self.state {
            TargetState::Ready if drained => TargetState::Draining,
            state => state,
        };
    }
}

/// All known targets by id.
#[derive(Debug, Default)]
pub struct Targets {
    entries: BTreeMap<TargetId, Target>,
}

impl Targets {
    /// Adds or updates a target and returns its entry.
    pub fn set(
        &mut self,
        known: &bamboospur_membership::TargetView,
        own_data_centre: &str,
        drained: bool,
    ) -> &Target {
        let record = &known.record;
        let view = placement_view(known, own_data_centre);
        let state = view.state;
        let entry = self.entries.entry(known.id).or_insert_with(|| Target {
            name: record.name.clone(),
            pool: record.pool.clone(),
            kind: record.kind,
            address: record.address,
            view: view.clone(),
            state,
            drained,
            limited: false,
            breaker: Breaker::new(BreakerSettings::default()),
        });
        if entry.view.incarnation != view.incarnation {
            entry.breaker = Breaker::new(BreakerSettings::default());
            entry.limited = false;
        }
        entry.pool.clone_from(&record.pool);
        entry.kind = record.kind;
        entry.address = record.address;
        entry.view = view;
        if entry.limited {
            entry.view.capacity_tokens = limited_capacity(record.capacity_tokens);
        }
        entry.state = state;
        entry.set_drained(drained);
        entry
    }

    /// Removes a target and returns its entry; `None` if it is not known.
    pub fn remove(&mut self, id: TargetId) -> Option<Target> {
        self.entries.remove(&id)
    }

    /// Returns a target; `None` if it is not known.
    #[must_use]
    pub fn get(&self, id: TargetId) -> Option<&Target> {
        self.entries.get(&id)
    }

    /// Returns a mutable target; `None` if it is not known.
    pub fn get_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        self.entries.get_mut(&id)
    }

    /// Returns the target with this start; `None` if it has started again.
    pub fn find_start(&mut self, start: TargetStartId) -> Option<&mut Target> {
        let mut entries = self.entries.values_mut();
        entries.find(|target| target.start_id() == start)
    }

    /// Iterates over the targets of a pool.
    pub fn in_pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Target> {
        self.entries.values().filter(move |t| t.pool == pool)
    }

    /// Returns the targets of a pool whose breaker is open.
    #[must_use]
    pub fn with_open_breaker(&self, pool: &str, now: Instant) -> Vec<TargetId> {
        let refusing = self.in_pool(pool).filter(|t| t.breaker.refuses(now));
        refusing.map(|t| t.view.id).collect()
    }

    /// Sets which targets operators drain, and returns the changed views, each with
    /// the name of its pool.
    pub fn set_drained(&mut self, drained: impl Fn(&str) -> bool) -> Vec<(String, TargetView)> {
        let mut changed = Vec::new();
        for target in self.entries.values_mut() {
            let wanted = drained(&target.name);
            if target.drained != wanted {
                target.set_drained(wanted);
                changed.push((target.pool.clone(), target.view.clone()));
            }
        }
        changed
    }

    /// Sets which targets state a limit, and returns the changed views, each with the name of
    /// its pool.
    pub fn set_limited(
        &mut self,
        limited: impl Fn(TargetStartId) -> bool,
    ) -> Vec<(String, TargetView)> {
        let mut changed = Vec::new();
        for target in self.entries.values_mut() {
            let wanted = limited(target.start_id());
            if target.limited != wanted {
                target.limited = wanted;
                let capacity = &mut target.view.capacity_tokens;
                *capacity = if wanted {
                    limited_capacity(*capacity)
                } else {
                    capacity.saturating_mul(LIMITED_CAPACITY_DIVISOR)
                };
                changed.push((target.pool.clone(), target.view.clone()));
            }
        }
        changed
    }

    /// Iterates over all targets.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.entries.values()
    }
}

const fn limited_capacity(capacity_tokens: u64) -> u64 {
    capacity_tokens / LIMITED_CAPACITY_DIVISOR
}

fn placement_view(known: &bamboospur_membership::TargetView, own_data_centre: &str) -> TargetView {
    let record = &known.record;
    let state = match known.state {
        MemberState::Ready => TargetState::Ready,
        MemberState::Suspect | MemberState::Draining => TargetState::Draining,
        MemberState::Dead | MemberState::Left => TargetState::Gone,
    };
    TargetView {
        id: known.id,
        incarnation: record.incarnation,
        data_centre: stable_id(&record.data_centre),
        same_data_centre: record.data_centre == own_data_centre,
        offers: offer_ids(&record.offers),
        capacity_tokens: record.capacity_tokens,
        capacity_requests: record.capacity_requests,
        report: Some(LoadReport {
            load_tokens: known.load.tokens,
            load_requests: known.load.requests,
            taken_at: known.load_updated_at,
        }),
        state,
        damped: state == TargetState::Ready && !known.takes_work,
    }
}

/// Returns the ids of all names by which callers may request the offers. A name
/// without a version matches every version.
fn offer_ids(offers: &[Offer]) -> Vec<OfferId> {
    let mut ids = Vec::new();
    for offer in offers {
        let mut any_version = offer.clone();
        any_version.version = String::new();
        ids.push(offer.id());
        ids.push(any_version.id());
    }
    ids.sort_unstable();
    ids.dedup();
    ids
}
