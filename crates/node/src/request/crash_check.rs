//! Evidence whether requests crash targets.

use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_crashes::PartHash;
use bamboospur_upstream::{Failure, FailureKind};
use tracing::error;

use super::place::ChosenTarget;
use crate::actors::RouterMessage;
use crate::mailbox::{Mailbox, MainLoopMessage};

/// A target that has been answering for this time is not crashed by the request: crashing
/// ones end it when it begins to answer.
const SOUND_AFTER: Duration = Duration::from_millis(250);
/// Time in which all connections of a process that ends are closed.
const CLOSE_TIME: Duration = Duration::from_millis(30);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a target that runs keeps a connection open without a request. A proxy in
/// front of one that has ended closes it at once.
const OPEN_TIME: Duration = Duration::from_millis(100);
const STACK_BYTES: usize = 64 * 1024;

/// What one attempt shows about the parts of its request.
#[derive(Clone, Debug)]
pub struct CrashEvidence {
    mailbox: Mailbox,
    parts: Vec<PartHash>,
    target: ChosenTarget,
    first_event_at: Option<Instant>,
    is_answered: bool,
}

impl CrashEvidence {
    pub const fn new(mailbox: Mailbox, parts: Vec<PartHash>, target: ChosenTarget) -> Self {
        Self {
            mailbox,
            parts,
            target,
            first_event_at: None,
            is_answered: false,
        }
    }

    /// Records an event of a stream.
    pub fn record_event(&mut self) {
        let first_event_at = *self.first_event_at.get_or_insert_with(Instant::now);
        if first_event_at.elapsed() >= SOUND_AFTER {
            self.record_answer();
        }
    }

    /// Records that the target has answered the request.
    pub fn record_answer(&mut self) {
        if self.is_answered || self.parts.is_empty() {
            return;
        }
        self.is_answered = true;
        let parts = self.parts.clone();
        let message = RouterMessage::Answered { parts };
        self.mailbox.send(MainLoopMessage::Router(message));
    }

    /// Records a failure. If the target ended the connection before its answer, a new thread
    /// checks whether it still accepts connections.
    pub fn record_failure(&self, failure: &Failure) {
        let was_ended = matches!(failure.kind, FailureKind::CutHead | FailureKind::CutBody);
        if !was_ended || !failure.sent || self.is_answered || self.parts.is_empty() {
            return;
        }
        let (target, address) = (self.target.start_id, self.target.address);
        let parts = self.parts.clone();
        let is_first = self.mailbox.request(|reply| {
            MainLoopMessage::Router(RouterMessage::BrokenOff {
                target,
                parts,
                reply,
            })
        });
        if is_first != Some(true) {
            return;
        }
        let mailbox = self.mailbox.clone();
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        let spawned = builder.spawn(move || {
            thread::sleep(CLOSE_TIME);
            let has_ended = has_ended(address);
            let message = RouterMessage::TargetChecked { target, has_ended };
            mailbox.send(MainLoopMessage::Router(message));
        });
        if let Err(error) = spawned {
            error!(%error, "failed to start a thread; a target that may have ended is not checked");
            let has_ended = false;
            let message = RouterMessage::TargetChecked { target, has_ended };
            self.mailbox.send(MainLoopMessage::Router(message));
        }
    }
}

/// Whether the process at an address has ended: it refuses connections, or a proxy in front of
/// it closes them at once. No answer proves nothing, since the network may be cut.
fn has_ended(address: SocketAddr) -> bool {
    match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        Ok(mut connection) => {
            let timeout = connection.set_read_timeout(Some(OPEN_TIME));
            timeout.is_ok() && is_closed(connection.read(&mut [0]))
        }
        Err(error) => error.kind() == ErrorKind::ConnectionRefused,
    }
}

/// Whether a read from a connection shows that the peer has closed it.
fn is_closed(read: io::Result<usize>) -> bool {
    match read {
        Ok(count) => count == 0,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}
