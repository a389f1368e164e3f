//! Requester side: answers to asks, repeats, and the fallback to load reports.

use std::time::Instant;

use bamboospur_types::{InstanceId, TargetId, WorkTokens};

use crate::decision::{Decision, PlacementOutput, Refusal, Ticket};
use crate::memory::Location;
use crate::message::PlacementMessage;
use crate::placer::Placer;
use crate::route::{MAX_ROUNDS, Started, Waiting, stage_of_round};

impl Placer {
    /// Takes a grant for a waiting request.
    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(crate) fn granted(
        &mut self,
        ticket: Ticket,
        target: TargetId,
        work_tokens: WorkTokens,
        source: Option<TargetId>,
        from: InstanceId,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            // A late or repeated grant: the next declaration takes it back.
            self.peers
                .declare_by(from, now + self.settings.declare_delay);
            return;
        };
        let excluded = waiting.ask.excluded.contains(&target);
        if excluded
            || !self
                .targets
                .get(target)
                .is_some_and(|e| e.serves(waiting.ask.offer))
        {
            self.peers.declare_by(from, now);
            self.settle_by_reports(&waiting, now, outputs);
            return;
        }
        self.held.add(ticket, target, work_tokens);
        outputs.push(PlacementOutput::Placed {
            ticket,
            target,
            source,
            work_tokens,
        });
    }

    /// Takes a denial: another round, or load reports decide.
    pub(crate) fn denied(
        &mut self,
        ticket: Ticket,
        round: u8,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if self
            .waiting
            .get(&ticket)
            .is_none_or(|waiting| waiting.round != round)
        {
            return;
        }
        let Some(mut waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        if waiting.round + 1 >= MAX_ROUNDS {
            outputs.push(self.overloaded(ticket));
            return;
        }
        self.choose_again(&mut waiting.ask, waiting.round + 1, now);
        waiting.ask.stage = stage_of_round(waiting.round + 1);
        match self.start(waiting.ask, waiting.round + 1, now) {
            Started::Placed {
                target,
                source,
                work_tokens,
            } => outputs.push(PlacementOutput::Placed {
                ticket,
                target,
                source,
                work_tokens,
            }),
            Started::Asked { owner, message, .. } => {
                outputs.push(PlacementOutput::Send { to: owner, message });
            }
            Started::Denied => outputs.push(self.overloaded(ticket)),
            Started::Failed(ask) => {
                let failed = Waiting {
                    ask,
                    owner: self.own,
                    retry_at: None,
                    give_up_at: now,
                    round: MAX_ROUNDS,
                };
                self.settle_by_reports(&failed, now, outputs);
            }
        }
    }

    /// Repeats asks that may be lost and gives up those that waited too long.
    pub(crate) fn retry_asks(&mut self, now: Instant, outputs: &mut Vec<PlacementOutput>) {
        let mut late = Vec::new();
        for (ticket, waiting) in &mut self.waiting {
            if waiting.give_up_at <= now {
                late.push(*ticket);
            } else if waiting.retry_at.is_some_and(|at| at <= now) {
                waiting.retry_at = None;
                outputs.push(PlacementOutput::Send {
                    to: waiting.owner,
                    message: PlacementMessage::ReservationRequest(waiting.ask.clone()),
                });
            }
        }
        for ticket in late {
            self.unanswered(ticket, now, outputs);
        }
    }

    /// Asks another owner once; without an answer again, load reports decide.
    fn unanswered(&mut self, ticket: Ticket, now: Instant, outputs: &mut Vec<PlacementOutput>) {
        let last = self
            .waiting
            .get(&ticket)
            .map_or(MAX_ROUNDS, |waiting| waiting.round);
        if last + 1 >= MAX_ROUNDS {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                self.settle_by_reports(&waiting, now, outputs);
            }
            return;
        }
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.round = MAX_ROUNDS - 2;
        }
        self.denied(ticket, MAX_ROUNDS - 2, now, outputs);
    }

    fn overloaded(&self, ticket: Ticket) -> PlacementOutput {
        PlacementOutput::Refused {
            ticket,
            retry_after: self.settings.retry_after,
            reason: Refusal::Overloaded,
        }
    }

    fn settle_by_reports(
        &mut self,
        waiting: &Waiting,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let ticket = waiting.ask.ticket;
        // A grant may exist that this router will never hear of; a declaration
        // takes it back.
        let owners = waiting.ask.choices.iter().chain(&waiting.ask.at);
        let owners: Vec<InstanceId> = owners.filter_map(|t| self.targets.owner(*t)).collect();
        for owner in owners {
            self.peers
                .declare_by(owner, now + self.settings.declare_delay);
        }
        let mut ask = waiting.ask.clone();
        ask.choices
            .extend(self.lightly_loaded(&waiting.ask, 0, now));
        let (target, work_tokens) = self.by_reports(&ask, now);
        match self.send_unasked(ticket, target, work_tokens, now) {
            Decision::Refuse {
                retry_after,
                reason,
            } => outputs.push(PlacementOutput::Refused {
                ticket,
                retry_after,
                reason,
            }),
            Decision::Send { target, source, .. } => {
                let location = Location {
                    target,
                    prefix_tokens: ask.work_tokens,
                    doubtful: false,
                };
                self.note(&waiting.ask, location, outputs);
                outputs.push(PlacementOutput::Placed {
                    ticket,
                    target,
                    source,
                    work_tokens,
                });
            }
            Decision::ReservationRequest { .. } => self.violate("a fallback asked again"),
        }
    }
}
