//! Step 6: sends a request to targets, with retries.
//!
//! The outcome "not run" needs proof from every attempt. A request that may run
//! more than once is retried within the retry budget and the caller's deadline.
//! Any other request uses a fresh connection for each attempt, and is sent to
//! another target only while every attempt so far is proved not to have run it.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_membership::MembershipInput;
use bamboospur_retries::AttemptOutcome;
use bamboospur_types::{Outcome, ResultCode, TargetId};
use bamboospur_upstream::{Failure, FailureKind};
use tracing::info;

use super::accept::CheckedRequest;
use super::authenticate::Identity;
use super::crash_check::CrashEvidence;
use super::error::RequestError;
use super::node::Node;
use super::place::{self, Reservation};
use super::target::{self, CallResult};
use crate::actors::{MembersMessage, RouterMessage};
use crate::edge::Caller;
use crate::mailbox::MainLoopMessage;

pub use super::target::{LiveStream, WholeAnswer};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of all attempts of a request.
pub enum SendResult {
    Whole(WholeAnswer),
    /// A stream whose first event has arrived and was not yet relayed.
    Stream(Box<LiveStream>),
    /// No attempt led to an answer.
    Failed(RequestError),
}

/// State of a request over all its attempts.
struct RetryLoop<'a> {
    node: &'a Arc<Node>,
    request: &'a CheckedRequest,
    identity: &'a Identity,
    caller: &'a Caller,
    /// Targets of earlier attempts, which are not chosen while others are available.
    excluded: Vec<TargetId>,
    attempts_made: u32,
    /// Whether at least one attempt may have run the request.
    may_have_run: bool,
}

/// Why an attempt did not lead to an answer.
struct FailedAttempt {
    code: ResultCode,
    detail: String,
    /// Time that the target asked to wait before a retry.
    pause: Option<Duration>,
}

/// Sends the request until it is answered or no further attempt is allowed.
pub fn send_with_retries(
    node: &Arc<Node>,
    request: &CheckedRequest,
    identity: &Identity,
    caller: &Caller,
) -> SendResult {
    let mut retry_loop = RetryLoop {
        node,
        request,
        identity,
        caller,
        excluded: Vec::new(),
        attempts_made: 0,
        may_have_run: false,
    };
    let mut last_failure: Option<FailedAttempt> = None;
    loop {
        let reservation = match place::reserve_target(node, request, identity, &retry_loop.excluded)
        {
            Ok(reservation) => reservation,
            Err(_) if request.repeatable && !retry_loop.excluded.is_empty() => {
                // The only target may be one that failed before: allow all again.
                retry_loop.excluded.clear();
                match place::reserve_target(node, request, identity, &[]) {
                    Ok(reservation) => reservation,
                    Err(error) => {
                        return SendResult::Failed(retry_loop.placement_error(error, last_failure));
                    }
                }
            }
            Err(error) => {
                return SendResult::Failed(retry_loop.placement_error(error, last_failure));
            }
        };
        let failed = match retry_loop.attempt(reservation) {
            Ok(result) => return result,
            Err(failed) => failed,
        };
        if let Err(error) = retry_loop.wait_before_retry(&failed) {
            return SendResult::Failed(error);
        }
        last_failure = Some(failed);
    }
}

