//! Encoding of lease requests and lease grants.
//!
//! An amount is four 32-bit numbers, with work in units of 16 tokens. Amounts are
//! rounded up in requests and down in grants. The fixed-width encoding never exceeds
//! the byte budget; the compact encoding with variable-length numbers is used when it
//! is shorter, which is the case for typical amounts.

use bamboospur_limits::{Amount, LeaseGrant, LeaseRequest, LimitsMessage, WORK_UNIT_TOKENS};
use serde::{Deserialize, Serialize};

use super::DatagramError;

type FixedU32 = [u8; 4];
type FixedAmount = [FixedU32; 4];
/// Requests, work, requests per minute and work per minute, each plus 1. 0 means
/// unlimited, so that unlimited takes one byte.
type CompactAmount = [u32; 4];

#[derive(Debug, Serialize, Deserialize)]
enum WireLimits {
    Asks(Vec<FixedLeaseRequest>),
    Grants(Vec<FixedGrant>),
    CompactAsks(Vec<CompactLeaseRequest>),
    CompactGrants(Vec<CompactGrant>),
}

#[derive(Debug, Serialize, Deserialize)]
struct FixedLeaseRequest {
    team: [u8; 8],
    ask: FixedU32,
    lease: FixedU32,
    used: FixedAmount,
    demand: FixedAmount,
}

#[derive(Debug, Serialize, Deserialize)]
struct FixedGrant {
    team: [u8; 8],
    ask: FixedU32,
    lease: FixedU32,
    amount: FixedAmount,
    strict: bool,
    lifetime_ms: FixedU32,
}

#[derive(Debug, Serialize, Deserialize)]
struct CompactLeaseRequest {
    team: [u8; 8],
    ask: u32,
    lease: u32,
    used: CompactAmount,
    demand: CompactAmount,
}

#[derive(Debug, Serialize, Deserialize)]
struct CompactGrant {
    team: [u8; 8],
    ask: u32,
    lease: u32,
    amount: CompactAmount,
    strict: bool,
    lifetime_ms: u32,
}

pub(super) fn write(message: &LimitsMessage, bytes: &mut Vec<u8>) -> Result<(), DatagramError> {
    let (fixed, compact) = match message {
        LimitsMessage::Ask(entries) => (
            WireLimits::Asks(entries.iter().map(FixedLeaseRequest::from).collect()),
            WireLimits::CompactAsks(entries.iter().map(CompactLeaseRequest::from).collect()),
        ),
        LimitsMessage::Grant(entries) => (
            WireLimits::Grants(entries.iter().map(FixedGrant::from).collect()),
            WireLimits::CompactGrants(entries.iter().map(CompactGrant::from).collect()),
        ),
    };
    let fixed = postcard::to_stdvec(&fixed)?;
    let compact = postcard::to_stdvec(&compact)?;
    bytes.extend(if compact.len() < fixed.len() {
        compact
    } else {
        fixed
    });
    Ok(())
}

pub(super) fn read(bytes: &[u8]) -> Result<LimitsMessage, DatagramError> {
    let (wire, rest) = postcard::take_from_bytes::<WireLimits>(bytes)?;
    if !rest.is_empty() {
        return Err(DatagramError::Malformed);
    }
    Ok(match wire {
        WireLimits::Asks(entries) => {
            LimitsMessage::Ask(entries.into_iter().map(LeaseRequest::from).collect())
        }
        WireLimits::CompactAsks(entries) => {
            LimitsMessage::Ask(entries.into_iter().map(LeaseRequest::from).collect())
        }
        WireLimits::Grants(entries) => {
            LimitsMessage::Grant(entries.into_iter().map(LeaseGrant::from).collect())
        }
        WireLimits::CompactGrants(entries) => {
            LimitsMessage::Grant(entries.into_iter().map(LeaseGrant::from).collect())
        }
    })
}

/// Converts a value to units. `u64::MAX` means unlimited and becomes `u32::MAX`; any
/// other value is capped below that.
fn to_units(value: u64, unit: u64, round_up: bool) -> u32 {
    if value == u64::MAX {
        return u32::MAX;
    }
    let units = if round_up {
        value.div_ceil(unit)
    } else {
        value / unit
    };
    u32::try_from(units).unwrap_or(u32::MAX).min(u32::MAX - 1)
}

fn from_units(units: u32, unit: u64) -> u64 {
    if units == u32::MAX {
        return u64::MAX;
    }
    u64::from(units) * unit
}

