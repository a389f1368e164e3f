//! Owner side of an ask: grants it, forwards it to another owner or denies it.

use std::time::Instant;

use bamboospur_types::{InstanceId, TargetId, WorkTokens};

use crate::decision::PlacementOutput;
use crate::load::{Strictness, float};
use crate::memory::Location;
use crate::message::{PlacementMessage, ReservationRequest, ReservationStage};
use crate::placer::{Placer, clamp};
use crate::targets::Entry;

/// Most targets in one ask; bounds the length of a walk.
const MAX_CHOICES: usize = 6;

/// End of a walk on this router.
#[derive(Debug)]
pub enum Walk {
    /// Room was counted on a target.
    Granted {
        /// Target.
        target: TargetId,
        /// Work counted, in tokens.
        work_tokens: WorkTokens,
        /// Target that probably holds the prefix.
        source: Option<TargetId>,
    },
    /// Another owner decides.
    Forward {
        /// Owner.
        to: InstanceId,
        /// Ask to forward.
        ask: ReservationRequest,
    },
    /// No choice has room.
    Denied,
}

enum Step {
    Grant(TargetId, WorkTokens),
    Next(ReservationRequest),
    Deny,
}

impl Placer {
    /// Answers an ask of another router, or an own one that came back.
    pub(crate) fn answer(
        &mut self,
        ask: ReservationRequest,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if ask.holder == self.own {
            self.answer_own(ask, now, outputs);
            return;
        }
        let (holder, ticket, round) = (ask.holder, ask.ticket, ask.round);
        if self.counts.is_settled(holder, ticket) {
            return;
        }
        let walk = match self.counts.granted(holder, ticket) {
            Some((target, work_tokens)) => Walk::Granted {
                target,
                work_tokens,
                source: None,
            },
            None => self.walk(ask, now, outputs),
        };
        let (to, message) = match walk {
            Walk::Granted {
                target,
                work_tokens,
                source,
            } => {
                let work_tokens = clamp(work_tokens);
                let grant = PlacementMessage::Grant {
                    ticket,
                    target,
                    work_tokens,
                    source,
                };
                (holder, grant)
            }
            Walk::Forward { to, ask } => (to, PlacementMessage::ReservationRequest(ask)),
            Walk::Denied => (holder, PlacementMessage::Deny { ticket, round }),
        };
        outputs.push(PlacementOutput::Send { to, message });
    }

    /// Continues the walk of an own ask that another owner forwarded here.
    fn answer_own(
        &mut self,
        ask: ReservationRequest,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let (ticket, round) = (ask.ticket, ask.round);
        if self
            .waiting
            .get(&ticket)
            .is_none_or(|waiting| waiting.round != round)
        {
            return;
        }
        match self.walk(ask, now, outputs) {
            Walk::Granted {
                target,
                work_tokens,
                source,
            } => {
                self.waiting.remove(&ticket);
                outputs.push(PlacementOutput::Placed {
                    ticket,
                    target,
                    source,
                    work_tokens,
                });
            }
            Walk::Forward { to, ask } => {
                let message = PlacementMessage::ReservationRequest(ask);
                outputs.push(PlacementOutput::Send { to, message });
            }
            Walk::Denied => self.denied(ticket, round, now, outputs),
        }
    }

    /// Takes the steps of an ask that this router can decide.
    pub(crate) fn walk(
        &mut self,
        mut ask: ReservationRequest,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) -> Walk {
        loop {
            let source = ask.source;
            let next = match self.step(&ask, now) {
                Step::Grant(target, work_tokens) => {
                    self.count(&ask, target, work_tokens, now, outputs);
                    return Walk::Granted {
                        target,
                        work_tokens,
                        source: source.filter(|source| *source != target),
                    };
                }
                Step::Deny => return Walk::Denied,
                Step::Next(next) => next,
            };
            ask = next;
            let Some(owner) = ask.requested_target().and_then(|t| self.targets.owner(t)) else {
                return Walk::Denied;
            };
            if owner != self.own {
                return Walk::Forward { to: owner, ask };
            }
        }
    }

