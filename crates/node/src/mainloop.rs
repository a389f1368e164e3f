//! The main loop: delivers the messages of the mailbox to the actors and runs their
//! timers.

use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};

use crate::actors::{Control, ControlStart, Members, MembersStart, Router};
use crate::mailbox::{Inbox, Mailbox, MainLoopMessage};
use crate::peers::Peers;
use crate::status::StatusParts;

/// Longest wait for a message when no timer is due.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Messages delivered before timers run again.
const MAX_BATCH_MESSAGES: usize = 256;

/// Initial state of the main loop.
#[derive(Debug)]
pub struct LoopStart {
    /// Id of this instance.
    pub own_id: InstanceId,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Start time of the process, in seconds since the Unix epoch.
    pub epoch: u32,
    /// Initial state of the members actor.
    pub members: MembersStart,
    /// Initial state of the control actor.
    pub control: ControlStart,
    /// Connections to other instances.
    pub peers: Peers,
}

struct Actors {
    router: ActorOwn<Router>,
    members: ActorOwn<Members>,
    control: ActorOwn<Control>,
}

/// Runs the actors until [`MainLoopMessage::Stop`] arrives or all mailboxes are
/// dropped. Call it once, on the main thread: `stakker` allows one instance per
/// process.
pub fn run(start: LoopStart, mailbox: Mailbox, inbox: &Inbox) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let peers = start.peers;
    let router = actor!(
        s,
        Router::init(
            start.own_id,
            start.data_centre,
            (start.seed, start.epoch),
            peers.clone()
        ),
        ret_nop!()
    );
    let connections = (router.clone(), mailbox, peers.clone());
    let members = actor!(
        s,
        Members::init(start.members, start.seed, connections),
        ret_nop!()
    );
    let control = actor!(
        s,
        Control::init(start.control, router.clone(), peers.clone()),
        ret_nop!()
    );
    let actors = Actors {
        router,
        members,
        control,
    };
    s.run(Instant::now(), false);
    loop {
        let wait = s.next_wait_max(Instant::now(), MAX_WAIT, false);
        let message = match inbox.next(wait) {
            Ok(message) => message,
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if let Some(message) = message
            && !deliver_all(s, &actors, message, inbox)
        {
            return;
        }
        s.run(Instant::now(), false);
        peers.flush_placement();
    }
}

/// Delivers a message and those queued behind it; returns false to end the loop.
fn deliver_all(s: &mut Stakker, actors: &Actors, first: MainLoopMessage, inbox: &Inbox) -> bool {
    let mut next = Some(first);
    for _ in 0..MAX_BATCH_MESSAGES {
        let Some(message) = next else {
            return true;
        };
        if !deliver(s, actors, message) {
            return false;
        }
        next = inbox.try_next();
    }
    match next {
        Some(message) => deliver(s, actors, message),
        None => true,
    }
}

fn deliver(s: &mut Stakker, actors: &Actors, message: MainLoopMessage) -> bool {
    match message {
        MainLoopMessage::Router(message) => call!([actors.router], handle_message(message)),
        MainLoopMessage::Members(message) => call!([actors.members], handle_message(message)),
        MainLoopMessage::Control(message) => call!([actors.control], handle_message(message)),
        MainLoopMessage::Status(reply) => {
            // The send fails only if the operator's request no longer waits.
            let _ = reply.try_send(status(s, actors));
        }
        MainLoopMessage::Leave => {
            call!([actors.control], leave());
            call!([actors.members], leave());
        }
        MainLoopMessage::CloseLinks => call!([actors.control], close_links()),
        MainLoopMessage::Stop => return false,
    }
    true
}

fn status(s: &mut Stakker, actors: &Actors) -> StatusParts {
    let now = s.now();
    let pools = actors.router.query(s, |router, _| router.status());
    let routers = actors.members.query(s, |members, _| members.routers());
    let control = actors.control.query(s, |control, _| control.status());
    let counters = [
        actors.router.query(s, |router, _| router.counters()),
        actors.members.query(s, |members, _| members.counters(now)),
        actors.control.query(s, |control, _| control.counters(now)),
    ];
    StatusParts {
        pools: pools.unwrap_or_default(),
        routers: routers.unwrap_or_default(),
        control: control.unwrap_or_default(),
        counters: counters.into_iter().flatten().flatten().collect(),
    }
}
