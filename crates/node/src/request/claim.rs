//! Step 4: claims the idempotency key of a request that must run at most once.
//!
//! The claim is committed before the first byte is sent to a target. The attempt
//! that holds the claim settles it with the answer, or releases it if the request
//! is proved not to have run. Otherwise the claim stays, and a repeated request
//! is told that the outcome is unknown.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_claims::{Attempt, ClaimKey, ClaimResponse, StoredAnswer};
use bamboospur_control::{ClaimCommand, claim_key};
use bamboospur_settings::{WithoutKey, sha256};
use bamboospur_types::{Outcome, ResultCode, stable_id};

use super::accept::CheckedRequest;
use super::authenticate::Identity;
use super::error::RequestError;
use super::node::Node;
use super::send::{SendResult, WholeAnswer};
use crate::actors::ControlMessage;
use crate::edge::Caller;
use crate::mailbox::MainLoopMessage;

/// Interval between checks of a claim that another attempt holds.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks whether a claim has been released.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest wait for a claim to be released.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait for the control group to commit or settle a claim.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a request may be sent, as decided by its claim.
pub enum ClaimOutcome {
    /// The request is sent without a claim: it may run more than once, or it has
    /// no key and the team's settings let such requests run unprotected.
    NotNeeded,
    /// This attempt holds the claim and may send the request.
    Held(HeldClaim),
    /// The stored answer of an earlier attempt.
    Stored(Arc<StoredAnswer>),
}

/// A claim held by this attempt.
pub struct HeldClaim {
    key: ClaimKey,
    attempt: Attempt,
    _running: RunningAttempt,
}

/// Registers an attempt as running in this process until the guard is dropped.
struct RunningAttempt {
    node: Arc<Node>,
    number: u64,
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.node.attempt_ended(self.number);
    }
}

/// Acquires the claim, waits for another attempt that holds it, or returns the
/// stored answer of an earlier attempt.
pub fn acquire(
    node: &Arc<Node>,
    request: &CheckedRequest,
    identity: &Identity,
    caller: &Caller,
) -> Result<ClaimOutcome, RequestError> {
    if request.repeatable {
        return Ok(ClaimOutcome::NotNeeded);
    }
    let Some(key) = &request.idempotency_key else {
        if identity.team.without_key == WithoutKey::RunOnce {
            return Ok(ClaimOutcome::NotNeeded);
        }
        let message = "this request must run at most once; send it with an Idempotency-Key header";
        return Err(RequestError::new(ResultCode::KeyRequired, message));
    };
    let command = claim_command(node, request, identity, key);
    let running = RunningAttempt {
        node: Arc::clone(node),
        number: command.attempt.number,
    };
    node.attempt_started(command.attempt.number);
    loop {
        match send_claim(node, command)? {
            ClaimResponse::Granted => {
                return Ok(ClaimOutcome::Held(HeldClaim {
                    key: command.key,
                    attempt: command.attempt,
                    _running: running,
                }));
            }
            ClaimResponse::Answered { stored } => return Ok(ClaimOutcome::Stored(stored)),
            ClaimResponse::Running { holder, .. } => {
                wait_for_holder(node, request, caller, command.key, holder)?;
            }
            ClaimResponse::Unknown => return Err(outcome_unknown()),
            ClaimResponse::KeyReused => {
                let message = "the key was used for another request; use a new key";
                return Err(RequestError::new(ResultCode::KeyReused, message));
            }
            ClaimResponse::Full => {
                let message = "the table of keys is full; send the request again later";
                let code = ResultCode::InstanceFull;
                return Err(RequestError::with_retry_after(code, message, RETRY_AFTER));
            }
        }
    }
}

/// Builds the command that claims the key. The fingerprint covers the pool, the
/// method, the path and the body, so that a key reused for another request is
/// detected.
fn claim_command(
    node: &Node,
    request: &CheckedRequest,
    identity: &Identity,
    key: &str,
) -> ClaimCommand {
    let mut content =
        format!("{} {} {}\n", request.pool, request.method, request.path).into_bytes();
    content.extend(sha256(&request.body));
    let content = sha256(&content);
    ClaimCommand {
        key: claim_key(&identity.team_name, key),
        fingerprint: u64::from_le_bytes(std::array::from_fn(|at| content[at])),
        attempt: Attempt {
            instance: stable_id(&node.settings.name),
            number: node.next_number(),
        },
        run_timeout: request.deadline.saturating_duration_since(Instant::now()),
    }
}

