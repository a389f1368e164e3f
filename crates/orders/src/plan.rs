//! Comparison of the desired state with the reports of engines.
//!
//! The managed versions of a pool are spread over its engines, one version on
//! each engine. An engine that has a managed version loaded keeps that version
//! when possible. Versions and models that are not managed are never loaded or
//! unloaded, so that engines may choose their own model.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use bamboospur_types::{Offer, TargetId, mix64};

use crate::ledger::Ledger;
use crate::order::{Action, PlannedOrder};

/// Age above which a report is not used; engines report every few seconds.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(30);

/// A managed version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredVersion {
    /// Model and version, without an adapter.
    pub offer: Offer,
    /// Number of engines that should have the version loaded.
    pub replicas: u32,
    /// Role that these engines should have.
    pub role: String,
    /// Names of the adapters to load with the version.
    pub adapters: Vec<String>,
}

/// State that the engines should have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// Managed versions by the name of the pool. Engines are assigned to the
    /// versions of a pool in this order.
    pub pools: BTreeMap<String, Vec<DesiredVersion>>,
}

/// State that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Time at which the report was requested.
    pub requested_at: SystemTime,
    /// Pool of the engine.
    pub pool: String,
    /// Versions and adapters that are loaded.
    pub offers: BTreeSet<Offer>,
    /// Role of the engine.
    pub role: String,
    /// Whether the engine is ready and runs no order. An engine that is not gets
    /// no orders.
    pub ready: bool,
    /// Whether the engine refuses old fencing tokens.
    pub checks_fencing: bool,
}

/// Last report of each engine.
pub type Reports = BTreeMap<TargetId, Report>;

/// Returns the next order for each engine that needs one and may get one from
/// the leader of `term`. Loads that the rate limit does not allow yet are left
/// out.
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
        let reported_since_end =
            report.is_some_and(|report| ended.is_none_or(|end| report.requested_at > end));
        reported_since_end && ledger.blocked_until(term, order, now).is_none()
    });
    limit_loads(orders, ledger, now)
}

/// Keeps at most one load, and none before the ledger allows the next one.
fn limit_loads(
    mut orders: Vec<PlannedOrder>,
    ledger: &Ledger,
    now: SystemTime,
) -> Vec<PlannedOrder> {
    let mut load_allowed = ledger.next_load().is_none_or(|next| next <= now);
    orders.retain(|order| {
        let is_load = matches!(order.action, Action::Load { .. });
        !is_load || std::mem::take(&mut load_allowed)
    });
    orders
}

fn is_fresh(report: &Report, now: SystemTime) -> bool {
    let age = now.duration_since(report.requested_at).unwrap_or_default();
    report.ready && age <= MAX_REPORT_AGE
}

/// Assigns engines to each version, at most one version to an engine. Engines
/// that have the version loaded come first.
fn assign<'a>(
    versions: &'a [DesiredVersion],
    engines: &BTreeMap<TargetId, &Report>,
) -> BTreeMap<TargetId, &'a DesiredVersion> {
    let mut assigned = BTreeMap::new();
    for version in versions {
        let loaded = engines.iter();
        let loaded = loaded.filter(|(_, report)| report.offers.contains(&version.offer));
        assign_engines(&mut assigned, version, loaded.map(|(target, _)| *target));
    }
    for version in versions {
        let not_loaded = engines.iter();
        let not_loaded = not_loaded.filter(|(_, report)| !report.offers.contains(&version.offer));
        assign_engines(
            &mut assigned,
            version,
            not_loaded.map(|(target, _)| *target),
        );
    }
    assigned
}

/// Assigns free engines to a version until it has enough replicas, in the order
/// of a hash of engine and version.
fn assign_engines<'a>(
    assigned: &mut BTreeMap<TargetId, &'a DesiredVersion>,
    version: &'a DesiredVersion,
    candidates: impl Iterator<Item = TargetId>,
) {
    let assigned_count = assigned.values().filter(|has| **has == version).count();
    let wanted_count = usize::try_from(version.replicas).unwrap_or(usize::MAX);
    let offer = version.offer.id();
    let free = candidates.filter(|target| !assigned.contains_key(target));
    let mut free: Vec<TargetId> = free.collect();
    free.sort_unstable_by_key(|target| (mix64(target ^ offer), *target));
    free.truncate(wanted_count.saturating_sub(assigned_count));
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
        let same_version =
            offer.model == version.offer.model && offer.version == version.offer.version;
        same_version && offer.adapter.is_some()
    });
    let offer = loaded.find(|offer| !wanted.contains(offer))?.clone();
    Some(Action::Unload { offer })
}
