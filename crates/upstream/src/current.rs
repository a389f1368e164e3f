//! Thread-local reference to the call that the current thread makes.
//!
//! `ureq` reuses a pooled transport for many calls without telling the transport
//! which call it serves. All reads and writes of a call happen on the thread that
//! makes the call, so the transport looks the call up here.

use std::cell::RefCell;
use std::sync::Arc;

use crate::state::CallState;

thread_local! {
    static CURRENT: RefCell<Option<Arc<CallState>>> = const { RefCell::new(None) };
}

/// Runs a step of a call with `state` as the current call, then restores the previous
/// one.
pub fn with_call<T>(state: &Arc<CallState>, step: impl FnOnce() -> T) -> T {
    let previous = CURRENT.replace(Some(Arc::clone(state)));
    let result = step();
    CURRENT.set(previous);
    result
}

/// Returns the current call; `None` outside [`with_call`].
pub fn call() -> Option<Arc<CallState>> {
    CURRENT.with_borrow(Clone::clone)
}
