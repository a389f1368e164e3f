//! Measures the memory of a claim table with a million claims:
//! `cargo run --release -p bamboospur-claims --example claim_bytes`.

use std::fs;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_claims::{Attempt, ClaimKey, ClaimRequest, ClaimSettings, Claims, StoredAnswer};
use bamboospur_types::mix64;

const CLAIM_COUNT: u64 = 1_000_000;
const PAGE_BYTES: u64 = 4096;

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

fn request(number: u64, now: SystemTime) -> ClaimRequest {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&mix64(number).to_le_bytes());
    key[8..].copy_from_slice(&mix64(!number).to_le_bytes());
    ClaimRequest {
        key: ClaimKey {
            team: mix64(number % 11_000),
            key,
        },
        fingerprint: number,
        attempt: Attempt {
            instance: number % 420,
            number,
        },
        run_deadline: now + Duration::from_mins(1),
        valid_until: now + Duration::from_hours(24),
    }
}

fn main() {
    let now = UNIX_EPOCH + Duration::from_hours(500_000);
    let settings = ClaimSettings {
        max_claims: 1_000_000,
        ..ClaimSettings::default()
    };
    let baseline_bytes = resident_bytes();
    let mut claims = Claims::new(settings);
    for number in 0..CLAIM_COUNT {
        claims.claim(&request(number, now), now);
    }
    let claimed_bytes = resident_bytes() - baseline_bytes;
    for number in 0..CLAIM_COUNT {
        let request = request(number, now);
        let stored = Arc::new(StoredAnswer {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; 200],
        });
        claims.settle(&request.key, &request.attempt, stored, now);
    }
    let settled_bytes = resident_bytes() - baseline_bytes;
    println!(
        "{} claims use {claimed_bytes} bytes, {} a claim",
        claims.len(),
        claimed_bytes / CLAIM_COUNT
    );
    println!("all settled with 200 bytes they use {settled_bytes} bytes");
    println!("stored answers count {} bytes", claims.stored_bytes());
}
