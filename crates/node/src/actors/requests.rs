//! Control actor: requests to the leader.
//!
//! A request goes to the own replica when it leads, otherwise over a link to
//! the leader, or to any member of the group, which passes it on once. It is
//! sent again when it was refused, its link ended, or no reply came. That is
//! safe because the replicated state knows changes by their id and claims by
//! their attempt. A change of members has no id and is sent once.

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
use super::control_mail::Waiter;
use super::links::CUT_OFF;
use crate::peers::LinkId;

/// Longest wait for an answer. Callers of claims wait one second longer.
const GIVE_UP: Duration = Duration::from_secs(4);
/// Pause before a refused request is sent again: an election takes 1 s.
const RETRY: Duration = Duration::from_millis(50);
/// Time without a reply after which a request is sent again.
const RESEND: Duration = Duration::from_secs(1);
/// Requests that wait at once.
const MAX_WAITING: usize = 16_384;

/// A request without an answer.
#[derive(Debug)]
pub struct Pending {
    request: Request,
    pub(super) waiter: Waiter,
    via: Option<Via>,
    try_at: Instant,
    give_up_at: Instant,
    error: MemberError,
}

/// Where a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Via {
    Own,
    Link(LinkId),
}

impl Control {
    /// Starts a request; its answer goes to the waiter.
    pub(super) fn submit(&mut self, request: Request, waiter: Waiter, now: Instant) {
        let lost = self.contact.lost_at;
        let cut_off = lost.is_some_and(|(since, _)| now - since >= CUT_OFF);
        if cut_off || self.waiting.len() >= MAX_WAITING {
            self.refuse(waiter, MemberError::NotLeader { leader: None });
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let pending = Pending {
            request,
            waiter,
            via: None,
            try_at: now,
            give_up_at: now + GIVE_UP,
            error: MemberError::NotLeader { leader: None },
        };
        self.waiting.insert(ticket, pending);
        self.try_send(ticket, now);
    }

    fn route(&self) -> Option<Via> {
        if self.member.is_some() && self.leader == Some(self.own) {
            return Some(Via::Own);
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
        let Some(pending) = self.waiting.get_mut(&ticket) else {
            return;
        };
        pending.via = via;
        pending.try_at = now + if via.is_some() { RESEND } else { RETRY };
        match via {
            None => {}
            Some(Via::Own) => {
                // The own replica answers every request, at the latest when it
                // no longer leads.
                pending.try_at = pending.give_up_at;
                let request = pending.request.clone();
                if let Request::Engines { reports, ended } = &request {
                    let orders = self.engines_reported(reports, ended, now);
                    self.answer(ticket, Ok(orders), now);
                } else {
                    self.feed(MemberInput::Request { ticket, request }, now);
                }
            }
            Some(Via::Link(link)) => match encode_request(&pending.request) {
                Ok(body) => {
                    let frame = Frame::Request { ticket, body };
                    if !self.peers.links().borrow().send(link, frame) {
                        pending.try_at = now + RETRY;
                    }
                }
                Err(error) => {
                    let message = error.to_string();
                    self.ended(ticket, Err(MemberError::Invalid { message }), now);
                }
            },
        }
    }

    /// Sends requests again whose time has come, and gives others up.
    pub(super) fn tick_requests(&mut self, now: Instant) {
        let due: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, pending)| pending.try_at.min(pending.give_up_at) <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let given_up = self.waiting.get(&ticket).filter(|p| p.give_up_at <= now);
            match given_up.map(|pending| pending.error.clone()) {
                Some(error) => {
                    self.ended(ticket, Err(error), now);
                }
                None if self.waiting.get(&ticket).is_some_and(Pending::sent_once) => {}
                None => self.try_send(ticket, now),
            }
        }
    }

