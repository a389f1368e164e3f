//! Orders to engines and their answers.

use std::fmt;
use std::time::SystemTime;

use bamboospur_types::{Offer, TargetId};
use serde::{Deserialize, Serialize};

/// Number of an order, counted over all leaders.
pub type OrderId = u64;

/// Number that grows with each order and each leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// Term of the leader that issued the order.
    pub term: u64,
    /// Orders issued before this one.
    pub counter: u64,
}

impl FencingToken {
    const COUNTER_BITS: u32 = 32;

    /// Returns the token as one number, as targets compare it. The order is
    /// kept up to 2^32 terms and 2^32 orders.
    #[must_use]
    pub const fn number(self) -> u64 {
        (self.term << Self::COUNTER_BITS) | (self.counter & 0xffff_ffff)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.counter)
    }
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Loads a version, or an adapter of a loaded version.
    Load {
        /// What to load.
        offer: Offer,
    },
    /// Unloads a version with its adapters, or one adapter.
    Unload {
        /// What to unload.
        offer: Offer,
    },
    /// Changes the engine's part of the work.
    Role {
        /// Name of the role.
        role: String,
    },
}

/// Order that the planner asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Engine that is told.
    pub target: TargetId,
    /// What it is told.
    pub action: Action,
    /// Whether the engine refuses old fencing tokens.
    pub checks_fencing: bool,
}

/// Order in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Number of the order.
    pub id: OrderId,
    /// Engine that is told.
    pub target: TargetId,
    /// What it is told.
    pub action: Action,
    /// Token of the order.
    pub fencing: FencingToken,
    /// Time after which the order must not be sent, and which the engine must
    /// not start it after.
    pub deadline: SystemTime,
}

/// Answer to a wanted order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IssueOutcome {
    /// The order is recorded; the leader of its term sends it.
    Issued(Order),
    /// The target has a live order until this time at the latest.
    Busy {
        /// End of the live order.
        until: SystemTime,
    },
    /// The weight store allows the next load at this time.
    RateLimited {
        /// Time of the next load.
        until: SystemTime,
    },
    /// A leader of a later term has issued orders.
    OldTerm {
        /// The later term.
        term: u64,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// The target has done it.
    Done,
    /// The target has not done it and will not: it refused, or was not reached.
    NotRun,
    /// No answer, or an answer that proves nothing: the order stays live.
    Unknown,
}
