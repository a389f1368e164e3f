//! Owner side of reservations: an owner grants a reservation request, forwards it to
//! another owner or denies it.

use std::time::Instant;

use bamboospur_types::{InstanceId, TargetId, WorkTokens};

use crate::chat_locations::Location;
use crate::decision::PlacementOutput;
use crate::load::{Strictness, tokens_as_f64};
use crate::message::{PlacementMessage, ReservationRequest, ReservationStage};
use crate::placer::{Placer, wire_tokens};
use crate::targets::TargetEntry;

/// Most targets in one reservation request; limits how often a request of the last
/// round is forwarded.
const MAX_CHOICES: usize = 6;

/// Result of processing a reservation request on this router.
#[derive(Debug)]
pub enum ReservationOutcome {
    /// The work was counted on a target.
    Granted {
        /// Granted target.
        target: TargetId,
        /// Work counted, in tokens.
        work_tokens: WorkTokens,
        /// Target that probably holds the prefix.
        source: Option<TargetId>,
    },
    /// Another owner decides next.
    Forward {
        /// Owner to forward to.
        to: InstanceId,
        /// Reservation request to forward.
        reservation: ReservationRequest,
    },
    /// No target tried has room.
    Denied,
}

enum ReservationStep {
    Grant(TargetId, WorkTokens),
    Next(ReservationRequest),
    Deny,
}

impl Placer {
    /// Handles a reservation request from another router, or an own one that an owner
    /// forwarded back.
    pub(crate) fn handle_reservation(
        &mut self,
        reservation: ReservationRequest,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if reservation.holder == self.own_id {
            self.continue_own_reservation(reservation, now, outputs);
            return;
        }
        let (holder, ticket, round) = (reservation.holder, reservation.ticket, reservation.round);
        if self.counts.is_settled(holder, ticket) {
            return;
        }
        let outcome = match self.counts.open_grant(holder, ticket) {
            Some((target, work_tokens)) => ReservationOutcome::Granted {
                target,
                work_tokens,
                source: None,
            },
            None => self.process_reservation(reservation, now, outputs),
        };
        let (to, message) = match outcome {
            ReservationOutcome::Granted {
                target,
                work_tokens,
                source,
            } => {
                let work_tokens = wire_tokens(work_tokens);
                let grant = PlacementMessage::Grant {
                    ticket,
                    target,
                    work_tokens,
                    source,
                };
                (holder, grant)
            }
            ReservationOutcome::Forward { to, reservation } => {
                (to, PlacementMessage::ReservationRequest(reservation))
            }
            ReservationOutcome::Denied => (holder, PlacementMessage::Deny { ticket, round }),
        };
        outputs.push(PlacementOutput::Send { to, message });
    }

    /// Continues an own reservation request that another owner forwarded here.
    fn continue_own_reservation(
        &mut self,
        reservation: ReservationRequest,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let (ticket, round) = (reservation.ticket, reservation.round);
        if self
            .pending_reservations
            .get(&ticket)
            .is_none_or(|pending| pending.round != round)
        {
            return;
        }
        match self.process_reservation(reservation, now, outputs) {
            ReservationOutcome::Granted {
                target,
                work_tokens,
                source,
            } => {
                self.pending_reservations.remove(&ticket);
                outputs.push(PlacementOutput::Placed {
                    ticket,
                    target,
                    source,
                    work_tokens,
                });
            }
            ReservationOutcome::Forward { to, reservation } => {
                let message = PlacementMessage::ReservationRequest(reservation);
                outputs.push(PlacementOutput::Send { to, message });
            }
            ReservationOutcome::Denied => self.handle_denial(ticket, round, now, outputs),
        }
    }

    /// Processes a reservation request until this router grants or denies it or
    /// another owner must decide.
    pub(crate) fn process_reservation(
        &mut self,
        mut reservation: ReservationRequest,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) -> ReservationOutcome {
        loop {
            let source = reservation.source;
            let next = match self.next_step(&reservation, now) {
                ReservationStep::Grant(target, work_tokens) => {
                    self.record_grant(&reservation, target, work_tokens, now, outputs);
                    return ReservationOutcome::Granted {
                        target,
                        work_tokens,
                        source: source.filter(|source| *source != target),
                    };
                }
                ReservationStep::Deny => return ReservationOutcome::Denied,
                ReservationStep::Next(next) => next,
            };
            reservation = next;
            let Some(owner) = reservation
                .requested_target()
                .and_then(|t| self.targets.owner(t))
            else {
                return ReservationOutcome::Denied;
            };
            if owner != self.own_id {
                return ReservationOutcome::Forward {
                    to: owner,
                    reservation,
                };
            }
        }
    }

