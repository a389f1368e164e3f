//! Wire types of claims.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_claims::{
    Attempt, ClaimKey, ClaimResponse, ReleaseOutcome, SavedStored, SettleOutcome, StoredAnswer,
};
use bamboospur_types::{InstanceId, TeamId};
use serde::{Deserialize, Serialize};

use crate::command::ClaimCommand;

/// Returns the milliseconds since the Unix epoch; 0 for an earlier time.
pub(crate) fn to_unix_ms(at: SystemTime) -> u64 {
    to_ms(at.duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// Converts milliseconds since the Unix epoch; no value overflows [`SystemTime`].
pub(crate) fn from_unix_ms(unix_ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(unix_ms)
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireClaimKey(TeamId, u128);

impl From<&ClaimKey> for WireClaimKey {
    fn from(key: &ClaimKey) -> Self {
        Self(key.team, u128::from_le_bytes(key.key))
    }
}

impl From<WireClaimKey> for ClaimKey {
    fn from(WireClaimKey(team, key): WireClaimKey) -> Self {
        let key = key.to_le_bytes();
        Self { team, key }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireAttempt(InstanceId, u64);

impl From<&Attempt> for WireAttempt {
    fn from(attempt: &Attempt) -> Self {
        Self(attempt.instance, attempt.number)
    }
}

impl From<WireAttempt> for Attempt {
    fn from(WireAttempt(instance, number): WireAttempt) -> Self {
        Self { instance, number }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireClaim {
    key: WireClaimKey,
    fingerprint: u64,
    attempt: WireAttempt,
    run_timeout_ms: u64,
}

impl From<&ClaimCommand> for WireClaim {
    fn from(claim: &ClaimCommand) -> Self {
        Self {
            key: WireClaimKey::from(&claim.key),
            fingerprint: claim.fingerprint,
            attempt: WireAttempt::from(&claim.attempt),
            run_timeout_ms: to_ms(claim.run_timeout),
        }
    }
}

impl From<WireClaim> for ClaimCommand {
    fn from(wire: WireClaim) -> Self {
        Self {
            key: ClaimKey::from(wire.key),
            fingerprint: wire.fingerprint,
            attempt: Attempt::from(wire.attempt),
            run_timeout: Duration::from_millis(wire.run_timeout_ms),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireClaimResponse {
    Granted,
    Running(WireAttempt, u64),
    Answered(SavedStored),
    Unknown,
    KeyReused,
    Full,
}

impl From<&ClaimResponse> for WireClaimResponse {
    fn from(answer: &ClaimResponse) -> Self {
        match answer {
            ClaimResponse::Granted => Self::Granted,
            ClaimResponse::Running {
                holder,
                run_deadline,
            } => Self::Running(WireAttempt::from(holder), to_unix_ms(*run_deadline)),
            ClaimResponse::Answered { stored } => {
                Self::Answered(SavedStored::from(stored.as_ref()))
            }
            ClaimResponse::Unknown => Self::Unknown,
            ClaimResponse::KeyReused => Self::KeyReused,
            ClaimResponse::Full => Self::Full,
        }
    }
}

impl From<WireClaimResponse> for ClaimResponse {
    fn from(wire: WireClaimResponse) -> Self {
        match wire {
            WireClaimResponse::Granted => Self::Granted,
            WireClaimResponse::Running(holder, run_deadline_unix_ms) => Self::Running {
                holder: Attempt::from(holder),
                run_deadline: from_unix_ms(run_deadline_unix_ms),
            },
            WireClaimResponse::Answered(stored) => Self::Answered {
                stored: Arc::new(StoredAnswer::from(stored)),
            },
            WireClaimResponse::Unknown => Self::Unknown,
            WireClaimResponse::KeyReused => Self::KeyReused,
            WireClaimResponse::Full => Self::Full,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireSettleOutcome {
    Settled,
    NotKept,
    NotHolder,
}

impl From<SettleOutcome> for WireSettleOutcome {
    fn from(answer: SettleOutcome) -> Self {
        match answer {
            SettleOutcome::Settled => Self::Settled,
            SettleOutcome::NotKept => Self::NotKept,
            SettleOutcome::NotHolder => Self::NotHolder,
        }
    }
}

impl From<WireSettleOutcome> for SettleOutcome {
    fn from(wire: WireSettleOutcome) -> Self {
        match wire {
            WireSettleOutcome::Settled => Self::Settled,
            WireSettleOutcome::NotKept => Self::NotKept,
            WireSettleOutcome::NotHolder => Self::NotHolder,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireReleaseOutcome {
    Released,
    Absent,
    NotHolder,
}

impl From<ReleaseOutcome> for WireReleaseOutcome {
    fn from(answer: ReleaseOutcome) -> Self {
        match answer {
            ReleaseOutcome::Released => Self::Released,
            ReleaseOutcome::Absent => Self::Absent,
            ReleaseOutcome::NotHolder => Self::NotHolder,
        }
    }
}

impl From<WireReleaseOutcome> for ReleaseOutcome {
    fn from(wire: WireReleaseOutcome) -> Self {
        match wire {
            WireReleaseOutcome::Released => Self::Released,
            WireReleaseOutcome::Absent => Self::Absent,
            WireReleaseOutcome::NotHolder => Self::NotHolder,
        }
    }
}
