//! Retry budget, backoff and circuit breaker.
//!
//! A router uses these three parts around every attempt:
//!
//! 1. `RetryBudget::record_request` for each first attempt, `RetryBudget::try_retry`
//!    before each further one. Retries are a fraction of fresh traffic, so a
//!    failing pool sees at most `1 + fraction` times its normal load.
//! 2. `Backoff::next` for the pause before a retry; a target's `Retry-After`
//!    is a lower bound of that pause.
//! 3. `Breaker::allow` before and `Breaker::record` after each attempt at a
//!    target.
//!
//! `FleetBudget` takes the place of `RetryBudget` where all routers together have
//! one budget in a sliding window.
//!
//! `Refusal` computes the `Retry-After` that callers get. All parts are state
//! machines: the time is an argument and random numbers come from `Rng`.

mod backoff;
mod breaker;
mod budget;
mod fleet;
mod refusal;

pub use backoff::{Backoff, BackoffSettings};
pub use bamboospur_types::Rng;
pub use breaker::{AttemptOutcome, Breaker, BreakerSettings, BreakerState, Permit};
pub use budget::{BudgetSettings, RetryBudget};
pub use fleet::{FleetBudget, FleetBudgetSettings};
pub use refusal::{Refusal, RefusalSettings};