    /// Whether an answer of this request ends it. Refused requests of this
    /// instance are sent again; those of others are repeated there.
    pub(super) fn is_final(&self, ticket: Ticket, answer: &Result<Response, MemberError>) -> bool {
        let Some(pending) = self.waiting.get(&ticket) else {
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

    /// Schedules a refused request again.
    pub(super) fn put_back(&mut self, ticket: Ticket, error: MemberError, now: Instant) {
        if let Some(pending) = self.waiting.get_mut(&ticket) {
            pending.via = None;
            pending.try_at = now + RETRY;
            pending.error = error;
        }
    }

    /// Serves a request of another instance. One that a member of the group
    /// passed on is not passed on again.
    pub(super) fn serve(
        &mut self,
        link: LinkId,
        control: bool,
        ticket: u64,
        body: &[u8],
        now: Instant,
    ) {
        let waiter = Waiter::Remote { link, ticket };
        let leads = self.leader == Some(self.own);
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
                // Without a reply the request comes again.
                let frame = Frame::Reply { ticket, body };
                let _ = self.peers.links().borrow().send(link, frame);
            }
            Err(error) => error!(%error, "a reply cannot be encoded"),
        }
    }

    pub(super) fn replied(&mut self, link: LinkId, ticket: Ticket, body: &[u8], now: Instant) {
        if self.asked.contains_key(&ticket) {
            self.asked_answered(ticket, body);
            return;
        }
        let pending = self.waiting.get(&ticket);
        // An answer over an earlier link is as good as one over the last one.
        if pending.is_none_or(|pending| pending.via == Some(Via::Own)) {
            return;
        }
        match decode_response(body) {
            Ok(answer) => {
                self.answer(ticket, answer, now);
            }
            Err(error) => error!(%error, link, "a reply cannot be read"),
        }
    }

    /// Passes an answer on, or schedules a refused request again.
    pub(super) fn answer(
        &mut self,
        ticket: Ticket,
        answer: Result<Response, MemberError>,
        now: Instant,
    ) {
        match answer {
            Err(error) if !self.is_final(ticket, &Err(error.clone())) => {
                self.put_back(ticket, error, now);
            }
            answer => self.ended(ticket, answer, now),
        }
    }

    /// Ends a request with its answer.
    pub(super) fn ended(
        &mut self,
        ticket: Ticket,
        answer: Result<Response, MemberError>,
        now: Instant,
    ) {
        let Some(pending) = self.waiting.remove(&ticket) else {
            return;
        };
        match (pending.waiter, answer) {
            (Waiter::Remote { link, ticket }, answer) => self.reply_remote(link, ticket, &answer),
            // A request that no longer waits needs no answer.
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
                self.looked(&key, answer.as_ref());
            }
            (Waiter::Start, Ok(Response::Applied(Applied::Change(Err(refusal))))) => {
                error!(message = refusal.message, "a first change was refused");
            }
            (Waiter::Start, Ok(_)) => self.next_first_change(now),
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
            // Those who look are told that the claim runs, and look again.
            Waiter::Watch(key) => {
                self.looks.remove(&key);
            }
            Waiter::Start => error!(%error, "a first change was not made"),
            Waiter::Nobody => {}
        }
    }

    /// Sends the requests of an ended link again.
    pub(super) fn link_ended(&mut self, link: LinkId, now: Instant) {
        let lost = self.waiting.values_mut();
        for pending in lost.filter(|p| p.via == Some(Via::Link(link))) {
            pending.via = None;
            pending.try_at = now;
        }
    }

    /// Sends the requests that found no way to a leader.
    pub(super) fn leader_found(&mut self, now: Instant) {
        let waiting = self.waiting.values_mut();
        for pending in waiting.filter(|pending| pending.via.is_none()) {
            pending.try_at = now;
        }
    }
}

impl Pending {
    /// Whether the request must not be sent a second time without a refusal.
    fn sent_once(&self) -> bool {
        self.via.is_some() && matches!(self.request, Request::Members(_))
    }

    /// Whether this is the request for a claim by an attempt.
    pub(super) fn claims(&self, key: &ClaimKey, attempt: Attempt) -> bool {
        let Request::Command(Command::Claims(claims)) = &self.request else {
            return false;
        };
        let mut claims = claims.iter();
        claims.any(|claim| claim.key == *key && claim.attempt == attempt)
    }
}
