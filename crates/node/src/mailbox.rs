//! The mailbox of the main loop.
//!
//! Edge threads send messages and wait for each answer on a channel that is part
//! of the message. If no answer arrives in time, the main loop is stuck or has
//! ended, and the HTTP request is refused.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::time::{Duration, Instant};

use crate::actors::{ControlMessage, MembersMessage, RouterMessage};
use crate::status::StatusParts;

/// Longest wait for an answer. The main loop never blocks, so a longer wait means
/// that it is stuck.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Channel for the answer to one message.
pub type ReplySender<T> = SyncSender<T>;

/// Message to the main loop.
#[derive(Debug)]
pub enum MainLoopMessage {
    /// Message to the router actor.
    Router(RouterMessage),
    /// Message to the members actor.
    Members(MembersMessage),
    /// Message to the control actor.
    Control(ControlMessage),
    /// Requests each actor's part of the status page.
    Status(ReplySender<StatusParts>),
    /// Hands over leadership and announces to the other instances that this one leaves.
    Leave,
    /// Closes the links to other instances.
    CloseLinks,
    /// Ends the main loop.
    Stop,
}

/// Sending end of the mailbox; clones send to the same main loop.
#[derive(Clone, Debug)]
pub struct Mailbox {
    sender: Sender<MainLoopMessage>,
}

/// Receiving end of the mailbox, owned by the main loop.
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
    /// Sends a message that has no answer.
    pub fn send(&self, message: MainLoopMessage) {
        // Sending fails only after the main loop has ended, at the end of the
        // process, where a lost message has no effect.
        let _ = self.sender.send(message);
    }

    /// Sends a message and waits for its answer; `None` when no answer arrives
    /// within 10 seconds.
    pub fn request<T>(&self, message: impl FnOnce(ReplySender<T>) -> MainLoopMessage) -> Option<T> {
        self.request_until(message, Instant::now() + ANSWER_TIMEOUT)
    }

    /// Sends a message and waits for its answer until a deadline; `None` when no
    /// answer arrives by then.
    pub fn request_until<T>(
        &self,
        message: impl FnOnce(ReplySender<T>) -> MainLoopMessage,
        deadline: Instant,
    ) -> Option<T> {
        let (reply, answer) = sync_channel(1);
        self.sender.send(message(reply)).ok()?;
        let left = deadline.saturating_duration_since(Instant::now());
        answer.recv_timeout(left).ok()
    }
}

impl Inbox {
    /// Waits for the next message; `None` when none arrives within `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error when all senders have been dropped.
    pub fn next(&self, wait: Duration) -> Result<Option<MainLoopMessage>, RecvTimeoutError> {
        match self.receiver.recv_timeout(wait) {
            Ok(message) => Ok(Some(message)),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns the next message if one has already arrived.
    #[must_use]
    pub fn try_next(&self) -> Option<MainLoopMessage> {
        self.receiver.try_recv().ok()
    }
}
