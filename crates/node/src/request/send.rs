//! Sixth step: the attempts at targets.
//!
//! "Not run" needs proof from every attempt. A request that may run more than
//! once is retried within the retry budget and the caller's deadline. Any other
//! request uses a fresh connection for each attempt and goes to another target
//! only while every attempt so far is proved not to have run it.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_membership::MembershipInput;
use bamboospur_retries::AttemptOutcome;
use bamboospur_types::{Outcome, ResultCode, TargetId};
use bamboospur_upstream::{Failure, FailureKind};
use tracing::info;

use super::accept::Ask;
use super::authenticate::Identity;
use super::node::Node;
use super::place::{self, Placed};
use super::refused::Refused;
use super::target::{self, CallEnd};
use crate::actors::{MembersMessage, RouterMessage};
use crate::edge::Caller;
use crate::mailbox::MainLoopMessage;

pub use super::target::{Live, Whole};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the attempts led to.
pub enum Delivery {
    /// A whole answer.
    Whole(Whole),
    /// A stream whose first event has arrived.
    Stream(Box<Live>),
    /// No answer.
    Failed(Refused),
}

struct Run<'a> {
    node: &'a Arc<Node>,
    ask: &'a Ask,
    identity: &'a Identity,
    caller: &'a Caller,
    excluded: Vec<TargetId>,
    attempts: u32,
    in_doubt: bool,
}

/// An attempt that did not lead to an answer.
struct Missed {
    code: ResultCode,
    detail: String,
    pause: Option<Duration>,
}

/// Sends the request until there is an answer or no way to get one.
pub fn run(node: &Arc<Node>, ask: &Ask, identity: &Identity, caller: &Caller) -> Delivery {
    let mut run = Run {
        node,
        ask,
        identity,
        caller,
        excluded: Vec::new(),
        attempts: 0,
        in_doubt: false,
    };
    let mut missed: Option<Missed> = None;
    loop {
        let placed = match place::place(node, ask, identity, &run.excluded) {
            Ok(placed) => placed,
            Err(_) if ask.repeatable && !run.excluded.is_empty() => {
                // A target that failed once may be the only one: try it again.
                run.excluded.clear();
                match place::place(node, ask, identity, &[]) {
                    Ok(placed) => placed,
                    Err(refused) => return Delivery::Failed(run.no_place(refused, missed)),
                }
            }
            Err(refused) => return Delivery::Failed(run.no_place(refused, missed)),
        };
        let last = match run.attempt(placed) {
            Ok(delivery) => return delivery,
            Err(last) => last,
        };
        if let Err(refused) = run.may_retry(&last) {
            return Delivery::Failed(refused);
        }
        missed = Some(last);
    }
}

