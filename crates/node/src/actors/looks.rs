//! Control actor: callers that look at a running claim.

use std::time::{Duration, Instant, SystemTime};

use bamboospur_claims::{Attempt, ClaimKey, ClaimResponse};
use bamboospur_control::Request;

use super::control::Control;
use super::control_mail::Waiter;
use crate::mailbox::Reply;

/// Longest wait of a look at a claim that still runs.
const LOOK: Duration = Duration::from_millis(200);

/// Callers that look at a claim, which the leader answers when it has ended.
#[derive(Debug, Default)]
pub struct Look {
    replies: Vec<(Instant, Reply<Option<ClaimResponse>>)>,
}

impl Control {
    /// Answers when the claim has ended, or with "still running" after a while.
    pub(super) fn look(
        &mut self,
        key: ClaimKey,
        reply: Reply<Option<ClaimResponse>>,
        now: Instant,
    ) {
        if self.leader == Some(self.own)
            && let Some(member) = &self.member
        {
            let answer = member.state().claims().lookup(&key, SystemTime::now());
            // A request that no longer waits needs no answer.
            let _ = reply.try_send(answer);
            return;
        }
        let asked = self.looks.contains_key(&key);
        let look = self.looks.entry(key).or_default();
        look.replies.push((now + LOOK, reply));
        if !asked {
            self.submit(Request::Watch { key }, Waiter::Watch(key), now);
        }
    }

    pub(super) fn looked(&mut self, key: &ClaimKey, answer: Option<&ClaimResponse>) {
        for (_, reply) in self.looks.remove(key).unwrap_or_default().replies {
            let _ = reply.try_send(answer.cloned());
        }
    }

    pub(super) fn answer_looks(&mut self, now: Instant) {
        for look in self.looks.values_mut() {
            look.replies.retain(|(until, reply)| {
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
