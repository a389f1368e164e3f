//! Claims the keys of requests that are not repeatable, so that they run at most once.

use std::time::Duration;

use bamboospur_claims::ClaimResponse;
use bamboospur_control::{ClaimCommand, Command, MemberError, Reply, Request, Response};

use super::message::{FinalAnswer, Message, Node};
use super::oracle::ViolationKind;
use super::requests::{Job, Stage, key_of};
use super::router::LiveRouter;
use super::world::World;

/// Run time-out of a claim, longer than a request can take.
const RUN_TIMEOUT_US: u64 = 7_000_000;
/// Time after which a router gives up claiming a key.
const CLAIM_TIMEOUT_US: u64 = 1_500_000;
const CONTROL_RETRY_US: u64 = 400_000;
const WATCH_RETRY_US: u64 = 1_000_000;

impl World {
    pub fn send_to_control(&mut self, index: usize, live: &LiveRouter, request: Request) -> u64 {
        let members: Vec<u64> = self
            .members
            .values()
            .filter(|m| !m.is_lost)
            .map(|m| m.id)
            .collect();
        let any = members[self.random_index(members.len())];
        let to = live.leader.unwrap_or(any);
        let ticket = self.next_id();
        let message = Message::ControlRequest(ticket, Box::new(request));
        self.send(Node::Router(index), Node::Member(to), message);
        ticket
    }

    pub fn request_claim(&mut self, index: usize, live: &mut LiveRouter, mut job: Job) {
        let Some(attempt) = job.claim else {
            return;
        };
        let claim = ClaimCommand {
            key: key_of(&job.request),
            fingerprint: job.request.request_id,
            attempt,
            run_timeout: Duration::from_micros(RUN_TIMEOUT_US),
        };
        let request = Request::Command(Command::Claims(vec![claim]));
        let ticket = self.send_to_control(index, live, request);
        let until_us = match job.stage {
            Stage::Claim { until_us, .. } => until_us,
            _ => self.now_us + CLAIM_TIMEOUT_US,
        };
        let retry_us = self.now_us + CONTROL_RETRY_US;
        job.stage = Stage::Claim {
            ticket,
            retry_us,
            until_us,
        };
        live.jobs.insert(job.request.send_id, job);
    }

    pub fn request_watch(&mut self, index: usize, live: &mut LiveRouter, mut job: Job) {
        let key = key_of(&job.request);
        let ticket = self.send_to_control(index, live, Request::Watch { key });
        let retry_us = self.now_us + WATCH_RETRY_US;
        job.stage = Stage::Watch { ticket, retry_us };
        live.jobs.insert(job.request.send_id, job);
    }

    pub fn handle_control_reply(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        ticket: u64,
        answer: Result<Response, MemberError>,
    ) {
        let matches = |job: &Job| match &job.stage {
            Stage::Claim { ticket: own, .. } | Stage::Watch { ticket: own, .. } => *own == ticket,
            _ => false,
        };
        let found = live
            .jobs
            .iter()
            .find(|(_, job)| matches(job))
            .map(|(send, _)| *send);
        let Some(mut job) = found.and_then(|send| live.jobs.remove(&send)) else {
            return;
        };
        match answer {
            Ok(Response::Applied(Reply::Claims(answers))) => match answers.first() {
                Some(answer) => self.handle_claim_response(index, live, job, answer),
                None => self.finish_request(index, live, job, FinalAnswer::Unknown),
            },
            Ok(Response::Watched(Some(answer))) => {
                self.handle_claim_response(index, live, job, &answer);
            }
            // The claim was released, so that this request can claim the key.
            Ok(Response::Watched(None)) => {
                job.stage = Stage::Idle;
                self.request_claim(index, live, job);
            }
            other => {
                live.leader = match other {
                    Err(MemberError::NotLeader { leader }) => leader,
                    _ => None,
                };
                let soon_us = self.now_us + 50_000;
                match &mut job.stage {
                    Stage::Claim { retry_us, .. } | Stage::Watch { retry_us, .. } => {
                        *retry_us = soon_us;
                    }
                    _ => {}
                }
                live.jobs.insert(job.request.send_id, job);
            }
        }
    }

    fn handle_claim_response(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        job: Job,
        answer: &ClaimResponse,
    ) {
        match answer {
            ClaimResponse::Granted => self.place(index, live, job),
            ClaimResponse::Running { .. } => self.request_watch(index, live, job),
            ClaimResponse::Answered { stored } => {
                let body = stored.body.clone();
                self.finish_without_claim(index, live, job, FinalAnswer::Answered(body));
            }
            ClaimResponse::Unknown => {
                self.finish_without_claim(index, live, job, FinalAnswer::Unknown);
            }
            ClaimResponse::KeyReused | ClaimResponse::Full => {
                self.fail(
                    ViolationKind::Internal,
                    format!("claim of {}: {answer:?}", job.request.request_id),
                );
                self.finish_without_claim(index, live, job, FinalAnswer::Unknown);
            }
        }
    }
}
