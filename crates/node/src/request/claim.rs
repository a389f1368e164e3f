//! Fourth step: the claim of a request that must run at most once.
//!
//! The claim is committed before the first byte goes out. The attempt that
//! holds it settles it with the answer or releases it with proof that the
//! request was not run; otherwise the claim stays, and resends are told that
//! the outcome is unknown.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_claims::{Attempt, ClaimKey, ClaimResponse, Stored};
use bamboospur_control::{ClaimCommand, claim_key};
use bamboospur_settings::{WithoutKey, sha256};
use bamboospur_types::{Outcome, ResultCode, stable_id};

use super::accept::Ask;
use super::authenticate::Identity;
use super::node::Node;
use super::refused::Refused;
use super::send::{Delivery, Whole};
use crate::actors::ControlMessage;
use crate::edge::Caller;
use crate::mailbox::MainLoopMessage;

/// Time between looks at a request that runs elsewhere.
const ATTACH_POLL: Duration = Duration::from_millis(50);
/// Time between looks at a claim that was given back, and their limit.
const RELEASE_POLL: Duration = Duration::from_millis(2);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait for a claim to be committed or settled.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of this step.
pub enum Taken {
    /// The request may run more than once, or the team accepts that risk.
    NotNeeded,
    /// This attempt holds the claim.
    Held(Held),
    /// An earlier attempt was answered.
    Stored(Arc<Stored>),
}

/// A claim that this attempt holds.
pub struct Held {
    key: ClaimKey,
    attempt: Attempt,
    _running: Running,
}

/// Notes that an attempt runs in this process until it is dropped.
struct Running {
    node: Arc<Node>,
    number: u64,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.node.attempt_ended(self.number);
    }
}

/// Takes the claim, or returns what an earlier attempt left.
pub fn take(
    node: &Arc<Node>,
    ask: &Ask,
    identity: &Identity,
    caller: &Caller,
) -> Result<Taken, Refused> {
    if ask.repeatable {
        return Ok(Taken::NotNeeded);
    }
    let Some(key) = &ask.key else {
        if identity.team.without_key == WithoutKey::RunOnce {
            return Ok(Taken::NotNeeded);
        }
        let message = "this request must run at most once; send it with an Idempotency-Key header";
        return Err(Refused::new(ResultCode::KeyRequired, message));
    };
    let request = request(node, ask, identity, key);
    let running = Running {
        node: Arc::clone(node),
        number: request.attempt.number,
    };
    node.attempt_started(request.attempt.number);
    loop {
        match claim(node, request)? {
            ClaimResponse::Granted => {
                return Ok(Taken::Held(Held {
                    key: request.key,
                    attempt: request.attempt,
                    _running: running,
                }));
            }
            ClaimResponse::Answered { stored } => return Ok(Taken::Stored(stored)),
            ClaimResponse::Running { holder, .. } => {
                attach(node, ask, caller, request.key, holder)?;
            }
            ClaimResponse::Unknown => return Err(unknown()),
            ClaimResponse::KeyReused => {
                let message = "the key was used for another request; use a new key";
                return Err(Refused::new(ResultCode::KeyReused, message));
            }
            ClaimResponse::Full => {
                let message = "the table of keys is full; send the request again later";
                let code = ResultCode::InstanceFull;
                return Err(Refused::retry(code, message, RETRY_AFTER));
            }
        }
    }
}

fn request(node: &Node, ask: &Ask, identity: &Identity, key: &str) -> ClaimCommand {
    let mut content = format!("{} {} {}\n", ask.pool, ask.method, ask.path).into_bytes();
    content.extend(sha256(&ask.body));
    let content = sha256(&content);
    ClaimCommand {
        key: claim_key(&identity.team_name, key),
        fingerprint: u64::from_le_bytes(std::array::from_fn(|at| content[at])),
        attempt: Attempt {
            instance: stable_id(&node.settings.name),
            number: node.next_number(),
        },
        run_timeout: ask.deadline.saturating_duration_since(Instant::now()),
    }
}

