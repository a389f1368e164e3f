//! Reports of targets, which routers accept on behalf of the control instances in a
//! large deployment.
//!
//! An unchanged report is answered at once, and sent to a control instance with the
//! next batch. Any other call is answered only when a control instance has
//! acknowledged it, since a target that leaves relies on the answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_http1::server::{ReadLimits, Request};
use bamboospur_registry::{Announcement, Merge, Phase, StartTime, TargetName};
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

use super::state::Router;
use crate::calls::{
    self, ANSWER_TIMEOUT, Answer, TargetCall, TargetUpdate, parse_target_update,
    submit_target_update,
};
use crate::link::{Frame, Requests, Responder, Ticket};
use crate::process::Listener;

/// Limits on requests of targets; a report takes some hundred bytes.
const READ_LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024,
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(20),
};
/// Targets that reported within this time are sent to a control instance whose link
/// comes up, as the instance may have lost its state.
const RECENT_REPORT_WINDOW: Duration = Duration::from_secs(5);

/// Accepts calls of targets; never returns.
pub async fn serve<E: 'static>(
    listener: Listener,
    events: Sender<E>,
    convert: fn(TargetCall) -> E,
) {
    let answer = move |request| {
        let events = events.clone();
        async move { handle(&request, &events, convert).await }
    };
    calls::serve(listener, READ_LIMITS, answer).await;
}

async fn handle<E>(request: &Request, events: &Sender<E>, convert: fn(TargetCall) -> E) -> Answer {
    match parse_target_update(request) {
        Some(Ok(update)) => submit_target_update(update, events, convert).await,
        Some(Err(answer)) => answer,
        None => Answer::error(404, "no such call"),
    }
}

/// State of the reports that targets send to this router.
pub struct Reports {
    router: Rc<Router>,
    /// Unchanged reports since the last batch: start and sequence number by target.
    refreshed: BTreeMap<TargetName, (StartTime, u64)>,
    reported_at: BTreeMap<TargetName, Instant>,
    /// Calls that wait for the acknowledgement of a control instance.
    pending_replies: Requests<oneshot::Sender<Option<SocketAddr>>>,
}

impl Reports {
    pub fn new(router: Rc<Router>) -> Self {
        Self {
            router,
            refreshed: BTreeMap::new(),
            reported_at: BTreeMap::new(),
            pending_replies: Requests::default(),
        }
    }

    /// Handles a call. Returns the frame for the control instance at `control` if the answer
    /// has to wait for the instance's acknowledgement.
    pub fn handle_call(
        &mut self,
        call: TargetCall,
        control: SocketAddr,
        now: Instant,
    ) -> Option<Frame> {
        let TargetCall { update, reply } = call;
        match update {
            TargetUpdate::Report(announcement) => {
                self.handle_report(announcement, reply, control, now)
            }
            TargetUpdate::Leave { name, start } => {
                self.router.leave(&name, start);
                let ticket = self.add_pending_reply(reply, control, now);
                Some(Frame::Leave {
                    ticket,
                    name,
                    start,
                })
            }
        }
    }

    fn handle_report(
        &mut self,
        announcement: Announcement,
        reply: oneshot::Sender<Option<SocketAddr>>,
        control: SocketAddr,
        now: Instant,
    ) -> Option<Frame> {
        if announcement.phase == Phase::Ready && !self.router.knows_software(&announcement) {
            // The control instances name the target once its software is accepted.
            return Some(self.forward(announcement, reply, control, now));
        }
        self.reported_at.insert(announcement.name.clone(), now);
        let merge = self.router.merge_report(&announcement);
        match (merge, announcement.phase) {
            // The router may know of a drain already, from an answer of the target or a lost
            // report, but the target relies on all routers knowing it.
            (Merge::Changed, _) | (_, Phase::Draining | Phase::Gone) => {
                Some(self.forward(announcement, reply, control, now))
            }
            (Merge::Refreshed, Phase::Ready) => {
                let reported = (announcement.start, announcement.sequence);
                self.refreshed.insert(announcement.name, reported);
                // The target may no longer wait for the reply.
                let _sent = reply.send(None);
                None
            }
            (Merge::Stale, Phase::Ready) => {
                let _sent = reply.send(None);
                None
            }
        }
    }

    /// Returns the frame that asks a control instance to take a report.
    fn forward(
        &mut self,
        announcement: Announcement,
        reply: oneshot::Sender<Option<SocketAddr>>,
        control: SocketAddr,
        now: Instant,
    ) -> Frame {
        let ticket = self.add_pending_reply(reply, control, now);
        Frame::Report {
            ticket,
            announcement: Box::new(announcement),
        }
    }

    /// Stores a reply until the control instance acknowledges the returned ticket.
    fn add_pending_reply(
        &mut self,
        reply: oneshot::Sender<Option<SocketAddr>>,
        control: SocketAddr,
        now: Instant,
    ) -> Ticket {
        let deadline = now + ANSWER_TIMEOUT;
        self.pending_replies
            .add_sent(reply, Responder::Peer(control), deadline)
    }

    /// Answers the call whose report or departure the control instance has acknowledged to which
    /// it was forwarded.
    pub fn acknowledge(&mut self, ticket: Ticket, control: SocketAddr) {
        if let Some(reply) = self.pending_replies.take(ticket, Responder::Peer(control)) {
            // The target may no longer wait for the reply.
            let _sent = reply.send(None);
        }
    }

    /// Returns the batch of unchanged reports, if any, and drops expired entries and
    /// the replies that their callers no longer wait for.
    pub fn take_refreshed(&mut self, now: Instant) -> Option<Frame> {
        self.pending_replies.take_expired(now);
        self.reported_at
            .retain(|_, &mut at| now < at + RECENT_REPORT_WINDOW);
        let refreshed = std::mem::take(&mut self.refreshed).into_iter();
        let refreshed: Vec<_> = refreshed
            .map(|(name, (start, seq))| (name, start, seq))
            .collect();
        (!refreshed.is_empty()).then_some(Frame::Heard(refreshed))
    }

    /// Returns the targets that reported to this router lately.
    pub fn reporting_targets(&self) -> Vec<Announcement> {
        let registry = self.router.registry.borrow();
        let names = self.reported_at.keys();
        names
            .filter_map(|name| registry.get(name).cloned())
            .collect()
    }
}
