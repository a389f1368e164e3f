//! The steps of a request on a router: admit, claim, place, send, settle.

use std::sync::Arc;

use bamboospur_claims::{Attempt, ClaimKey, StoredAnswer};
use bamboospur_control::{Command, Request, claim_key};
use bamboospur_limits::{Admission, AdmissionTicket as LimitsTicket};
use bamboospur_placement::{Decision, PlacementMessage, PlacementRequest};
use bamboospur_retries::{AttemptOutcome, Breaker, BreakerSettings, Permit};
use bamboospur_types::TargetId;

use super::message::{CallerRequest, FinalAnswer, Message, Node};
use super::oracle::ViolationKind;
use super::router::LiveRouter;
use super::world::World;

const REQUEST_TIMEOUT_US: u64 = 6_000_000;
const ATTEMPT_TIMEOUT_US: u64 = 4_000_000;
const MAX_ATTEMPTS: usize = 3;

/// Step that a request has reached.
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

/// A request in progress on a router.
pub struct Job {
    pub request: CallerRequest,
    limits_ticket: Option<LimitsTicket>,
    pub stage: Stage,
    pub deadline_us: u64,
    excluded: Vec<TargetId>,
    may_have_run: bool,
    attempts: usize,
    pub claim: Option<Attempt>,
    /// Target of the running attempt, and the work counted there in tokens.
    pub counted_work: Option<(TargetId, u64)>,
}

pub fn key_of(request: &CallerRequest) -> ClaimKey {
    claim_key("team", &format!("key-{}", request.request_id))
}

impl World {
    pub fn submit(&mut self, index: usize, live: &mut LiveRouter, request: CallerRequest) {
        let node = Node::Router(index);
        let now = self.instant(node);
        if !self.takes_requests(live) {
            let answer = FinalAnswer::NotRun {
                retry_after_ms: 100,
            };
            return self.send(
                node,
                Node::Caller(request.caller),
                Message::Final(request.send_id, answer),
            );
        }
        self.routers[index].open_sends.insert(request.send_id);
        let mut job = Job {
            request,
            limits_ticket: None,
            stage: Stage::Idle,
            deadline_us: self.now_us + REQUEST_TIMEOUT_US,
            excluded: Vec::new(),
            may_have_run: false,
            attempts: 0,
            claim: None,
            counted_work: None,
        };
        match live
            .holder
            .admit(request.team as u64, request.work_tokens, 1, now)
        {
            Admission::Granted(ticket) => job.limits_ticket = Some(ticket),
            Admission::Refused { retry_after, .. } => {
                let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(1_000);
                return self.finish_request(
                    index,
                    live,
                    job,
                    FinalAnswer::NotRun { retry_after_ms },
                );
            }
        }
        live.budget.record_request(now);
        if request.repeatable {
            return self.place(index, live, job);
        }
        let number = self.next_id();
        job.claim = Some(Attempt {
            instance: self.routers[index].id,
            number,
        });
        self.request_claim(index, live, job);
    }

    pub fn place(&mut self, index: usize, live: &mut LiveRouter, mut job: Job) {
        let now = self.instant(Node::Router(index));
        let open = live
            .breakers
            .iter()
            .filter(|(_, breaker)| breaker.refuses(now));
        let mut excluded: Vec<TargetId> = open.map(|(target, _)| *target).collect();
        excluded.extend(&job.excluded);
        let request = PlacementRequest {
            team: job.request.team as u64,
            chat: job.request.chat,
            offer: None,
            work_tokens: job.request.work_tokens,
            prefix_tokens: job.request.prefix_tokens,
            excluded: &excluded,
            hint: None,
            priority: 1,
        };
        let send = job.request.send_id;
        let since_us = self.now_us;
        let before: Vec<Option<u64>> = self.counted_tokens_by_target(live);
        match live.placer.place(&request, now) {
            Decision::Send { target, ticket, .. } => {
                job.stage = Stage::Placing { ticket, since_us };
                // A cached prefix counts less than its length; the difference in the placer's
                // count shows how much.
                let slot = self.targets.iter().position(|t| t.id == target);
                let before = slot.and_then(|slot| before[slot]);
                let after = live.placer.counted_tokens(target);
                let counted = after.zip(before).map(|(after, before)| after - before);
                let work = counted.unwrap_or(job.request.work_tokens);
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
                self.send_to_owner(index, owner, message);
            }
            Decision::Refuse { retry_after, .. } => {
                let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(1_000);
                self.give_up(index, live, job, retry_after_ms);
            }
        }
    }

    fn counted_tokens_by_target(&self, live: &LiveRouter) -> Vec<Option<u64>> {
        let targets = self.targets.iter();
        targets
            .map(|target| live.placer.counted_tokens(target.id))
            .collect()
    }

    fn send_to_owner(&mut self, index: usize, owner: u64, message: PlacementMessage) {
        if let Some(to) = self.router_index(owner) {
            self.send(
                Node::Router(index),
                Node::Router(to),
                Message::Placement(message),
            );
        }
    }

    fn take_placing_job(live: &mut LiveRouter, ticket: u64) -> Option<Job> {
        let is_match =
            |job: &Job| matches!(job.stage, Stage::Placing { ticket: own, .. } if own == ticket);
        let found = live
            .jobs
            .iter()
            .find(|(_, job)| is_match(job))
            .map(|(send, _)| *send);
        live.jobs.remove(&found?)
    }

