//! Control actor: requests to the leader of the control group.
//!
//! A request goes to the replica of this instance when that leads, otherwise over a
//! link to the leader or to any member of the group, which forwards it once. It is
//! sent again when it was refused, its link ended, or no reply arrived. Repeating is
//! safe because the replicated state identifies changes by their id and claims by
//! their attempt. A change of members has no id and is sent only once.

use std::time::{Duration, Instant};

use bamboospur_agreement::Ticket;
use bamboospur_claims::{Attempt, ClaimKey};
use bamboospur_control::{
    Command, MemberError, MemberInput, Reply as Applied, Request, Response, decode_request,
    decode_response, encode_request, encode_response,
};
use bamboospur_wire::link::Frame;
use tracing::error;

use super::control::Control;
use super::control_messages::Waiter;
use super::links::LEADER_LOSS_TIMEOUT;
use crate::peers::LinkId;

/// Longest wait for an answer. Request threads wait at least one second longer for
/// this actor, so that they get its error instead of a timeout.
const GIVE_UP_AFTER: Duration = Duration::from_secs(4);
/// Pause before a refused request is sent again; short compared with an election,
/// which takes 1 s.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time without a reply after which a request is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(1);
/// Requests without an answer at one time.
const MAX_PENDING_REQUESTS: usize = 16_384;

/// A request that waits for its answer.
#[derive(Debug)]
pub struct PendingRequest {
    request: Request,
    pub(super) waiter: Waiter,
    via: Option<Via>,
    next_try_at: Instant,
    give_up_at: Instant,
    error: MemberError,
}

/// Route by which a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Via {
    OwnReplica,
    Link(LinkId),
}

impl Control {
    /// Starts a request; the waiter receives its answer.
    pub(super) fn submit(&mut self, request: Request, waiter: Waiter, now: Instant) {
        let lost = self.leader_contact.lost_at;
        let cut_off = lost.is_some_and(|(since, _)| now - since >= LEADER_LOSS_TIMEOUT);
        if cut_off || self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            self.refuse(waiter, MemberError::NotLeader { leader: None });
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let pending = PendingRequest {
            request,
            waiter,
            via: None,
            next_try_at: now,
            give_up_at: now + GIVE_UP_AFTER,
            error: MemberError::NotLeader { leader: None },
        };
        self.pending_requests.insert(ticket, pending);
        self.try_send(ticket, now);
    }

    fn route(&self) -> Option<Via> {
        if self.member.is_some() && self.leader == Some(self.own_id) {
            return Some(Via::OwnReplica);
        }
        let links = self.peers.links().borrow();
        let link = match self.leader {
            Some(leader) => links.link_to(leader),
            None => links.uplink(),
        };
        link.map(Via::Link)
    }

    fn try_send(&mut self, ticket: Ticket, now: Instant) {
        let via = self.route();
        let Some(pending) = self.pending_requests.get_mut(&ticket) else {
            return;
        };
        pending.via = via;
        pending.next_try_at = now
            + if via.is_some() {
                RESEND_AFTER
            } else {
                RETRY_PAUSE
            };
        match via {
            None => {}
            Some(Via::OwnReplica) => {
                // The replica of this instance answers every request, at the latest when
                // it stops leading, so that the request is not sent again.
                pending.next_try_at = pending.give_up_at;
                let request = pending.request.clone();
                if let Request::Engines { reports, ended } = &request {
                    let orders = self.handle_engine_reports(reports, ended, now);
                    self.handle_answer(ticket, Ok(orders), now);
                } else {
                    self.handle_input(MemberInput::Request { ticket, request }, now);
                }
            }
            Some(Via::Link(link)) => match encode_request(&pending.request) {
                Ok(body) => {
                    let frame = Frame::Request { ticket, body };
                    if !self.peers.links().borrow().send(link, frame) {
                        pending.next_try_at = now + RETRY_PAUSE;
                    }
                }
                Err(error) => {
                    let message = error.to_string();
                    self.finish_request(ticket, Err(MemberError::Invalid { message }), now);
                }
            },
        }
    }