    fn next_step(&mut self, reservation: &ReservationRequest, now: Instant) -> ReservationStep {
        if matches!(
            reservation.stage,
            ReservationStage::Cold | ReservationStage::Last
        ) {
            return self.decide_without_prefix(reservation, now);
        }
        match self.usable_location(reservation) {
            Some(known) if self.targets.owner(known.target) == Some(self.own_id) => {
                let work_tokens = self.work_with_prefix(reservation, known);
                if self.admits(known.target, work_tokens, Strictness::Warm, now) {
                    return ReservationStep::Grant(known.target, work_tokens);
                }
                let source = Some(known.target);
                self.decide_without_prefix(
                    &ReservationRequest {
                        source,
                        ..reservation.clone()
                    },
                    now,
                )
            }
            Some(known) if reservation.stage != ReservationStage::Followed => {
                ReservationStep::Next(ReservationRequest {
                    at: Some(known.target),
                    stage: ReservationStage::Followed,
                    ..reservation.clone()
                })
            }
            _ => self.decide_unknown_chat(reservation, now),
        }
    }

    /// Decides for a chat whose location this router does not know.
    fn decide_unknown_chat(
        &mut self,
        reservation: &ReservationRequest,
        now: Instant,
    ) -> ReservationStep {
        let Some(target) = reservation.requested_target() else {
            return ReservationStep::Deny;
        };
        let returning = reservation.prefix_tokens > 0;
        let since = self.targets.get(target).map(|entry| entry.owned_since);
        let recently_owned = since
            .is_none_or(|since| now.saturating_duration_since(since) < self.settings.probe_window);
        if !self.settings.features.memory && returning {
            let prefix_tokens = reservation.prefix_tokens;
            let work_tokens = self.work_with_prefix(
                reservation,
                Location {
                    target,
                    prefix_tokens,
                    maybe_evicted: false,
                },
            );
            if self.is_usable_own(target, reservation)
                && self.admits(target, work_tokens, Strictness::Usual, now)
            {
                return ReservationStep::Grant(target, work_tokens);
            }
        }
        let work_tokens = WorkTokens::from(reservation.work_tokens);
        match reservation.stage {
            ReservationStage::Hinted | ReservationStage::Followed
                if recently_owned
                    && self.is_usable_own(target, reservation)
                    && self.admits(target, work_tokens, Strictness::Usual, now) =>
            {
                ReservationStep::Grant(target, work_tokens)
            }
            ReservationStage::First
                if recently_owned && returning && self.settings.features.location_notes =>
            {
                let probe = ReservationRequest {
                    next: reservation.next + 1,
                    stage: ReservationStage::Probe,
                    ..reservation.clone()
                };
                if probe.requested_target().is_some() {
                    ReservationStep::Next(probe)
                } else {
                    self.decide_without_prefix(reservation, now)
                }
            }
            _ => self.decide_without_prefix(reservation, now),
        }
    }

    /// Decides for a request without a usable cached prefix.
    fn decide_without_prefix(
        &mut self,
        reservation: &ReservationRequest,
        now: Instant,
    ) -> ReservationStep {
        let work_tokens = WorkTokens::from(reservation.work_tokens);
        let strictness = if self.settings.features.steering {
            Strictness::Cold
        } else {
            Strictness::Usual
        };
        let first = reservation
            .requested_target()
            .filter(|t| self.is_usable_own(*t, reservation));
        let least_loaded = self
            .settings
            .features
            .steering
            .then(|| self.least_loaded_owned(reservation, work_tokens, now))
            .flatten();
        for target in first.into_iter().chain(least_loaded) {
            if self.admits(target, work_tokens, strictness, now) {
                return ReservationStep::Grant(target, work_tokens);
            }
        }
        // Without a prefix all targets suit equally, so the request goes straight
        // to the last choice, which was chosen for its low load.
        let last_index = reservation.choices.len().saturating_sub(1);
        let at_last = reservation.stage != ReservationStage::Hinted
            && reservation.stage != ReservationStage::Followed
            && usize::from(reservation.next) >= last_index;
        if !at_last {
            return ReservationStep::Next(ReservationRequest {
                next: u8::try_from(last_index).unwrap_or(u8::MAX),
                stage: ReservationStage::Cold,
                ..reservation.clone()
            });
        }
        let least_loaded = self.least_loaded_owned(reservation, work_tokens, now);
        let admitted =
            |strictness| least_loaded.filter(|t| self.admits(*t, work_tokens, strictness, now));
        if let Some(target) = admitted(Strictness::Usual) {
            return ReservationStep::Grant(target, work_tokens);
        }
        if reservation.stage != ReservationStage::Last {
            return ReservationStep::Deny;
        }
        if let Some(target) = admitted(Strictness::Last) {
            return ReservationStep::Grant(target, work_tokens);
        }
        self.forward_to_least_loaded(reservation)
            .map_or(ReservationStep::Deny, ReservationStep::Next)
    }

