//! Replicated record of live orders.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_types::TargetId;

use crate::order::{Action, FencingToken, IssueOutcome, Order, OrderResult, PlannedOrder};

/// Time for which the end of a target's last order is kept. Reports older than
/// this are not used, so that the end is not needed any longer.
pub(crate) const ENDS_KEPT: Duration = Duration::from_mins(10);

/// Pace and deadlines, from the settings in force when an order is issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLimits {
    /// Loads a minute that the weight store allows.
    pub loads_per_minute: u32,
    /// Time from issuing an order to its deadline.
    pub deadline: Duration,
    /// Largest difference between two clocks in the fleet.
    pub clock_drift: Duration,
}

/// Invariants that were found broken, for the host to log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Number of violations since the start of the process.
    pub count: u64,
    /// What the last one was.
    pub last: Option<String>,
}

/// Answer to the report of an order's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The order has ended.
    Ended,
    /// The order stays live until its deadline and the drift have passed.
    Kept,
    /// The order is not live: it ended before or was replaced.
    NotLive,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Live {
    pub(crate) order: Order,
    pub(crate) checks_fencing: bool,
    /// Deadline and clock drift.
    pub(crate) end: SystemTime,
}

/// Live orders, one for each target at most.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub(crate) term: u64,
    pub(crate) issued: u64,
    pub(crate) next_load: Option<SystemTime>,
    pub(crate) live: BTreeMap<TargetId, Live>,
    /// When the last order to a target ended.
    pub(crate) ends: BTreeMap<TargetId, SystemTime>,
    pub(crate) violations: Violations,
}

impl Ledger {
    /// Returns the invariants that were found broken in this process.
    #[must_use]
    pub const fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Iterates over the orders that may be running at a time.
    pub fn live(&self, now: SystemTime) -> impl Iterator<Item = &Order> {
        let live = self.live.values().filter(move |live| live.end > now);
        live.map(|live| &live.order)
    }

    /// Records an order of the leader of a term.
    pub fn issue(
        &mut self,
        term: u64,
        wanted: &PlannedOrder,
        pace: &OrderLimits,
        now: SystemTime,
    ) -> IssueOutcome {
        self.end_overdue(now);
        if term < self.term {
            return IssueOutcome::OldTerm { term: self.term };
        }
        if let Some(until) = self.blocked_until(term, wanted, now) {
            return IssueOutcome::Busy { until };
        }
        let load = matches!(wanted.action, Action::Load { .. });
        if let Some(until) = self.next_load.filter(|next| load && *next > now) {
            return IssueOutcome::RateLimited { until };
        }
        if load {
            let interval = Duration::from_mins(1) / pace.loads_per_minute.max(1);
            self.next_load = Some(now + interval);
        }
        self.term = term;
        self.issued += 1;
        let order = Order {
            id: self.issued,
            target: wanted.target,
            action: wanted.action.clone(),
            fencing: FencingToken {
                term,
                counter: self.issued,
            },
            deadline: now + pace.deadline,
        };
        let live = Live {
            order: order.clone(),
            checks_fencing: wanted.checks_fencing,
            end: order.deadline + pace.clock_drift,
        };
        let replaced = self.live.insert(wanted.target, live);
        self.assert_fenced(replaced.as_ref(), &order);
        IssueOutcome::Issued(order)
    }

    /// Records what became of an order.
    pub fn finish(
        &mut self,
        target: TargetId,
        fencing: FencingToken,
        result: OrderResult,
        now: SystemTime,
    ) -> FinishOutcome {
        self.end_overdue(now);
        let live = self.live.get(&target);
        if live.is_none_or(|live| live.order.fencing != fencing) {
            return FinishOutcome::NotLive;
        }
        if result == OrderResult::Unknown {
            return FinishOutcome::Kept;
        }
        self.live.remove(&target);
        self.ends.insert(target, now);
        FinishOutcome::Ended
    }

    /// Returns when a target may get this order from the leader of a term;
    /// `None` for now.
    ///
    /// The same action is never ordered again while it may be running.
    #[must_use]
    pub fn blocked_until(
        &self,
        term: u64,
        wanted: &PlannedOrder,
        now: SystemTime,
    ) -> Option<SystemTime> {
        let live = self.live.get(&wanted.target)?;
        let fenced = live.checks_fencing && wanted.checks_fencing;
        let replaceable =
            fenced && live.order.fencing.term < term && live.order.action != wanted.action;
        (live.end > now && !replaceable).then_some(live.end)
    }

    /// Returns when the last order to a target ended; `None` when that is
    /// unknown or long ago.
    #[must_use]
    pub fn ended_at(&self, target: TargetId, now: SystemTime) -> Option<SystemTime> {
        let live = self.live.get(&target).map(|live| live.end);
        let overdue = live.filter(|end| *end <= now);
        overdue.max(self.ends.get(&target).copied())
    }

    /// Returns when the weight store allows the next load.
    #[must_use]
    pub const fn next_load(&self) -> Option<SystemTime> {
        self.next_load
    }

    fn end_overdue(&mut self, now: SystemTime) {
        let overdue = self.live.extract_if(.., |_, live| live.end <= now);
        let ended: Vec<_> = overdue.map(|(target, live)| (target, live.end)).collect();
        self.ends.extend(ended);
        let oldest = now.checked_sub(ENDS_KEPT).unwrap_or(UNIX_EPOCH);
        self.ends.retain(|_, end| *end > oldest);
    }

    fn assert_fenced(&mut self, replaced: Option<&Live>, order: &Order) {
        let Some(replaced) = replaced else { return };
        let old = replaced.order.fencing;
        if replaced.checks_fencing && old.term < order.fencing.term {
            return;
        }
        let target = order.target;
        self.violations.count += 1;
        self.violations.last = Some(format!(
            "target {target} got order {} while order {old} was live",
            order.fencing
        ));
    }
}
