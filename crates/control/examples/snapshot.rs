//! Measures the time to apply commands, and the size and time of a snapshot, with
//! a full claim table:
//! `cargo run --release -p bamboospur-control --example snapshot`.

use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use bamboospur_claims::{Attempt, ClaimSettings, StoredAnswer};
use bamboospur_control::{
    ClaimCommand, Command, ControlState, Entry, ProposalId, claim_key, decode_entry, encode_entry,
};

const CLAIMS_PER_BATCH: u64 = 16;

fn claim_command(number: u64) -> ClaimCommand {
    ClaimCommand {
        key: claim_key(&format!("team-{:05}", number % 11_000), &number.to_string()),
        fingerprint: number,
        attempt: Attempt {
            instance: number % 420,
            number,
        },
        run_timeout: Duration::from_mins(1),
    }
}

fn settle_command(number: u64) -> Command {
    let ClaimCommand { key, attempt, .. } = claim_command(number);
    let stored = StoredAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: vec![b'x'; 500],
    };
    Command::Settle {
        key,
        attempt,
        stored: Arc::new(stored),
    }
}

/// Encodes, decodes and applies a command, as a member does.
fn apply(state: &mut ControlState, command: Command) {
    let index = state.applied() + 1;
    let entry = Entry {
        origin: ProposalId::default(),
        at: UNIX_EPOCH + Duration::from_hours(500_000),
        command,
    };
    let decoded = encode_entry(&entry).and_then(|bytes| decode_entry(&bytes));
    if let Ok(entry) = decoded {
        state.apply(index, entry.at, &entry.command);
    }
}

fn main() {
    let bounds = ClaimSettings::default();
    let claims = bounds.max_claims as u64;
    let mut state = ControlState::new(bounds);
    let start = Instant::now();
    for first in (0..claims).step_by(usize::try_from(CLAIMS_PER_BATCH).unwrap_or(1)) {
        let batch = (first..claims.min(first + CLAIMS_PER_BATCH)).map(claim_command);
        apply(&mut state, Command::Claims(batch.collect()));
    }
    let claimed = start.elapsed();
    println!("{claims} claims in batches of {CLAIMS_PER_BATCH}: {claimed:?}");
    let start = Instant::now();
    (0..claims).for_each(|number| apply(&mut state, settle_command(number)));
    println!("{claims} answers of 500 bytes: {:?}", start.elapsed());
    let start = Instant::now();
    let bytes = state.snapshot().unwrap_or_default();
    println!("snapshot: {} bytes in {:?}", bytes.len(), start.elapsed());
    let start = Instant::now();
    let restored = ControlState::restore(&bytes, bounds).map(|state| state.claims().len());
    println!("restored {restored:?} claims in {:?}", start.elapsed());
}
