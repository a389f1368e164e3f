//! Router actor: placement of requests, results of attempts, and retries.

use std::time::{Duration, Instant};

use bamboospur_placement::{Decision, PlacementOutput, PlacementRequest, Refusal, Ticket};
use bamboospur_retries::{AttemptOutcome, Permit};
use bamboospur_types::{TargetId, TargetState, TeamId};

use super::router::Router;
use super::targets::Target;
use crate::mailbox::ReplySender;
use crate::peers::PeerMessage;
use crate::request::{ChosenTarget, PlaceRequest, Placement};

/// Pause before a denied request is placed again. Owners exchange their mean load
/// every 60 ms, so that they know a newer value by then.
const DENIAL_PAUSE: Duration = Duration::from_millis(60);
/// Denials of one request after which it is refused.
const MAX_DENIALS: u8 = 5;

/// A request that an owner denied and that is placed again at `due`.
pub(super) struct DeniedRequest {
    due: Instant,
    request: PlaceRequest,
    reply: ReplySender<Placement>,
}

impl Router {
    pub(super) fn place(
        &mut self,
        place: PlaceRequest,
        reply: ReplySender<Placement>,
        now: Instant,
    ) {
        if let Some(until) = self.crashes.blocked_until(&place.parts, now) {
            let _ = reply.try_send(Placement::Blocked { until });
            return;
        }
        let mut excluded = place.excluded.clone();
        excluded.extend(self.targets.with_open_breaker(&place.pool, now));
        let (at_limit, available_at) = self.targets_at_limit(&place.pool, now);
        excluded.extend(at_limit);
        let Some(pool) = self.pools.get_mut(&place.pool) else {
            let refused = refusal(Refusal::NoTarget, Duration::from_secs(1));
            let _ = reply.try_send(refused);
            return;
        };
        if place.excluded.is_empty() && place.denials == 0 {
            pool.budget.record_request(now);
        }
        let decision = pool
            .placer
            .place(&placement_request(&place, &excluded), now);
        match decision {
            Decision::Send { target, ticket, .. } => {
                self.placed += 1;
                self.answer_with_target(&place.pool, target, ticket, &reply, now);
            }
            Decision::ReservationRequest {
                owner,
                ticket,
                message,
                ..
            } => {
                let name = place.pool.clone();
                pool.waiting.insert(ticket, (place, reply));
                let to = owner;
                self.handle_output(PlacementOutput::Send { to, message }, &name, now);
            }
            Decision::Refuse {
                retry_after,
                reason,
            } => {
                let refused = match available_at {
                    Some(at) if reason == Refusal::NoTarget => Self::refuse_at_limit(at, now),
                    _ => refusal(reason, retry_after),
                };
                let _ = reply.try_send(refused);
            }
        }
    }

    /// Answers a request with its target. The placement ends immediately if the
    /// request no longer waits or the target is gone.
    fn answer_with_target(
        &mut self,
        pool: &str,
        target: TargetId,
        ticket: Ticket,
        reply: &ReplySender<Placement>,
        now: Instant,
    ) {
        let chosen = self.targets.get_mut(target).map(|entry| ChosenTarget {
            target,
            start_id: entry.start_id(),
            name: entry.name.clone(),
            address: entry.address,
            kind: entry.kind,
            ticket,
            permit: entry.breaker.allow(now),
            is_limited: self.limits.is_limited(entry.start_id()),
        });
        let Some(chosen) = chosen else {
            self.record_violation("a placement names an unknown target");
            let _ = reply.try_send(refusal(Refusal::NoTarget, Duration::from_secs(1)));
            self.finish_placement(pool, ticket, now);
            return;
        };
        // A leaving target must not get new work.
        if self.is_leaving(target) {
            self.record_violation("a placement names a target that is leaving");
        }
        let permit = chosen.permit;
        self.limits.record_request(chosen.start_id, now);
        if reply.try_send(Placement::Target(chosen)).is_err() {
            self.finish_placement(pool, ticket, now);
            self.record_outcome(0, target, permit, AttemptOutcome::Abandoned, now);
        }
    }

    fn is_leaving(&self, target: TargetId) -> bool {
        let target = self.targets.get(target);
        target.is_none_or(|target| target.view.state != TargetState::Ready)
    }