fn amount_units(amount: &Amount, round_up: bool) -> [u32; 4] {
    [
        to_units(amount.requests, 1, round_up),
        to_units(amount.work, WORK_UNIT_TOKENS, round_up),
        to_units(amount.requests_per_minute, 1, round_up),
        to_units(amount.work_per_minute, WORK_UNIT_TOKENS, round_up),
    ]
}

fn amount_from_units([requests, work, requests_per_minute, work_per_minute]: [u32; 4]) -> Amount {
    Amount {
        requests: from_units(requests, 1),
        work: from_units(work, WORK_UNIT_TOKENS),
        requests_per_minute: from_units(requests_per_minute, 1),
        work_per_minute: from_units(work_per_minute, WORK_UNIT_TOKENS),
    }
}

fn to_fixed(amount: &Amount, round_up: bool) -> FixedAmount {
    amount_units(amount, round_up).map(u32::to_le_bytes)
}

fn from_fixed(fixed: FixedAmount) -> Amount {
    amount_from_units(fixed.map(u32::from_le_bytes))
}

fn to_compact(amount: &Amount, round_up: bool) -> CompactAmount {
    amount_units(amount, round_up).map(|units| units.wrapping_add(1))
}

fn from_compact(compact: CompactAmount) -> Amount {
    amount_from_units(compact.map(|units| units.wrapping_sub(1)))
}

impl From<&LeaseRequest> for FixedLeaseRequest {
    fn from(entry: &LeaseRequest) -> Self {
        Self {
            team: entry.team.to_le_bytes(),
            ask: entry.request_number.to_le_bytes(),
            lease: entry.lease_number.to_le_bytes(),
            used: to_fixed(&entry.used, true),
            demand: to_fixed(&entry.demand, true),
        }
    }
}

impl From<FixedLeaseRequest> for LeaseRequest {
    fn from(wire: FixedLeaseRequest) -> Self {
        Self {
            team: u64::from_le_bytes(wire.team),
            request_number: u32::from_le_bytes(wire.ask),
            lease_number: u32::from_le_bytes(wire.lease),
            used: from_fixed(wire.used),
            demand: from_fixed(wire.demand),
        }
    }
}

impl From<&LeaseRequest> for CompactLeaseRequest {
    fn from(entry: &LeaseRequest) -> Self {
        Self {
            team: entry.team.to_le_bytes(),
            ask: entry.request_number,
            lease: entry.lease_number,
            used: to_compact(&entry.used, true),
            demand: to_compact(&entry.demand, true),
        }
    }
}

impl From<CompactLeaseRequest> for LeaseRequest {
    fn from(wire: CompactLeaseRequest) -> Self {
        Self {
            team: u64::from_le_bytes(wire.team),
            request_number: wire.ask,
            lease_number: wire.lease,
            used: from_compact(wire.used),
            demand: from_compact(wire.demand),
        }
    }
}

impl From<&LeaseGrant> for FixedGrant {
    fn from(entry: &LeaseGrant) -> Self {
        Self {
            team: entry.team.to_le_bytes(),
            ask: entry.request_number.to_le_bytes(),
            lease: entry.lease_number.to_le_bytes(),
            amount: to_fixed(&entry.amount, false),
            strict: entry.strict,
            lifetime_ms: entry.lifetime_ms.to_le_bytes(),
        }
    }
}

impl From<FixedGrant> for LeaseGrant {
    fn from(wire: FixedGrant) -> Self {
        Self {
            team: u64::from_le_bytes(wire.team),
            request_number: u32::from_le_bytes(wire.ask),
            lease_number: u32::from_le_bytes(wire.lease),
            amount: from_fixed(wire.amount),
            strict: wire.strict,
            lifetime_ms: u32::from_le_bytes(wire.lifetime_ms),
        }
    }
}

impl From<&LeaseGrant> for CompactGrant {
    fn from(entry: &LeaseGrant) -> Self {
        Self {
            team: entry.team.to_le_bytes(),
            ask: entry.request_number,
            lease: entry.lease_number,
            amount: to_compact(&entry.amount, false),
            strict: entry.strict,
            lifetime_ms: entry.lifetime_ms,
        }
    }
}

impl From<CompactGrant> for LeaseGrant {
    fn from(wire: CompactGrant) -> Self {
        Self {
            team: u64::from_le_bytes(wire.team),
            request_number: wire.ask,
            lease_number: wire.lease,
            amount: from_compact(wire.amount),
            strict: wire.strict,
            lifetime_ms: wire.lifetime_ms,
        }
    }
}
