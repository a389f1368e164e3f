//! Connection state of a caller, shared between the event loop and a handler.

use std::sync::atomic::{AtomicBool, Ordering};

use bamboospur_upstream::CancelHandle;

/// The caller of a request in progress.
#[derive(Debug, Default)]
pub struct Caller {
    gone: AtomicBool,
    cancel: CancelHandle,
}

impl Caller {
    /// Returns whether the caller hung up.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    /// Records that the caller hung up, and cancels the call to the target.
    pub fn hang_up(&self) {
        self.gone.store(true, Ordering::SeqCst);
        self.cancel.cancel();
    }

    /// Returns the handle through which [`Self::hang_up`] cancels the call to the target.
    #[must_use]
    pub const fn cancel_handle(&self) -> &CancelHandle {
        &self.cancel
    }
}
