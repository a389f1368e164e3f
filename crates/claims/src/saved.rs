//! Serialized form of the claim table in snapshots.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::bytes::Bytes;
use crate::claim::{Attempt, ClaimKey, StoredAnswer};
use crate::settings::ClaimSettings;
use crate::table::{Claim, Claims, State};

/// Error for a saved table in which a claim occurs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoreError;

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a claim occurs twice in the saved claim table; restore the state from another instance")
    }
}

impl Error for RestoreError {}

/// Team and digest of the idempotency key.
type SavedKey = (u64, u128);
/// Instance and number of the attempt.
type SavedAttempt = (u64, u64);

/// Saved form of [`StoredAnswer`], which is also used in commands and replies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedStored {
    status: u16,
    content_type: String,
    body: Bytes,
}

impl From<&StoredAnswer> for SavedStored {
    fn from(stored: &StoredAnswer) -> Self {
        Self {
            status: stored.status,
            content_type: stored.content_type.clone(),
            body: Bytes(stored.body.clone()),
        }
    }
}

impl From<SavedStored> for StoredAnswer {
    fn from(saved: SavedStored) -> Self {
        Self {
            status: saved.status,
            content_type: saved.content_type,
            body: saved.body.0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum SavedState {
    Running { run_deadline_unix_ms: u64 },
    Answered { stored: Option<SavedStored> },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SavedClaim {
    key: SavedKey,
    fingerprint: u64,
    holder: SavedAttempt,
    valid_until_unix_ms: u64,
    state: SavedState,
}

/// Saved form of [`Claims`], without its settings and violations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedClaims {
    claims: Vec<SavedClaim>,
    answered: Vec<(SavedKey, SavedAttempt)>,
    cursor: Option<SavedKey>,
}

const fn save_key(key: &ClaimKey) -> SavedKey {
    (key.team, u128::from_le_bytes(key.key))
}

const fn load_key((team, key): SavedKey) -> ClaimKey {
    let key = key.to_le_bytes();
    ClaimKey { team, key }
}

const fn save_attempt(attempt: &Attempt) -> SavedAttempt {
    (attempt.instance, attempt.number)
}

const fn load_attempt((instance, number): SavedAttempt) -> Attempt {
    Attempt { instance, number }
}

impl From<&State> for SavedState {
    fn from(state: &State) -> Self {
        match state {
            State::Running {
                run_deadline_unix_ms,
            } => Self::Running {
                run_deadline_unix_ms: *run_deadline_unix_ms,
            },
            State::Answered { stored } => Self::Answered {
                stored: stored.as_ref().map(|stored| stored.as_ref().into()),
            },
        }
    }
}

impl From<SavedState> for State {
    fn from(saved: SavedState) -> Self {
        match saved {
            SavedState::Running {
                run_deadline_unix_ms,
            } => Self::Running {
                run_deadline_unix_ms,
            },
            SavedState::Answered { stored } => Self::Answered {
                stored: stored.map(|stored| Arc::new(stored.into())),
            },
        }
    }
}

impl From<&Claims> for SavedClaims {
    fn from(table: &Claims) -> Self {
        let claims = table.entries.iter().map(|(key, claim)| SavedClaim {
            key: save_key(key),
            fingerprint: claim.fingerprint,
            holder: save_attempt(&claim.holder),
            valid_until_unix_ms: claim.valid_until_unix_ms,
            state: SavedState::from(&claim.state),
        });
        let answered = table.answered.iter();
        let answered = answered.map(|(key, attempt)| (save_key(key), save_attempt(attempt)));
        Self {
            claims: claims.collect(),
            answered: answered.collect(),
            cursor: table.cursor.as_ref().map(save_key),
        }
    }
}

impl SavedClaims {
    /// Restores the claim table.
    ///
    /// # Errors
    ///
    /// Returns an error when a claim occurs twice.
    pub fn restore(self, settings: ClaimSettings) -> Result<Claims, RestoreError> {
        let mut table = Claims::new(settings);
        for saved in self.claims {
            let claim = Claim {
                fingerprint: saved.fingerprint,
                holder: load_attempt(saved.holder),
                valid_until_unix_ms: saved.valid_until_unix_ms,
                state: State::from(saved.state),
            };
            if let State::Answered {
                stored: Some(stored),
            } = &claim.state
            {
                table.stored_bytes += stored.size_bytes();
            }
            if table.entries.insert(load_key(saved.key), claim).is_some() {
                return Err(RestoreError);
            }
        }
        let answered = self.answered.into_iter();
        let answered = answered.map(|(key, attempt)| (load_key(key), load_attempt(attempt)));
        table.answered = answered.collect();
        table.cursor = self.cursor.map(load_key);
        Ok(table)
    }
}
