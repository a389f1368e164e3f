//! Wire types of engines' reports and of orders to engines.

use bamboospur_orders::{FencingToken, Order, OrderId, PlannedOrder, Report, SavedPlannedOrder};
use bamboospur_types::{Offer, TargetId};
use serde::{Deserialize, Serialize};

use crate::codec::CodecError;
use crate::wire::claim::{from_unix_ms, to_unix_ms};

/// Wire form of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireReport {
    at_unix_ms: u64,
    pool: String,
    offers: Vec<String>,
    role: String,
    ready: bool,
    checks_fencing: bool,
}

impl From<&Report> for WireReport {
    fn from(report: &Report) -> Self {
        Self {
            at_unix_ms: to_unix_ms(report.at),
            pool: report.pool.clone(),
            offers: report.offers.iter().map(ToString::to_string).collect(),
            role: report.role.clone(),
            ready: report.ready,
            checks_fencing: report.checks_fencing,
        }
    }
}

impl TryFrom<WireReport> for Report {
    type Error = CodecError;

    fn try_from(wire: WireReport) -> Result<Self, Self::Error> {
        let offers = wire.offers.iter().map(|offer| offer.parse::<Offer>());
        Ok(Self {
            at: from_unix_ms(wire.at_unix_ms),
            pool: wire.pool,
            offers: offers
                .collect::<Result<_, _>>()
                .map_err(CodecError::content)?,
            role: wire.role,
            ready: wire.ready,
            checks_fencing: wire.checks_fencing,
        })
    }
}

/// Wire form of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireOrder {
    id: OrderId,
    wanted: SavedPlannedOrder,
    fencing: FencingToken,
    deadline_unix_ms: u64,
}

impl From<&Order> for WireOrder {
    fn from(order: &Order) -> Self {
        let wanted = PlannedOrder {
            target: order.target,
            action: order.action.clone(),
            checks_fencing: false,
        };
        Self {
            id: order.id,
            wanted: SavedPlannedOrder::from(&wanted),
            fencing: order.fencing,
            deadline_unix_ms: to_unix_ms(order.deadline),
        }
    }
}

impl From<WireOrder> for Order {
    fn from(wire: WireOrder) -> Self {
        let wanted = PlannedOrder::from(wire.wanted);
        Self {
            id: wire.id,
            target: wanted.target,
            action: wanted.action,
            fencing: wire.fencing,
            deadline: from_unix_ms(wire.deadline_unix_ms),
        }
    }
}

/// Converts reports for the wire.
pub(crate) fn reports(reports: &[(TargetId, Report)]) -> Vec<(TargetId, WireReport)> {
    let reports = reports.iter();
    reports.map(|(id, report)| (*id, report.into())).collect()
}

/// Reads reports from the wire.
pub(crate) fn read_reports(
    wire: Vec<(TargetId, WireReport)>,
) -> Result<Vec<(TargetId, Report)>, CodecError> {
    let reports = wire.into_iter();
    let reports = reports.map(|(id, report)| Ok((id, Report::try_from(report)?)));
    reports.collect()
}
