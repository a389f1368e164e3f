//! Form of the ledger in snapshots, and of orders in commands.

use std::error::Error;
use std::fmt;
use std::time::SystemTime;

use bamboospur_types::{Offer, TargetId};
use serde::{Deserialize, Serialize};

use crate::ledger::{Ledger, Live};
use crate::order::{Action, FencingToken, Order, OrderId, PlannedOrder};

/// Saved orders that contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SaveError;

impl fmt::Display for SaveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "a saved order is newer than the ledger; restore the state from another instance",
        )
    }
}

impl Error for SaveError {}

/// Saved form of an action.
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

/// Saved form of a wanted order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedPlannedOrder {
    target: TargetId,
    action: SavedAction,
    checks_fencing: bool,
}

impl From<&PlannedOrder> for SavedPlannedOrder {
    fn from(wanted: &PlannedOrder) -> Self {
        Self {
            target: wanted.target,
            action: SavedAction::from(&wanted.action),
            checks_fencing: wanted.checks_fencing,
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
struct SavedLive {
    id: OrderId,
    target: TargetId,
    action: SavedAction,
    fencing: FencingToken,
    deadline: SystemTime,
    checks_fencing: bool,
    end: SystemTime,
}

impl From<&Live> for SavedLive {
    fn from(live: &Live) -> Self {
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

impl From<SavedLive> for Live {
    fn from(saved: SavedLive) -> Self {
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

/// Saved form of the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedLedger {
    term: u64,
    issued: u64,
    next_load: Option<SystemTime>,
    live: Vec<SavedLive>,
    ends: Vec<(TargetId, SystemTime)>,
}

impl From<&Ledger> for SavedLedger {
    fn from(ledger: &Ledger) -> Self {
        Self {
            term: ledger.term,
            issued: ledger.issued,
            next_load: ledger.next_load,
            live: ledger.live.values().map(SavedLive::from).collect(),
            ends: ledger.ends.iter().map(|(id, end)| (*id, *end)).collect(),
        }
    }
}

impl TryFrom<SavedLedger> for Ledger {
    type Error = SaveError;

    fn try_from(saved: SavedLedger) -> Result<Self, Self::Error> {
        let mut ledger = Self {
            term: saved.term,
            issued: saved.issued,
            next_load: saved.next_load,
            ends: saved.ends.into_iter().collect(),
            ..Self::default()
        };
        for live in saved.live {
            let live = Live::from(live);
            let token = live.order.fencing;
            if token.counter > ledger.issued || token.term > ledger.term {
                return Err(SaveError);
            }
            if ledger.live.insert(live.order.target, live).is_some() {
                return Err(SaveError);
            }
        }
        Ok(ledger)
    }
}
