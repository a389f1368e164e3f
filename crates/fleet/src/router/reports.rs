//! Reports of targets, which control instances of a large deployment leave to the
//! routers.
//!
//! A report that says nothing new is answered at once, and a control instance
//! hears of it with the next batch. Anything else is answered only when a control
//! instance has taken it, since a target that leaves counts on the answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_http1::server::{ReadLimits, Request};
use bamboospur_registry::{Announcement, Merge, StartTime, TargetName};
use tokio::net::TcpListener;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

use super::state::Router;
use crate::calls::{
    self, Answer, TargetCall, TargetUpdate, parse_target_update, submit_target_update,
};
use crate::link::{Frame, Ticket};

/// Bounds on targets; a report takes some hundred bytes.
const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(20),
};
/// A target that reported within this time is told to a control instance that
/// comes back, as it may have lost its state.
const RECENT: Duration = Duration::from_secs(5);

/// Accepts reports for ever.
pub async fn serve<E: 'static>(
    listener: TcpListener,
    events: Sender<E>,
    convert: fn(TargetCall) -> E,
) {
    let answer = move |request| {
        let events = events.clone();
        async move { handle(&request, &events, convert).await }
    };
    calls::serve(listener, "targets", LIMITS, answer).await;
}

async fn handle<E>(request: &Request, events: &Sender<E>, convert: fn(TargetCall) -> E) -> Answer {
    match parse_target_update(request) {
        Some(Ok(news)) => submit_target_update(news, events, convert).await,
        Some(Err(answer)) => answer,
        None => Answer::error(404, "no such call"),
    }
}

/// Reports that this router has taken.
pub struct Reports {
    router: Rc<Router>,
    /// Reports without news since the last batch.
    heard: BTreeMap<TargetName, (StartTime, u64)>,
    reported_at: BTreeMap<TargetName, Instant>,
    next_ticket: Ticket,
    waiting: BTreeMap<Ticket, oneshot::Sender<Option<SocketAddr>>>,
}

impl Reports {
    pub const fn new(router: Rc<Router>) -> Self {
        Self {
            router,
            heard: BTreeMap::new(),
            reported_at: BTreeMap::new(),
            next_ticket: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Takes a call. Returns the frame for a control instance that the answer
    /// waits for, if any.
    pub fn take(&mut self, call: TargetCall, now: Instant) -> Option<Frame> {
        let TargetCall { update, reply } = call;
        match update {
            TargetUpdate::Report(announcement) => self.report(announcement, reply, now),
            TargetUpdate::Leave { name, start } => {
                self.router.leave(&name, start);
                let ticket = self.wait(reply);
                Some(Frame::Leave {
                    ticket,
                    name,
                    start,
                })
            }
        }
    }

    fn report(
        &mut self,
        announcement: Announcement,
        taken: oneshot::Sender<Option<SocketAddr>>,
        now: Instant,
    ) -> Option<Frame> {
        self.reported_at.insert(announcement.name.clone(), now);
        match self.router.merge_one(&announcement) {
            Merge::Changed => {
                let ticket = self.wait(taken);
                Some(Frame::Report {
                    ticket,
                    announcement: Box::new(announcement),
                })
            }
            Merge::Refreshed => {
                let reported = (announcement.start, announcement.sequence);
                self.heard.insert(announcement.name, reported);
                // The target may have given up waiting.
                let _told = taken.send(None);
                None
            }
            Merge::Stale => {
                let _told = taken.send(None);
                None
            }
        }
    }

    fn wait(&mut self, taken: oneshot::Sender<Option<SocketAddr>>) -> Ticket {
        self.next_ticket += 1;
        self.waiting.insert(self.next_ticket, taken);
        self.next_ticket
    }

    /// A control instance has taken what it was told.
    pub fn taken(&mut self, ticket: Ticket) {
        if let Some(taken) = self.waiting.remove(&ticket) {
            // The target may have given up waiting.
            let _told = taken.send(None);
        }
    }

    /// Returns the batch of reports without news, and forgets calls that were given
    /// up.
    pub fn take_heard(&mut self, now: Instant) -> Option<Frame> {
        self.waiting.retain(|_, taken| !taken.is_closed());
        self.reported_at.retain(|_, &mut at| now < at + RECENT);
        let heard = std::mem::take(&mut self.heard).into_iter();
        let heard: Vec<_> = heard
            .map(|(name, (start, seq))| (name, start, seq))
            .collect();
        (!heard.is_empty()).then_some(Frame::Heard(heard))
    }

    /// Returns the targets that report here.
    pub fn reporting(&self) -> Vec<Announcement> {
        let registry = self.router.registry.borrow();
        let known = self.reported_at.keys();
        known
            .filter_map(|name| registry.get(name).cloned())
            .collect()
    }
}