impl Run<'_> {
    fn attempt(&mut self, mut placed: Placed) -> Result<Delivery, Missed> {
        self.attempts += 1;
        self.excluded.push(placed.chosen.target);
        let end = self.call(&placed);
        let engine = target::is_engine(&placed);
        match end {
            CallEnd::Whole(mut whole) => {
                placed.verdict = AttemptOutcome::Success;
                whole.target.clone_from(&placed.chosen.name);
                Ok(Delivery::Whole(whole))
            }
            CallEnd::Stream(events, first) => {
                let live = Live::new(*events, first, placed);
                Ok(self.collect_if_claimed(live))
            }
            CallEnd::NotRun { detail, pause } => {
                placed.verdict = AttemptOutcome::Success;
                Err(Missed {
                    code: ResultCode::TargetRefused,
                    detail,
                    pause,
                })
            }
            CallEnd::Status(status) => {
                placed.verdict = AttemptOutcome::Failure;
                self.in_doubt = true;
                Err(Missed {
                    code: ResultCode::TargetFailed,
                    detail: format!("the target answered with status {status}"),
                    pause: None,
                })
            }
            CallEnd::Failed(failure) => {
                self.report(&placed, &failure);
                if engine && failure.sent {
                    target::cancel(self.node, &placed.chosen, &self.ask.head.request_id);
                }
                placed.verdict = verdict(&failure);
                self.in_doubt |= failure.sent;
                Err(self.missed(&failure))
            }
        }
    }

    /// Logs a failed attempt; a refused connection is news for membership.
    fn report(&self, placed: &Placed, failure: &Failure) {
        let target = placed.chosen.target;
        info!(
            request_id = self.ask.head.request_id,
            target_name = placed.chosen.name,
            %failure,
            "an attempt failed"
        );
        if failure.kind == FailureKind::Connect {
            let input = Box::new(MembershipInput::ConnectFailed { target });
            let mail = MainLoopMessage::Members(MembersMessage::Notify(input));
            self.node.mailbox.send(mail);
        }
    }

    /// Calls the target, on a fresh connection when a used one let it down.
    fn call(&self, placed: &Placed) -> CallEnd {
        let fresh = !self.ask.repeatable;
        let end = target::call(
            self.node,
            self.ask,
            self.identity,
            placed,
            self.caller,
            fresh,
        );
        match end {
            CallEnd::Failed(failure) if !fresh && failure.is_connection_failure() => {
                self.node.metrics.increment("fresh_connections");
                target::call(
                    self.node,
                    self.ask,
                    self.identity,
                    placed,
                    self.caller,
                    true,
                )
            }
            end => end,
        }
    }

    /// A claimed request is delivered whole, so that its answer can be stored.
    fn collect_if_claimed(&self, live: Live) -> Delivery {
        if self.ask.repeatable || self.ask.key.is_none() {
            return Delivery::Stream(Box::new(live));
        }
        match live.collect(self.node.settings.limits.answer_bytes) {
            Ok(whole) => Delivery::Whole(whole),
            Err(failure) => Delivery::Failed(self.refused(&self.missed(&failure))),
        }
    }

    fn missed(&self, failure: &Failure) -> Missed {
        let code = match failure.kind {
            FailureKind::Cancelled if self.caller.is_gone() => ResultCode::CallerGone,
            _ if failure.proves_not_run() => ResultCode::ConnectFailed,
            FailureKind::Deadline => ResultCode::DeadlineExceeded,
            FailureKind::WrongAnswer => ResultCode::WrongAnswer,
            FailureKind::CutBody | FailureKind::Unframed => ResultCode::Truncated,
            _ => ResultCode::TargetFailed,
        };
        Missed {
            code,
            detail: failure.kind.description().to_owned(),
            pause: None,
        }
    }

    /// Waits before a retry, or returns the final answer at once.
    fn may_retry(&self, last: &Missed) -> Result<(), Refused> {
        let attempts = self.identity.fleet.retry.attempts;
        let over = self.attempts >= attempts || last.code == ResultCode::CallerGone;
        let late = Instant::now() >= self.ask.deadline;
        let safe = self.ask.repeatable || self.is_not_run(last);
        if !safe || over || late || self.caller.is_gone() {
            return Err(self.refused(last));
        }
        let granted = self.node.mailbox.request(|reply| {
            MainLoopMessage::Router(RouterMessage::Retry {
                pool: self.ask.pool.clone(),
                attempt: self.attempts - 1,
                reply,
            })
        });
        let Some(Some(pause)) = granted else {
            return Err(self.out_of_budget(last));
        };
        if Instant::now() + pause >= self.ask.deadline {
            return Err(self.refused(last));
        }
        self.node.metrics.increment("retries");
        thread::sleep(pause);
        Ok(())
    }

    /// Whether all attempts together prove that the request was not run.
    fn is_not_run(&self, last: &Missed) -> bool {
        !self.in_doubt && last.code.outcome() == Outcome::NotRun
    }

    fn out_of_budget(&self, last: &Missed) -> Refused {
        if self.in_doubt || !self.ask.repeatable {
            return self.refused(last);
        }
        let message = format!("{}; the retry budget is spent", last.detail);
        Refused::retry(ResultCode::RetryBudgetSpent, message, RETRY_AFTER)
    }

    /// The refusal that all attempts together prove.
    fn refused(&self, last: &Missed) -> Refused {
        let proof = last.code.outcome() == Outcome::NotRun;
        let code = if self.in_doubt && proof {
            ResultCode::TargetFailed
        } else if last.code == ResultCode::CallerGone && !self.in_doubt {
            ResultCode::ConnectFailed
        } else {
            last.code
        };
        let advice = match code.outcome() {
            Outcome::NotRun => "nothing was run; send the request again",
            _ if self.ask.repeatable => "the request may have run; it can be sent again",
            _ => "the request may have run; it is not run again, check its effect",
        };
        let message = format!("{}; {advice}", last.detail);
        Refused::retry(code, message, last.pause.unwrap_or(RETRY_AFTER))
    }

    /// No further target: what is known from the attempts before decides.
    fn no_place(&self, refused: Refused, missed: Option<Missed>) -> Refused {
        match missed {
            Some(missed) => self.refused(&missed),
            None => refused,
        }
    }
}

fn verdict(failure: &Failure) -> AttemptOutcome {
    match failure.kind {
        FailureKind::Cancelled | FailureKind::BadCall => AttemptOutcome::Abandoned,
        FailureKind::Connect | FailureKind::CutHead | FailureKind::Silent => {
            AttemptOutcome::ConnectionFailure
        }
        _ => AttemptOutcome::Failure,
    }
}
