//! Reconciliation of engine orders with pacing and fencing.
//!
//! [`Ledger`] is replicated. An order is recorded in it, and committed, before
//! the leader sends it. It admits one live order for each target. An order
//! ends when the target answers, or when its deadline and the allowed clock
//! drift have passed. A new leader may replace a live order at once only where
//! the target refuses old fencing tokens; otherwise it waits for the end.
//!
//! [`plan`] compares the desired state with what engines report and names the
//! orders to record. It uses only reports that were made after the last order
//! to the engine ended. A lost answer is therefore neither repeated blindly
//! nor forgotten: the next report decides.

mod ledger;
mod order;
mod plan;
mod saved;

pub use ledger::{FinishOutcome, Ledger, OrderLimits, Violations};
pub use order::{Action, FencingToken, IssueOutcome, Order, OrderId, OrderResult, PlannedOrder};
pub use plan::{DesiredState, DesiredVersion, MAX_REPORT_AGE, Report, Reports, plan};
pub use saved::{SaveError, SavedAction, SavedLedger, SavedPlannedOrder};
