//! Requests that may crash targets: what this router notices, and which it rejects.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_crashes::{
    CrashMessage, CrashOutbox, CrashOutboxSettings, Member, PartHash, SuspectedCrashes,
    TargetStartId,
};
use bamboospur_dispatch::{ChosenTarget, PromptPart};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::state::Router;
use crate::process::spawn_detached;

/// A target that has been answering for this time is not crashed by the request: crashing
/// ones end it when it begins to answer.
pub const SOUND_AFTER: Duration = Duration::from_millis(250);
/// Time in which all connections of a process that ends are closed.
const CLOSE_TIME: Duration = Duration::from_millis(30);
/// Time limit of the connection that shows whether a target still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a target that runs keeps a connection open without a request. A proxy in
/// front of one that has ended closes it at once.
const OPEN_TIME: Duration = Duration::from_millis(100);

/// Crash-related state of a router.
pub struct Crashes {
    member: RefCell<Member>,
    suspected: RefCell<SuspectedCrashes>,
    /// Attempts with a connection, by target.
    connected: RefCell<BTreeMap<TargetStartId, u32>>,
    outbox: RefCell<CrashOutbox>,
    /// Notified when messages for the control instances are pending.
    pub pending: Notify,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            member: RefCell::default(),
            suspected: RefCell::default(),
            connected: RefCell::default(),
            outbox: RefCell::new(CrashOutbox::new(
                CrashOutboxSettings::router(1, 1),
                Instant::now(),
            )),
            pending: Notify::new(),
        }
    }
}

impl Crashes {
    /// Handles a message of a control instance.
    pub fn handle(&self, message: &CrashMessage, now: Instant) {
        match message {
            CrashMessage::Blocked(parts) => {
                warn!(
                    ?parts,
                    "parts of prompts crash targets; rejecting requests with them"
                );
            }
            CrashMessage::Released(parts) => {
                info!(?parts, "accepting requests with these parts again");
            }
            _ => {}
        }
        let reply = self.member.borrow_mut().handle(message, now);
        self.send(reply);
    }

    /// Removes and returns the next message for this number of control instances, if it may
    /// be sent now by one of `routers`.
    pub fn next_pending(&self, hubs: usize, routers: u32, now: Instant) -> Option<CrashMessage> {
        let mut outbox = self.outbox.borrow_mut();
        let count = u32::try_from(hubs).unwrap_or(u32::MAX);
        outbox.set_settings(CrashOutboxSettings::router(routers, count));
        outbox.pop(hubs, now)
    }

    /// Queues what control instances that become hubs may not know.
    pub fn queue_state(&self, now: Instant) {
        self.send(self.state(now));
    }

    /// Returns the messages for a control instance that may have lost its memory.
    pub fn state(&self, now: Instant) -> Vec<CrashMessage> {
        self.member.borrow().state(now)
    }

    /// Returns when the prompt's block ends, if one of its parts is blocked.
    pub fn blocked_until(&self, prompt: &[PromptPart]) -> Option<Instant> {
        let member = self.member.borrow();
        let blocked = member.find_blocked(shared_parts(prompt), Instant::now());
        blocked.map(|(_, until)| until)
    }

    /// Records that a target answered a prompt, or has been answering for long enough.
    pub fn record_answer(&self, prompt: &[PromptPart]) {
        let mut member = self.member.borrow_mut();
        let report = member.record_answer(shared_parts(prompt), Instant::now());
        drop(member);
        self.send(report);
    }

    /// Counts an attempt as connected to its target until the returned guard is dropped.
    pub fn connect(router: &Rc<Router>, choice: &ChosenTarget) -> Connected {
        let target = choice.start_id();
        let mut connected = router.crashes.connected.borrow_mut();
        *connected.entry(target).or_default() += 1;
        Connected {
            router: Rc::clone(router),
            target,
        }
    }

    fn is_connected(&self, target: TargetStartId) -> bool {
        self.connected.borrow().contains_key(&target)
    }

    fn send(&self, messages: impl IntoIterator<Item = CrashMessage>) {
        let mut outbox = self.outbox.borrow_mut();
        outbox.push(messages);
        if outbox.next_at().is_some() {
            self.pending.notify_one();
        }
    }
}

/// Guard that counts an attempt as connected to its target.
pub struct Connected {
    router: Rc<Router>,
    target: TargetStartId,
}

impl Drop for Connected {
    fn drop(&mut self) {
        let mut connected = self.router.crashes.connected.borrow_mut();
        if let Some(count) = connected.get_mut(&self.target) {
            *count -= 1;
            if *count == 0 {
                connected.remove(&self.target);
            }
        }
    }
}

/// Finds out whether a target has ended at which a prompt broke off before its answer, and
/// reports that with the parts of all such prompts. One connection that ends has many causes;
/// a target that has ended has no connection left and accepts none.
pub fn check_target(router: &Rc<Router>, choice: &ChosenTarget, prompt: &[PromptPart]) {
    if prompt.is_empty() {
        return;
    }
    let target = choice.start_id();
    let mut suspected = router.crashes.suspected.borrow_mut();
    if !suspected.record(target, shared_parts(prompt)) {
        return;
    }
    let (router, address, start) = (Rc::clone(router), choice.address, choice.start);
    let name = choice.name.clone();
    spawn_detached(async move {
        sleep(CLOSE_TIME).await;
        let has_ended = has_ended(address).await;
        let crashes = &router.crashes;
        let parts = crashes.suspected.borrow_mut().take(target);
        if !has_ended || crashes.is_connected(target) || router.is_leaving(&name, start) {
            return;
        }
        info!(
            target_name = name,
            ?parts,
            "a target ended while it processed requests with these parts; reporting it"
        );
        crashes.send(CrashMessage::crash_reports(target, &parts));
    });
}

/// Whether the process at an address has ended: it refuses connections, or a proxy in front of
/// it closes them at once. No answer proves nothing, since the network may be cut.
async fn has_ended(address: SocketAddr) -> bool {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(mut connection)) => {
            let read = timeout(OPEN_TIME, connection.read(&mut [0])).await;
            read.is_ok_and(|read| !matches!(read, Ok(1..)))
        }
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Err(_) => false,
    }
}

/// Returns the parts that a prompt shares with others. The last of several is private to the
/// request or its chat.
fn shared_parts(prompt: &[PromptPart]) -> impl Iterator<Item = PartHash> + '_ {
    let count = prompt.len().saturating_sub(1).max(1);
    prompt.iter().take(count).map(|part| part.hash)
}
