//! Replicated record of live orders.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_types::TargetId;

use crate::order::{Action, FencingToken, IssueOutcome, Order, OrderResult, PlannedOrder};

/// Time for which the end of a target's last order is kept. The planner does not
/// use reports older than this, so it does not need an earlier end.
pub(crate) const END_RETENTION: Duration = Duration::from_mins(10);

/// Rate limit and deadlines, from the settings in force when an order is issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLimits {
    /// Loads per minute that the weight store allows, over all targets; 0 counts
    /// as 1.
    pub loads_per_minute: u32,
    /// Time from issuing an order to its deadline.
    pub deadline: Duration,
    /// Largest difference that is expected between two clocks in the fleet.
    pub clock_drift: Duration,
}

/// Invariant violations that were detected, for the host to log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Number of violations since the start of the process.
    pub count: u64,
    /// Description of the last violation.
    pub last: Option<String>,
}

/// Result of [`Ledger::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The order has ended and its target can get the next one.
    Ended,
    /// The result is unknown: the order stays live until its deadline and the
    /// clock drift have passed.
    Kept,
    /// The order is not live, because it ended earlier or was replaced.
    NotLive,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LiveOrder {
    pub(crate) order: Order,
    pub(crate) checks_fencing: bool,
    /// Deadline plus clock drift.
    pub(crate) end: SystemTime,
}

/// Record of live orders, at most one for each target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Term of the leader that issued the last order.
    pub(crate) term: u64,
    /// Number of orders issued so far.
    pub(crate) issued: u64,
    /// Earliest time of the next load; `None` before the first one.
    pub(crate) next_load: Option<SystemTime>,
    pub(crate) live: BTreeMap<TargetId, LiveOrder>,
    /// When the last order to a target ended.
    pub(crate) ends: BTreeMap<TargetId, SystemTime>,
    pub(crate) violations: Violations,
}

impl Ledger {
    /// Returns the invariant violations detected in this process.
    #[must_use]
    pub const fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Iterates over the orders that may be running at `now`.
    pub fn live(&self, now: SystemTime) -> impl Iterator<Item = &Order> {
        let live = self.live.values().filter(move |live| live.end > now);
        live.map(|live| &live.order)
    }

    /// Records an order from the leader of `term`, unless the target has a live
    /// order or the rate limit is reached.
    pub fn issue(
        &mut self,
        term: u64,
        planned: &PlannedOrder,
        limits: &OrderLimits,
        now: SystemTime,
    ) -> IssueOutcome {
        self.remove_overdue(now);
        if term < self.term {
            return IssueOutcome::OldTerm { term: self.term };
        }
        if let Some(until) = self.blocked_until(term, planned, now) {
            return IssueOutcome::Busy { until };
        }
        let is_load = matches!(planned.action, Action::Load { .. });
        if let Some(until) = self.next_load.filter(|next| is_load && *next > now) {
            return IssueOutcome::RateLimited { until };
        }
        if is_load {
            let interval = Duration::from_mins(1) / limits.loads_per_minute.max(1);
            self.next_load = Some(now + interval);
        }
        self.term = term;
        self.issued += 1;
        let order = Order {
            id: self.issued,
            target: planned.target,
            action: planned.action.clone(),
            fencing: FencingToken {
                term,
                counter: self.issued,
            },
            deadline: now + limits.deadline,
        };
        let live = LiveOrder {
            order: order.clone(),
            checks_fencing: planned.checks_fencing,
            end: order.deadline + limits.clock_drift,
        };
        let replaced = self.live.insert(planned.target, live);
        self.record_unfenced_replacement(replaced.as_ref(), &order);
        IssueOutcome::Issued(order)
    }

    /// Records the result of an order.
    pub fn finish(
        &mut self,
        target: TargetId,
        fencing: FencingToken,
        result: OrderResult,
        now: SystemTime,
    ) -> FinishOutcome {
        self.remove_overdue(now);
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

    /// Returns the time at which the leader of `term` may issue this order;
    /// `None` when the order may be issued at once.
    ///
    /// An action is never ordered again while the same action may still be
    /// running.
    #[must_use]
    pub fn blocked_until(
        &self,
        term: u64,
        planned: &PlannedOrder,
        now: SystemTime,
    ) -> Option<SystemTime> {
        let live = self.live.get(&planned.target)?;
        let fenced = live.checks_fencing && planned.checks_fencing;
        let replaceable =
            fenced && live.order.fencing.term < term && live.order.action != planned.action;
        (live.end > now && !replaceable).then_some(live.end)
    }

    /// Returns when the last order to a target ended; `None` when no order ended
    /// or the end is no longer kept.
    #[must_use]
    pub fn ended_at(&self, target: TargetId, now: SystemTime) -> Option<SystemTime> {
        let live = self.live.get(&target).map(|live| live.end);
        let overdue = live.filter(|end| *end <= now);
        overdue.max(self.ends.get(&target).copied())
    }

    /// Returns when the weight store allows the next load; `None` before the
    /// first load.
    #[must_use]
    pub const fn next_load(&self) -> Option<SystemTime> {
        self.next_load
    }

    fn remove_overdue(&mut self, now: SystemTime) {
        let overdue = self.live.extract_if(.., |_, live| live.end <= now);
        let ended: Vec<_> = overdue.map(|(target, live)| (target, live.end)).collect();
        self.ends.extend(ended);
        let oldest = now.checked_sub(END_RETENTION).unwrap_or(UNIX_EPOCH);
        self.ends.retain(|_, end| *end > oldest);
    }

    /// Records a violation when an order replaces a live order that could still run:
    /// one of the same term, or one whose target accepts old fencing tokens.
    fn record_unfenced_replacement(&mut self, replaced: Option<&LiveOrder>, order: &Order) {
        let Some(replaced) = replaced else { return };
        let old = replaced.order.fencing;
        if replaced.checks_fencing && old.term < order.fencing.term {
            return;
        }
        let target = order.target;
        self.violations.count += 1;
        self.violations.last = Some(format!(
            "order {} was issued to target {target} while order {old} was still live",
            order.fencing
        ));
    }
}
