//! State that every replica builds from the log.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_claims::{ClaimRequest, ClaimResponse, ClaimSettings, Claims};
use bamboospur_orders::Ledger;
use bamboospur_settings::Settings;

use crate::codec::CodecError;
use crate::command::{ClaimCommand, Command, Reply};
use crate::desired::order_limits;
use crate::snapshot;

/// Maximum run time of a claimed request; a longer timeout is reduced to this.
const MAX_RUN_TIMEOUT: Duration = Duration::from_hours(24);

/// Violated invariants, for the host to log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Violations in settings, claims, orders and log since the process started.
    pub count: u64,
    /// Last violation of each part; empty when there was none.
    pub messages: Vec<String>,
}

/// Settings, claims and orders at one log index.
#[derive(Clone, Debug)]
pub struct ControlState {
    pub(crate) applied: u64,
    pub(crate) clock: SystemTime,
    pub(crate) settings: Settings,
    pub(crate) claims: Claims,
    pub(crate) ledger: Ledger,
    /// Commands whose index was already applied.
    skipped_count: u64,
}

impl ControlState {
    /// Creates the initial state. All replicas must use the same bounds.
    #[must_use]
    pub fn new(bounds: ClaimSettings) -> Self {
        Self {
            applied: 0,
            clock: UNIX_EPOCH,
            settings: Settings::default(),
            claims: Claims::new(bounds),
            ledger: Ledger::default(),
            skipped_count: 0,
        }
    }

    /// Returns the log index of the last command applied; 0 before the first.
    #[must_use]
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the latest timestamp of the applied commands.
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

    /// Returns the ledger of orders.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the violated invariants since this process started.
    #[must_use]
    pub fn violations(&self) -> Violations {
        let (settings, claims, orders) = (
            self.settings.violations(),
            self.claims.violations(),
            self.ledger.violations(),
        );
        let skipped = (self.skipped_count > 0).then(|| {
            let applied = self.applied;
            format!("a command at or before log index {applied} was applied again")
        });
        let last = [&settings.last, &claims.last, &orders.last, &skipped];
        Violations {
            count: settings.count + claims.count + orders.count + self.skipped_count,
            messages: last.into_iter().flatten().cloned().collect(),
        }
    }

    /// Applies the command at a log index. The state keeps the latest timestamp
    /// seen, so an earlier `at` never makes its clock go backwards.
    pub fn apply(&mut self, index: u64, at: SystemTime, command: &Command) -> Reply {
        if index <= self.applied {
            self.skipped_count += 1;
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
                let limits = order_limits(&self.settings.tree().fleet().orders);
                let issued = wanted.iter();
                let issued = issued.map(|order| self.ledger.issue(*term, order, &limits, now));
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
            run_deadline: self.clock + claim.run_timeout.min(MAX_RUN_TIMEOUT),
            valid_until: self.clock + Duration::from_millis(validity_ms),
        };
        self.claims.claim(&request, self.clock)
    }

    /// Encodes the state behind a header with version and checksum.
    ///
    /// # Errors
    ///
    /// Returns an error when settings, claims or orders cannot be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, CodecError> {
        snapshot::encode(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when the version or checksum is wrong, or when the
    /// decoded content is inconsistent.
    pub fn restore(bytes: &[u8], bounds: ClaimSettings) -> Result<Self, CodecError> {
        snapshot::decode(bytes, bounds)
    }
}
