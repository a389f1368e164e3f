//! Clients that wait for a running claim.

use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

use bamboospur_agreement::Ticket;
use bamboospur_claims::{ClaimKey, ClaimResponse};
use bamboospur_types::InstanceId;

use crate::command::Command;
use crate::member::{MemberError, MemberOutput, Response};
use crate::state::ControlState;

/// Waiting clients by claim and by the run deadline of the claim.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watchers {
    tickets: BTreeMap<ClaimKey, Vec<Ticket>>,
    deadlines: BTreeSet<(SystemTime, ClaimKey)>,
}

impl Watchers {
    pub(crate) fn len(&self) -> usize {
        self.tickets.values().map(Vec::len).sum()
    }

    /// Adds a client, or answers it when the claim is not running.
    pub(crate) fn add(
        &mut self,
        state: &ControlState,
        key: ClaimKey,
        ticket: Ticket,
        now: SystemTime,
    ) -> Vec<MemberOutput> {
        self.tickets.entry(key).or_default().push(ticket);
        self.settle(state, key, now)
    }

    /// Answers the clients of the claim that a command changed.
    pub(crate) fn after(
        &mut self,
        state: &ControlState,
        command: &Command,
        now: SystemTime,
    ) -> Vec<MemberOutput> {
        match command {
            Command::Settle { key, .. } | Command::Release { key, .. } => {
                self.settle(state, *key, now)
            }
            _ => Vec::new(),
        }
    }

    /// Answers the clients of claims whose run deadline passed.
    pub(crate) fn due(&mut self, state: &ControlState, now: SystemTime) -> Vec<MemberOutput> {
        let mut out = Vec::new();
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            out.extend(self.settle(state, key, now));
        }
        out
    }

    /// Tells all clients to ask the leader.
    pub(crate) fn refuse(&mut self, leader: Option<InstanceId>) -> Vec<MemberOutput> {
        self.deadlines.clear();
        let tickets = std::mem::take(&mut self.tickets);
        let refused = tickets.into_values().flatten();
        let refused = refused.map(|ticket| MemberOutput::Reply {
            ticket,
            answer: Err(MemberError::NotLeader { leader }),
        });
        refused.collect()
    }

    fn settle(
        &mut self,
        state: &ControlState,
        key: ClaimKey,
        now: SystemTime,
    ) -> Vec<MemberOutput> {
        if !self.tickets.contains_key(&key) {
            return Vec::new();
        }
        let claim = state.claims().lookup(&key, now);
        if let Some(ClaimResponse::Running { run_deadline, .. }) = claim {
            self.deadlines.insert((run_deadline, key));
            return Vec::new();
        }
        let tickets = self.tickets.remove(&key).unwrap_or_default();
        let answered = tickets.into_iter().map(|ticket| MemberOutput::Reply {
            ticket,
            answer: Ok(Response::Watched(claim.clone())),
        });
        answered.collect()
    }
}