fn send_claim(node: &Node, claim: ClaimCommand) -> Result<ClaimResponse, RequestError> {
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let answer = node.mailbox.request_until(
        |reply| MainLoopMessage::Control(ControlMessage::Claim { claim, reply }),
        deadline,
    );
    if let Some(Ok(answer)) = answer {
        return Ok(answer);
    }
    // The claim may still be committed after this wait. It is released, because
    // nothing was sent.
    let (key, attempt) = (claim.key, claim.attempt);
    let release = ControlMessage::Release { key, attempt };
    node.mailbox.send(MainLoopMessage::Control(release));
    let message = "the key could not be claimed, nothing was sent; send the request again";
    Err(RequestError::with_retry_after(
        ResultCode::NoQuorum,
        message,
        RETRY_AFTER,
    ))
}

/// Waits until no attempt holds the claim.
///
/// Returns an error if the request's deadline comes first, the caller hangs up, or
/// the holder was an attempt of this process that ended without settling or
/// releasing the claim.
fn wait_for_holder(
    node: &Node,
    request: &CheckedRequest,
    caller: &Caller,
    key: ClaimKey,
    holder: Attempt,
) -> Result<(), RequestError> {
    let is_own = holder.instance == stable_id(&node.settings.name);
    loop {
        if is_own && !node.is_attempt_running(holder.number) {
            // An attempt settles or releases its claim before it ends. A claim
            // that is still held after that has an unknown outcome.
            return match claim_state(node, key)? {
                Some(ClaimResponse::Running { .. }) => Err(outcome_unknown()),
                _ => Ok(()),
            };
        }
        if caller.is_gone() || Instant::now() + HOLDER_POLL_INTERVAL >= request.deadline {
            let message = "the first request with this key is still running; \
                           send it again with the same key to get its answer";
            let code = ResultCode::ClaimRunning;
            return Err(RequestError::with_retry_after(code, message, RETRY_AFTER));
        }
        thread::sleep(HOLDER_POLL_INTERVAL);
        let still_running = matches!(claim_state(node, key)?, Some(ClaimResponse::Running { .. }));
        if !still_running {
            return Ok(());
        }
    }
}

fn claim_state(node: &Node, key: ClaimKey) -> Result<Option<ClaimResponse>, RequestError> {
    let answer = node
        .mailbox
        .request(|reply| MainLoopMessage::Control(ControlMessage::WaitForClaim { key, reply }));
    answer.ok_or_else(RequestError::no_main_loop)
}

fn outcome_unknown() -> RequestError {
    let message = "a request with this key may have run and its answer is not known; \
                   it is not run again, check its effect before using a new key";
    RequestError::new(ResultCode::ClaimUnknown, message)
}

impl HeldClaim {
    /// Settles the claim with a whole answer, or releases it if the request is
    /// proved not to have run. In any other case the claim stays.
    pub fn settle(self, node: &Node, result: SendResult) -> SendResult {
        match &result {
            SendResult::Whole(answer) => self.store_answer(node, answer),
            SendResult::Failed(error) if error.code.outcome() == Outcome::NotRun => {
                self.release(node);
            }
            SendResult::Failed(_) => {}
            SendResult::Stream(_) => {
                node.record_violation("a claimed request was answered by a stream");
            }
        }
        result
    }

    /// Releases the claim and waits until the release has taken effect, so that a
    /// request repeated right after the answer does not find the claim held.
    fn release(&self, node: &Node) {
        let (key, attempt) = (self.key, self.attempt);
        let message = ControlMessage::Release { key, attempt };
        node.mailbox.send(MainLoopMessage::Control(message));
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        while Instant::now() < deadline {
            match claim_state(node, key) {
                Ok(Some(ClaimResponse::Running { holder, .. })) if holder == attempt => {
                    thread::sleep(RELEASE_POLL_INTERVAL);
                }
                _ => return,
            }
        }
    }

    fn store_answer(&self, node: &Node, answer: &WholeAnswer) {
        let content_type = answer.header("content-type").unwrap_or_default();
        let stored = StoredAnswer {
            status: answer.status,
            content_type: content_type.to_owned(),
            body: answer.body.to_vec(),
        };
        let (key, attempt) = (self.key, self.attempt);
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let settled = node.mailbox.request_until(
            |reply| {
                MainLoopMessage::Control(ControlMessage::Settle {
                    key,
                    attempt,
                    stored: Arc::new(stored),
                    reply,
                })
            },
            deadline,
        );
        if settled.is_none_or(|settled| settled.is_err()) {
            // The caller still gets the answer.
            tracing::warn!(
                "the answer to a claimed request was not stored; \
                 a repeated request will be told that its outcome is unknown"
            );
        }
    }
}