    /// Sends the due requests again and ends those whose wait is over.
    pub(super) fn tick_requests(&mut self, now: Instant) {
        let due: Vec<Ticket> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| pending.next_try_at.min(pending.give_up_at) <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let given_up = self
                .pending_requests
                .get(&ticket)
                .filter(|p| p.give_up_at <= now);
            match given_up.map(|pending| pending.error.clone()) {
                Some(error) => {
                    self.finish_request(ticket, Err(error), now);
                }
                None if self
                    .pending_requests
                    .get(&ticket)
                    .is_some_and(PendingRequest::must_not_resend) => {}
                None => self.try_send(ticket, now),
            }
        }
    }

    /// Returns whether an answer ends the request. Refused requests of this instance
    /// are sent again; requests of other instances are repeated by those instances.
    pub(super) fn is_final(&self, ticket: Ticket, answer: &Result<Response, MemberError>) -> bool {
        let Some(pending) = self.pending_requests.get(&ticket) else {
            return true;
        };
        if matches!(pending.waiter, Waiter::Remote { .. }) {
            return true;
        }
        match answer {
            Ok(_) | Err(MemberError::Invalid { .. }) => true,
            Err(MemberError::OutcomeUnknown) => matches!(pending.request, Request::Members(_)),
            Err(MemberError::NotLeader { .. } | MemberError::NotApplied { .. }) => false,
        }
    }

    /// Schedules a refused request to be sent again.
    pub(super) fn reschedule(&mut self, ticket: Ticket, error: MemberError, now: Instant) {
        if let Some(pending) = self.pending_requests.get_mut(&ticket) {
            pending.via = None;
            pending.next_try_at = now + RETRY_PAUSE;
            pending.error = error;
        }
    }

    /// Serves a request of another instance. A request that a member of the group
    /// forwarded is not forwarded again.
    pub(super) fn serve_request(
        &mut self,
        link: LinkId,
        control: bool,
        ticket: u64,
        body: &[u8],
        now: Instant,
    ) {
        let waiter = Waiter::Remote { link, ticket };
        let leads = self.leader == Some(self.own_id);
        match decode_request(body) {
            Err(error) => {
                let message = error.to_string();
                self.refuse(waiter, MemberError::Invalid { message });
            }
            Ok(Request::Routers) => {
                let routers = Ok(Response::Routers(self.router_reports(now)));
                self.reply_remote(link, ticket, &routers);
            }
            Ok(_) if control && !leads => {
                let leader = self.leader;
                self.refuse(waiter, MemberError::NotLeader { leader });
            }
            Ok(_) if self.leader.is_none() => {
                self.refuse(waiter, MemberError::NotLeader { leader: None });
            }
            Ok(request) => self.submit(request, waiter, now),
        }
    }

    pub(super) fn reply_remote(
        &self,
        link: LinkId,
        ticket: u64,
        answer: &Result<Response, MemberError>,
    ) {
        match encode_response(answer) {
            Ok(body) => {
                // If the reply is lost, the other instance repeats the request.
                let frame = Frame::Reply { ticket, body };
                let _ = self.peers.links().borrow().send(link, frame);
            }
            Err(error) => {
                error!(%error, "failed to encode a reply; not sending it");
            }
        }
    }

    pub(super) fn handle_reply(&mut self, link: LinkId, ticket: Ticket, body: &[u8], now: Instant) {
        if self.member_queries.contains_key(&ticket) {
            self.handle_query_reply(ticket, body);
            return;
        }
        let pending = self.pending_requests.get(&ticket);
        // An answer over an earlier link is as valid as one over the latest link.
        if pending.is_none_or(|pending| pending.via == Some(Via::OwnReplica)) {
            return;
        }
        match decode_response(body) {
            Ok(answer) => {
                self.handle_answer(ticket, answer, now);
            }
            Err(error) => {
                error!(%error, link, "failed to decode a reply; its request stays pending");
            }
        }
    }

    /// Ends a request with its answer, or schedules a refused request to be sent
    /// again.
    pub(super) fn handle_answer(
        &mut self,
        ticket: Ticket,
        answer: Result<Response, MemberError>,
        now: Instant,
    ) {
        match answer {
            Err(error) if !self.is_final(ticket, &Err(error.clone())) => {
                self.reschedule(ticket, error, now);
            }
            answer => self.finish_request(ticket, answer, now),
        }
    }

    /// Removes a request and passes the answer to its waiter.
    pub(super) fn finish_request(
        &mut self,
        ticket: Ticket,
        answer: Result<Response, MemberError>,
        now: Instant,
    ) {
        let Some(pending) = self.pending_requests.remove(&ticket) else {
            return;
        };
        match (pending.waiter, answer) {
            (Waiter::Remote { link, ticket }, answer) => self.reply_remote(link, ticket, &answer),
            // Sends to a reply channel fail only if the request no longer waits.
            (Waiter::Operator(reply), answer) => drop(reply.try_send(answer)),
            (Waiter::Claim(reply), Ok(Response::Applied(Applied::Claims(mut claims)))) => {
                if let Some(claim) = claims.pop() {
                    let _ = reply.try_send(Ok(claim));
                }
            }
            (Waiter::Settle(reply), Ok(Response::Applied(Applied::Settled(settled)))) => {
                let _ = reply.try_send(Ok(settled));
            }
            (Waiter::Watch(key), Ok(Response::Watched(answer))) => {
                self.answer_watch(&key, answer.as_ref());
            }
            (Waiter::InitialChange, Ok(Response::Applied(Applied::Change(Err(refusal))))) => {
                error!(
                    message = refusal.message,
                    "an initial settings change was refused"
                );
            }
            (Waiter::InitialChange, Ok(_)) => self.propose_initial_change(now),
            (waiter, Err(error)) => self.refuse(waiter, error),
            _ => {}
        }
    }

    pub(super) fn refuse(&mut self, waiter: Waiter, error: MemberError) {
        match waiter {
            Waiter::Claim(reply) => drop(reply.try_send(Err(error))),
            Waiter::Settle(reply) => drop(reply.try_send(Err(error))),
            Waiter::Operator(reply) => drop(reply.try_send(Err(error))),
            Waiter::Remote { link, ticket } => self.reply_remote(link, ticket, &Err(error)),
            // Callers whose wait has not expired get no answer; the next caller starts a
            // new watch.
            Waiter::Watch(key) => {
                self.claim_watches.remove(&key);
            }
            Waiter::InitialChange => {
                error!(%error, "an initial settings change failed; continuing without it");
            }
            Waiter::Nobody => {}
        }
    }

    /// Schedules the requests of an ended link to be sent again immediately.
    pub(super) fn link_ended(&mut self, link: LinkId, now: Instant) {
        let lost = self.pending_requests.values_mut();
        for pending in lost.filter(|p| p.via == Some(Via::Link(link))) {
            pending.via = None;
            pending.next_try_at = now;
        }
    }

    /// Schedules the requests that had no route to a leader to be sent immediately.
    pub(super) fn leader_found(&mut self, now: Instant) {
        let waiting = self.pending_requests.values_mut();
        for pending in waiting.filter(|pending| pending.via.is_none()) {
            pending.next_try_at = now;
        }
    }
}

impl PendingRequest {
    /// Returns whether the request has been sent and must not be sent again unless it
    /// is refused.
    fn must_not_resend(&self) -> bool {
        self.via.is_some() && matches!(self.request, Request::Members(_))
    }

    /// Returns whether this is an attempt's request for a claim.
    pub(super) fn is_claim_of(&self, key: &ClaimKey, attempt: Attempt) -> bool {
        let Request::Command(Command::Claims(claims)) = &self.request else {
            return false;
        };
        let mut claims = claims.iter();
        claims.any(|claim| claim.key == *key && claim.attempt == attempt)
    }
}
