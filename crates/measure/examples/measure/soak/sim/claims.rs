//! Claims of requests that are not repeatable.

use std::time::Duration;

use bamboospur_claims::ClaimResponse;
use bamboospur_control::{ClaimCommand, Command, MemberError, Reply, Request, Response};

use super::host::Live;
use super::message::{Final, Message, Node};
use super::oracle::Label;
use super::path::{Job, Stage, key_of};
use super::world::World;

/// Run deadline of a claim, longer than a request can take.
const RUN_US: u64 = 7_000_000;
const CLAIM_US: u64 = 1_500_000;
const CONTROL_RETRY_US: u64 = 400_000;
const WATCH_RETRY_US: u64 = 1_000_000;

impl World {
    pub fn ask_control(&mut self, index: usize, live: &Live, request: Request) -> u64 {
        let members: Vec<u64> = self
            .members
            .values()
            .filter(|m| !m.is_lost)
            .map(|m| m.id)
            .collect();
        let any = members[self.index(members.len())];
        let to = live.leader.unwrap_or(any);
        let ticket = self.number();
        let message = Message::Ask(ticket, Box::new(request));
        self.send(Node::Router(index), Node::Member(to), message);
        ticket
    }

    pub fn ask_claim(&mut self, index: usize, live: &mut Live, mut job: Job) {
        let Some(attempt) = job.claim else {
            return;
        };
        let claim = ClaimCommand {
            key: key_of(&job.ask),
            fingerprint: job.ask.request,
            attempt,
            run_timeout: Duration::from_micros(RUN_US),
        };
        let request = Request::Command(Command::Claims(vec![claim]));
        let ticket = self.ask_control(index, live, request);
        let until_us = match job.stage {
            Stage::Claim { until_us, .. } => until_us,
            _ => self.now_us + CLAIM_US,
        };
        let retry_us = self.now_us + CONTROL_RETRY_US;
        job.stage = Stage::Claim {
            ticket,
            retry_us,
            until_us,
        };
        live.jobs.insert(job.ask.send, job);
    }

    pub fn ask_watch(&mut self, index: usize, live: &mut Live, mut job: Job) {
        let key = key_of(&job.ask);
        let ticket = self.ask_control(index, live, Request::Watch { key });
        let retry_us = self.now_us + WATCH_RETRY_US;
        job.stage = Stage::Watch { ticket, retry_us };
        live.jobs.insert(job.ask.send, job);
    }

    pub fn control_answer(
        &mut self,
        index: usize,
        live: &mut Live,
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
                Some(answer) => self.claimed(index, live, job, answer),
                None => self.end(index, live, job, Final::Unknown),
            },
            Ok(Response::Watched(Some(answer))) => self.claimed(index, live, job, &answer),
            // The claim was released: take it.
            Ok(Response::Watched(None)) => {
                job.stage = Stage::Idle;
                self.ask_claim(index, live, job);
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
                live.jobs.insert(job.ask.send, job);
            }
        }
    }

    fn claimed(&mut self, index: usize, live: &mut Live, job: Job, answer: &ClaimResponse) {
        match answer {
            ClaimResponse::Granted => self.place(index, live, job),
            ClaimResponse::Running { .. } => self.ask_watch(index, live, job),
            ClaimResponse::Answered { stored } => {
                let body = stored.body.clone();
                self.end_without_claim(index, live, job, Final::Answered(body));
            }
            ClaimResponse::Unknown => self.end_without_claim(index, live, job, Final::Unknown),
            ClaimResponse::KeyReused | ClaimResponse::Full => {
                self.fail(
                    Label::Internal,
                    format!("claim of {}: {answer:?}", job.ask.request),
                );
                self.end_without_claim(index, live, job, Final::Unknown);
            }
        }
    }
}