    pub(super) fn finish_placement(&mut self, pool: &str, ticket: Ticket, now: Instant) {
        self.finished += 1;
        if self.finished > self.placed {
            self.record_violation("more placements ended than began");
            self.finished = self.placed;
        }
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.placer.finish(ticket, now);
        }
    }

    pub(super) fn record_outcome(
        &mut self,
        team: TeamId,
        target: TargetId,
        permit: Permit,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let rng = &mut self.rng;
        if let Some(target) = self.targets.get_mut(target)
            && !matches!(permit, Permit::Refused { .. })
        {
            target.breaker.record(team, permit, outcome, now, rng);
        }
    }

    pub(super) fn grant_retry(
        &mut self,
        pool: &str,
        attempt: u32,
        now: Instant,
    ) -> Option<Duration> {
        let pool = self.pools.get_mut(pool)?;
        if !pool.budget.try_retry(now) {
            return None;
        }
        // A pause that one target requested does not apply to another one, so that
        // only the backoff counts.
        Some(self.backoff.next(attempt, &mut self.rng))
    }

    pub(super) fn deliver(&mut self, pool: &str, outputs: Vec<PlacementOutput>, now: Instant) {
        for output in outputs {
            self.handle_output(output, pool, now);
        }
    }

    fn handle_output(&mut self, output: PlacementOutput, pool: &str, now: Instant) {
        match output {
            PlacementOutput::Send { to, message } if to == self.own_id => {
                let own = self.own_id;
                let entry = self.pools.get_mut(pool);
                let outputs = entry.map(|entry| entry.placer.handle(message, own, now));
                self.deliver(pool, outputs.unwrap_or_default(), now);
            }
            PlacementOutput::Send { to, message } => {
                let pool = pool.to_owned();
                self.peers
                    .send(PeerMessage::Placement { to, pool, message });
            }
            PlacementOutput::Placed { ticket, target, .. } => {
                self.placed += 1;
                let start = self.targets.get(target).map(Target::start_id);
                let has_room = start.is_none_or(|start| self.limits.has_room(start, now));
                match self.take_waiting(pool, ticket) {
                    Some((_, reply)) if has_room => {
                        self.answer_with_target(pool, target, ticket, &reply, now);
                    }
                    Some((request, reply)) => {
                        // The owner of the target does not know how much of the limit is left.
                        self.finish_placement(pool, ticket, now);
                        let denial = (Refusal::Overloaded, DENIAL_PAUSE);
                        self.handle_denial(request, reply, denial, now);
                    }
                    None => self.finish_placement(pool, ticket, now),
                }
            }
            PlacementOutput::Refused {
                ticket,
                retry_after,
                reason,
            } => {
                if let Some((request, reply)) = self.take_waiting(pool, ticket) {
                    self.handle_denial(request, reply, (reason, retry_after), now);
                }
            }
            PlacementOutput::Violation { what } => self.record_violation(what),
        }
    }

    /// Schedules a denied request to be placed again, or refuses it. An owner compares
    /// its targets with a mean load that can be out of date, and so can deny a request
    /// while targets are idle. Requests to a saturated pool are refused without asking
    /// owners.
    fn handle_denial(
        &mut self,
        mut request: PlaceRequest,
        reply: ReplySender<Placement>,
        (reason, retry_after): (Refusal, Duration),
        now: Instant,
    ) {
        if reason != Refusal::Overloaded || request.denials >= MAX_DENIALS {
            let _ = reply.try_send(refusal(reason, retry_after));
            return;
        }
        request.denials += 1;
        let due = now + DENIAL_PAUSE;
        self.denied.push_back(DeniedRequest {
            due,
            request,
            reply,
        });
    }

    /// Places denied requests again after their pause.
    pub(super) fn place_denied(&mut self, now: Instant) {
        while self.denied.front().is_some_and(|denied| denied.due <= now) {
            if let Some(DeniedRequest { request, reply, .. }) = self.denied.pop_front() {
                self.place(request, reply, now);
            }
        }
    }

    fn take_waiting(
        &mut self,
        pool: &str,
        ticket: Ticket,
    ) -> Option<(PlaceRequest, ReplySender<Placement>)> {
        self.pools.get_mut(pool)?.waiting.remove(&ticket)
    }
}

fn placement_request<'a>(place: &PlaceRequest, excluded: &'a [TargetId]) -> PlacementRequest<'a> {
    PlacementRequest {
        team: place.team,
        chat: place.chat,
        offer: place.offer,
        work_tokens: place.work_tokens,
        prefix_tokens: place.prefix_tokens,
        excluded,
        hint: place.hint,
        priority: place.priority,
    }
}

const fn refusal(reason: Refusal, retry_after: Duration) -> Placement {
    Placement::Refused {
        reason,
        retry_after,
    }
}
