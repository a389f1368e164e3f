//! Holder side of reservations: choice of targets and sending of reservation requests.

use std::time::Instant;

use bamboospur_types::{InstanceId, TargetId, WorkTokens};

use crate::decision::{Decision, Refusal, Ticket};
use crate::message::{PlacementMessage, ReservationRequest, ReservationStage};
use crate::placer::{Placer, wire_tokens};
use crate::request::PlacementRequest;
use crate::reservation::ReservationOutcome;
use crate::settings::ReservationMode;

/// Most rounds of reservation requests for one placement.
pub(crate) const MAX_ROUNDS: u8 = 3;

/// Number of targets sampled to find a lightly loaded one for the last choice, by
/// round. Larger samples in later rounds find room for large requests. In the first
/// round they would send all routers to the same few targets, because reports lag.
const SAMPLE_COUNTS: [usize; 3] = [8, 24, 48];

/// A request that waits for the answer of an owner.
#[derive(Debug)]
pub struct PendingReservation {
    pub(crate) reservation: ReservationRequest,
    pub(crate) owner: InstanceId,
    pub(crate) retry_at: Option<Instant>,
    pub(crate) expires_at: Instant,
    pub(crate) round: u8,
}

impl Placer {
    /// Chooses a target, or starts to reserve room on one.
    pub(crate) fn route(&mut self, request: &PlacementRequest<'_>, now: Instant) -> Decision {
        let ranking = self.targets.rank(request, self.settings.warm_up, now);
        let local: Vec<TargetId> = ranking.local.nodes().collect();
        let remote: Vec<TargetId> = ranking.remote.nodes().collect();
        if local.is_empty() && remote.is_empty() {
            return self.refuse(Refusal::NoTarget);
        }
        let Some(choices) = self.choose_data_centre(request, local, remote, now) else {
            return self.refuse(Refusal::Overloaded);
        };
        let ticket = self.new_ticket();
        let reservation = self.new_reservation(request, ticket, choices, now);
        if self.skips_reservation(&reservation, now) {
            let (target, work_tokens) = self.choose_by_reports(&reservation, now);
            return self.send_without_reservation(ticket, target, work_tokens, now);
        }
        match self.start_reservation(reservation, 0, now) {
            ReservationStart::Placed { target, source, .. } => Decision::Send {
                target,
                ticket,
                source,
            },
            ReservationStart::Sent {
                owner,
                target,
                message,
            } => Decision::ReservationRequest {
                owner,
                target,
                ticket,
                message,
            },
            ReservationStart::Failed(reservation) => {
                let (target, work_tokens) = self.choose_by_reports(&reservation, now);
                self.send_without_reservation(ticket, target, work_tokens, now)
            }
            ReservationStart::Denied => self.refuse(Refusal::Overloaded),
        }
    }

    fn new_reservation(
        &mut self,
        request: &PlacementRequest<'_>,
        ticket: Ticket,
        choices: Vec<TargetId>,
        now: Instant,
    ) -> ReservationRequest {
        let hint = request.hint.filter(|hint| {
            let entry = self.targets.get(*hint);
            self.settings.features.hints
                && !request.excluded.contains(hint)
                && entry.is_some_and(|entry| entry.serves(request.offer))
        });
        let mut reservation = ReservationRequest {
            holder: self.own_id,
            ticket,
            chat: request.chat,
            offer: request.offer,
            work_tokens: wire_tokens(request.work_tokens),
            prefix_tokens: wire_tokens(request.prefix_tokens),
            choices,
            next: 0,
            at: hint,
            stage: hint.map_or(ReservationStage::First, |_| ReservationStage::Hinted),
            round: 0,
            source: None,
            excluded: request.excluded.to_vec(),
        };
        if self.settings.features.reservation_mode != ReservationMode::Never
            && let Some(light) = self.sample_lightly_loaded(&reservation, 0, now)
        {
            reservation.choices.truncate(2);
            if !reservation.choices.contains(&light) {
                reservation.choices.push(light);
            }
        }
        reservation
    }

