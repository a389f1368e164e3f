//! Orders to engines, on the leader.

use std::time::{Instant, SystemTime};

use bamboospur_orders::{IssueOutcome, MAX_REPORT_AGE, Report, Reports, plan};
use bamboospur_types::TargetId;

use crate::command::{Command, Reply};
use crate::desired::desired;
use crate::member::{Member, MemberOutput, Purpose};

/// Reports of engines and the state of the planner.
#[derive(Clone, Debug)]
pub(crate) struct Engines {
    reports: Reports,
    /// Whether this member leads and has applied all earlier entries.
    ready: bool,
    /// Whether orders wait to be committed.
    issuing: bool,
    next_plan: Instant,
}

impl Engines {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            reports: Reports::new(),
            ready: false,
            issuing: false,
            next_plan: now,
        }
    }

    pub(crate) const fn next_plan(&self) -> Instant {
        self.next_plan
    }

    /// Starts anew as leader. Reports from before are dropped: they may be
    /// older than the end of an order of the last leader.
    pub(crate) fn start(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    pub(crate) fn stop(&mut self) {
        self.reports.clear();
        self.ready = false;
        self.issuing = false;
    }

    pub(crate) const fn ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    pub(crate) const fn issued(&mut self) {
        self.issuing = false;
    }

    /// Drops the reports of engines that left.
    fn forget_old(&mut self, now: SystemTime) {
        let oldest = now.checked_sub(MAX_REPORT_AGE).unwrap_or(now);
        self.reports.retain(|_, report| report.at >= oldest);
    }

    /// Keeps the report with the latest time.
    pub(crate) fn report(&mut self, target: TargetId, report: Report) {
        let known = self.reports.get(&target);
        if known.is_none_or(|known| known.at <= report.at) {
            self.reports.insert(target, report);
        }
    }
}

impl Member {
    /// Proposes the orders that the engines need now.
    pub(crate) fn plan(&mut self, now: Instant, at: SystemTime) {
        self.engines.next_plan = now + self.settings.plan_interval;
        if !self.engines.ready || self.engines.issuing {
            return;
        }
        let time = self.time(at);
        self.engines.forget_old(time);
        let desired = desired(self.state.settings().tree().fleet());
        if desired.pools.is_empty() {
            return;
        }
        let ledger = self.state.ledger();
        let wanted = plan(&desired, &self.engines.reports, ledger, self.term, time);
        if wanted.is_empty() {
            return;
        }
        self.engines.issuing = true;
        let term = self.term;
        let command = Command::IssueOrders { term, wanted };
        self.propose(Purpose::Orders, command, now, at);
    }

    /// Sends the orders that were committed while this member leads their term.
    pub(crate) fn send_orders(&mut self, reply: &Reply, at: SystemTime) {
        let Reply::Orders(issued) = reply else {
            return;
        };
        let time = self.time(at);
        for answer in issued {
            let IssueOutcome::Issued(order) = answer else {
                continue;
            };
            let leads = self.is_leader() && self.term == order.fencing.term;
            if leads && time < order.deadline {
                self.out.push(MemberOutput::Order(order.clone()));
            }
        }
    }
}
