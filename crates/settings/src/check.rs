//! Checks of a branch against the rest of the tree.

use std::collections::BTreeSet;
use std::fmt::Display;

use bamboospur_types::{TargetKind, stable_id};
use quick_error::quick_error;

use crate::branch::{BranchContent, BranchName};
use crate::fleet::{Fleet, Model, Role};
use crate::path::quoted;
use crate::team::{ModelUse, Team};
use crate::tree::Tree;

/// Longest name of a team, pool, model, version, adapter, key or operator, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
const MAX_PRIORITY: u8 = 9;
/// One day; a longer wait is refused, as it is most likely in the wrong unit.
const MAX_WAIT_MS: u64 = 24 * 60 * 60 * 1000;
const MAX_CLAIM_VALIDITY_MS: u64 = 7 * MAX_WAIT_MS;

quick_error! {
    /// Value that is not valid in the tree.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum CheckError {
        /// The value at a path is not valid.
        Invalid { path: String, value: String, remedy: String } {
            display("{path} = {value} is not valid: {remedy}")
        }
    }
}

type CheckResult = Result<(), CheckError>;

fn invalid(path: impl Into<String>, value: impl Display, remedy: impl Into<String>) -> CheckResult {
    Err(CheckError::Invalid {
        path: path.into(),
        value: value.to_string(),
        remedy: remedy.into(),
    })
}

/// Checks the new content of a branch together with the rest of the tree.
pub(crate) fn check_branch(tree: &Tree, name: &BranchName, content: &BranchContent) -> CheckResult {
    match (name, content) {
        (BranchName::Fleet, BranchContent::Fleet(fleet)) => {
            check_fleet(fleet)?;
            let mut teams = tree.teams();
            teams.try_for_each(|(team_name, team)| check_models(fleet, team_name, team))
        }
        (BranchName::Team(team_name), BranchContent::Team(team)) => {
            check_name("teams", team_name)?;
            check_team_id(tree, team_name)?;
            check_team(team_name, team)?;
            check_keys(tree, team_name, team)?;
            check_models(tree.fleet(), team_name, team)
        }
        _ => invalid(
            name.to_string(),
            "content of another kind",
            "send content of this branch",
        ),
    }
}

fn check_name(path: &str, name: &str) -> CheckResult {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        let remedy = format!(
            "use a name of 1 to {MAX_NAME_BYTES} letters, digits and the characters - _ . :"
        );
        return invalid(path, format!("{name:?}"), remedy);
    }
    Ok(())
}

fn check_range(path: impl Into<String>, value: u64, low: u64, high: u64) -> CheckResult {
    if value < low || value > high {
        return invalid(path, value, format!("use a value from {low} to {high}"));
    }
    Ok(())
}

fn check_fleet(fleet: &Fleet) -> CheckResult {
    check_range(
        "fleet.balancer_drain_ms",
        fleet.balancer_drain_ms,
        0,
        600_000,
    )?;
    let validity = fleet.claim_validity_ms;
    check_range(
        "fleet.claim_validity_ms",
        validity,
        1000,
        MAX_CLAIM_VALIDITY_MS,
    )?;
    check_defaults(fleet)?;
    for (name, pool) in &fleet.pools {
        check_name("fleet.pools", name)?;
        let path = format!("fleet.pools.{}.load_bound_percent", quoted(name));
        check_range(path, u64::from(pool.load_bound_percent), 101, 1000)?;
    }
    for (name, model) in &fleet.models {
        check_name("fleet.models", name)?;
        check_model(fleet, name, model)?;
    }
    for name in fleet.drained.keys() {
        check_name("fleet.drained", name)?;
    }
    check_operators(fleet)
}

fn check_defaults(fleet: &Fleet) -> CheckResult {
    let limits = &fleet.limits;
    check_range(
        "fleet.limits.requests",
        u64::from(limits.requests),
        1,
        1_000_000,
    )?;
    check_range("fleet.limits.work_tokens", limits.work_tokens, 1, 1 << 40)?;
    let per_minute = limits.work_tokens_per_minute;
    check_range(
        "fleet.limits.work_tokens_per_minute",
        per_minute,
        1,
        1 << 40,
    )?;
    let retry = &fleet.retry;
    check_range(
        "fleet.retry.budget_percent",
        u64::from(retry.budget_percent),
        0,
        100,
    )?;
    check_range("fleet.retry.attempts", u64::from(retry.attempts), 1, 10)?;
    check_range(
        "fleet.retry.backoff_base_ms",
        retry.backoff_base_ms,
        1,
        MAX_WAIT_MS,
    )?;
    let base = retry.backoff_base_ms;
    check_range(
        "fleet.retry.backoff_cap_ms",
        retry.backoff_cap_ms,
        base,
        MAX_WAIT_MS,
    )?;
    let orders = &fleet.orders;
    let loads = u64::from(orders.loads_per_minute);
    check_range("fleet.orders.loads_per_minute", loads, 1, 10_000)?;
    check_range(
        "fleet.orders.deadline_ms",
        orders.deadline_ms,
        1000,
        MAX_WAIT_MS,
    )?;
    check_range(
        "fleet.orders.clock_drift_ms",
        orders.clock_drift_ms,
        0,
        600_000,
    )
}

