//! Requests that this router has placed on targets and not finished.

use std::collections::BTreeMap;

use bamboospur_types::{TargetId, WorkTokens};

use crate::decision::Ticket;

/// Sum of the requests on one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Work, in tokens.
    pub work_tokens: WorkTokens,
    /// Number of requests.
    pub requests: u32,
}

/// Requests held by this router, by ticket, with sums by target.
#[derive(Debug, Default)]
pub struct HeldRequests {
    tickets: BTreeMap<Ticket, (TargetId, WorkTokens)>,
    sums: BTreeMap<TargetId, TargetLoad>,
}

impl HeldRequests {
    /// Adds a request with a new ticket.
    pub fn add(&mut self, ticket: Ticket, target: TargetId, work_tokens: WorkTokens) {
        let sum = self.sums.entry(target).or_default();
        sum.work_tokens += work_tokens;
        sum.requests += 1;
        self.tickets.insert(ticket, (target, work_tokens));
    }

    /// Removes a request and returns its target; `None` if the ticket is not held.
    pub fn remove(&mut self, ticket: Ticket) -> Option<TargetId> {
        let (target, work_tokens) = self.tickets.remove(&ticket)?;
        if let Some(sum) = self.sums.get_mut(&target) {
            sum.work_tokens -= work_tokens;
            sum.requests -= 1;
            if sum.requests == 0 {
                self.sums.remove(&target);
            }
        }
        Some(target)
    }

    pub fn sum(&self, target: TargetId) -> TargetLoad {
        self.sums.get(&target).copied().unwrap_or_default()
    }

    /// Returns the targets with at least one held request.
    pub fn targets(&self) -> impl Iterator<Item = (TargetId, TargetLoad)> + '_ {
        self.sums.iter().map(|(target, sum)| (*target, *sum))
    }

    /// Returns whether the sums by target match the held requests.
    pub fn is_consistent(&self) -> bool {
        let mut sums = BTreeMap::<TargetId, TargetLoad>::new();
        for (target, work_tokens) in self.tickets.values() {
            let sum = sums.entry(*target).or_default();
            sum.work_tokens += work_tokens;
            sum.requests += 1;
        }
        sums == self.sums
    }
}