    fn step(&mut self, ask: &ReservationRequest, now: Instant) -> Step {
        if matches!(ask.stage, ReservationStage::Cold | ReservationStage::Last) {
            return self.cold(ask, now);
        }
        match self.locate(ask) {
            Some(known) if self.targets.owner(known.target) == Some(self.own) => {
                let work_tokens = self.warm_work(ask, known);
                if self.admits(known.target, work_tokens, Strictness::Warm, now) {
                    return Step::Grant(known.target, work_tokens);
                }
                let source = Some(known.target);
                self.cold(
                    &ReservationRequest {
                        source,
                        ..ask.clone()
                    },
                    now,
                )
            }
            Some(known) if ask.stage != ReservationStage::Followed => {
                Step::Next(ReservationRequest {
                    at: Some(known.target),
                    stage: ReservationStage::Followed,
                    ..ask.clone()
                })
            }
            _ => self.unknown(ask, now),
        }
    }

    /// Decides for a chat that this router does not remember.
    fn unknown(&mut self, ask: &ReservationRequest, now: Instant) -> Step {
        let Some(target) = ask.requested_target() else {
            return Step::Deny;
        };
        let returning = ask.prefix_tokens > 0;
        let since = self.targets.get(target).map(|entry| entry.owned_since);
        let young = since
            .is_none_or(|since| now.saturating_duration_since(since) < self.settings.probe_window);
        if !self.settings.features.memory && returning {
            let prefix_tokens = ask.prefix_tokens;
            let work_tokens = self.warm_work(
                ask,
                Location {
                    target,
                    prefix_tokens,
                    doubtful: false,
                },
            );
            if self.is_candidate(target, ask)
                && self.admits(target, work_tokens, Strictness::Usual, now)
            {
                return Step::Grant(target, work_tokens);
            }
        }
        let work_tokens = WorkTokens::from(ask.work_tokens);
        match ask.stage {
            ReservationStage::Hinted | ReservationStage::Followed
                if young
                    && self.is_candidate(target, ask)
                    && self.admits(target, work_tokens, Strictness::Usual, now) =>
            {
                Step::Grant(target, work_tokens)
            }
            ReservationStage::First if young && returning && self.settings.features.notes => {
                let probe = ReservationRequest {
                    next: ask.next + 1,
                    stage: ReservationStage::Probe,
                    ..ask.clone()
                };
                if probe.requested_target().is_some() {
                    Step::Next(probe)
                } else {
                    self.cold(ask, now)
                }
            }
            _ => self.cold(ask, now),
        }
    }

    /// Places a request for which no cached prefix is within reach.
    fn cold(&mut self, ask: &ReservationRequest, now: Instant) -> Step {
        let work_tokens = WorkTokens::from(ask.work_tokens);
        let strictness = if self.settings.features.steering {
            Strictness::Cold
        } else {
            Strictness::Usual
        };
        let first = ask
            .requested_target()
            .filter(|t| self.is_candidate(*t, ask));
        let least = self
            .settings
            .features
            .steering
            .then(|| self.least_loaded(ask, work_tokens, now))
            .flatten();
        for target in first.into_iter().chain(least) {
            if self.admits(target, work_tokens, strictness, now) {
                return Step::Grant(target, work_tokens);
            }
        }
        // Without a prefix every place is as good, so the walk goes straight to
        // the last choice, which was picked for its low load.
        let end = ask.choices.len().saturating_sub(1);
        let at_last = ask.stage != ReservationStage::Hinted
            && ask.stage != ReservationStage::Followed
            && usize::from(ask.next) >= end;
        if !at_last {
            return Step::Next(ReservationRequest {
                next: u8::try_from(end).unwrap_or(u8::MAX),
                stage: ReservationStage::Cold,
                ..ask.clone()
            });
        }
        let least = self.least_loaded(ask, work_tokens, now);
        let room = |strictness| least.filter(|t| self.admits(*t, work_tokens, strictness, now));
        if let Some(target) = room(Strictness::Usual) {
            return Step::Grant(target, work_tokens);
        }
        if ask.stage != ReservationStage::Last {
            return Step::Deny;
        }
        if let Some(target) = room(Strictness::Last) {
            return Step::Grant(target, work_tokens);
        }
        self.lighter_group(ask).map_or(Step::Deny, Step::Next)
    }

