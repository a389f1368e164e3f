//! Records what callers, operators and targets observe, and checks it against the
//! requirements.

use std::collections::{BTreeMap, BTreeSet};

use bamboospur_settings::{Accepted, Refusal};
use bamboospur_types::{TargetId, mix64};

use super::message::{CallerRequest, FinalAnswer};

/// Requirement that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    LoadBound,
    OwnAnswer,
    NotRun,
    AtMostOnce,
    Leaving,
    GracefulStop,
    Settings,
    Orders,
    /// Counted by a crate's own check.
    Internal,
}

impl ViolationKind {
    pub const fn name(self) -> &'static str {
        match self {
            Self::LoadBound => "load_bound",
            Self::OwnAnswer => "own_answer",
            Self::NotRun => "not_run",
            Self::AtMostOnce => "at_most_once",
            Self::Leaving => "leaving",
            Self::GracefulStop => "graceful_stop",
            Self::Settings => "settings",
            Self::Orders => "orders",
            Self::Internal => "internal",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub kind: ViolationKind,
    pub at_ms: u64,
    pub what: String,
}

#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub requests: u64,
    pub sends: u64,
    pub runs: u64,
    pub answered: u64,
    pub not_run: u64,
    pub unknown: u64,
    /// Runs of requests that are not repeatable.
    pub kept_runs: u64,
    pub changes: u64,
    /// Checks of an accepted change on a router.
    pub checked_changes: u64,
    pub conflicts: u64,
    pub orders: u64,
    pub leaves: u64,
    pub grants: u64,
    /// Grants above the bound while membership disagreed or an owner was just lost.
    pub excused_grants: u64,
    /// Largest load after an excused grant, in percent of the limit.
    pub worst_excused_percent: u64,
    pub stops: u64,
    pub repairs: u64,
    /// Resends answered "not run" although an earlier send of the key had run.
    pub not_run_resends: u64,
    pub faults: BTreeMap<&'static str, u64>,
    pub violations: BTreeMap<&'static str, u64>,
    /// Largest load after a grant above the bound while all routers agreed, in percent of
    /// the limit.
    pub worst_grant_percent: u64,
}

#[derive(Default)]
pub struct Oracle {
    pub violations: Vec<Violation>,
    pub tally: Tally,
    pub now_ms: u64,
    /// Runs by send.
    send_runs: BTreeMap<u64, u32>,
    /// Runs by request, for requests that are not repeatable.
    key_runs: BTreeMap<u64, u32>,
    not_run_sends: BTreeSet<u64>,
    change_answers: BTreeMap<String, Result<Accepted, Refusal>>,
    /// Id of the change accepted on each branch and base version.
    accepted_bases: BTreeMap<(String, u64), String>,
    /// Id and acceptance time in milliseconds of each accepted change, by revision.
    pub accepted: BTreeMap<u64, (String, u64)>,
    /// Time at which a leave was accepted, by target and incarnation.
    pub left_ms: BTreeMap<(TargetId, u64), u64>,
    /// Orders in progress, by engine.
    live_orders: BTreeMap<TargetId, BTreeSet<u64>>,
    started_orders: BTreeSet<u64>,
}

/// The complete answer to a request.
pub fn body_of(request: u64) -> Vec<u8> {
    let words = [mix64(request), mix64(request ^ 0x5bd1), request];
    words.iter().flat_map(|word| word.to_le_bytes()).collect()
}

impl Oracle {
    pub fn fail(&mut self, kind: ViolationKind, what: String) {
        let count = self.tally.violations.entry(kind.name()).or_default();
        *count += 1;
        // A failing run repeats its violations; the first 20 of a kind are enough.
        if *count <= 20 {
            let at_ms = self.now_ms;
            self.violations.push(Violation { kind, at_ms, what });
        }
    }

    /// Records that an engine starts to run a request.
    pub fn run_started(&mut self, request: &CallerRequest) {
        self.tally.runs += 1;
        *self.send_runs.entry(request.send_id).or_default() += 1;
        if self.not_run_sends.contains(&request.send_id) {
            self.fail(
                ViolationKind::NotRun,
                format!("send {} ran after \"not run\"", request.send_id),
            );
        }
        if request.repeatable {
            return;
        }
        self.tally.kept_runs += 1;
        let runs = self.key_runs.entry(request.request_id).or_default();
        *runs += 1;
        if *runs > 1 {
            let what = format!("key {} ran {runs} times", request.request_id);
            self.fail(ViolationKind::AtMostOnce, what);
        }
    }

    /// Records that a caller receives the final answer to a send.
    pub fn request_answered(&mut self, request: &CallerRequest, answer: &FinalAnswer) {
        match answer {
            FinalAnswer::Answered(body) => {
                self.tally.answered += 1;
                if *body != body_of(request.request_id) {
                    let what = format!("request {} got another body", request.request_id);
                    self.fail(ViolationKind::OwnAnswer, what);
                }
            }
            FinalAnswer::Unknown => self.tally.unknown += 1,
            FinalAnswer::NotRun { .. } => {
                self.tally.not_run += 1;
                self.not_run_sends.insert(request.send_id);
                if self.send_runs.contains_key(&request.send_id) {
                    self.fail(
                        ViolationKind::NotRun,
                        format!("send {} had run", request.send_id),
                    );
                }
                if self.key_runs.contains_key(&request.request_id) {
                    self.tally.not_run_resends += 1;
                }
            }
        }
    }

    pub fn change_answered(
        &mut self,
        id: &str,
        branch: &str,
        base: u64,
        answer: &Result<Accepted, Refusal>,
    ) {
        match self.change_answers.get(id) {
            Some(first) if first != answer => {
                let what = format!("a resend of {id} got {answer:?} after {first:?}");
                self.fail(ViolationKind::Settings, what);
            }
            Some(_) => return,
            None => {}
        }
        self.change_answers.insert(id.to_owned(), answer.clone());
        let Ok(accepted) = answer else {
            self.tally.conflicts += 1;
            return;
        };
        self.tally.changes += 1;
        if let Some((other, _)) = self.accepted.get(&accepted.revision) {
            let what = format!("{id} and {other} share revision {}", accepted.revision);
            self.fail(ViolationKind::Settings, what);
        }
        let key = (branch.to_owned(), base);
        if let Some(other) = self.accepted_bases.insert(key, id.to_owned()) {
            let what = format!("{id} and {other} were both accepted on {branch} {base}");
            self.fail(ViolationKind::Settings, what);
        }
        let entry = (id.to_owned(), self.now_ms);
        self.accepted.insert(accepted.revision, entry);
    }

    /// Records that an engine starts an order. Two at once are a violation at an engine
    /// that ignores fencing tokens.
    pub fn order_started(&mut self, target: TargetId, order: u64, checks_fencing: bool) {
        self.tally.orders += 1;
        if !self.started_orders.insert(order) {
            self.fail(
                ViolationKind::Orders,
                format!("order {order} started twice"),
            );
        }
        let live = self.live_orders.entry(target).or_default();
        live.insert(order);
        if live.len() > 1 && !checks_fencing {
            let what = format!("orders {live:?} are live at target {target:016x}");
            self.fail(ViolationKind::Orders, what);
        }
    }

    pub fn order_ended(&mut self, target: TargetId, order: u64) {
        self.live_orders.entry(target).or_default().remove(&order);
    }
}
