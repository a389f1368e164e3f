//! Holder side of reservations: answers, retries and the fallback to load reports.

use std::time::Instant;

use bamboospur_types::{InstanceId, TargetId, WorkTokens};

use crate::chat_locations::Location;
use crate::decision::{Decision, PlacementOutput, Refusal, Ticket};
use crate::message::PlacementMessage;
use crate::placer::Placer;
use crate::route::{MAX_ROUNDS, PendingReservation, ReservationStart, stage_of_round};

impl Placer {
    /// Places a waiting request on the target that its grant names.
    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(crate) fn handle_grant(
        &mut self,
        ticket: Ticket,
        target: TargetId,
        work_tokens: WorkTokens,
        source: Option<TargetId>,
        from: InstanceId,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let Some(pending) = self.pending_reservations.remove(&ticket) else {
            // The grant is late or repeated; the next declaration cancels it at
            // the owner.
            self.peers
                .schedule_declaration(from, now + self.settings.declare_delay);
            return;
        };
        let excluded = pending.reservation.excluded.contains(&target);
        if excluded
            || !self
                .targets
                .get(target)
                .is_some_and(|e| e.serves(pending.reservation.offer))
        {
            self.peers.schedule_declaration(from, now);
            self.place_by_reports(&pending, now, outputs);
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

    /// Starts another round after a denial, and refuses the request after the last
    /// one. Ignores denials of other rounds.
    pub(crate) fn handle_denial(
        &mut self,
        ticket: Ticket,
        round: u8,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if self
            .pending_reservations
            .get(&ticket)
            .is_none_or(|pending| pending.round != round)
        {
            return;
        }
        let Some(mut pending) = self.pending_reservations.remove(&ticket) else {
            return;
        };
        if pending.round + 1 >= MAX_ROUNDS {
            outputs.push(self.refuse_overloaded(ticket));
            return;
        }
        self.replace_last_choice(&mut pending.reservation, pending.round + 1, now);
        pending.reservation.stage = stage_of_round(pending.round + 1);
        match self.start_reservation(pending.reservation, pending.round + 1, now) {
            ReservationStart::Placed {
                target,
                source,
                work_tokens,
            } => outputs.push(PlacementOutput::Placed {
                ticket,
                target,
                source,
                work_tokens,
            }),
            ReservationStart::Sent { owner, message, .. } => {
                outputs.push(PlacementOutput::Send { to: owner, message });
            }
            ReservationStart::Denied => outputs.push(self.refuse_overloaded(ticket)),
            ReservationStart::Failed(reservation) => {
                let failed = PendingReservation {
                    reservation,
                    owner: self.own_id,
                    retry_at: None,
                    expires_at: now,
                    round: MAX_ROUNDS,
                };
                self.place_by_reports(&failed, now, outputs);
            }
        }
    }

    /// Repeats reservation requests that may be lost, once each, and ends the rounds
    /// that have timed out.
    pub(crate) fn retry_reservations(&mut self, now: Instant, outputs: &mut Vec<PlacementOutput>) {
        let mut expired = Vec::new();
        for (ticket, pending) in &mut self.pending_reservations {
            if pending.expires_at <= now {
                expired.push(*ticket);
            } else if pending.retry_at.is_some_and(|at| at <= now) {
                pending.retry_at = None;
                outputs.push(PlacementOutput::Send {
                    to: pending.owner,
                    message: PlacementMessage::ReservationRequest(pending.reservation.clone()),
                });
            }
        }
        for ticket in expired {
            self.handle_timeout(ticket, now, outputs);
        }
    }

    /// Starts the last round after a timeout; if that one timed out, places the
    /// request by load reports.
    fn handle_timeout(&mut self, ticket: Ticket, now: Instant, outputs: &mut Vec<PlacementOutput>) {
        let last = self
            .pending_reservations
            .get(&ticket)
            .map_or(MAX_ROUNDS, |pending| pending.round);
        if last + 1 >= MAX_ROUNDS {
            if let Some(pending) = self.pending_reservations.remove(&ticket) {
                self.place_by_reports(&pending, now, outputs);
            }
            return;
        }
        if let Some(pending) = self.pending_reservations.get_mut(&ticket) {
            pending.round = MAX_ROUNDS - 2;
        }
        self.handle_denial(ticket, MAX_ROUNDS - 2, now, outputs);
    }

    fn refuse_overloaded(&self, ticket: Ticket) -> PlacementOutput {
        PlacementOutput::Refused {
            ticket,
            retry_after: self.settings.retry_after,
            reason: Refusal::Overloaded,
        }
    }

    fn place_by_reports(
        &mut self,
        pending: &PendingReservation,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let ticket = pending.reservation.ticket;
        // An owner may have granted the request while its answer was lost; a
        // declaration cancels such a grant.
        let owners = pending
            .reservation
            .choices
            .iter()
            .chain(&pending.reservation.at);
        let owners: Vec<InstanceId> = owners.filter_map(|t| self.targets.owner(*t)).collect();
        for owner in owners {
            self.peers
                .schedule_declaration(owner, now + self.settings.declare_delay);
        }
        let mut reservation = pending.reservation.clone();
        reservation
            .choices
            .extend(self.sample_lightly_loaded(&pending.reservation, 0, now));
        let (target, work_tokens) = self.choose_by_reports(&reservation, now);
        match self.send_without_reservation(ticket, target, work_tokens, now) {
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
                    prefix_tokens: reservation.work_tokens,
                    maybe_evicted: false,
                };
                self.send_notes(&pending.reservation, location, outputs);
                outputs.push(PlacementOutput::Placed {
                    ticket,
                    target,
                    source,
                    work_tokens,
                });
            }
            Decision::ReservationRequest { .. } => {
                self.record_violation("placement by load reports returned a reservation request");
            }
        }
    }
}
