//! Plans and sends the orders to engines, on the leader.

use std::time::{Instant, SystemTime};

use bamboospur_orders::{IssueOutcome, MAX_REPORT_AGE, Report, Reports, plan};
use bamboospur_types::TargetId;

use crate::command::{Command, Reply};
use crate::desired::desired_state;
use crate::member::{Member, MemberOutput, Purpose};

/// Reports of engines and the state of the planner.
#[derive(Clone, Debug)]
pub(crate) struct OrderPlanner {
    reports: Reports,
    /// Whether this member leads and has applied all entries of earlier terms.
    ready: bool,
    /// Whether proposed orders are not committed yet.
    proposal_pending: bool,
    next_plan: Instant,
}

impl OrderPlanner {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            reports: Reports::new(),
            ready: false,
            proposal_pending: false,
            next_plan: now,
        }
    }

    pub(crate) const fn next_plan(&self) -> Instant {
        self.next_plan
    }

    /// Resets the planner for a new leader. Earlier reports are dropped, because
    /// they may predate the end of an order of the previous leader.
    pub(crate) fn start(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    pub(crate) fn stop(&mut self) {
        self.reports.clear();
        self.ready = false;
        self.proposal_pending = false;
    }

    pub(crate) const fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    pub(crate) const fn clear_proposal(&mut self) {
        self.proposal_pending = false;
    }

    /// Drops the reports of engines that no longer report.
    fn drop_old_reports(&mut self, now: SystemTime) {
        let oldest = now.checked_sub(MAX_REPORT_AGE).unwrap_or(now);
        self.reports
            .retain(|_, report| report.requested_at >= oldest);
    }

    /// Stores a report unless a later one of the engine is known.
    pub(crate) fn report(&mut self, target: TargetId, report: Report) {
        let known = self.reports.get(&target);
        if known.is_none_or(|known| known.requested_at <= report.requested_at) {
            self.reports.insert(target, report);
        }
    }
}

impl Member {
    /// Proposes the orders that bring the engines closer to the desired state.
    pub(crate) fn propose_orders(&mut self, now: Instant, at: SystemTime) {
        self.order_planner.next_plan = now + self.settings.plan_interval;
        if !self.order_planner.ready || self.order_planner.proposal_pending {
            return;
        }
        let time = self.stamp_time(at);
        self.order_planner.drop_old_reports(time);
        let desired = desired_state(self.state.settings().tree().fleet());
        if desired.pools.is_empty() {
            return;
        }
        let ledger = self.state.ledger();
        let wanted = plan(
            &desired,
            &self.order_planner.reports,
            ledger,
            self.term,
            time,
        );
        if wanted.is_empty() {
            return;
        }
        self.order_planner.proposal_pending = true;
        let term = self.term;
        let command = Command::IssueOrders { term, wanted };
        self.propose(Purpose::Orders, command, now, at);
    }

    /// Sends committed orders, if this member still leads the term they were issued
    /// in and their deadline has not passed.
    pub(crate) fn send_orders(&mut self, reply: &Reply, at: SystemTime) {
        let Reply::Orders(issued) = reply else {
            return;
        };
        let time = self.stamp_time(at);
        for outcome in issued {
            let IssueOutcome::Issued(order) = outcome else {
                continue;
            };
            let leads = self.is_leader() && self.term == order.fencing.term;
            if leads && time < order.deadline {
                self.outputs.push(MemberOutput::Order(order.clone()));
            }
        }
    }
}