    /// Starts a round: sends the reservation request to the owner of the requested
    /// target, or decides here if this router is the owner.
    pub(crate) fn start_reservation(
        &mut self,
        reservation: ReservationRequest,
        round: u8,
        now: Instant,
    ) -> ReservationStart {
        let owner = reservation
            .requested_target()
            .and_then(|t| self.targets.owner(t));
        let Some(owner) = owner else {
            return ReservationStart::Failed(reservation);
        };
        if owner != self.own_id {
            return self.add_pending(reservation, owner, round, now);
        }
        let mut outputs = Vec::new();
        let outcome = self.process_reservation(reservation.clone(), now, &mut outputs);
        self.pending_outputs.append(&mut outputs);
        match outcome {
            ReservationOutcome::Granted {
                target,
                source,
                work_tokens,
            } => ReservationStart::Placed {
                target,
                source,
                work_tokens,
            },
            ReservationOutcome::Forward { to, reservation } => {
                self.add_pending(reservation, to, round, now)
            }
            ReservationOutcome::Denied if round + 1 < MAX_ROUNDS => {
                let mut reservation = reservation;
                self.replace_last_choice(&mut reservation, round + 1, now);
                reservation.stage = stage_of_round(round + 1);
                self.start_reservation(reservation, round + 1, now)
            }
            ReservationOutcome::Denied => ReservationStart::Denied,
        }
    }

    fn add_pending(
        &mut self,
        mut reservation: ReservationRequest,
        owner: InstanceId,
        round: u8,
        now: Instant,
    ) -> ReservationStart {
        let target = reservation.requested_target().unwrap_or_default();
        reservation.round = round;
        let message = PlacementMessage::ReservationRequest(reservation.clone());
        let pending = PendingReservation {
            owner,
            retry_at: Some(now + self.settings.reservation_retry),
            expires_at: now + self.settings.reservation_timeout,
            round,
            reservation,
        };
        self.pending_reservations
            .insert(pending.reservation.ticket, pending);
        ReservationStart::Sent {
            owner,
            target,
            message,
        }
    }

    pub(crate) fn send_without_reservation(
        &mut self,
        ticket: Ticket,
        target: Option<TargetId>,
        work_tokens: WorkTokens,
        now: Instant,
    ) -> Decision {
        let Some(target) = target else {
            return self.refuse(Refusal::NoTarget);
        };
        self.held.add(ticket, target, work_tokens);
        self.schedule_target_declaration(target, now, now);
        Decision::Send {
            target,
            ticket,
            source: None,
        }
    }

    /// Returns the target with the lowest estimated load among a few sampled ones of
    /// the first choice's data centre.
    pub(crate) fn sample_lightly_loaded(
        &mut self,
        reservation: &ReservationRequest,
        round: u8,
        now: Instant,
    ) -> Option<TargetId> {
        let offer = reservation.offer;
        let first = reservation
            .choices
            .first()
            .and_then(|t| self.targets.get(*t))?;
        let data_centre = first.view.data_centre;
        let start = self.next_random();
        let count = SAMPLE_COUNTS[usize::from(round).min(SAMPLE_COUNTS.len() - 1)];
        let sampled = self.targets.sample(start, count, offer).into_iter();
        let usable = sampled.filter(|entry| {
            entry.serves(offer)
                && entry.view.data_centre == data_centre
                && !reservation.excluded.contains(&entry.view.id)
        });
        let load_ratios =
            usable.map(|entry| (self.estimated_load_ratio(entry.view.id, now), entry.view.id));
        load_ratios
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, target)| target)
    }

    /// Replaces the last choice for another round. The first two choices stay,
    /// because their owners are told where the chat is placed.
    pub(crate) fn replace_last_choice(
        &mut self,
        reservation: &mut ReservationRequest,
        round: u8,
        now: Instant,
    ) {
        let light = self.sample_lightly_loaded(reservation, round, now);
        reservation.choices.truncate(2);
        reservation.choices.extend(light);
        reservation.next =
            u8::try_from(reservation.choices.len().saturating_sub(1)).unwrap_or(u8::MAX);
    }

    fn skips_reservation(&self, reservation: &ReservationRequest, now: Instant) -> bool {
        match self.settings.features.reservation_mode {
            ReservationMode::Never => true,
            ReservationMode::Always => false,
            ReservationMode::NearBound => reservation.requested_target().is_some_and(|target| {
                self.estimated_load_ratio(target, now) < self.settings.direct_below
            }),
        }
    }
}

pub(crate) fn stage_of_round(round: u8) -> ReservationStage {
    if round + 1 < MAX_ROUNDS {
        ReservationStage::Cold
    } else {
        ReservationStage::Last
    }
}

/// Result of starting a round.
pub(crate) enum ReservationStart {
    /// This router owns the granted target.
    Placed {
        /// Granted target.
        target: TargetId,
        /// Target that probably holds the prefix.
        source: Option<TargetId>,
        /// Work counted, in tokens.
        work_tokens: WorkTokens,
    },
    /// The reservation request goes to another router.
    Sent {
        /// Router that decides next.
        owner: InstanceId,
        /// Requested target.
        target: TargetId,
        /// Message for the owner.
        message: PlacementMessage,
    },
    /// There is no requested target, or it has no owner.
    Failed(ReservationRequest),
    /// The last round was denied.
    Denied,
}
