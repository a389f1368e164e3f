//! Claim table: a deterministic state machine that the replicated log drives.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound::{Excluded, Unbounded};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::claim::{
    Attempt, ClaimKey, ClaimRequest, ClaimResponse, ReleaseOutcome, SettleOutcome, StoredAnswer,
};
use crate::settings::{ClaimSettings, MAX_STORED_ANSWER_BYTES};

/// Invariant violations that were detected, for the host to log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Number of violations since the start of the process.
    pub count: u64,
    /// Description of the last violation.
    pub last: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The holder has not settled the claim. From the run deadline on the claim is
    /// unknown.
    Running { run_deadline_unix_ms: u64 },
    /// The holder has settled the claim. `None` when the answer was too large or
    /// was dropped; the claim is then unknown.
    Answered { stored: Option<Arc<StoredAnswer>> },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) fingerprint: u64,
    pub(crate) holder: Attempt,
    pub(crate) valid_until_unix_ms: u64,
    pub(crate) state: State,
}

/// Table of all valid claims, and of expired claims that no sweep has removed yet.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    settings: ClaimSettings,
    pub(crate) entries: BTreeMap<ClaimKey, Claim>,
    /// Claims with a stored answer, oldest answer first. The entry of a removed claim
    /// stays until it reaches the front.
    pub(crate) answered: VecDeque<(ClaimKey, Attempt)>,
    /// Sum of [`Stored::size_bytes`] of all stored answers.
    pub(crate) stored_bytes: usize,
    /// Last claim that a sweep checked; the next sweep continues after it.
    pub(crate) cursor: Option<ClaimKey>,
    violations: Violations,
}

impl Claims {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of claims, including expired ones that are not removed
    /// yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether [`Self::len`] is 0.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the sum of [`Stored::size_bytes`] of all stored answers.
    #[must_use]
    pub const fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Returns the invariant violations detected in this process.
    #[must_use]
    pub const fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Requests a claim. A repeated request of the holder is granted again until
    /// the run deadline.
    pub fn claim(&mut self, request: &ClaimRequest, now: SystemTime) -> ClaimResponse {
        let now_unix_ms = unix_ms(now);
        self.sweep(now_unix_ms, self.settings.sweep_claims);
        if let Some(claim) = self.valid_claim(&request.key, now_unix_ms) {
            return respond(claim, request, now_unix_ms);
        }
        self.remove(&request.key);
        if self.entries.len() >= self.settings.max_claims {
            return ClaimResponse::Full;
        }
        let run_deadline_unix_ms = unix_ms(request.run_deadline);
        // If the claim expired while its attempt was running, a second attempt
        // could be granted and the request could run twice.
        let valid_until_unix_ms = unix_ms(request.valid_until).max(run_deadline_unix_ms);
        let claim = Claim {
            fingerprint: request.fingerprint,
            holder: request.attempt,
            valid_until_unix_ms,
            state: State::Running {
                run_deadline_unix_ms,
            },
        };
        if let Some(replaced) = self.entries.insert(request.key, claim) {
            let holder = replaced.holder;
            self.record_violation(format!("a claim held by {holder:?} was granted again"));
        }
        ClaimResponse::Granted
    }

    /// Returns the state of the claim for a key without claiming it; `None` when
    /// there is no valid claim.
    #[must_use]
    pub fn lookup(&self, key: &ClaimKey, now: SystemTime) -> Option<ClaimResponse> {
        let now_unix_ms = unix_ms(now);
        let claim = self.valid_claim(key, now_unix_ms)?;
        Some(current_response(claim, now_unix_ms))
    }

    /// Stores the answer that the holder received. An answer after the run
    /// deadline is accepted, too: the claim is then no longer unknown.
    pub fn settle(
        &mut self,
        key: &ClaimKey,
        attempt: &Attempt,
        stored: Arc<StoredAnswer>,
        now: SystemTime,
    ) -> SettleOutcome {
        let now_unix_ms = unix_ms(now);
        let held = self.valid_claim(key, now_unix_ms);
        let Some(claim) = held.filter(|claim| claim.holder == *attempt) else {
            return SettleOutcome::NotHolder;
        };
        if let State::Answered { stored } = &claim.state {
            return match stored {
                Some(_) => SettleOutcome::Settled,
                None => SettleOutcome::NotKept,
            };
        }
        let size_bytes = stored.size_bytes();
        let is_kept = stored.payload_bytes() <= MAX_STORED_ANSWER_BYTES
            && size_bytes <= self.settings.max_stored_bytes;
        let state = State::Answered {
            stored: is_kept.then_some(stored),
        };
        if let Some(claim) = self.entries.get_mut(key) {
            claim.state = state;
        }
        if !is_kept {
            return SettleOutcome::NotKept;
        }
        self.stored_bytes += size_bytes;
        self.answered.push_back((*key, *attempt));
        self.drop_old_answers();
        SettleOutcome::Settled
    }

