//! Serialized form of the ledger in snapshots, and of orders in commands.

use std::error::Error;
use std::fmt;
use std::time::SystemTime;

use bamboospur_types::{Offer, TargetId};
use serde::{Deserialize, Serialize};

use crate::ledger::{Ledger, LiveOrder};
use crate::order::{Action, FencingToken, Order, OrderId, PlannedOrder};

/// Error for a saved ledger with inconsistent orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoreError;

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "the saved orders are inconsistent: an order is newer than the ledger, or a target has \
             two live orders; restore the state from another instance",
        )
    }
}

impl Error for RestoreError {}

/// Saved form of [`Action`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SavedAction {
    /// Saved form of [`Action::Load`].
    Load(Offer),
    /// Saved form of [`Action::Unload`].
    Unload(Offer),
    /// Saved form of [`Action::Role`].
    Role(String),
}

impl From<&Action> for SavedAction {
    fn from(action: &Action) -> Self {
        match action {
            Action::Load { offer } => Self::Load(offer.clone()),
            Action::Unload { offer } => Self::Unload(offer.clone()),
            Action::Role { role } => Self::Role(role.clone()),
        }
    }
}

impl From<SavedAction> for Action {
    fn from(saved: SavedAction) -> Self {
        match saved {
            SavedAction::Load(offer) => Self::Load { offer },
            SavedAction::Unload(offer) => Self::Unload { offer },
            SavedAction::Role(role) => Self::Role { role },
        }
    }
}

/// Saved form of [`PlannedOrder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedPlannedOrder {
    target: TargetId,
    action: SavedAction,
    checks_fencing: bool,
}

impl From<&PlannedOrder> for SavedPlannedOrder {
    fn from(planned: &PlannedOrder) -> Self {
        Self {
            target: planned.target,
            action: SavedAction::from(&planned.action),
            checks_fencing: planned.checks_fencing,
        }
    }
}

impl From<SavedPlannedOrder> for PlannedOrder {
    fn from(saved: SavedPlannedOrder) -> Self {
        Self {
            target: saved.target,
            action: Action::from(saved.action),
            checks_fencing: saved.checks_fencing,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SavedLiveOrder {
    id: OrderId,
    target: TargetId,
    action: SavedAction,
    fencing: FencingToken,
    deadline: SystemTime,
    checks_fencing: bool,
    end: SystemTime,
}

impl From<&LiveOrder> for SavedLiveOrder {
    fn from(live: &LiveOrder) -> Self {
        Self {
            id: live.order.id,
            target: live.order.target,
            action: SavedAction::from(&live.order.action),
            fencing: live.order.fencing,
            deadline: live.order.deadline,
            checks_fencing: live.checks_fencing,
            end: live.end,
        }
    }
}

impl From<SavedLiveOrder> for LiveOrder {
    fn from(saved: SavedLiveOrder) -> Self {
        Self {
            order: Order {
                id: saved.id,
                target: saved.target,
                action: Action::from(saved.action),
                fencing: saved.fencing,
                deadline: saved.deadline,
            },
            checks_fencing: saved.checks_fencing,
            end: saved.end,
        }
    }
}

/// Saved form of [`Ledger`], without its violations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedLedger {
    term: u64,
    issued: u64,
    next_load: Option<SystemTime>,
    live: Vec<SavedLiveOrder>,
    ends: Vec<(TargetId, SystemTime)>,
}

impl From<&Ledger> for SavedLedger {
    fn from(ledger: &Ledger) -> Self {
        Self {
            term: ledger.term,
            issued: ledger.issued,
            next_load: ledger.next_load,
            live: ledger.live.values().map(SavedLiveOrder::from).collect(),
            ends: ledger.ends.iter().map(|(id, end)| (*id, *end)).collect(),
        }
    }
}

impl TryFrom<SavedLedger> for Ledger {
    type Error = RestoreError;

    fn try_from(saved: SavedLedger) -> Result<Self, Self::Error> {
        let mut ledger = Self {
            term: saved.term,
            issued: saved.issued,
            next_load: saved.next_load,
            ends: saved.ends.into_iter().collect(),
            ..Self::default()
        };
        for live in saved.live {
            let live = LiveOrder::from(live);
            let token = live.order.fencing;
            if token.counter > ledger.issued || token.term > ledger.term {
                return Err(RestoreError);
            }
            if ledger.live.insert(live.order.target, live).is_some() {
                return Err(RestoreError);
            }
        }
        Ok(ledger)
    }
}
