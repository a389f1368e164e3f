//! Callers. A request that was not run is retried after `Retry-After`, a request without
//! an answer is resent with the same key to another router, and most requests continue an
//! earlier chat.

use super::message::{CallerRequest, FinalAnswer, Message, Node};
use super::oracle::ViolationKind;
use super::world::{CALLERS, DATA_CENTRES, Event, ROUTERS, World};

/// Time without an answer after which a caller resends to another router.
const RESEND_TIMEOUT_US: u64 = 8_000_000;

#[derive(Default)]
pub struct Caller {
    /// Request in progress.
    pub request: Option<CallerRequest>,
    /// Time at which the caller acts next.
    due_us: u64,
    /// Chats and the lengths of their prefixes in tokens, oldest first.
    chats: Vec<(u64, u64)>,
}

impl World {
    /// Sends a new request, a retry, or a resend after a time-out, if the caller is due.
    pub fn caller_turn(&mut self, index: usize) {
        if self.callers[index].due_us > self.now_us {
            return;
        }
        let request = match self.callers[index].request {
            Some(request) => request,
            None if self.is_settling() => return,
            None => self.new_request(index),
        };
        let request = CallerRequest {
            send_id: self.next_id(),
            ..request
        };
        self.callers[index].request = Some(request);
        self.oracle.tally.sends += 1;
        let router = self.pick_router(index);
        self.send(
            Node::Caller(index),
            Node::Router(router),
            Message::Submit(request),
        );
        self.schedule_caller(index, RESEND_TIMEOUT_US);
    }

    fn schedule_caller(&mut self, index: usize, wait_us: u64) {
        self.callers[index].due_us = self.now_us + wait_us;
        self.schedule_after(wait_us, Event::Timer(Node::Caller(index), 0));
    }

    /// Picks a running router, mostly of the caller's own data centre. If none of these
    /// runs, picks any: the load balancer does not know at once which routers are down.
    fn pick_router(&mut self, index: usize) -> usize {
        let own = index % DATA_CENTRES;
        let any = self.random_below(20) == 0;
        let all = (0..ROUTERS).filter(|r| any || r % DATA_CENTRES == own);
        let up: Vec<usize> = all.filter(|r| self.routers[*r].is_serving()).collect();
        if up.is_empty() {
            return self.random_index(ROUTERS);
        }
        up[self.random_index(up.len())]
    }

    fn new_request(&mut self, index: usize) -> CallerRequest {
        self.oracle.tally.requests += 1;
        let returns = !self.callers[index].chats.is_empty() && self.random_below(3) > 0;
        let count = self.callers[index].chats.len();
        let slot = if returns {
            self.random_index(count)
        } else {
            count
        };
        if !returns {
            let chat = self.next_id() << 20 | 1;
            self.callers[index].chats.push((chat, 0));
        }
        let (chat, prefix) = self.callers[index].chats[slot];
        let work = 200 + self.random_below(1_800);
        self.callers[index].chats[slot].1 = prefix + work;
        if self.callers[index].chats.len() > 5 {
            self.callers[index].chats.remove(0);
        }
        CallerRequest {
            send_id: 0,
            request_id: self.next_id(),
            caller: index,
            chat,
            team: index % 4,
            work_tokens: work + prefix.min(8_000),
            prefix_tokens: prefix.min(8_000),
            repeatable: self.random_below(3) > 0,
        }
    }

    pub fn caller_message(&mut self, index: usize, message: Message) {
        let Message::Final(send, answer) = message else {
            return;
        };
        let Some(request) = self.callers[index].request else {
            return;
        };
        // An answer to an earlier send is lost: its connection is closed.
        if request.send_id != send {
            return;
        }
        self.oracle.request_answered(&request, &answer);
        let again_us = match &answer {
            FinalAnswer::Answered(_) => None,
            FinalAnswer::NotRun { retry_after_ms } => Some(retry_after_ms * 1000),
            FinalAnswer::Unknown => request.repeatable.then_some(200_000),
        };
        if again_us.is_none() {
            self.callers[index].request = None;
        }
        let think_us = 20_000 + self.random_below(400_000);
        self.schedule_caller(index, again_us.unwrap_or(think_us).max(1_000));
    }

    /// Checks that every caller has its answer at the end of the quiet time.
    pub fn check_callers(&mut self) {
        let open: Vec<u64> = (0..CALLERS)
            .filter_map(|index| self.callers[index].request)
            .map(|request| request.request_id)
            .collect();
        if !open.is_empty() {
            let what = format!("requests {open:?} have no answer at the end");
            self.fail(ViolationKind::OwnAnswer, what);
        }
    }
}
