//! Detection of parts of requests that crash targets.
//!
//! A part that crashes each target which begins to answer it ends the whole pool, one target
//! after the other, as its requests are placed, retried and repeated like any others. No
//! single router sees enough to tell: it knows only its own requests at a target that has
//! ended, and most of those are not to blame.
//!
//! - A [`Member`] runs in each router. It reports which parts were being processed, without
//!   an answer yet, at a target that ended, it knows which parts have been answered lately,
//!   and it rejects requests with blocked parts.
//! - A [`Hub`] runs in a few instances that all members report to. A part that was at
//!   several targets when they ended, and was answered nowhere since, is blocked at all
//!   members. Crashes at which a blocked part was present are explained by it and count
//!   against no other part.
//!
//! Both are state machines: they return the [`CrashMessage`]s to send, and take the time as
//! an argument. Messages can be lost; later ones make up for them. An [`CrashOutbox`] limits their
//! bytes on links that carry what keeps a deployment alive.

mod hub;
mod member;
mod message;
mod outbox;

pub use hub::{Hub, HubSettings};
pub use member::{Member, SuspectedCrashes};
pub use message::{Age, CrashMessage, MAX_PARTS_PER_MESSAGE};
pub use outbox::{CrashOutbox, CrashOutboxSettings};

/// Stable hash of a part of a request, such as one message of a prompt.
pub type PartHash = u64;
/// Identity of one start of a target.
pub type TargetStartId = u64;
