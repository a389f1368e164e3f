//! Limits that targets state on the requests of all routers together.
//!
//! A target in need says in its answers how many requests per second it takes. Each router
//! has [`TargetLimits`]: it learns of limits from answers, tells the others through a
//! [`LimitHub`], and sends within its own part of each limit. The hub names the holders of a
//! limit, the few routers that divide it: with an equal part of a small limit for each
//! router, hardly any would be used. A router that no hub has told of the holders keeps to an
//! equal part.
//!
//! The holders of a limit of `r` requests per second are at most `2 r + 3` routers, and each
//! spaces its requests. So in any `t` seconds the target gets at most `r t + 2 r + 3` requests
//! from routers that know of the limit and agree on its holders.

mod hub;
mod member;
mod message;

pub use hub::{LimitHub, LimitHubSettings};
pub use member::{TargetLimits, TargetLimitsSettings};
pub use message::{LimitShare, MAX_STATED_PER_MESSAGE, StatedLimit, TargetStartId};
