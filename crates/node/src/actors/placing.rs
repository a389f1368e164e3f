//! Router actor: choice of targets, ends of attempts, and retries.

use std::time::{Duration, Instant};

use bamboospur_placement::{Decision, PlacementOutput, PlacementRequest, Refusal, Ticket};
use bamboospur_retries::{AttemptOutcome, Permit};
use bamboospur_types::{TargetId, TargetState, TeamId};

use super::router::Router;
use crate::mailbox::Reply;
use crate::peers::PeerMessage;
use crate::request::{ChosenTarget, PlaceRequest, Placement};

/// Time after which a denied request is placed again: by then the owners know a
/// newer mean load, which they exchange every 60 ms.
const DENIED_PAUSE: Duration = Duration::from_millis(60);
/// Denials of one request before it is refused.
const MAX_DENIALS: u8 = 5;

/// A request that owners denied, to be placed again.
pub(super) struct Denied {
    due: Instant,
    ask: PlaceRequest,
    reply: Reply<Placement>,
}

impl Router {
    pub(super) fn place(&mut self, place: PlaceRequest, reply: Reply<Placement>, now: Instant) {
        let mut excluded = place.excluded.clone();
        excluded.extend(self.targets.refusing(&place.pool, now));
        let Some(pool) = self.pools.get_mut(&place.pool) else {
            let refused = refuse(Refusal::NoTarget, Duration::from_secs(1));
            let _ = reply.try_send(refused);
            return;
        };
        if place.excluded.is_empty() && place.denials == 0 {
            pool.budget.record_request(now);
        }
        let decision = pool.placer.place(&request(&place, &excluded), now);
        match decision {
            Decision::Send { target, ticket, .. } => {
                self.placed += 1;
                self.choose(&place.pool, target, ticket, &reply, now);
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
                self.send(PlacementOutput::Send { to, message }, &name, now);
            }
            Decision::Refuse {
                retry_after,
                reason,
            } => {
                let _ = reply.try_send(refuse(reason, retry_after));
            }
        }
    }

    /// Answers a request with its target; a placement that no one waits for,
    /// or whose target is gone, ends at once.
    fn choose(
        &mut self,
        pool: &str,
        target: TargetId,
        ticket: Ticket,
        reply: &Reply<Placement>,
        now: Instant,
    ) {
        let chosen = self.targets.get_mut(target).map(|entry| ChosenTarget {
            target,
            name: entry.name.clone(),
            address: entry.address,
            kind: entry.kind,
            ticket,
            permit: entry.breaker.allow(now),
        });
        let Some(chosen) = chosen else {
            self.violated("a placement names an unknown target");
            let _ = reply.try_send(refuse(Refusal::NoTarget, Duration::from_secs(1)));
            self.finish(pool, ticket, now);
            return;
        };
        // A leaving target must get no new work.
        if self.is_leaving(target) {
            self.violated("a placement names a target that is leaving");
        }
        let permit = chosen.permit;
        if reply.try_send(Placement::Target(chosen)).is_err() {
            self.finish(pool, ticket, now);
            self.record(0, target, permit, AttemptOutcome::Abandoned, now);
        }
    }

    fn is_leaving(&self, target: TargetId) -> bool {
        let target = self.targets.get(target);
        target.is_none_or(|target| target.view.state != TargetState::Ready)
    }

    pub(super) fn finish(&mut self, pool: &str, ticket: Ticket, now: Instant) {
        self.finished += 1;
        if self.finished > self.placed {
            self.violated("more placements ended than began");
            self.finished = self.placed;
        }
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.placer.finish(ticket, now);
        }
    }

    pub(super) fn record(
        &mut self,
        team: TeamId,
        target: TargetId,
        permit: Permit,
        verdict: AttemptOutcome,
        now: Instant,
    ) {
        let rng = &mut self.rng;
        if let Some(target) = self.targets.get_mut(target)
            && !matches!(permit, Permit::Refused { .. })
        {
            target.breaker.record(team, permit, verdict, now, rng);
        }
    }

    pub(super) fn retry(&mut self, pool: &str, attempt: u32, now: Instant) -> Option<Duration> {
        let pool = self.pools.get_mut(pool)?;
        if !pool.budget.try_retry(now) {
            return None;
        }
        // A pause that one target asked for does not hold for another one.
        Some(self.backoff.next(attempt, &mut self.rng))
    }

    pub(super) fn deliver(&mut self, pool: &str, outputs: Vec<PlacementOutput>, now: Instant) {
        for output in outputs {
            self.send(output, pool, now);
        }
    }

    fn send(&mut self, output: PlacementOutput, pool: &str, now: Instant) {
        match output {
            PlacementOutput::Send { to, message } if to == self.own => {
                let own = self.own;
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
                match self.take_waiting(pool, ticket) {
                    Some((_, reply)) => self.choose(pool, target, ticket, &reply, now),
                    None => self.finish(pool, ticket, now),
                }
            }
            PlacementOutput::Refused {
                ticket,
                retry_after,
                reason,
            } => {
                if let Some((ask, reply)) = self.take_waiting(pool, ticket) {
                    self.denied(ask, reply, (reason, retry_after), now);
                }
            }
            PlacementOutput::Violation { what } => self.violated(what),
        }
    }

    /// Owners deny by a mean load that can lag, so that a request can be denied
    /// while targets are idle. A saturated pool is refused without asking owners.
    fn denied(
        &mut self,
        mut ask: PlaceRequest,
        reply: Reply<Placement>,
        (reason, retry_after): (Refusal, Duration),
        now: Instant,
    ) {
        if reason != Refusal::Overloaded || ask.denials >= MAX_DENIALS {
            let _ = reply.try_send(refuse(reason, retry_after));
            return;
        }
        ask.denials += 1;
        let due = now + DENIED_PAUSE;
        self.denied.push_back(Denied { due, ask, reply });
    }

    /// Places denied requests again whose pause is over.
    pub(super) fn place_denied(&mut self, now: Instant) {
        while self.denied.front().is_some_and(|denied| denied.due <= now) {
            if let Some(Denied { ask, reply, .. }) = self.denied.pop_front() {
                self.place(ask, reply, now);
            }
        }
    }

    fn take_waiting(
        &mut self,
        pool: &str,
        ticket: Ticket,
    ) -> Option<(PlaceRequest, Reply<Placement>)> {
        self.pools.get_mut(pool)?.waiting.remove(&ticket)
    }
}

fn request<'a>(place: &PlaceRequest, excluded: &'a [TargetId]) -> PlacementRequest<'a> {
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

const fn refuse(reason: Refusal, retry_after: Duration) -> Placement {
    Placement::Refused {
        reason,
        retry_after,
    }
}
