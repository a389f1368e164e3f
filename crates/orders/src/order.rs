//! Orders to engines, and the results of recording and running them.

use std::fmt;
use std::time::SystemTime;

use bamboospur_types::{Offer, TargetId};
use serde::{Deserialize, Serialize};

/// Sequence number of an order, starting at 1 and continued by each new leader.
pub type OrderId = u64;

/// Token that grows with each order and each leader. A target that checks
/// tokens refuses an order with a token that is not higher than the last one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// Term of the leader that issued the order.
    pub term: u64,
    /// Sequence number of the order.
    pub counter: u64,
}

impl FencingToken {
    const COUNTER_BITS: u32 = 32;

    /// Returns the token as the number that targets compare. Numbers compare as
    /// tokens do up to 2^32 terms and 2^32 orders.
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

/// Change that an order asks an engine to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Loads a version, or an adapter of a loaded version.
    Load {
        /// Version or adapter to load.
        offer: Offer,
    },
    /// Unloads a version with its adapters, or one adapter.
    Unload {
        /// Version or adapter to unload.
        offer: Offer,
    },
    /// Changes the role of the engine.
    Role {
        /// Name of the new role.
        role: String,
    },
}

/// Order that [`crate::plan`] returns and that is not recorded yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Engine that receives the order.
    pub target: TargetId,
    /// Change that the engine has to make.
    pub action: Action,
    /// Whether the engine refuses old fencing tokens.
    pub checks_fencing: bool,
}

/// Order that is recorded in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Sequence number of the order.
    pub id: OrderId,
    /// Engine that receives the order.
    pub target: TargetId,
    /// Change that the engine has to make.
    pub action: Action,
    /// Token by which the engine tells older orders from newer ones.
    pub fencing: FencingToken,
    /// Time after which the leader must not send the order and the engine must
    /// not start it.
    pub deadline: SystemTime,
}

/// Result of [`crate::Ledger::issue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IssueOutcome {
    /// The order is recorded; the leader of its term sends it.
    Issued(Order),
    /// The target has a live order until this time at the latest.
    Busy {
        /// Latest end of the live order.
        until: SystemTime,
    },
    /// The rate limit of the weight store does not allow a load yet.
    RateLimited {
        /// Time at which the next load is allowed.
        until: SystemTime,
    },
    /// A leader of a later term has issued orders.
    OldTerm {
        /// Term of that leader.
        term: u64,
    },
}

/// Result of an order at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// The target has carried out the order.
    Done,
    /// The target has not run the order and will not run it: the target refused
    /// the order, or was not reached.
    NotRun,
    /// No answer arrived, or the answer does not say whether the order ran. The
    /// order stays live.
    Unknown,
}
