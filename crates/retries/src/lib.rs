//! Retry budget, backoff and circuit breaker.
//!
//! A router uses these three types around every attempt:
//!
//! 1. [`RetryBudget::record_request`] counts each first attempt, and
//!    [`RetryBudget::try_retry`] admits each further one. Retries are limited to a fraction
//!    of first attempts, so a failing pool receives at most `1 + fraction` times its normal
//!    load.
//! 2. [`Backoff::next`] returns the delay before a retry; a target's `Retry-After` is a
//!    lower bound of that delay.
//! 3. [`Breaker::allow`] is called before and [`Breaker::record`] after each attempt at a
//!    target.
//!
//! [`FleetBudget`] replaces [`RetryBudget`] where all routers together have one budget in a
//! sliding window.
//!
//! [`RetryAfterPolicy`] computes the `Retry-After` that refused callers receive. All types
//! are state machines: the time is an argument and random numbers come from [`Rng`].

mod backoff;
mod breaker;
mod budget;
mod fleet;
mod retry_after;

pub use backoff::{Backoff, BackoffSettings};
pub use bamboospur_types::Rng;
pub use breaker::{AttemptOutcome, Breaker, BreakerSettings, BreakerState, Permit};
pub use budget::{BudgetSettings, RetryBudget};
pub use fleet::{FleetBudget, FleetBudgetSettings};
pub use retry_after::{RetryAfterPolicy, RetryAfterSettings};