    pub fn placed(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        ticket: u64,
        target: TargetId,
        work: u64,
    ) {
        let node = Node::Router(index);
        let now = self.instant(node);
        let Some(mut job) = Self::take_placing_job(live, ticket) else {
            return self.fail(
                ViolationKind::Internal,
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
                ViolationKind::Internal,
                format!("unknown target {target} was chosen"),
            );
        };
        if let Permit::Refused { .. } = permit {
            live.placer.finish(ticket, now);
            job.excluded.push(target);
            return self.place_again(index, live, job);
        }
        let attempt = self.next_id();
        let until_us =
            (self.now_us + ATTEMPT_TIMEOUT_US).min(job.deadline_us.max(self.now_us + 500_000));
        job.stage = Stage::Running {
            attempt,
            target,
            ticket,
            permit,
            until_us,
        };
        job.attempts += 1;
        job.counted_work = Some((target, work));
        let request = job.request;
        live.jobs.insert(request.send_id, job);
        self.add_trace(format!(
            "router {index} sends {} of request {} to engine {engine}",
            request.send_id, request.request_id
        ));
        let incarnation = live.usable.get(&target).copied();
        let known = incarnation.unwrap_or(self.targets[engine].incarnation);
        self.check_leaving(index, engine, known);
        self.check_bound(index, live, engine, work);
        self.send(
            node,
            Node::Target(engine),
            Message::Run { attempt, request },
        );
    }

    pub fn placement_refused(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        ticket: u64,
        retry_ms: u64,
    ) {
        match Self::take_placing_job(live, ticket) {
            Some(job) => self.give_up(index, live, job, retry_ms),
            None => self.fail(
                ViolationKind::Internal,
                format!("ticket {ticket} was refused for no request"),
            ),
        }
    }

    fn take_running_job(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        attempt: u64,
        outcome: AttemptOutcome,
    ) -> Option<Job> {
        let now = self.instant(Node::Router(index));
        let is_match =
            |job: &Job| matches!(job.stage, Stage::Running { attempt: own, .. } if own == attempt);
        let found = live
            .jobs
            .iter()
            .find(|(_, job)| is_match(job))
            .map(|(send, _)| *send);
        let mut job = live.jobs.remove(&found?)?;
        job.counted_work = None;
        if let Stage::Running {
            target,
            ticket,
            permit,
            ..
        } = job.stage
        {
            live.placer.finish(ticket, now);
            job.excluded.push(target);
            let team = job.request.team as u64;
            if let Some(breaker) = live.breakers.get_mut(&target) {
                breaker.record(team, permit, outcome, now, &mut live.rng);
            }
        }
        job.stage = Stage::Idle;
        Some(job)
    }

    pub fn attempt_answered(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        attempt: u64,
        request: u64,
        body: Vec<u8>,
    ) {
        // A late answer finds no running attempt and is dropped.
        let open = live
            .jobs
            .values()
            .find(|job| matches!(job.stage, Stage::Running { attempt: own, .. } if own == attempt));
        let Some(job) = open else {
            return;
        };
        if job.request.request_id != request {
            return self.attempt_failed(index, live, attempt, true);
        }
        if let Some(job) = self.take_running_job(index, live, attempt, AttemptOutcome::Success) {
            self.finish_request(index, live, job, FinalAnswer::Answered(body));
        }
    }

    pub fn attempt_failed(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        attempt: u64,
        may_have_run: bool,
    ) {
        let now = self.instant(Node::Router(index));
        let outcome = if may_have_run {
            AttemptOutcome::Failure
        } else {
            AttemptOutcome::ConnectionFailure
        };
        let Some(mut job) = self.take_running_job(index, live, attempt, outcome) else {
            return;
        };
        job.may_have_run |= may_have_run;
        let in_time = self.now_us < job.deadline_us && job.attempts < MAX_ATTEMPTS;
        if job.request.repeatable && in_time && live.budget.try_retry(now) {
            return self.place(index, live, job);
        }
        self.give_up(index, live, job, 200);
    }

    fn place_again(&mut self, index: usize, live: &mut LiveRouter, job: Job) {
        if job.excluded.len() > 8 {
            return self.give_up(index, live, job, 500);
        }
        self.place(index, live, job);
    }

    pub fn give_up(&mut self, index: usize, live: &mut LiveRouter, job: Job, retry_after_ms: u64) {
        let answer = if job.may_have_run {
            FinalAnswer::Unknown
        } else {
            FinalAnswer::NotRun { retry_after_ms }
        };
        self.finish_request(index, live, job, answer);
    }

    pub fn finish_request(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        job: Job,
        answer: FinalAnswer,
    ) {
        if let Some(attempt) = job.claim {
            let key = key_of(&job.request);
            let command = match &answer {
                FinalAnswer::Answered(body) => Some(Command::Settle {
                    key,
                    attempt,
                    stored: Arc::new(StoredAnswer {
                        status: 200,
                        content_type: "text/plain".to_owned(),
                        body: body.clone(),
                    }),
                }),
                FinalAnswer::NotRun { .. } => Some(Command::Release { key, attempt }),
                FinalAnswer::Unknown => None,
            };
            if let Some(command) = command {
                self.send_to_control(index, live, Request::Command(command));
            }
        }
        self.finish_without_claim(index, live, job, answer);
    }

    pub fn finish_without_claim(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        job: Job,
        answer: FinalAnswer,
    ) {
        let node = Node::Router(index);
        let now = self.instant(node);
        if let Some(ticket) = job.limits_ticket {
            live.holder.finish(ticket, now);
        }
        self.routers[index].open_sends.remove(&job.request.send_id);
        let message = Message::Final(job.request.send_id, answer);
        self.send(node, Node::Caller(job.request.caller), message);
    }
}
