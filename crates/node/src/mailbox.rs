//! The one mailbox of the main loop.
//!
//! Edge threads send messages and wait for the answer on a channel that goes
//! along. A message that is not answered in time means that the main loop is
//! stuck or has ended; the request is then refused.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::time::{Duration, Instant};

use crate::actors::{ControlMessage, MembersMessage, RouterMessage};
use crate::status::StatusParts;

/// Longest wait for the main loop: it never blocks, so this is a fault.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Where an answer goes.
pub type Reply<T> = SyncSender<T>;

/// Message to the main loop.
#[derive(Debug)]
pub enum MainLoopMessage {
    /// For the router actor.
    Router(RouterMessage),
    /// For the members actor.
    Members(MembersMessage),
    /// For the control actor.
    Control(ControlMessage),
    /// Asks all actors for their part of the status page.
    Status(Reply<StatusParts>),
    /// Tells the other instances that this one leaves.
    Leave,
    /// Closes the links to other instances.
    CloseLinks,
    /// Ends the main loop.
    Stop,
}

/// Sending end of the mailbox.
#[derive(Clone, Debug)]
pub struct Mailbox {
    sender: Sender<MainLoopMessage>,
}

/// Receiving end, owned by the main loop.
#[derive(Debug)]
pub struct Inbox {
    receiver: Receiver<MainLoopMessage>,
}

/// Creates a mailbox.
#[must_use]
pub fn open() -> (Mailbox, Inbox) {
    let (sender, receiver) = channel();
    (Mailbox { sender }, Inbox { receiver })
}

impl Mailbox {
    /// Sends a message without an answer.
    pub fn send(&self, mail: MainLoopMessage) {
        // The main loop outlives the edge threads; at the end of the process
        // a lost message changes nothing.
        let _ = self.sender.send(mail);
    }

    /// Sends a message and waits for its answer.
    pub fn request<T>(&self, mail: impl FnOnce(Reply<T>) -> MainLoopMessage) -> Option<T> {
        self.request_until(mail, Instant::now() + ANSWER_TIMEOUT)
    }

    /// Sends a message and waits for its answer until a deadline.
    pub fn request_until<T>(
        &self,
        mail: impl FnOnce(Reply<T>) -> MainLoopMessage,
        deadline: Instant,
    ) -> Option<T> {
        let (reply, answer) = sync_channel(1);
        self.sender.send(mail(reply)).ok()?;
        let left = deadline.saturating_duration_since(Instant::now());
        answer.recv_timeout(left).ok()
    }
}

impl Inbox {
    /// Waits for the next message; `None` when the time is up.
    ///
    /// # Errors
    ///
    /// Returns an error when every sender is gone.
    pub fn next(&self, wait: Duration) -> Result<Option<MainLoopMessage>, RecvTimeoutError> {
        match self.receiver.recv_timeout(wait) {
            Ok(mail) => Ok(Some(mail)),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns the next message if there is one.
    #[must_use]
    pub fn try_next(&self) -> Option<MainLoopMessage> {
        self.receiver.try_recv().ok()
    }
}