    /// Releases a claim. The holder must have proof that nothing was sent.
    pub fn release(
        &mut self,
        key: &ClaimKey,
        attempt: &Attempt,
        now: SystemTime,
    ) -> ReleaseOutcome {
        let now_unix_ms = unix_ms(now);
        let Some(claim) = self.valid_claim(key, now_unix_ms) else {
            return ReleaseOutcome::Absent;
        };
        let State::Running {
            run_deadline_unix_ms,
        } = claim.state
        else {
            return ReleaseOutcome::NotHolder;
        };
        // After the run deadline callers may already have got `Unknown`, which
        // says that the request is not run again.
        if claim.holder != *attempt || run_deadline_unix_ms <= now_unix_ms {
            return ReleaseOutcome::NotHolder;
        }
        self.remove(key);
        ReleaseOutcome::Released
    }

    /// Checks the next `count` claims in key order and removes the expired ones.
    /// Returns the number of removed claims.
    pub fn expire(&mut self, now: SystemTime, count: usize) -> usize {
        self.sweep(unix_ms(now), count)
    }

    fn valid_claim(&self, key: &ClaimKey, now_unix_ms: u64) -> Option<&Claim> {
        let claim = self.entries.get(key)?;
        (claim.valid_until_unix_ms > now_unix_ms).then_some(claim)
    }

    fn sweep(&mut self, now_unix_ms: u64, count: usize) -> usize {
        let mut removed = 0;
        for _ in 0..count.min(self.entries.len()) {
            let start = self.cursor.map_or(Unbounded, Excluded);
            let next = self.entries.range((start, Unbounded)).next();
            let Some((key, claim)) = next.or_else(|| self.entries.first_key_value()) else {
                return removed;
            };
            let key = *key;
            let expired = claim.valid_until_unix_ms <= now_unix_ms;
            self.cursor = Some(key);
            if expired {
                self.remove(&key);
                removed += 1;
            }
        }
        removed
    }

    fn remove(&mut self, key: &ClaimKey) {
        if let Some(claim) = self.entries.remove(key) {
            self.subtract_stored_bytes(&claim.state);
        }
    }

    fn subtract_stored_bytes(&mut self, state: &State) {
        let State::Answered {
            stored: Some(stored),
        } = state
        else {
            return;
        };
        let remaining = self.stored_bytes.checked_sub(stored.size_bytes());
        self.stored_bytes = remaining.unwrap_or_default();
        if remaining.is_none() {
            self.record_violation(
                "the size of a removed answer exceeds the counted bytes of all stored answers"
                    .to_owned(),
            );
        }
    }

    fn drop_old_answers(&mut self) {
        while self.stored_bytes > self.settings.max_stored_bytes || self.oldest_answer_is_stale() {
            let Some((key, attempt)) = self.answered.pop_front() else {
                return;
            };
            let dropped = self.entries.get_mut(&key).and_then(|claim| {
                let held = claim.holder == attempt;
                held.then(|| std::mem::replace(&mut claim.state, State::Answered { stored: None }))
            });
            if let Some(state) = dropped {
                self.subtract_stored_bytes(&state);
            }
        }
    }

    fn oldest_answer_is_stale(&self) -> bool {
        let Some((key, attempt)) = self.answered.front() else {
            return false;
        };
        let claim = self.entries.get(key);
        claim.is_none_or(|claim| claim.holder != *attempt)
    }

    fn record_violation(&mut self, message: String) {
        self.violations.count += 1;
        self.violations.last = Some(message);
    }
}

fn respond(claim: &Claim, request: &ClaimRequest, now_unix_ms: u64) -> ClaimResponse {
    if claim.fingerprint != request.fingerprint {
        return ClaimResponse::KeyReused;
    }
    match current_response(claim, now_unix_ms) {
        ClaimResponse::Running { holder, .. } if holder == request.attempt => {
            ClaimResponse::Granted
        }
        other => other,
    }
}

fn current_response(claim: &Claim, now_unix_ms: u64) -> ClaimResponse {
    match &claim.state {
        State::Running {
            run_deadline_unix_ms,
        } if *run_deadline_unix_ms > now_unix_ms => ClaimResponse::Running {
            holder: claim.holder,
            run_deadline: UNIX_EPOCH + Duration::from_millis(*run_deadline_unix_ms),
        },
        State::Answered {
            stored: Some(stored),
        } => ClaimResponse::Answered {
            stored: Arc::clone(stored),
        },
        State::Running { .. } | State::Answered { stored: None } => ClaimResponse::Unknown,
    }
}

/// Returns the milliseconds since 1970; 0 for an earlier time.
fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
