//! Comparison of the desired state with what engines report.
//!
//! Versions that are managed share the engines of a pool, one version on each
//! engine. An engine that has a version loaded keeps it when possible. Versions
//! and models that are not managed are left alone, so that engines that choose
//! their own model need no orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use bamboospur_types::{Offer, TargetId, mix64};

use crate::ledger::Ledger;
use crate::order::{Action, PlannedOrder};

/// Oldest report that is used; engines report every few seconds.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(30);

/// A managed version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredVersion {
    /// Model and version, without an adapter.
    pub offer: Offer,
    /// Engines that have it loaded.
    pub replicas: u32,
    /// Role of these engines.
    pub role: String,
    /// Adapters loaded with it.
    pub adapters: Vec<String>,
}

/// Managed versions by the name of the pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// Managed versions by the name of the pool.
    pub pools: BTreeMap<String, Vec<DesiredVersion>>,
}

/// What an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Time at which the engine was asked.
    pub at: SystemTime,
    /// Pool of the engine.
    pub pool: String,
    /// What is loaded.
    pub offers: BTreeSet<Offer>,
    /// Role of the engine.
    pub role: String,
    /// Whether the engine is ready and runs no order; others get no orders.
    pub ready: bool,
    /// Whether the engine refuses old fencing tokens.
    pub checks_fencing: bool,
}

/// Last report of each engine.
pub type Reports = BTreeMap<TargetId, Report>;

/// Returns the next order for each engine that needs one and may get one from
/// the leader of a term. Loads that the pace does not allow yet are left out.
#[must_use]
pub fn plan(
    desired: &DesiredState,
    reports: &Reports,
    ledger: &Ledger,
    term: u64,
    now: SystemTime,
) -> Vec<PlannedOrder> {
    let mut orders = Vec::new();
    for (pool, versions) in &desired.pools {
        let engines = reports.iter();
        let engines = engines.filter(|(_, report)| report.pool == *pool && is_fresh(report, now));
        let engines: BTreeMap<TargetId, &Report> = engines.map(|(id, r)| (*id, r)).collect();
        let assigned = assign(versions, &engines);
        for (target, report) in &engines {
            let version = assigned.get(target).copied();
            orders.extend(
                next_action(version, versions, report).map(|action| PlannedOrder {
                    target: *target,
                    action,
                    checks_fencing: report.checks_fencing,
                }),
            );
        }
    }
    orders.retain(|order| {
        let report = reports.get(&order.target);
        let ended = ledger.ended_at(order.target, now);
        let seen_since = report.is_some_and(|report| ended.is_none_or(|end| report.at > end));
        seen_since && ledger.blocked_until(term, order, now).is_none()
    });
    paced(orders, ledger, now)
}

/// Keeps one load at most: the pace allows the next one only after an interval.
fn paced(mut orders: Vec<PlannedOrder>, ledger: &Ledger, now: SystemTime) -> Vec<PlannedOrder> {
    let mut allowed = ledger.next_load().is_none_or(|next| next <= now);
    orders.retain(|order| {
        let load = matches!(order.action, Action::Load { .. });
        !load || std::mem::take(&mut allowed)
    });
    orders
}

fn is_fresh(report: &Report, now: SystemTime) -> bool {
    let age = now.duration_since(report.at).unwrap_or_default();
    report.ready && age <= MAX_REPORT_AGE
}

/// Chooses the engines of each version, at most one version for an engine.
fn assign<'a>(
    versions: &'a [DesiredVersion],
    engines: &BTreeMap<TargetId, &Report>,
) -> BTreeMap<TargetId, &'a DesiredVersion> {
    let mut assigned = BTreeMap::new();
    for version in versions {
        let loaded = engines.iter();
        let loaded = loaded.filter(|(_, report)| report.offers.contains(&version.offer));
        take(&mut assigned, version, loaded.map(|(target, _)| *target));
    }
    for version in versions {
        let idle = engines.iter();
        let idle = idle.filter(|(_, report)| !report.offers.contains(&version.offer));
        take(&mut assigned, version, idle.map(|(target, _)| *target));
    }
    assigned
}

/// Adds engines to a version until it has enough, lowest hash first.
fn take<'a>(
    assigned: &mut BTreeMap<TargetId, &'a DesiredVersion>,
    version: &'a DesiredVersion,
    candidates: impl Iterator<Item = TargetId>,
) {
    let has = assigned.values().filter(|has| **has == version).count();
    let wanted = usize::try_from(version.replicas).unwrap_or(usize::MAX);
    let offer = version.offer.id();
    let free = candidates.filter(|target| !assigned.contains_key(target));
    let mut free: Vec<TargetId> = free.collect();
    free.sort_unstable_by_key(|target| (mix64(target ^ offer), *target));
    free.truncate(wanted.saturating_sub(has));
    assigned.extend(free.into_iter().map(|target| (target, version)));
}

fn next_action(
    version: Option<&DesiredVersion>,
    versions: &[DesiredVersion],
    report: &Report,
) -> Option<Action> {
    let surplus = versions.iter().map(|managed| &managed.offer);
    let mut surplus =
        surplus.filter(|offer| version.is_none_or(|version| version.offer != **offer));
    if let Some(offer) = surplus.find(|offer| report.offers.contains(offer)) {
        let offer = offer.clone();
        return Some(Action::Unload { offer });
    }
    let version = version?;
    if report.role != version.role {
        let role = version.role.clone();
        return Some(Action::Role { role });
    }
    if !report.offers.contains(&version.offer) {
        let offer = version.offer.clone();
        return Some(Action::Load { offer });
    }
    adapter_action(version, report)
}

fn adapter_action(version: &DesiredVersion, report: &Report) -> Option<Action> {
    let offer = |adapter: &str| Offer {
        adapter: Some(adapter.to_owned()),
        ..version.offer.clone()
    };
    let wanted: BTreeSet<Offer> = version.adapters.iter().map(|name| offer(name)).collect();
    if let Some(missing) = wanted.difference(&report.offers).next() {
        let offer = missing.clone();
        return Some(Action::Load { offer });
    }
    let mut loaded = report.offers.iter().filter(|offer| {
        let same = offer.model == version.offer.model && offer.version == version.offer.version;
        same && offer.adapter.is_some()
    });
    let offer = loaded.find(|offer| !wanted.contains(offer))?.clone();
    Some(Action::Unload { offer })
}
