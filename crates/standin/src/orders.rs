//! Orders to the stand-in engine: load or unload an offer, or change the role. The
//! check of fencing tokens is optional.

use std::collections::{BTreeMap, BTreeSet};

use bamboospur_types::Offer;
use serde::Deserialize;
use serde_json::{Value, json};

/// Body of an order request.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// Unique id; an order that is sent again with the same id has no second effect.
    pub order_id: String,
    /// Fencing token of the sender.
    pub fencing: u64,
    /// Time after which the order must not take effect, in ms since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// Kind of the order.
    pub action: Action,
    /// Offer to load or unload; not used by a change of role.
    #[serde(default)]
    pub offer: Option<Offer>,
    /// New role; used by a change of role only.
    #[serde(default)]
    pub role: Option<String>,
}

/// Kinds of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Load an offer.
    Load,
    /// Unload an offer.
    Unload,
    /// Change the role.
    Role,
}

/// Loaded offers and role of an engine, and the orders that it received.
#[derive(Debug)]
pub struct OrderState {
    /// Offers that are loaded now.
    pub offers: BTreeSet<Offer>,
    role: String,
    checks_fencing: bool,
    highest_fencing: u64,
    /// How many times each order passed the checks of fencing token and deadline, by
    /// order id.
    receipts: BTreeMap<String, u64>,
}

impl OrderState {
    /// Creates the state of an engine in the role `serve` with some offers loaded.
    #[must_use]
    pub fn new(offers: BTreeSet<Offer>, checks_fencing: bool) -> Self {
        Self {
            offers,
            role: "serve".to_owned(),
            checks_fencing,
            highest_fencing: 0,
            receipts: BTreeMap::new(),
        }
    }

    /// Executes an order unless that was done before; returns the HTTP status and
    /// body of the answer.
    pub fn execute(&mut self, order: &Order, now_unix_ms: u64) -> (u16, Value) {
        if self.checks_fencing && order.fencing < self.highest_fencing {
            let error = format!(
                "fencing token {} is older than {}",
                order.fencing, self.highest_fencing
            );
            return (409, json!({"error": error}));
        }
        if now_unix_ms > order.deadline_unix_ms {
            return (410, json!({"error": "the order's deadline has passed"}));
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        let receipts = self.receipts.entry(order.order_id.clone()).or_insert(0);
        *receipts += 1;
        if *receipts > 1 {
            return (200, json!({"done": true, "repeated": true}));
        }
        match (order.action, &order.offer, &order.role) {
            (Action::Load, Some(offer), _) => {
                self.offers.insert(offer.clone());
            }
            (Action::Unload, Some(offer), _) => {
                self.offers.remove(offer);
            }
            (Action::Role, _, Some(role)) => role.clone_into(&mut self.role),
            (Action::Load | Action::Unload, None, _) | (Action::Role, _, None) => {
                return (400, json!({"error": "the order lacks its offer or role"}));
            }
        }
        (200, json!({"done": true, "repeated": false}))
    }

    /// Returns the loaded offers, the role and the accepted orders as JSON.
    #[must_use]
    pub fn report(&self) -> Value {
        json!({
            "offers": self.offers,
            "role": self.role,
            "fencing": self.highest_fencing,
            "orders": self.receipts,
        })
    }
}
