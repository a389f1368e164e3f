//! Shared record of one call: what was sent, and the socket to shut down.

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::call::{Call, ReadTimeouts};
use crate::failure::{Failure, FailureKind};

/// Why a wait for a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Ended {
    No = 0,
    Silent = 1,
    Deadline = 2,
}

/// Record of one call, shared by its thread, its transport and its canceller.
#[derive(Debug)]
pub struct CallState {
    wait: ReadTimeouts,
    deadline: Instant,
    sent: AtomicBool,
    reused: AtomicBool,
    head_done: AtomicBool,
    keep: AtomicBool,
    released: AtomicBool,
    ended: AtomicU8,
    cancel: Cancel,
}

impl CallState {
    pub fn new(call: &Call, cancel: &Cancel) -> Self {
        Self {
            wait: call.wait,
            deadline: call.deadline,
            sent: AtomicBool::new(false),
            reused: AtomicBool::new(false),
            head_done: AtomicBool::new(false),
            keep: AtomicBool::new(false),
            released: AtomicBool::new(false),
            ended: AtomicU8::new(Ended::No as u8),
            cancel: cancel.clone(),
        }
    }

    /// Notes that bytes are about to go out on a socket.
    pub fn sending(&self, socket: &Arc<TcpStream>, reused: bool) {
        self.sent.store(true, Ordering::Release);
        self.reused.store(reused, Ordering::Relaxed);
        self.cancel.attach(socket);
    }

    pub fn head_done(&self) {
        self.head_done.store(true, Ordering::Relaxed);
    }

    /// Lets the connection return to the pool after a whole answer.
    pub fn keep_connection(&self) {
        self.keep.store(true, Ordering::Relaxed);
    }

    /// Whether the connection can be used again. A caller that hangs up after the
    /// whole answer was read does not matter any more.
    pub fn may_keep(&self) -> bool {
        let whole = self.released.load(Ordering::Acquire) || !self.cancel.is_cancelled();
        self.keep.load(Ordering::Relaxed) && whole
    }

    /// Ends the hold on the socket: a later cancel leaves it alone.
    pub fn release_socket(&self) {
        self.cancel.detach();
        if !self.cancel.is_cancelled() {
            self.released.store(true, Ordering::Release);
        }
    }

    /// Returns how long the next read or write may take, at most.
    pub fn next_wait(&self, now: Instant) -> Duration {
        let gap = if self.head_done.load(Ordering::Relaxed) {
            self.wait.body
        } else {
            self.wait.head
        };
        gap.min(self.deadline.saturating_duration_since(now))
    }

    /// Notes that a wait ran out, and why.
    pub fn timed_out(&self, now: Instant) {
        let ended = if now >= self.deadline {
            Ended::Deadline
        } else {
            Ended::Silent
        };
        self.ended.store(ended as u8, Ordering::Relaxed);
    }

    pub fn is_sent(&self) -> bool {
        self.sent.load(Ordering::Acquire)
    }

    /// Returns the failure for an error seen at some step.
    pub fn failure(&self, kind: FailureKind, detail: String) -> Failure {
        let ended = self.ended.load(Ordering::Relaxed);
        let kind = if self.cancel.is_cancelled() {
            FailureKind::Cancelled
        } else if ended == Ended::Deadline as u8 {
            FailureKind::Deadline
        } else if ended == Ended::Silent as u8 && self.is_sent() {
            FailureKind::Silent
        } else {
            kind
        };
        Failure {
            kind,
            sent: self.is_sent(),
            reused: self.reused.load(Ordering::Relaxed),
            detail,
        }
    }
}

/// Handle that cancels the calls of one request from another thread.
#[derive(Clone, Debug, Default)]
pub struct Cancel {
    inner: Arc<CancelInner>,
}

#[derive(Debug, Default)]
struct CancelInner {
    cancelled: AtomicBool,
    socket: Mutex<Option<Arc<TcpStream>>>,
}

impl Cancel {
    /// Shuts down the socket in use and refuses later calls.
    pub fn cancel(&self) {
        self.inner.cancelled.store(true, Ordering::SeqCst);
        let socket = self.lock().take();
        if let Some(socket) = socket {
            // An error means that the socket is closed already.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether the request was cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.inner.cancelled.load(Ordering::SeqCst)
    }

    fn attach(&self, socket: &Arc<TcpStream>) {
        *self.lock() = Some(Arc::clone(socket));
        if self.is_cancelled() {
            self.cancel();
        }
    }

    fn detach(&self) {
        self.lock().take();
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<TcpStream>>> {
        let guard = self.inner.socket.lock();
        guard.unwrap_or_else(PoisonError::into_inner)
    }
}