    /// Forwards a last ask to the router whose targets have the lowest mean load.
    fn lighter_group(&self, ask: &ReservationRequest) -> Option<ReservationRequest> {
        if ask.choices.len() >= MAX_CHOICES {
            return None;
        }
        let asked = |peer: InstanceId| {
            let mut owners = ask.choices.iter().skip(2).map(|t| self.targets.owner(*t));
            owners.any(|owner| owner == Some(peer))
        };
        let peer = self.summaries.lightest(asked)?;
        let owned = |entry: &&Entry| entry.owner == Some(peer) && self.serves(entry.view.id, ask);
        let target = self.targets.all().find(owned)?.view.id;
        let mut ask = ask.clone();
        ask.next = u8::try_from(ask.choices.len()).unwrap_or(u8::MAX);
        ask.choices.push(target);
        Some(ask)
    }

    fn least_loaded(
        &self,
        ask: &ReservationRequest,
        work_tokens: WorkTokens,
        now: Instant,
    ) -> Option<TargetId> {
        let relative = |target: &TargetId| self.relative(*target, work_tokens, now);
        self.targets
            .owned()
            .iter()
            .copied()
            .filter(|target| self.is_candidate(*target, ask))
            .min_by(|a, b| relative(a).total_cmp(&relative(b)))
    }

    /// Returns where the chat is, if it is remembered and still usable.
    fn locate(&mut self, ask: &ReservationRequest) -> Option<Location> {
        if !self.settings.features.memory {
            return None;
        }
        let known = self.memory.get(ask.chat)?;
        self.serves(known.target, ask).then_some(known)
    }

    /// Returns whether an own target may be granted for the ask.
    fn is_candidate(&self, target: TargetId, ask: &ReservationRequest) -> bool {
        self.targets.owner(target) == Some(self.own) && self.serves(target, ask)
    }

    fn serves(&self, target: TargetId, ask: &ReservationRequest) -> bool {
        let entry = self.targets.get(target);
        entry.is_some_and(|entry| entry.serves(ask.offer)) && !ask.excluded.contains(&target)
    }

    /// Returns the work of a request whose prefix is cached.
    fn warm_work(&self, ask: &ReservationRequest, known: Location) -> WorkTokens {
        let work_tokens = WorkTokens::from(ask.work_tokens);
        if !self.settings.features.discount || known.doubtful {
            return work_tokens;
        }
        let cached = f64::from(ask.prefix_tokens.min(known.prefix_tokens));
        let saved = cached * (1.0 - self.settings.cached_cost);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value lies between 1 and the work"
        )]
        let left = (float(work_tokens) - saved).max(1.0) as WorkTokens;
        left
    }

    fn count(
        &mut self,
        ask: &ReservationRequest,
        target: TargetId,
        work_tokens: WorkTokens,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if ask.holder == self.own {
            self.held.add(ask.ticket, target, work_tokens);
        } else {
            self.counts
                .grant(ask.holder, ask.ticket, target, work_tokens, now);
        }
        self.check_grant(target, work_tokens, now);
        if !self.settings.features.memory {
            return;
        }
        let known = self.memory.get(ask.chat);
        let location = Location {
            target,
            prefix_tokens: ask.work_tokens,
            doubtful: false,
        };
        self.memory.put(ask.chat, location, now);
        if known.is_none_or(|known| known.target != target) {
            self.note(ask, location, outputs);
        }
    }

    /// Tells the owners of the chat's first two choices and of its target where
    /// the chat is.
    pub(crate) fn note(
        &self,
        ask: &ReservationRequest,
        location: Location,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if !self.settings.features.notes {
            return;
        }
        let mut told = vec![self.own];
        for home in ask.choices.iter().take(2).chain([&location.target]) {
            let Some(owner) = self.targets.owner(*home) else {
                continue;
            };
            if told.contains(&owner) {
                continue;
            }
            told.push(owner);
            let message = PlacementMessage::Note {
                chat: ask.chat,
                target: location.target,
                prefix_tokens: location.prefix_tokens,
            };
            outputs.push(PlacementOutput::Send { to: owner, message });
        }
    }
}
