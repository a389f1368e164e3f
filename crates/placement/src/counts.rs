//! Load that other routers hold on this router's targets.
//!
//! The count of a target is the sum of what each holder declared last plus the
//! grants that the holder has not settled. Declarations are complete and absolute,
//! so that a newer declaration corrects the loss of any earlier one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, TargetId, WorkTokens};

use crate::decision::Ticket;
use crate::held::TargetLoad;
use crate::message::Holding;

#[derive(Debug)]
struct Holder {
    version: u64,
    settled: Ticket,
    last_seen_at: Instant,
    declared: BTreeMap<TargetId, TargetLoad>,
    pending: BTreeMap<Ticket, (TargetId, WorkTokens)>,
}

/// Counts of the other routers' holdings, by holder, with sums by target.
#[derive(Debug, Default)]
pub struct HolderCounts {
    holders: BTreeMap<InstanceId, Holder>,
    sums: BTreeMap<TargetId, TargetLoad>,
}

impl HolderCounts {
    /// Returns the sum of the other routers' holdings on `target`.
    pub fn sum(&self, target: TargetId) -> TargetLoad {
        self.sums.get(&target).copied().unwrap_or_default()
    }

    /// Returns the grant for a holder's ticket, if there is one that is not settled.
    pub fn open_grant(&self, holder: InstanceId, ticket: Ticket) -> Option<(TargetId, WorkTokens)> {
        self.holders.get(&holder)?.pending.get(&ticket).copied()
    }

    /// Returns whether the holder no longer waits for an answer to this ticket.
    pub fn is_settled(&self, holder: InstanceId, ticket: Ticket) -> bool {
        self.holders
            .get(&holder)
            .is_some_and(|state| ticket <= state.settled)
    }

    /// Counts a grant until the holder settles its ticket. A repeated grant of a
    /// ticket is counted once.
    pub fn grant(
        &mut self,
        holder: InstanceId,
        ticket: Ticket,
        target: TargetId,
        work_tokens: WorkTokens,
        now: Instant,
    ) {
        let state = self
            .holders
            .entry(holder)
            .or_insert_with(|| Holder::new(now));
        if state
            .pending
            .insert(ticket, (target, work_tokens))
            .is_none()
        {
            add(&mut self.sums, target, work_tokens, 1);
        }
    }

    /// Replaces a holder's holdings by a declaration; ignores versions up to the last
    /// one applied.
    pub fn apply_declaration(
        &mut self,
        holder: InstanceId,
        version: u64,
        settled: Ticket,
        holdings: &[Holding],
        now: Instant,
    ) {
        let state = self
            .holders
            .entry(holder)
            .or_insert_with(|| Holder::new(now));
        if version <= state.version {
            return;
        }
        state.version = version;
        state.last_seen_at = now;
        state.settled = state.settled.max(settled);
        subtract_declared(&mut self.sums, &state.declared);
        let open = state.pending.split_off(&state.settled.saturating_add(1));
        subtract_pending(&mut self.sums, &state.pending);
        state.pending = open;
        state.declared.clear();
        for holding in holdings {
            let work_tokens = WorkTokens::from(holding.work_tokens);
            let requests = u32::from(holding.requests);
            add(&mut state.declared, holding.target, work_tokens, requests);
            add(&mut self.sums, holding.target, work_tokens, requests);
        }
    }

    /// Drops holders without a declaration for `expiry`, with their grants.
    pub fn expire(&mut self, expiry: Duration, now: Instant) {
        let sums = &mut self.sums;
        self.holders.retain(|_, state| {
            if now.saturating_duration_since(state.last_seen_at) < expiry {
                return true;
            }
            subtract_declared(sums, &state.declared);
            subtract_pending(sums, &state.pending);
            false
        });
    }

    /// Returns whether the sums by target match the sums over the holders.
    pub fn is_consistent(&self) -> bool {
        let mut sums = BTreeMap::new();
        for state in self.holders.values() {
            for (target, sum) in &state.declared {
                add(&mut sums, *target, sum.work_tokens, sum.requests);
            }
            for (target, work_tokens) in state.pending.values() {
                add(&mut sums, *target, *work_tokens, 1);
            }
        }
        sums == self.sums
    }
}

impl Holder {
    fn new(now: Instant) -> Self {
        Self {
            version: 0,
            settled: 0,
            last_seen_at: now,
            declared: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }
}

fn add(
    sums: &mut BTreeMap<TargetId, TargetLoad>,
    target: TargetId,
    work_tokens: WorkTokens,
    requests: u32,
) {
    let sum = sums.entry(target).or_default();
    sum.work_tokens += work_tokens;
    sum.requests += requests;
}

fn subtract(
    sums: &mut BTreeMap<TargetId, TargetLoad>,
    target: TargetId,
    work_tokens: WorkTokens,
    requests: u32,
) {
    let Some(sum) = sums.get_mut(&target) else {
        return;
    };
    sum.work_tokens = sum.work_tokens.saturating_sub(work_tokens);
    sum.requests = sum.requests.saturating_sub(requests);
    if sum.requests == 0 {
        sums.remove(&target);
    }
}

fn subtract_declared(
    sums: &mut BTreeMap<TargetId, TargetLoad>,
    declared: &BTreeMap<TargetId, TargetLoad>,
) {
    for (target, sum) in declared {
        subtract(sums, *target, sum.work_tokens, sum.requests);
    }
}

fn subtract_pending(
    sums: &mut BTreeMap<TargetId, TargetLoad>,
    pending: &BTreeMap<Ticket, (TargetId, WorkTokens)>,
) {
    for (target, work_tokens) in pending.values() {
        subtract(sums, *target, *work_tokens, 1);
    }
}
