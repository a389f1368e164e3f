//! The replicated state.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_claims::{ClaimRequest, ClaimResponse, ClaimSettings, Claims};
use bamboospur_orders::Ledger;
use bamboospur_settings::Settings;

use crate::codec::CodecError;
use crate::command::{ClaimCommand, Command, Reply};
use crate::desired::order_pace;
use crate::snapshot;

/// Longest run of a claimed request; a longer time-out is cut to this.
const MAX_RUN: Duration = Duration::from_hours(24);

/// Invariants that were found broken, for the host to log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Number of violations in the state and its parts since the start.
    pub count: u64,
    /// What the last ones were.
    pub messages: Vec<String>,
}

/// Settings, claims and orders at one index of the log.
#[derive(Clone, Debug)]
pub struct ControlState {
    pub(crate) applied: u64,
    pub(crate) clock: SystemTime,
    pub(crate) settings: Settings,
    pub(crate) claims: Claims,
    pub(crate) ledger: Ledger,
    skipped: u64,
}

impl ControlState {
    /// Makes the initial state. All replicas must use the same bounds.
    #[must_use]
    pub fn new(bounds: ClaimSettings) -> Self {
        Self {
            applied: 0,
            clock: UNIX_EPOCH,
            settings: Settings::default(),
            claims: Claims::new(bounds),
            ledger: Ledger::default(),
            skipped: 0,
        }
    }

    /// Returns the index of the last command applied.
    #[must_use]
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the time of the last command applied.
    #[must_use]
    pub const fn clock(&self) -> SystemTime {
        self.clock
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the claims.
    #[must_use]
    pub const fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the orders.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the invariants that were found broken in this process.
    #[must_use]
    pub fn violations(&self) -> Violations {
        let (settings, claims, orders) = (
            self.settings.violations(),
            self.claims.violations(),
            self.ledger.violations(),
        );
        let skipped = (self.skipped > 0).then(|| {
            let applied = self.applied;
            format!("a command at or before index {applied} came again")
        });
        let last = [&settings.last, &claims.last, &orders.last, &skipped];
        Violations {
            count: settings.count + claims.count + orders.count + self.skipped,
            messages: last.into_iter().flatten().cloned().collect(),
        }
    }

    /// Applies the command at an index of the log. A time before that of an
    /// earlier command is replaced by it, so that no deadline is moved back.
    pub fn apply(&mut self, index: u64, at: SystemTime, command: &Command) -> Reply {
        if index <= self.applied {
            self.skipped += 1;
            return Reply::Skipped;
        }
        self.applied = index;
        self.clock = self.clock.max(at);
        let now = self.clock;
        match command {
            Command::Change(change) => Reply::Change(self.settings.apply(change, now)),
            Command::Claims(claims) => {
                Reply::Claims(claims.iter().map(|claim| self.claim(claim)).collect())
            }
            Command::Settle {
                key,
                attempt,
                stored,
            } => Reply::Settled(self.claims.settle(key, attempt, stored.clone(), now)),
            Command::Release { key, attempt } => {
                Reply::Released(self.claims.release(key, attempt, now))
            }
            Command::Expire { count } => Reply::Expired(self.claims.expire(now, *count)),
            Command::IssueOrders { term, wanted } => {
                let pace = order_pace(&self.settings.tree().fleet().orders);
                let issued = wanted.iter();
                let issued = issued.map(|order| self.ledger.issue(*term, order, &pace, now));
                Reply::Orders(issued.collect())
            }
            Command::FinishOrder {
                target,
                fencing,
                result,
            } => Reply::OrderFinished(self.ledger.finish(*target, *fencing, *result, now)),
        }
    }

    fn claim(&mut self, claim: &ClaimCommand) -> ClaimResponse {
        let validity_ms = self.settings.tree().fleet().claim_validity_ms;
        let request = ClaimRequest {
            key: claim.key,
            fingerprint: claim.fingerprint,
            attempt: claim.attempt,
            run_deadline: self.clock + claim.run_timeout.min(MAX_RUN),
            valid_until: self.clock + Duration::from_millis(validity_ms),
        };
        self.claims.claim(&request, self.clock)
    }

    /// Encodes the state with a version and a checksum.
    ///
    /// # Errors
    ///
    /// Returns an error when a part cannot be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, CodecError> {
        snapshot::encode(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when version or checksum are wrong, or when the parts
    /// contradict each other.
    pub fn restore(bytes: &[u8], bounds: ClaimSettings) -> Result<Self, CodecError> {
        snapshot::decode(bytes, bounds)
    }
}
