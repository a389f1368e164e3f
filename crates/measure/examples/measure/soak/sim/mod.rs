//! Simulation of routers, control members, targets, callers and operators in virtual
//! time. A seed determines the whole run.

mod callers;
mod changes;
mod claims;
mod control;
mod disk;
mod fault_kind;
mod faults;
mod load_bound;
mod message;
mod operators;
mod oracle;
mod outputs;
mod repair;
mod requests;
mod router;
mod targets;
mod timeouts;
mod world;

use std::collections::BTreeSet;

pub use fault_kind::FaultKind;
pub use oracle::{Violation, ViolationKind};
use world::World;

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// Virtual time with failures; the quiet time comes on top.
    pub seconds: u64,
    /// Kinds of failures that are not injected.
    pub disabled_kinds: BTreeSet<FaultKind>,
    /// Numbers of single failures that are not injected.
    pub omitted_faults: BTreeSet<u64>,
    /// The run stops at the first violation of this kind.
    pub stop_at: Option<ViolationKind>,
}

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub violations: Vec<Violation>,
    pub virtual_ms: u64,
    pub tally: oracle::Tally,
    /// Number and description of each injected failure.
    pub faults: Vec<(u64, String)>,
    /// The last steps of the run.
    pub trace: Vec<String>,
}

/// Runs a plan: a time with failures, then a quiet time in which the fleet recovers.
pub fn run(plan: &Plan) -> Report {
    let mut world = World::new(plan);
    world.run();
    world.into_report()
}
