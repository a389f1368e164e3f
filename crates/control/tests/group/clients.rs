//! Simulated operators and routers that retry, time out and fail during a request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bamboospur_claims::{Attempt, ClaimKey, ClaimResponse, SettleOutcome, StoredAnswer};
use bamboospur_control::{ClaimCommand, Command, MemberError, Reply, Request, Response, claim_key};
use bamboospur_settings::{BranchName, Change, Edit, Value};

use crate::sim::{Event, Sim};

const REQUEST_TIMEOUT_MS: u64 = 700;
const RUN_TIMEOUT_MS: u64 = 1500;

#[derive(Clone)]
enum Task {
    Idle,
    Change(Change),
    /// Sends a change again after its answer.
    Resend(Change),
    Claim(ClaimKey, Attempt),
    Run(ClaimKey, Attempt),
    Settle(ClaimKey, Attempt, Vec<u8>),
    Release(ClaimKey, Attempt),
    Watch(ClaimKey),
    /// Linearizable read, which must return at least this acknowledged revision.
    Read(u64),
}

struct Client {
    task: Task,
    ticket: u64,
    leader: Option<u64>,
}

pub struct Clients {
    all: Vec<Client>,
    tickets: u64,
    /// By ticket: index of the client, and member that the request was sent to.
    sent_requests: BTreeMap<u64, (usize, u64)>,
    pub stopped: bool,
    pub changes: usize,
    pub reads: usize,
}

impl Clients {
    pub fn new(count: usize, sim: &mut Sim) -> Self {
        let client = |_| Client {
            task: Task::Idle,
            ticket: 0,
            leader: None,
        };
        for index in 0..count {
            sim.schedule(10 + index as u64, Event::Client(index, 0));
        }
        Self {
            all: (0..count).map(client).collect(),
            tickets: 0,
            sent_requests: BTreeMap::new(),
            stopped: false,
            changes: 0,
            reads: 0,
        }
    }

    /// Makes `change` the first task of the first client.
    pub fn start_with_change(&mut self, sim: &mut Sim, change: Change) {
        self.all[0].task = Task::Change(change);
        self.schedule(sim, 0, 0);
    }

    /// Sends the next or repeated request of a client, unless the client was answered
    /// after the timer was set.
    pub fn on_timer(&mut self, sim: &mut Sim, index: usize, ticket: u64) {
        if self.all[index].ticket != ticket {
            return;
        }
        if matches!(self.all[index].task, Task::Idle) {
            if self.stopped {
                return;
            }
            self.all[index].task = self.new_task(sim, index);
        }
        if let Task::Run(key, attempt) = self.all[index].task.clone() {
            self.all[index].task = finish_run(sim, key, attempt);
        }
        self.send(sim, index);
    }

    fn new_task(&mut self, sim: &mut Sim, index: usize) -> Task {
        self.tickets += 1;
        let number = self.tickets;
        match index % 4 {
            0 => {
                let team = BranchName::Team(format!("t{}", sim.random(3)));
                let reader = sim.random_running_member();
                let member = sim.nodes[&reader].member.as_ref();
                let base = member.map_or(0, |m| m.state().settings().tree().version(&team));
                let value = i64::try_from(sim.random(10)).expect("small");
                Task::Change(Change {
                    id: format!("c{number}"),
                    operator: "ada".to_owned(),
                    path: format!("{team}.priority").parse().expect("a path"),
                    base_version: base,
                    edit: Edit::Set(Value::Integer(value)),
                })
            }
            3 if sim.random(2) == 0 => Task::Read(sim.oracle.newest_revision),
            _ => {
                let key = format!("key-{}", sim.now_ms / 2000 * 3 + sim.random(3));
                let attempt = Attempt {
                    instance: index as u64,
                    number,
                };
                Task::Claim(claim_key("demo", &key), attempt)
            }
        }
    }

    fn send(&mut self, sim: &mut Sim, index: usize) {
        let Some(request) = request_for(&self.all[index].task) else {
            return self.finish_task(sim, index);
        };
        self.tickets += 1;
        let ticket = self.tickets;
        let to = match self.all[index].leader {
            Some(leader) if sim.nodes[&leader].member.is_some() => leader,
            _ => sim.random_running_member(),
        };
        self.all[index].ticket = ticket;
        self.sent_requests.insert(ticket, (index, to));
        sim.schedule(REQUEST_TIMEOUT_MS, Event::Client(index, ticket));
        sim.request(to, ticket, request);
    }

    fn finish_task(&mut self, sim: &mut Sim, index: usize) {
        self.all[index].task = Task::Idle;
        self.schedule(sim, index, 20);
    }

    fn schedule(&mut self, sim: &mut Sim, index: usize, wait_ms: u64) {
        self.tickets += 1;
        self.all[index].ticket = self.tickets;
        let wait_ms = 1 + wait_ms + sim.random(30);
        sim.schedule(wait_ms, Event::Client(index, self.tickets));
    }

