//! The steps of a request on a router: admit, claim, place, send, settle.

use std::sync::Arc;

use bamboospur_claims::{Attempt, ClaimKey, Stored};
use bamboospur_control::{Command, Request, claim_key};
use bamboospur_limits::{Admission, Ticket as Share};
use bamboospur_placement::{Decision, PlacementMessage, PlacementRequest};
use bamboospur_retries::{AttemptOutcome, Breaker, BreakerSettings, Permit};
use bamboospur_types::TargetId;

use super::host::Live;
use super::message::{Ask, Final, Message, Node};
use super::oracle::Label;
use super::world::World;

const REQUEST_US: u64 = 6_000_000;
const ATTEMPT_US: u64 = 4_000_000;
const ATTEMPTS: usize = 3;

/// Where a request is.
pub enum Stage {
    Claim {
        ticket: u64,
        retry_us: u64,
        until_us: u64,
    },
    Watch {
        ticket: u64,
        retry_us: u64,
    },
    Placing {
        ticket: u64,
        since_us: u64,
    },
    Running {
        attempt: u64,
        target: TargetId,
        ticket: u64,
        permit: Permit,
        until_us: u64,
    },
    /// Between two steps.
    Idle,
}

pub struct Job {
    pub ask: Ask,
    share: Option<Share>,
    pub stage: Stage,
    pub deadline_us: u64,
    excluded: Vec<TargetId>,
    may_have_run: bool,
    attempts: usize,
    pub claim: Option<Attempt>,
    /// Work counted at the target in use.
    pub held: Option<(TargetId, u64)>,
}

pub fn key_of(ask: &Ask) -> ClaimKey {
    claim_key("team", &format!("key-{}", ask.request))
}

impl World {
    pub fn submit(&mut self, index: usize, live: &mut Live, ask: Ask) {
        let node = Node::Router(index);
        let now = self.instant(node);
        if !self.takes_requests(live) {
            let answer = Final::NotRun {
                retry_after_ms: 100,
            };
            return self.send(
                node,
                Node::Caller(ask.caller),
                Message::Final(ask.send, answer),
            );
        }
        self.routers[index].open.insert(ask.send);
        let mut job = Job {
            ask,
            share: None,
            stage: Stage::Idle,
            deadline_us: self.now_us + REQUEST_US,
            excluded: Vec::new(),
            may_have_run: false,
            attempts: 0,
            claim: None,
            held: None,
        };
        match live.holder.admit(ask.team as u64, ask.work, 1, now) {
            Admission::Granted(share) => job.share = Some(share),
            Admission::Refused { retry_after, .. } => {
                let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(1_000);
                return self.end(index, live, job, Final::NotRun { retry_after_ms });
            }
        }
        live.budget.record_request(now);
        if ask.repeatable {
            return self.place(index, live, job);
        }
        let number = self.number();
        job.claim = Some(Attempt {
            instance: self.routers[index].id,
            number,
        });
        self.ask_claim(index, live, job);
    }

    pub fn place(&mut self, index: usize, live: &mut Live, mut job: Job) {
        let now = self.instant(Node::Router(index));
        let open = live
            .breakers
            .iter()
            .filter(|(_, breaker)| breaker.refuses(now));
        let mut excluded: Vec<TargetId> = open.map(|(target, _)| *target).collect();
        excluded.extend(&job.excluded);
        let request = PlacementRequest {
            team: job.ask.team as u64,
            chat: job.ask.chat,
            offer: None,
            work_tokens: job.ask.work,
            prefix_tokens: job.ask.prefix,
            excluded: &excluded,
            hint: None,
            priority: 1,
        };
        let send = job.ask.send;
        let since_us = self.now_us;
        let before: Vec<Option<u64>> = self.counted_by(live);
        match live.placer.place(&request, now) {
            Decision::Send { target, ticket, .. } => {
                job.stage = Stage::Placing { ticket, since_us };
                // A cached prefix counts less; the own count shows how much.
                let slot = self.targets.iter().position(|t| t.id == target);
                let before = slot.and_then(|slot| before[slot]);
                let after = live.placer.counted_tokens(target);
                let counted = after.zip(before).map(|(after, before)| after - before);
                let work = counted.unwrap_or(job.ask.work);
                live.jobs.insert(send, job);
                self.placed(index, live, ticket, target, work);
            }
            Decision::ReservationRequest {
                owner,
                ticket,
                message,
                ..
            } => {
                job.stage = Stage::Placing { ticket, since_us };
                live.jobs.insert(send, job);
                self.ask_owner(index, owner, message);
            }
            Decision::Refuse { retry_after, .. } => {
                let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(1_000);
                self.give_up(index, live, job, retry_after_ms);
            }
        }
    }

