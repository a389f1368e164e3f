//! Control actor: callers that wait for the outcome of a running claim.

use std::time::{Duration, Instant, SystemTime};

use bamboospur_claims::{Attempt, ClaimKey, ClaimResponse};
use bamboospur_control::Request;

use super::control::Control;
use super::control_messages::Waiter;
use crate::mailbox::ReplySender;

/// Longest wait for the outcome of a running claim; afterwards the caller is told
/// that the claim still runs.
const WATCH_TIMEOUT: Duration = Duration::from_millis(200);

/// Callers that wait for one claim, each with the time at which its wait ends. The
/// leader answers when the claim has ended.
#[derive(Debug, Default)]
pub struct ClaimWatch {
    replies: Vec<(Instant, ReplySender<Option<ClaimResponse>>)>,
}

impl Control {
    /// Answers when the claim has ended, or with its running state after
    /// [`WATCH_TIMEOUT`]. On the leader, answers immediately.
    pub(super) fn watch_claim(
        &mut self,
        key: ClaimKey,
        reply: ReplySender<Option<ClaimResponse>>,
        now: Instant,
    ) {
        if self.leader == Some(self.own_id)
            && let Some(member) = &self.member
        {
            let answer = member.state().claims().lookup(&key, SystemTime::now());
            // A request that no longer waits needs no answer.
            let _ = reply.try_send(answer);
            return;
        }
        let asked = self.claim_watches.contains_key(&key);
        let watch = self.claim_watches.entry(key).or_default();
        watch.replies.push((now + WATCH_TIMEOUT, reply));
        if !asked {
            self.submit(Request::Watch { key }, Waiter::Watch(key), now);
        }
    }

    pub(super) fn answer_watch(&mut self, key: &ClaimKey, answer: Option<&ClaimResponse>) {
        for (_, reply) in self.claim_watches.remove(key).unwrap_or_default().replies {
            let _ = reply.try_send(answer.cloned());
        }
    }

    pub(super) fn expire_watches(&mut self, now: Instant) {
        for watch in self.claim_watches.values_mut() {
            watch.replies.retain(|(until, reply)| {
                let over = *until <= now;
                if over {
                    let running = ClaimResponse::Running {
                        holder: Attempt {
                            instance: 0,
                            number: 0,
                        },
                        run_deadline: SystemTime::now(),
                    };
                    let _ = reply.try_send(Some(running));
                }
                !over
            });
        }
    }
}