    pub fn handle_reply(
        &mut self,
        sim: &mut Sim,
        ticket: u64,
        answer: &Result<Response, MemberError>,
    ) {
        let Some((index, from)) = self.sent_requests.remove(&ticket) else {
            panic!("ticket {ticket} was answered twice or never sent");
        };
        if self.all[index].ticket != ticket {
            return;
        }
        match answer {
            Ok(answer) => {
                self.all[index].leader = Some(from);
                self.handle_response(sim, index, from, answer);
            }
            Err(MemberError::NotLeader { leader }) => {
                self.all[index].leader = *leader;
                self.schedule(sim, index, 20);
            }
            Err(MemberError::Invalid { message }) => panic!("{message}"),
            Err(MemberError::NotApplied { .. } | MemberError::OutcomeUnknown) => {
                self.schedule(sim, index, 20);
            }
        }
    }

    fn handle_response(&mut self, sim: &mut Sim, index: usize, from: u64, answer: &Response) {
        let task = std::mem::replace(&mut self.all[index].task, Task::Idle);
        let next = match (task, answer) {
            (Task::Change(change), Response::Applied(Reply::Change(answer))) => {
                sim.oracle.record_change_answer(&change.id, answer);
                self.changes += usize::from(answer.is_ok());
                if sim.random(3) == 0 {
                    Task::Resend(change)
                } else {
                    Task::Idle
                }
            }
            (Task::Resend(change), Response::Applied(Reply::Change(answer))) => {
                sim.oracle.record_change_answer(&change.id, answer);
                Task::Idle
            }
            (Task::Claim(key, attempt), Response::Applied(Reply::Claims(answers))) => {
                task_after_claim(sim, key, attempt, &answers[0])
            }
            (Task::Watch(key), Response::Watched(claim)) => {
                sim.oracle.watched += 1;
                if let Some(ClaimResponse::Answered { stored }) = claim {
                    sim.oracle.check_stored_answer(&key, &stored.body);
                }
                assert!(!matches!(claim, Some(ClaimResponse::Running { .. })));
                Task::Idle
            }
            (Task::Settle(..), Response::Applied(Reply::Settled(answer))) => {
                assert_eq!(
                    *answer,
                    SettleOutcome::Settled,
                    "the holder could not settle"
                );
                Task::Idle
            }
            (Task::Release(..), Response::Applied(Reply::Released(_))) => Task::Idle,
            (Task::Read(newest), Response::Read { .. }) => {
                let member = sim.nodes[&from].member.as_ref().expect("it answered");
                let revision = member.state().settings().tree().revision();
                assert!(revision >= newest, "a read missed revision {newest}");
                self.reads += 1;
                Task::Idle
            }
            (_, answer) => panic!("unexpected kind of answer: {answer:?}"),
        };
        let wait_ms = if matches!(next, Task::Run(..)) {
            200
        } else {
            20
        };
        self.all[index].task = next;
        self.schedule(sim, index, wait_ms);
    }
}

fn task_after_claim(
    sim: &mut Sim,
    key: ClaimKey,
    attempt: Attempt,
    answer: &ClaimResponse,
) -> Task {
    match answer {
        ClaimResponse::Granted => {
            sim.oracle.record_grant(key, attempt);
            Task::Run(key, attempt)
        }
        ClaimResponse::Running { .. } => Task::Watch(key),
        ClaimResponse::Answered { stored } => {
            sim.oracle.check_stored_answer(&key, &stored.body);
            Task::Idle
        }
        ClaimResponse::Unknown => Task::Idle,
        ClaimResponse::KeyReused | ClaimResponse::Full => panic!("{answer:?}"),
    }
}

/// Ends a run with an answer, with a release because nothing was sent, or with a
/// failure of the router.
fn finish_run(sim: &mut Sim, key: ClaimKey, attempt: Attempt) -> Task {
    match sim.random(10) {
        0..6 => {
            let body = format!("{attempt:?}").into_bytes();
            sim.oracle.record_settlement(attempt, &body);
            Task::Settle(key, attempt, body)
        }
        6..9 => {
            sim.oracle.record_release(attempt);
            Task::Release(key, attempt)
        }
        _ => Task::Idle,
    }
}

fn request_for(task: &Task) -> Option<Request> {
    let command = match task.clone() {
        Task::Change(change) | Task::Resend(change) => Command::Change(change),
        Task::Claim(key, attempt) => Command::Claims(vec![ClaimCommand {
            key,
            fingerprint: 1,
            attempt,
            run_timeout: Duration::from_millis(RUN_TIMEOUT_MS),
        }]),
        Task::Settle(key, attempt, body) => Command::Settle {
            key,
            attempt,
            stored: Arc::new(StoredAnswer {
                status: 200,
                content_type: "text/plain".to_owned(),
                body,
            }),
        },
        Task::Release(key, attempt) => Command::Release { key, attempt },
        Task::Watch(key) => return Some(Request::Watch { key }),
        Task::Read(_) => return Some(Request::Read),
        Task::Idle | Task::Run(..) => return None,
    };
    Some(Request::Command(command))
}
