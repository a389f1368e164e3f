//! Clients that wait for the end of a running claim.

use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

use bamboospur_agreement::Ticket;
use bamboospur_claims::{ClaimKey, ClaimResponse};
use bamboospur_types::InstanceId;

use crate::command::Command;
use crate::member::{MemberError, MemberOutput, Response};
use crate::state::ControlState;

/// Tickets of waiting clients by claim, and the run deadlines of these claims.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watchers {
    tickets: BTreeMap<ClaimKey, Vec<Ticket>>,
    deadlines: BTreeSet<(SystemTime, ClaimKey)>,
}

impl Watchers {
    pub(crate) fn len(&self) -> usize {
        self.tickets.values().map(Vec::len).sum()
    }

    /// Adds a client, or answers the client at once if the claim is not running.
    pub(crate) fn add(
        &mut self,
        state: &ControlState,
        key: ClaimKey,
        ticket: Ticket,
        now: SystemTime,
    ) -> Vec<MemberOutput> {
        self.tickets.entry(key).or_default().push(ticket);
        self.answer_unless_running(state, key, now)
    }

    /// Answers the clients that wait for the claim settled or released by a command.
    pub(crate) fn answer_affected(
        &mut self,
        state: &ControlState,
        command: &Command,
        now: SystemTime,
    ) -> Vec<MemberOutput> {
        match command {
            Command::Settle { key, .. } | Command::Release { key, .. } => {
                self.answer_unless_running(state, *key, now)
            }
            _ => Vec::new(),
        }
    }

    /// Answers the clients of claims whose run deadline has passed.
    pub(crate) fn answer_expired(
        &mut self,
        state: &ControlState,
        now: SystemTime,
    ) -> Vec<MemberOutput> {
        let mut out = Vec::new();
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            out.extend(self.answer_unless_running(state, key, now));
        }
        out
    }

    /// Answers all clients with [`MemberError::NotLeader`].
    pub(crate) fn redirect_all(&mut self, leader: Option<InstanceId>) -> Vec<MemberOutput> {
        self.deadlines.clear();
        let tickets = std::mem::take(&mut self.tickets);
        let answers = tickets.into_values().flatten();
        let answers = answers.map(|ticket| MemberOutput::Reply {
            ticket,
            answer: Err(MemberError::NotLeader { leader }),
        });
        answers.collect()
    }

    /// Answers the clients of a claim; if the claim is still running, notes the run
    /// deadline instead.
    fn answer_unless_running(
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
        let answers = tickets.into_iter().map(|ticket| MemberOutput::Reply {
            ticket,
            answer: Ok(Response::Watched(claim.clone())),
        });
        answers.collect()
    }
}