impl RetryLoop<'_> {
    fn attempt(&mut self, mut reservation: Reservation) -> Result<SendResult, FailedAttempt> {
        self.attempts_made += 1;
        self.excluded.push(reservation.chosen.target);
        let mut evidence = CrashEvidence::new(
            self.node.mailbox.clone(),
            self.request.parts.clone(),
            reservation.chosen.clone(),
        );
        let result = self.call(&reservation, &evidence);
        let engine = target::is_engine(&reservation);
        match result {
            CallResult::Whole(mut answer) => {
                reservation.outcome = AttemptOutcome::Success;
                if matches!(answer.status, 200..=299) {
                    evidence.record_answer();
                }
                answer.target.clone_from(&reservation.chosen.name);
                Ok(SendResult::Whole(answer))
            }
            CallResult::Stream(events, first) => {
                let stream = LiveStream::new(*events, first, reservation, evidence);
                Ok(self.collect_if_claimed(stream))
            }
            CallResult::NotRun { detail, pause } => {
                reservation.outcome = AttemptOutcome::Success;
                Err(FailedAttempt {
                    code: ResultCode::TargetRefused,
                    detail,
                    pause,
                })
            }
            CallResult::Status(status) => {
                reservation.outcome = AttemptOutcome::Failure;
                self.may_have_run = true;
                Err(FailedAttempt {
                    code: ResultCode::TargetFailed,
                    detail: format!("the target answered with status {status}"),
                    pause: None,
                })
            }
            CallResult::Failed(failure) => {
                evidence.record_failure(&failure);
                self.report_failure(&reservation, &failure);
                if engine && failure.sent {
                    target::cancel(
                        self.node,
                        &reservation.chosen,
                        &self.request.context.request_id,
                    );
                }
                reservation.outcome = breaker_outcome(&failure);
                self.may_have_run |= failure.sent;
                Err(self.failed_attempt(&failure))
            }
        }
    }

    /// Logs a failed attempt, and reports a refused connection to membership.
    fn report_failure(&self, reservation: &Reservation, failure: &Failure) {
        let target = reservation.chosen.target;
        info!(
            request_id = self.request.context.request_id,
            target_name = reservation.chosen.name,
            %failure,
            "an attempt to send the request to a target failed"
        );
        if matches!(failure.kind, FailureKind::Connect | FailureKind::Refused) {
            let input = Box::new(MembershipInput::ConnectFailed { target });
            let message = MainLoopMessage::Members(MembersMessage::Notify(input));
            self.node.mailbox.send(message);
        }
    }

    /// Calls the target. If a reused connection failed and the request may run more
    /// than once, calls the target again on a fresh connection.
    fn call(&self, reservation: &Reservation, evidence: &CrashEvidence) -> CallResult {
        let fresh = !self.request.repeatable;
        let result = target::call(
            self.node,
            self.request,
            self.identity,
            reservation,
            self.caller,
            fresh,
        );
        match result {
            CallResult::Failed(failure) if !fresh && failure.is_connection_failure() => {
                evidence.record_failure(&failure);
                self.node.metrics.increment("fresh_connections");
                let again = target::call(
                    self.node,
                    self.request,
                    self.identity,
                    reservation,
                    self.caller,
                    true,
                );
                // The first call may have run the request, whatever became of the second.
                match again {
                    CallResult::Failed(mut again) => {
                        again.sent = true;
                        CallResult::Failed(again)
                    }
                    again => again,
                }
            }
            result => result,
        }
    }

    /// Reads the stream of a claimed request to its end, so that the answer can be
    /// stored.
    fn collect_if_claimed(&self, stream: LiveStream) -> SendResult {
        if self.request.repeatable || self.request.idempotency_key.is_none() {
            return SendResult::Stream(Box::new(stream));
        }
        match stream.collect(self.node.settings.limits.answer_bytes, &self.node.buffers) {
            Ok(answer) => SendResult::Whole(answer),
            Err(failure) => SendResult::Failed(self.final_error(&self.failed_attempt(&failure))),
        }
    }

    fn failed_attempt(&self, failure: &Failure) -> FailedAttempt {
        let code = match failure.kind {
            FailureKind::Cancelled if self.caller.is_gone() => ResultCode::CallerGone,
            _ if failure.proves_not_run() => ResultCode::ConnectFailed,
            FailureKind::Deadline => ResultCode::DeadlineExceeded,
            FailureKind::WrongAnswer => ResultCode::WrongAnswer,
            FailureKind::CutBody | FailureKind::Unframed => ResultCode::Truncated,
            _ => ResultCode::TargetFailed,
        };
        FailedAttempt {
            code,
            detail: failure.kind.description().to_owned(),
            pause: None,
        }
    }

    /// Waits until the next attempt may start, or returns the error for the caller
    /// if no further attempt is allowed.
    fn wait_before_retry(&self, last: &FailedAttempt) -> Result<(), RequestError> {
        let max_attempts = self.identity.fleet.retry.attempts;
        let exhausted = self.attempts_made >= max_attempts || last.code == ResultCode::CallerGone;
        let past_deadline = Instant::now() >= self.request.deadline;
        let safe = self.request.repeatable || self.is_not_run(last);
        if !safe || exhausted || past_deadline || self.caller.is_gone() {
            return Err(self.final_error(last));
        }
        let granted = self.node.mailbox.request(|reply| {
            MainLoopMessage::Router(RouterMessage::Retry {
                pool: self.request.pool.clone(),
                attempt: self.attempts_made - 1,
                reply,
            })
        });
        let Some(Some(pause)) = granted else {
            return Err(self.out_of_budget(last));
        };
        if Instant::now() + pause >= self.request.deadline {
            return Err(self.final_error(last));
        }
        self.node.metrics.increment("retries");
        thread::sleep(pause);
        Ok(())
    }

    /// Returns whether every attempt is proved not to have run the request.
    fn is_not_run(&self, last: &FailedAttempt) -> bool {
        !self.may_have_run && last.code.outcome() == Outcome::NotRun
    }

    fn out_of_budget(&self, last: &FailedAttempt) -> RequestError {
        if self.may_have_run || !self.request.repeatable {
            return self.final_error(last);
        }
        let message = format!("{}; the retry budget is spent", last.detail);
        RequestError::with_retry_after(ResultCode::RetryBudgetSpent, message, RETRY_AFTER)
    }

    /// Returns the error for the caller: "not run" only if every attempt proves it.
    fn final_error(&self, last: &FailedAttempt) -> RequestError {
        let last_not_run = last.code.outcome() == Outcome::NotRun;
        let code = if self.may_have_run && last_not_run {
            ResultCode::TargetFailed
        } else if last.code == ResultCode::CallerGone && !self.may_have_run {
            ResultCode::ConnectFailed
        } else {
            last.code
        };
        let advice = match code.outcome() {
            Outcome::NotRun => "nothing was run; send the request again",
            _ if self.request.repeatable => "the request may have run; it can be sent again",
            _ => "the request may have run; it is not run again, check its effect",
        };
        let message = format!("{}; {advice}", last.detail);
        RequestError::with_retry_after(code, message, last.pause.unwrap_or(RETRY_AFTER))
    }

    /// Returns the error for the caller when no target is left. After a failed
    /// attempt, that attempt decides the error, not the placement.
    fn placement_error(
        &self,
        error: RequestError,
        last_failure: Option<FailedAttempt>,
    ) -> RequestError {
        match last_failure {
            Some(last) => self.final_error(&last),
            None => error,
        }
    }
}

fn breaker_outcome(failure: &Failure) -> AttemptOutcome {
    match failure.kind {
        FailureKind::Cancelled | FailureKind::BadCall => AttemptOutcome::Abandoned,
        FailureKind::Connect
        | FailureKind::Refused
        | FailureKind::CutHead
        | FailureKind::Silent => AttemptOutcome::ConnectionFailure,
        _ => AttemptOutcome::Failure,
    }
}