fn check_model(fleet: &Fleet, name: &str, model: &Model) -> CheckResult {
    let path = format!("fleet.models.{}", quoted(name));
    match fleet.pools.get(&model.pool) {
        None => {
            let remedy = "name a pool that exists, or add it under fleet.pools first";
            return invalid(format!("{path}.pool"), &model.pool, remedy);
        }
        Some(pool) if pool.kind != TargetKind::Engine => {
            let remedy = "name a pool of kind \"engine\"";
            return invalid(format!("{path}.pool"), &model.pool, remedy);
        }
        Some(_) => {}
    }
    for (version, wanted) in &model.versions {
        check_name(&format!("{path}.versions"), version)?;
        let version_path = format!("{path}.versions.{}", quoted(version));
        let replicas = u64::from(wanted.replicas.unwrap_or_default());
        check_range(format!("{version_path}.replicas"), replicas, 0, 100_000)?;
        for adapter in &wanted.adapters {
            check_name(&format!("{version_path}.adapters"), adapter)?;
        }
    }
    Ok(())
}

fn check_operators(fleet: &Fleet) -> CheckResult {
    let mut tokens = BTreeSet::new();
    for (name, operator) in &fleet.operators {
        check_name("fleet.operators", name)?;
        if !tokens.insert(operator.token_hash) {
            let path = format!("fleet.operators.{}.token_hash", quoted(name));
            return invalid(path, "(redacted)", "give each operator another token");
        }
    }
    let mut roles = fleet.operators.values().map(|operator| operator.role);
    if !fleet.operators.is_empty() && !roles.any(|role| role == Role::Admin) {
        let remedy = "keep one operator of role \"admin\", or nobody can change the fleet";
        return invalid("fleet.operators", "no admin", remedy);
    }
    Ok(())
}

/// Teams are addressed by a hash of their name, so no two names may have the same hash.
fn check_team_id(tree: &Tree, name: &str) -> CheckResult {
    if tree.team(name).is_some() {
        return Ok(());
    }
    let id = stable_id(name);
    let clash = tree.teams().find(|(other, _)| stable_id(other) == id);
    match clash {
        Some((other, _)) => invalid(
            "teams",
            name,
            format!("its id is that of {other}; rename it"),
        ),
        None => Ok(()),
    }
}

fn check_team(name: &str, team: &Team) -> CheckResult {
    let path = format!("teams.{}", quoted(name));
    let priority = u64::from(team.priority);
    check_range(
        format!("{path}.priority"),
        priority,
        0,
        u64::from(MAX_PRIORITY),
    )?;
    let share = &team.share;
    if let Some(requests) = share.requests {
        check_range(
            format!("{path}.share.requests"),
            u64::from(requests),
            1,
            1_000_000,
        )?;
    }
    if let Some(work) = share.work_tokens {
        check_range(format!("{path}.share.work_tokens"), work, 1, 1 << 40)?;
    }
    if let Some(work) = share.work_tokens_per_minute {
        check_range(
            format!("{path}.share.work_tokens_per_minute"),
            work,
            1,
            1 << 40,
        )?;
    }
    Ok(())
}

fn check_keys(tree: &Tree, name: &str, team: &Team) -> CheckResult {
    let mut hashes = BTreeSet::new();
    for (key_name, hash) in team.keys.iter() {
        let path = format!("teams.{}.keys", quoted(name));
        check_name(&path, key_name)?;
        let owner = tree.key_owner(hash).filter(|owner| *owner != name);
        if !hashes.insert(hash) || owner.is_some() {
            let owner = owner.unwrap_or(name);
            let remedy = format!("team {owner} has the same key; make a new one");
            return invalid(format!("{path}.{}", quoted(key_name)), "(redacted)", remedy);
        }
    }
    Ok(())
}

fn check_models(fleet: &Fleet, team_name: &str, team: &Team) -> CheckResult {
    for (model_name, used) in team.models.iter() {
        let path = format!("teams.{}.models.{}", quoted(team_name), quoted(model_name));
        let Some(model) = fleet.models.get(model_name) else {
            let remedy = "name a model of fleet.models, or take it from the team first";
            return invalid(path, model_name, remedy);
        };
        check_versions(&path, model, used)?;
    }
    Ok(())
}

fn check_versions(path: &str, model: &Model, used: &ModelUse) -> CheckResult {
    for version in &used.versions {
        if !model.versions.contains_key(&**version) {
            let remedy = "name a version of the model, or take it from the team first";
            return invalid(format!("{path}.versions"), version, remedy);
        }
    }
    let may_use = |version: &str| {
        used.versions.is_empty() || used.versions.iter().any(|name| **name == *version)
    };
    for adapter in &used.adapters {
        let mut usable = model.versions.iter().filter(|(name, _)| may_use(name));
        if !usable.any(|(_, version)| version.adapters.iter().any(|name| **name == **adapter)) {
            let remedy = "name an adapter of a version that the team may use";
            return invalid(format!("{path}.adapters"), adapter, remedy);
        }
    }
    Ok(())
}
