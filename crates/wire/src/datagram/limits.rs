//! Wire form of leases.
//!
//! Amounts are four 32-bit numbers, work in units of 16 tokens: rounded up in
//! asks and down in grants. Fixed fields never exceed the budget; a compact
//! form with variable-length numbers is used when it is shorter, which holds
//! for usual amounts.

use bamboospur_limits::{Amount, LeaseGrant, LeaseRequest, LimitsMessage, WORK_UNIT_TOKENS};
use serde::{Deserialize, Serialize};

use super::DatagramError;

type Fixed = [u8; 4];
type FixedAmount = [Fixed; 4];
/// Requests, work, requests a minute, work a minute. 0 stands for no limit, so
/// that it takes one byte.
type CompactAmount = [u32; 4];

#[derive(Debug, Serialize, Deserialize)]
enum WireLimits {
    Asks(Vec<FixedAsk>),
    Grants(Vec<FixedGrant>),
    CompactAsks(Vec<CompactAsk>),
    CompactGrants(Vec<CompactGrant>),
}

#[derive(Debug, Serialize, Deserialize)]
struct FixedAsk {
    team: [u8; 8],
    ask: Fixed,
    lease: Fixed,
    used: FixedAmount,
    demand: FixedAmount,
}

#[derive(Debug, Serialize, Deserialize)]
struct FixedGrant {
    team: [u8; 8],
    ask: Fixed,
    lease: Fixed,
    amount: FixedAmount,
    strict: bool,
    lifetime_ms: Fixed,
}

#[derive(Debug, Serialize, Deserialize)]
struct CompactAsk {
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
            WireLimits::Asks(entries.iter().map(FixedAsk::from).collect()),
            WireLimits::CompactAsks(entries.iter().map(CompactAsk::from).collect()),
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

/// Largest amount is no limit; anything else stays below it.
fn units(value: u64, unit: u64, up: bool) -> u32 {
    if value == u64::MAX {
        return u32::MAX;
    }
    let units = if up {
        value.div_ceil(unit)
    } else {
        value / unit
    };
    u32::try_from(units).unwrap_or(u32::MAX).min(u32::MAX - 1)
}

fn value(units: u32, unit: u64) -> u64 {
    if units == u32::MAX {
        return u64::MAX;
    }
    u64::from(units) * unit
}

fn amount_units(amount: &Amount, up: bool) -> [u32; 4] {
    [
        units(amount.requests, 1, up),
        units(amount.work, WORK_UNIT_TOKENS, up),
        units(amount.requests_per_minute, 1, up),
        units(amount.work_per_minute, WORK_UNIT_TOKENS, up),
    ]
}

fn amount([requests, work, requests_per_minute, work_per_minute]: [u32; 4]) -> Amount {
    Amount {
        requests: value(requests, 1),
        work: value(work, WORK_UNIT_TOKENS),
        requests_per_minute: value(requests_per_minute, 1),
        work_per_minute: value(work_per_minute, WORK_UNIT_TOKENS),
    }
}

fn fixed(amount: &Amount, up: bool) -> FixedAmount {
    amount_units(amount, up).map(u32::to_le_bytes)
}

fn from_fixed(fixed: FixedAmount) -> Amount {
    amount(fixed.map(u32::from_le_bytes))
}

fn compact(amount: &Amount, up: bool) -> CompactAmount {
    amount_units(amount, up).map(|units| units.wrapping_add(1))
}

fn from_compact(compact: CompactAmount) -> Amount {
    amount(compact.map(|units| units.wrapping_sub(1)))
}

impl From<&LeaseRequest> for FixedAsk {
    fn from(entry: &LeaseRequest) -> Self {
        Self {
            team: entry.team.to_le_bytes(),
            ask: entry.request_number.to_le_bytes(),
            lease: entry.lease_number.to_le_bytes(),
            used: fixed(&entry.used, true),
            demand: fixed(&entry.demand, true),
        }
    }
}

impl From<FixedAsk> for LeaseRequest {
    fn from(wire: FixedAsk) -> Self {
        Self {
            team: u64::from_le_bytes(wire.team),
            request_number: u32::from_le_bytes(wire.ask),
            lease_number: u32::from_le_bytes(wire.lease),
            used: from_fixed(wire.used),
            demand: from_fixed(wire.demand),
        }
    }
}

impl From<&LeaseRequest> for CompactAsk {
    fn from(entry: &LeaseRequest) -> Self {
        Self {
            team: entry.team.to_le_bytes(),
            ask: entry.request_number,
            lease: entry.lease_number,
            used: compact(&entry.used, true),
            demand: compact(&entry.demand, true),
        }
    }
}

impl From<CompactAsk> for LeaseRequest {
    fn from(wire: CompactAsk) -> Self {
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
            amount: fixed(&entry.amount, false),
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
            amount: compact(&entry.amount, false),
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
