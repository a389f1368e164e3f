//! Snapshot format of the control state.

use std::time::SystemTime;

use bamboospur_claims::{ClaimSettings, SavedClaims};
use bamboospur_orders::{Ledger, SavedLedger};
use bamboospur_settings::{SavedSettings, Settings};
use serde::{Deserialize, Serialize};

use crate::codec::{CodecError, check_header, decode_exact, encode_with_header};
use crate::state::ControlState;

const MAGIC: [u8; 4] = *b"BSCS";
const VERSION: u16 = 1;

#[derive(Serialize, Deserialize)]
struct SavedState {
    applied: u64,
    clock: SystemTime,
    settings: SavedSettings,
    claims: SavedClaims,
    ledger: SavedLedger,
}

pub(crate) fn encode(state: &ControlState) -> Result<Vec<u8>, CodecError> {
    let saved = SavedState {
        applied: state.applied,
        clock: state.clock,
        settings: SavedSettings::from(&state.settings),
        claims: SavedClaims::from(&state.claims),
        ledger: SavedLedger::from(&state.ledger),
    };
    encode_with_header(MAGIC, VERSION, &saved)
}

pub(crate) fn decode(bytes: &[u8], bounds: ClaimSettings) -> Result<ControlState, CodecError> {
    let body = check_header(MAGIC, VERSION, bytes)?;
    let saved: SavedState = decode_exact(body)?;
    let mut state = ControlState::new(bounds);
    state.applied = saved.applied;
    state.clock = saved.clock;
    state.settings = Settings::try_from(saved.settings).map_err(CodecError::invalid_content)?;
    state.claims = saved
        .claims
        .restore(bounds)
        .map_err(CodecError::invalid_content)?;
    state.ledger = Ledger::try_from(saved.ledger).map_err(CodecError::invalid_content)?;
    Ok(state)
}