    /// Returns a request of the last round changed to go to the peer whose targets have
    /// the lowest mean load; `None` if no peer is left or the choices are full.
    fn forward_to_least_loaded(
        &self,
        reservation: &ReservationRequest,
    ) -> Option<ReservationRequest> {
        if reservation.choices.len() >= MAX_CHOICES {
            return None;
        }
        let already_asked = |peer: InstanceId| {
            let mut owners = reservation
                .choices
                .iter()
                .skip(2)
                .map(|t| self.targets.owner(*t));
            owners.any(|owner| owner == Some(peer))
        };
        let peer = self.summaries.least_loaded(already_asked)?;
        let owned = |entry: &&TargetEntry| {
            entry.owner == Some(peer) && self.is_usable(entry.view.id, reservation)
        };
        let target = self.targets.entries().find(owned)?.view.id;
        let mut reservation = reservation.clone();
        reservation.next = u8::try_from(reservation.choices.len()).unwrap_or(u8::MAX);
        reservation.choices.push(target);
        Some(reservation)
    }

    fn least_loaded_owned(
        &self,
        reservation: &ReservationRequest,
        work_tokens: WorkTokens,
        now: Instant,
    ) -> Option<TargetId> {
        let load_ratio = |target: &TargetId| self.load_ratio_after(*target, work_tokens, now);
        self.targets
            .owned()
            .iter()
            .copied()
            .filter(|target| self.is_usable_own(*target, reservation))
            .min_by(|a, b| load_ratio(a).total_cmp(&load_ratio(b)))
    }

    /// Returns the location of the chat, if it is known and its target is usable.
    fn usable_location(&mut self, reservation: &ReservationRequest) -> Option<Location> {
        if !self.settings.features.memory {
            return None;
        }
        let known = self.chat_locations.get(reservation.chat)?;
        self.is_usable(known.target, reservation).then_some(known)
    }

    /// Returns whether this router owns the target and may grant it.
    fn is_usable_own(&self, target: TargetId, reservation: &ReservationRequest) -> bool {
        self.targets.owner(target) == Some(self.own_id) && self.is_usable(target, reservation)
    }

    fn is_usable(&self, target: TargetId, reservation: &ReservationRequest) -> bool {
        let entry = self.targets.get(target);
        entry.is_some_and(|entry| entry.serves(reservation.offer))
            && !reservation.excluded.contains(&target)
    }

    /// Returns the work of a request, in tokens, with its cached prefix at the reduced
    /// cost.
    fn work_with_prefix(&self, reservation: &ReservationRequest, known: Location) -> WorkTokens {
        let work_tokens = WorkTokens::from(reservation.work_tokens);
        if !self.settings.features.cached_prefix_discount || known.maybe_evicted {
            return work_tokens;
        }
        let cached = f64::from(reservation.prefix_tokens.min(known.prefix_tokens));
        let saved = cached * (1.0 - self.settings.cached_cost);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value lies between 1 and the work"
        )]
        let left = (tokens_as_f64(work_tokens) - saved).max(1.0) as WorkTokens;
        left
    }

    fn record_grant(
        &mut self,
        reservation: &ReservationRequest,
        target: TargetId,
        work_tokens: WorkTokens,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if reservation.holder == self.own_id {
            self.held.add(reservation.ticket, target, work_tokens);
        } else {
            self.counts.grant(
                reservation.holder,
                reservation.ticket,
                target,
                work_tokens,
                now,
            );
        }
        self.check_grant(target, work_tokens, now);
        if !self.settings.features.memory {
            return;
        }
        let known = self.chat_locations.get(reservation.chat);
        let location = Location {
            target,
            prefix_tokens: reservation.work_tokens,
            maybe_evicted: false,
        };
        self.chat_locations.put(reservation.chat, location, now);
        if known.is_none_or(|known| known.target != target) {
            self.send_notes(reservation, location, outputs);
        }
    }

    /// Sends the location of the chat to the owners of its first two choices and of
    /// its target.
    pub(crate) fn send_notes(
        &self,
        reservation: &ReservationRequest,
        location: Location,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if !self.settings.features.location_notes {
            return;
        }
        let mut notified = vec![self.own_id];
        for choice in reservation.choices.iter().take(2).chain([&location.target]) {
            let Some(owner) = self.targets.owner(*choice) else {
                continue;
            };
            if notified.contains(&owner) {
                continue;
            }
            notified.push(owner);
            let message = PlacementMessage::Note {
                chat: reservation.chat,
                target: location.target,
                prefix_tokens: location.prefix_tokens,
            };
            outputs.push(PlacementOutput::Send { to: owner, message });
        }
    }
}