    fn counted_by(&self, live: &Live) -> Vec<Option<u64>> {
        let targets = self.targets.iter();
        targets
            .map(|target| live.placer.counted_tokens(target.id))
            .collect()
    }

    fn ask_owner(&mut self, index: usize, owner: u64, message: PlacementMessage) {
        if let Some(to) = self.router_of(owner) {
            self.send(
                Node::Router(index),
                Node::Router(to),
                Message::Placement(message),
            );
        }
    }

    fn take_placing(live: &mut Live, ticket: u64) -> Option<Job> {
        let is_it =
            |job: &Job| matches!(job.stage, Stage::Placing { ticket: own, .. } if own == ticket);
        let found = live
            .jobs
            .iter()
            .find(|(_, job)| is_it(job))
            .map(|(send, _)| *send);
        live.jobs.remove(&found?)
    }

    pub fn placed(
        &mut self,
        index: usize,
        live: &mut Live,
        ticket: u64,
        target: TargetId,
        work: u64,
    ) {
        let node = Node::Router(index);
        let now = self.instant(node);
        let Some(mut job) = Self::take_placing(live, ticket) else {
            return self.fail(
                Label::Internal,
                format!("ticket {ticket} was placed for no request"),
            );
        };
        let breaker = live
            .breakers
            .entry(target)
            .or_insert_with(|| Breaker::new(BreakerSettings::default()));
        let permit = breaker.allow(now);
        let Some(engine) = self.targets.iter().position(|t| t.id == target) else {
            return self.fail(
                Label::Internal,
                format!("unknown target {target} was chosen"),
            );
        };
        if let Permit::Refused { .. } = permit {
            live.placer.finish(ticket, now);
            job.excluded.push(target);
            return self.again(index, live, job);
        }
        let attempt = self.number();
        let until_us = (self.now_us + ATTEMPT_US).min(job.deadline_us.max(self.now_us + 500_000));
        job.stage = Stage::Running {
            attempt,
            target,
            ticket,
            permit,
            until_us,
        };
        job.attempts += 1;
        job.held = Some((target, work));
        let ask = job.ask;
        live.jobs.insert(ask.send, job);
        self.note(format!(
            "router {index} sends {} of request {} to engine {engine}",
            ask.send, ask.request
        ));
        let incarnation = live.usable.get(&target).copied();
        let known = incarnation.unwrap_or(self.targets[engine].incarnation);
        self.check_leaving(index, engine, known);
        self.check_bound(index, live, engine, work);
        self.send(node, Node::Target(engine), Message::Run { attempt, ask });
    }

    pub fn placement_refused(&mut self, index: usize, live: &mut Live, ticket: u64, retry_ms: u64) {
        match Self::take_placing(live, ticket) {
            Some(job) => self.give_up(index, live, job, retry_ms),
            None => self.fail(
                Label::Internal,
                format!("ticket {ticket} was refused for no request"),
            ),
        }
    }