fn claim(node: &Node, claim: ClaimCommand) -> Result<ClaimResponse, Refused> {
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let answer = node.mailbox.request_until(
        |reply| MainLoopMessage::Control(ControlMessage::Claim { claim, reply }),
        deadline,
    );
    if let Some(Ok(answer)) = answer {
        return Ok(answer);
    }
    // The claim may be committed late: it is given back, as nothing was sent.
    let (key, attempt) = (claim.key, claim.attempt);
    let release = ControlMessage::Release { key, attempt };
    node.mailbox.send(MainLoopMessage::Control(release));
    let message = "the key could not be claimed, nothing was sent; send the request again";
    Err(Refused::retry(ResultCode::NoQuorum, message, RETRY_AFTER))
}

/// Waits until the attempt that holds the claim has ended.
fn attach(
    node: &Node,
    ask: &Ask,
    caller: &Caller,
    key: ClaimKey,
    holder: Attempt,
) -> Result<(), Refused> {
    let own = holder.instance == stable_id(&node.settings.name);
    loop {
        if own && !node.is_attempt_running(holder.number) {
            // Settling and releasing come before the end of an attempt, so a
            // claim that still runs here was left in doubt.
            return match look(node, key)? {
                Some(ClaimResponse::Running { .. }) => Err(unknown()),
                _ => Ok(()),
            };
        }
        if caller.is_gone() || Instant::now() + ATTACH_POLL >= ask.deadline {
            let message = "the first request with this key is still running; \
                           send it again with the same key to get its answer";
            let code = ResultCode::ClaimRunning;
            return Err(Refused::retry(code, message, RETRY_AFTER));
        }
        thread::sleep(ATTACH_POLL);
        let running = matches!(look(node, key)?, Some(ClaimResponse::Running { .. }));
        if !running {
            return Ok(());
        }
    }
}

fn look(node: &Node, key: ClaimKey) -> Result<Option<ClaimResponse>, Refused> {
    let answer = node
        .mailbox
        .request(|reply| MainLoopMessage::Control(ControlMessage::WaitForClaim { key, reply }));
    answer.ok_or_else(Refused::no_main_loop)
}

fn unknown() -> Refused {
    let message = "a request with this key may have run and its answer is not known; \
                   it is not run again, check its effect before using a new key";
    Refused::new(ResultCode::ClaimUnknown, message)
}

impl Held {
    /// Ends the claim according to what is proved about the request.
    pub fn settle(self, node: &Node, delivery: Delivery) -> Delivery {
        match &delivery {
            Delivery::Whole(whole) => self.store(node, whole),
            Delivery::Failed(refused) if refused.code.outcome() == Outcome::NotRun => {
                self.release(node);
            }
            Delivery::Failed(_) => {}
            Delivery::Stream(_) => {
                node.record_violation("a claimed request was answered by a stream");
            }
        }
        delivery
    }

    /// Gives the claim back and waits for that, so that a resend right after
    /// the answer does not find the claim still held.
    fn release(&self, node: &Node) {
        let (key, attempt) = (self.key, self.attempt);
        let mail = ControlMessage::Release { key, attempt };
        node.mailbox.send(MainLoopMessage::Control(mail));
        let give_up = Instant::now() + RELEASE_TIMEOUT;
        while Instant::now() < give_up {
            match look(node, key) {
                Ok(Some(ClaimResponse::Running { holder, .. })) if holder == attempt => {
                    thread::sleep(RELEASE_POLL);
                }
                _ => return,
            }
        }
    }

    fn store(&self, node: &Node, whole: &Whole) {
        let content_type = whole.header("content-type").unwrap_or_default();
        let stored = Stored {
            status: whole.status,
            content_type: content_type.to_owned(),
            body: whole.body.clone(),
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
            // The caller still gets the answer; a resend is told "unknown".
            tracing::warn!("the answer to a claimed request was not stored");
        }
    }
}
