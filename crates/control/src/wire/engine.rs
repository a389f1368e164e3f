//! Wire types of engine reports and of orders to engines.

use bamboospur_orders::{FencingToken, Order, OrderId, PlannedOrder, Report, SavedPlannedOrder};
use bamboospur_types::{Offer, TargetId};
use serde::{Deserialize, Serialize};

use crate::codec::CodecError;
use crate::wire::claim::{from_unix_ms, to_unix_ms};

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
            at_unix_ms: to_unix_ms(report.requested_at),
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
            requested_at: from_unix_ms(wire.at_unix_ms),
            pool: wire.pool,
            offers: offers
                .collect::<Result<_, _>>()
                .map_err(CodecError::invalid_content)?,
            role: wire.role,
            ready: wire.ready,
            checks_fencing: wire.checks_fencing,
        })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireOrder {
    id: OrderId,
    wanted: SavedPlannedOrder,
    fencing: FencingToken,
    deadline_unix_ms: u64,
}

impl From<&Order> for WireOrder {
    fn from(order: &Order) -> Self {
        let planned = PlannedOrder {
            target: order.target,
            action: order.action.clone(),
            // Not part of an order; the receiver drops this value.
            checks_fencing: false,
        };
        Self {
            id: order.id,
            wanted: SavedPlannedOrder::from(&planned),
            fencing: order.fencing,
            deadline_unix_ms: to_unix_ms(order.deadline),
        }
    }
}

impl From<WireOrder> for Order {
    fn from(wire: WireOrder) -> Self {
        let planned = PlannedOrder::from(wire.wanted);
        Self {
            id: wire.id,
            target: planned.target,
            action: planned.action,
            fencing: wire.fencing,
            deadline: from_unix_ms(wire.deadline_unix_ms),
        }
    }
}

pub(crate) fn reports_to_wire(reports: &[(TargetId, Report)]) -> Vec<(TargetId, WireReport)> {
    let reports = reports.iter();
    reports.map(|(id, report)| (*id, report.into())).collect()
}

pub(crate) fn reports_from_wire(
    wire: Vec<(TargetId, WireReport)>,
) -> Result<Vec<(TargetId, Report)>, CodecError> {
    let reports = wire.into_iter();
    let reports = reports.map(|(id, report)| Ok((id, Report::try_from(report)?)));
    reports.collect()
}
