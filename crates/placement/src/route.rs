//! Requester side: choices and asks.

use std::time::Instant;

use bamboospur_types::{InstanceId, TargetId, WorkTokens};

use crate::decision::{Decision, Refusal, Ticket};
use crate::message::{PlacementMessage, ReservationRequest, ReservationStage};
use crate::placer::{Placer, clamp};
use crate::request::PlacementRequest;
use crate::settings::ReservationMode;
use crate::walk::Walk;

/// Asks per request before load reports decide.
pub(crate) const MAX_ROUNDS: u8 = 3;

/// Targets drawn to find a lightly loaded one for the last choice, by round.
/// More draws in later rounds find room for large requests; in the first round
/// they would send all routers to the same few targets, as reports lag.
const DRAWS: [usize; 3] = [8, 24, 48];

/// A request that waits for an owner.
#[derive(Debug)]
pub struct Waiting {
    pub(crate) ask: ReservationRequest,
    pub(crate) owner: InstanceId,
    pub(crate) retry_at: Option<Instant>,
    pub(crate) give_up_at: Instant,
    pub(crate) round: u8,
}

impl Placer {
    /// Chooses a target or starts asking for one.
    pub(crate) fn route(&mut self, request: &PlacementRequest<'_>, now: Instant) -> Decision {
        let ranking = self.targets.rank(request, self.settings.warm_up, now);
        let near: Vec<TargetId> = ranking.near.nodes().collect();
        let far: Vec<TargetId> = ranking.far.nodes().collect();
        if near.is_empty() && far.is_empty() {
            return self.refuse(Refusal::NoTarget);
        }
        let Some(choices) = self.pick_data_centre(request, near, far, now) else {
            return self.refuse(Refusal::Overloaded);
        };
        let ticket = self.new_ticket();
        let ask = self.new_ask(request, ticket, choices, now);
        if self.sends_unasked(&ask, now) {
            let (target, work_tokens) = self.by_reports(&ask, now);
            return self.send_unasked(ticket, target, work_tokens, now);
        }
        match self.start(ask, 0, now) {
            Started::Placed { target, source, .. } => Decision::Send {
                target,
                ticket,
                source,
            },
            Started::Asked {
                owner,
                target,
                message,
            } => Decision::ReservationRequest {
                owner,
                target,
                ticket,
                message,
            },
            Started::Failed(ask) => {
                let (target, work_tokens) = self.by_reports(&ask, now);
                self.send_unasked(ticket, target, work_tokens, now)
            }
            Started::Denied => self.refuse(Refusal::Overloaded),
        }
    }

    fn new_ask(
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
        let mut ask = ReservationRequest {
            holder: self.own,
            ticket,
            chat: request.chat,
            offer: request.offer,
            work_tokens: clamp(request.work_tokens),
            prefix_tokens: clamp(request.prefix_tokens),
            choices,
            next: 0,
            at: hint,
            stage: hint.map_or(ReservationStage::First, |_| ReservationStage::Hinted),
            round: 0,
            source: None,
            excluded: request.excluded.to_vec(),
        };
        if self.settings.features.ask != ReservationMode::Never
            && let Some(light) = self.lightly_loaded(&ask, 0, now)
        {
            ask.choices.truncate(2);
            if !ask.choices.contains(&light) {
                ask.choices.push(light);
            }
        }
        ask
    }

    /// Asks the owner, or decides here when this router is the owner.
    pub(crate) fn start(&mut self, ask: ReservationRequest, round: u8, now: Instant) -> Started {
        let owner = ask.requested_target().and_then(|t| self.targets.owner(t));
        let Some(owner) = owner else {
            return Started::Failed(ask);
        };
        if owner != self.own {
            return self.wait(ask, owner, round, now);
        }
        let mut outputs = Vec::new();
        let walk = self.walk(ask.clone(), now, &mut outputs);
        self.outbox.append(&mut outputs);
        match walk {
            Walk::Granted {
                target,
                source,
                work_tokens,
            } => Started::Placed {
                target,
                source,
                work_tokens,
            },
            Walk::Forward { to, ask } => self.wait(ask, to, round, now),
            Walk::Denied if round + 1 < MAX_ROUNDS => {
                let mut ask = ask;
                self.choose_again(&mut ask, round + 1, now);
                ask.stage = stage_of_round(round + 1);
                self.start(ask, round + 1, now)
            }
            Walk::Denied => Started::Denied,
        }
    }

    fn wait(
        &mut self,
        mut ask: ReservationRequest,
        owner: InstanceId,
        round: u8,
        now: Instant,
    ) -> Started {
        let target = ask.requested_target().unwrap_or_default();
        ask.round = round;
        let message = PlacementMessage::ReservationRequest(ask.clone());
        let waiting = Waiting {
            owner,
            retry_at: Some(now + self.settings.reservation_retry),
            give_up_at: now + self.settings.reservation_timeout,
            round,
            ask,
        };
        self.waiting.insert(waiting.ask.ticket, waiting);
        Started::Asked {
            owner,
            target,
            message,
        }
    }

    pub(crate) fn send_unasked(
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
        self.declare_target(target, now, now);
        Decision::Send {
            target,
            ticket,
            source: None,
        }
    }

    /// Returns the target with the lowest reported load of a few drawn ones.
    pub(crate) fn lightly_loaded(
        &mut self,
        ask: &ReservationRequest,
        round: u8,
        now: Instant,
    ) -> Option<TargetId> {
        let offer = ask.offer;
        let near = ask.choices.first().and_then(|t| self.targets.get(*t))?;
        let data_centre = near.view.data_centre;
        let start = self.random();
        let count = DRAWS[usize::from(round).min(DRAWS.len() - 1)];
        let drawn = self.targets.draw(start, count, offer).into_iter();
        let usable = drawn.filter(|entry| {
            entry.serves(offer)
                && entry.view.data_centre == data_centre
                && !ask.excluded.contains(&entry.view.id)
        });
        let levels = usable.map(|entry| (self.estimate(entry.view.id, now), entry.view.id));
        levels
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, target)| target)
    }

    /// Replaces the last choice for another round. The first two stay, since
    /// their owners are told where the chat goes.
    pub(crate) fn choose_again(&mut self, ask: &mut ReservationRequest, round: u8, now: Instant) {
        let light = self.lightly_loaded(ask, round, now);
        ask.choices.truncate(2);
        ask.choices.extend(light);
        ask.next = u8::try_from(ask.choices.len().saturating_sub(1)).unwrap_or(u8::MAX);
    }

    fn sends_unasked(&self, ask: &ReservationRequest, now: Instant) -> bool {
        match self.settings.features.ask {
            ReservationMode::Never => true,
            ReservationMode::Always => false,
            ReservationMode::NearBound => ask
                .requested_target()
                .is_some_and(|target| self.estimate(target, now) < self.settings.direct_below),
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

/// First result of an ask.
pub(crate) enum Started {
    /// This router owns the count and granted.
    Placed {
        /// Target.
        target: TargetId,
        /// Target that probably holds the prefix.
        source: Option<TargetId>,
        /// Work counted, in tokens.
        work_tokens: WorkTokens,
    },
    /// Another router is asked.
    Asked {
        /// Owner.
        owner: InstanceId,
        /// Target asked for.
        target: TargetId,
        /// Message for the owner.
        message: PlacementMessage,
    },
    /// Nobody can be asked.
    Failed(ReservationRequest),
    /// No owner asked has room.
    Denied,
}
