//! Reconciliation of engines with a desired state, by orders with rate limits
//! and fencing tokens.
//!
//! [`Ledger`] is replicated. An order is recorded in the ledger, and committed,
//! before the leader sends the order. The ledger admits one live order for each
//! target. An order ends when the target answers, or when its deadline and the
//! allowed clock drift have passed. A new leader may replace a live order at
//! once only if the target refuses old fencing tokens; otherwise the leader
//! waits for the end of the order.
//!
//! [`plan`] compares the desired state with the reports of engines and returns
//! the orders to record. It uses only reports that were requested after the last
//! order to the engine ended. When the answer to an order is lost, the next
//! report therefore decides whether the order is issued again.

mod ledger;
mod order;
mod plan;
mod saved;

pub use ledger::{FinishOutcome, Ledger, OrderLimits, Violations};
pub use order::{Action, FencingToken, IssueOutcome, Order, OrderId, OrderResult, PlannedOrder};
pub use plan::{DesiredState, DesiredVersion, MAX_REPORT_AGE, Report, Reports, plan};
pub use saved::{RestoreError, SavedAction, SavedLedger, SavedPlannedOrder};
