//! The main loop: one mailbox and the actors.

use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};

use crate::actors::{Control, ControlStart, Members, MembersStart, Router};
use crate::mailbox::{Inbox, Mailbox, MainLoopMessage};
use crate::peers::Peers;
use crate::status::StatusParts;

/// Longest sleep when no timer is set.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Messages delivered before timers get their turn.
const BATCH: usize = 256;

/// What the main loop starts with.
#[derive(Debug)]
pub struct LoopStart {
    /// Id of this instance.
    pub own: InstanceId,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Start of the process in seconds.
    pub epoch: u32,
    /// Start of the members actor.
    pub members: MembersStart,
    /// Start of the control actor.
    pub control: ControlStart,
    /// Traffic with other instances.
    pub peers: Peers,
}

struct Actors {
    router: ActorOwn<Router>,
    members: ActorOwn<Members>,
    control: ActorOwn<Control>,
}

/// Runs until it is told to stop. Must run on the main thread of the process,
/// once: `stakker` allows one instance.
pub fn run(start: LoopStart, mailbox: Mailbox, inbox: &Inbox) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let peers = start.peers;
    let router = actor!(
        s,
        Router::init(
            start.own,
            start.data_centre,
            (start.seed, start.epoch),
            peers.clone()
        ),
        ret_nop!()
    );
    let links = (router.clone(), mailbox, peers.clone());
    let members = actor!(
        s,
        Members::init(start.members, start.seed, links),
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
        let mail = match inbox.next(wait) {
            Ok(mail) => mail,
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if let Some(mail) = mail
            && !deliver_all(s, &actors, mail, inbox)
        {
            return;
        }
        s.run(Instant::now(), false);
        peers.flush();
    }
}

/// Delivers a message and those behind it; false ends the loop.
fn deliver_all(s: &mut Stakker, actors: &Actors, first: MainLoopMessage, inbox: &Inbox) -> bool {
    let mut next = Some(first);
    for _ in 0..BATCH {
        let Some(mail) = next else {
            return true;
        };
        if !deliver(s, actors, mail) {
            return false;
        }
        next = inbox.try_next();
    }
    match next {
        Some(mail) => deliver(s, actors, mail),
        None => true,
    }
}

fn deliver(s: &mut Stakker, actors: &Actors, mail: MainLoopMessage) -> bool {
    match mail {
        MainLoopMessage::Router(mail) => call!([actors.router], handle_message(mail)),
        MainLoopMessage::Members(mail) => call!([actors.members], handle_message(mail)),
        MainLoopMessage::Control(mail) => call!([actors.control], handle_message(mail)),
        MainLoopMessage::Status(reply) => {
            // An operator that no longer waits needs no answer.
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