    fn take_attempt(
        &mut self,
        index: usize,
        live: &mut Live,
        attempt: u64,
        verdict: AttemptOutcome,
    ) -> Option<Job> {
        let now = self.instant(Node::Router(index));
        let is_it =
            |job: &Job| matches!(job.stage, Stage::Running { attempt: own, .. } if own == attempt);
        let found = live
            .jobs
            .iter()
            .find(|(_, job)| is_it(job))
            .map(|(send, _)| *send);
        let mut job = live.jobs.remove(&found?)?;
        job.held = None;
        if let Stage::Running {
            target,
            ticket,
            permit,
            ..
        } = job.stage
        {
            live.placer.finish(ticket, now);
            job.excluded.push(target);
            let team = job.ask.team as u64;
            if let Some(breaker) = live.breakers.get_mut(&target) {
                breaker.record(team, permit, verdict, now, &mut live.rng);
            }
        }
        job.stage = Stage::Idle;
        Some(job)
    }

    pub fn attempt_answered(
        &mut self,
        index: usize,
        live: &mut Live,
        attempt: u64,
        request: u64,
        body: Vec<u8>,
    ) {
        // The answer that comes late finds no attempt.
        let open = live
            .jobs
            .values()
            .find(|job| matches!(job.stage, Stage::Running { attempt: own, .. } if own == attempt));
        let Some(job) = open else {
            return;
        };
        if job.ask.request != request {
            return self.attempt_failed(index, live, attempt, true);
        }
        if let Some(job) = self.take_attempt(index, live, attempt, AttemptOutcome::Success) {
            self.end(index, live, job, Final::Answered(body));
        }
    }

    pub fn attempt_failed(
        &mut self,
        index: usize,
        live: &mut Live,
        attempt: u64,
        may_have_run: bool,
    ) {
        let now = self.instant(Node::Router(index));
        let verdict = if may_have_run {
            AttemptOutcome::Failure
        } else {
            AttemptOutcome::ConnectionFailure
        };
        let Some(mut job) = self.take_attempt(index, live, attempt, verdict) else {
            return;
        };
        job.may_have_run |= may_have_run;
        let in_time = self.now_us < job.deadline_us && job.attempts < ATTEMPTS;
        if job.ask.repeatable && in_time && live.budget.try_retry(now) {
            return self.place(index, live, job);
        }
        self.give_up(index, live, job, 200);
    }

    fn again(&mut self, index: usize, live: &mut Live, job: Job) {
        if job.excluded.len() > 8 {
            return self.give_up(index, live, job, 500);
        }
        self.place(index, live, job);
    }

    pub fn give_up(&mut self, index: usize, live: &mut Live, job: Job, retry_after_ms: u64) {
        let answer = if job.may_have_run {
            Final::Unknown
        } else {
            Final::NotRun { retry_after_ms }
        };
        self.end(index, live, job, answer);
    }

    pub fn end(&mut self, index: usize, live: &mut Live, job: Job, answer: Final) {
        if let Some(attempt) = job.claim {
            let key = key_of(&job.ask);
            let command = match &answer {
                Final::Answered(body) => Some(Command::Settle {
                    key,
                    attempt,
                    stored: Arc::new(Stored {
                        status: 200,
                        content_type: "text/plain".to_owned(),
                        body: body.clone(),
                    }),
                }),
                Final::NotRun { .. } => Some(Command::Release { key, attempt }),
                Final::Unknown => None,
            };
            if let Some(command) = command {
                self.ask_control(index, live, Request::Command(command));
            }
        }
        self.end_without_claim(index, live, job, answer);
    }

    pub fn end_without_claim(&mut self, index: usize, live: &mut Live, job: Job, answer: Final) {
        let node = Node::Router(index);
        let now = self.instant(node);
        if let Some(share) = job.share {
            live.holder.finish(share, now);
        }
        self.routers[index].open.remove(&job.ask.send);
        let message = Message::Final(job.ask.send, answer);
        self.send(node, Node::Caller(job.ask.caller), message);
    }
}
