//! Shared state of one call, and its cancellation.

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::call::{Call, ReadTimeouts};
use crate::failure::{Failure, FailureKind};

/// Limit that made a read or write time out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum TimeoutCause {
    None = 0,
    Silent = 1,
    Deadline = 2,
}

/// State of one call, shared by its thread, its transport and its response body.
#[derive(Debug)]
pub struct CallState {
    timeouts: ReadTimeouts,
    deadline: Instant,
    sent: AtomicBool,
    reused: AtomicBool,
    head_received: AtomicBool,
    /// Bytes that arrived before the head was complete.
    head_bytes: AtomicUsize,
    /// Whether the response repeated the request id.
    reusable: AtomicBool,
    /// Whether the call finished with its socket without being cancelled.
    completed: AtomicBool,
    timeout_cause: AtomicU8,
    cancel: CancelHandle,
}

impl CallState {
    pub fn new(call: &Call, cancel: &CancelHandle) -> Self {
        Self {
            timeouts: call.timeouts,
            deadline: call.deadline,
            sent: AtomicBool::new(false),
            reused: AtomicBool::new(false),
            head_received: AtomicBool::new(false),
            head_bytes: AtomicUsize::new(0),
            reusable: AtomicBool::new(false),
            completed: AtomicBool::new(false),
            timeout_cause: AtomicU8::new(TimeoutCause::None as u8),
            cancel: cancel.clone(),
        }
    }

    /// Records that bytes are about to be sent on a socket, and attaches the socket to
    /// the cancel handle.
    pub fn record_send(&self, socket: &Arc<TcpStream>, reused: bool) {
        self.sent.store(true, Ordering::Release);
        self.reused.store(reused, Ordering::Relaxed);
        self.cancel.attach(socket);
    }

    /// Whether the connection had carried an earlier call.
    pub fn is_reused(&self) -> bool {
        self.reused.load(Ordering::Relaxed)
    }

    pub fn record_head(&self) {
        self.head_received.store(true, Ordering::Relaxed);
    }

    /// Counts bytes that arrived; returns the number of those before the head was complete.
    pub fn count_received(&self, bytes: usize) -> usize {
        if self.head_received.load(Ordering::Relaxed) {
            return 0;
        }
        self.head_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes
    }

    /// Allows the connection to return to the pool after a complete response.
    pub fn allow_reuse(&self) {
        self.reusable.store(true, Ordering::Relaxed);
    }

    /// Whether the connection can be reused. A cancel after the whole response was read
    /// does not prevent reuse.
    pub fn is_reusable(&self) -> bool {
        let intact = self.completed.load(Ordering::Acquire) || !self.cancel.is_cancelled();
        self.reusable.load(Ordering::Relaxed) && intact
    }

    /// Detaches the socket, so that a later cancel does not shut it down.
    pub fn release_socket(&self) {
        self.cancel.detach();
        if !self.cancel.is_cancelled() {
            self.completed.store(true, Ordering::Release);
        }
    }

    /// Returns the timeout of the next read or write; zero when the deadline has passed.
    pub fn next_timeout(&self, now: Instant) -> Duration {
        let timeout = if self.head_received.load(Ordering::Relaxed) {
            self.timeouts.body
        } else {
            self.timeouts.head
        };
        timeout.min(self.deadline.saturating_duration_since(now))
    }

    /// Records that a read or write timed out, and which limit it hit.
    pub fn record_timeout(&self, now: Instant) {
        let cause = if now >= self.deadline {
            TimeoutCause::Deadline
        } else {
            TimeoutCause::Silent
        };
        self.timeout_cause.store(cause as u8, Ordering::Relaxed);
    }

    pub fn is_sent(&self) -> bool {
        self.sent.load(Ordering::Acquire)
    }

    /// Builds the failure of the call. A cancel or a recorded timeout overrides `kind`,
    /// because the error seen afterwards is only a consequence.
    pub fn failure(&self, kind: FailureKind, detail: String) -> Failure {
        let cause = self.timeout_cause.load(Ordering::Relaxed);
        let kind = if self.cancel.is_cancelled() {
            FailureKind::Cancelled
        } else if cause == TimeoutCause::Deadline as u8 {
            FailureKind::Deadline
        } else if cause == TimeoutCause::Silent as u8 && self.is_sent() {
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

/// Cancels the calls of one request from another thread; clones share one state.
#[derive(Clone, Debug, Default)]
pub struct CancelHandle {
    inner: Arc<CancelInner>,
}

#[derive(Debug, Default)]
struct CancelInner {
    cancelled: AtomicBool,
    socket: Mutex<Option<Arc<TcpStream>>>,
}

impl CancelHandle {
    /// Shuts down the socket in use and makes later calls fail.
    pub fn cancel(&self) {
        self.inner.cancelled.store(true, Ordering::SeqCst);
        let socket = self.lock().take();
        if let Some(socket) = socket {
            // The only expected error is that the socket is closed already.
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
