//! Guards the promise that a key is granted to one attempt only and is never
//! released in doubt. An oracle keeps every grant and derives each answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_claims::{
    Attempt, ClaimKey, ClaimRequest, ClaimResponse, ClaimSettings, Claims, ReleaseOutcome,
    SavedClaims, SettleOutcome, Stored,
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 21;
const BOUNDS: ClaimSettings = ClaimSettings {
    max_claims: 4,
    max_stored_bytes: 800,
    sweep_claims: 1,
};

fn at(ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(ms)
}

fn key(number: u8) -> ClaimKey {
    ClaimKey {
        team: u64::from(number % 2),
        key: [number / 2; 16],
    }
}

fn attempt(number: u64) -> Attempt {
    Attempt {
        instance: number % 3,
        number,
    }
}

fn stored(number: u8, len: usize) -> Arc<Stored> {
    Arc::new(Stored {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: vec![number; len],
    })
}

#[derive(Clone)]
struct Grant {
    attempt: Attempt,
    fingerprint: u64,
    run_deadline: SystemTime,
    valid_until: SystemTime,
    settled: Option<Arc<Stored>>,
}

struct Run {
    claims: Claims,
    now_ms: u64,
    attempts: u64,
    /// The last grant of each key that was not released.
    grants: BTreeMap<ClaimKey, Grant>,
    /// Whether any answer may have been dropped for memory.
    dropped: bool,
}

impl Run {
    fn now(&self) -> SystemTime {
        at(self.now_ms)
    }

    fn grant(&self, key: &ClaimKey) -> Option<&Grant> {
        let grant = self.grants.get(key)?;
        (grant.valid_until > self.now()).then_some(grant)
    }

    fn step(&mut self, (kind, number, value): (u8, u8, u8)) {
        let key = key(number % 6);
        match kind % 8 {
            0..=2 => self.claim(key, value),
            3 => self.settle(key, value),
            4 => self.release(key, value),
            5 => self.now_ms += u64::from(value),
            6 => {
                self.claims.expire(self.now(), usize::from(value % 8));
            }
            _ => {
                let saved = SavedClaims::from(&self.claims);
                self.claims = saved.restore(BOUNDS).expect("a saved table is valid");
            }
        }
    }

    /// The holder or a new attempt asks, sometimes with another request.
    fn claim(&mut self, key: ClaimKey, value: u8) {
        let holder = self.grant(&key).map(|grant| grant.attempt);
        let asks = match holder {
            Some(holder) if value.is_multiple_of(4) => holder,
            _ => {
                self.attempts += 1;
                attempt(self.attempts)
            }
        };
        let request = ClaimRequest {
            key,
            fingerprint: u64::from(value % 8 == 7),
            attempt: asks,
            run_deadline: at(self.now_ms + u64::from(value)),
            valid_until: at(self.now_ms + 400),
        };
        let full = self.claims.len() >= BOUNDS.max_claims;
        let answer = self.claims.claim(&request, self.now());
        let Some(grant) = self.grant(&key) else {
            match answer {
                ClaimResponse::Granted => self.granted(&request),
                ClaimResponse::Full => assert!(full, "refused as full with room left"),
                other => panic!("{other:?} without a claim"),
            }
            return;
        };
        if grant.fingerprint != request.fingerprint {
            assert_eq!(answer, ClaimResponse::KeyReused);
        } else if answer == ClaimResponse::Granted {
            assert_eq!(grant.attempt, asks, "granted to two attempts");
            assert!(grant.run_deadline > self.now() && grant.settled.is_none());
        } else {
            self.check_present(&answer, grant, asks);
        }
    }

    fn check_present(&self, answer: &ClaimResponse, grant: &Grant, asks: Attempt) {
        match (answer, &grant.settled) {
            (ClaimResponse::Answered { stored }, Some(settled)) => assert_eq!(stored, settled),
            (ClaimResponse::Unknown, Some(_)) => assert!(self.dropped, "an answer got lost"),
            (ClaimResponse::Unknown, None) => assert!(grant.run_deadline <= self.now()),
            (
                ClaimResponse::Running {
                    holder,
                    run_deadline,
                },
                None,
            ) => {
                assert_eq!(
                    (holder, run_deadline),
                    (&grant.attempt, &grant.run_deadline)
                );
                assert!(*run_deadline > self.now() && *holder != asks);
            }
            (other, settled) => panic!("{other:?} for {settled:?}"),
        }
    }

    fn granted(&mut self, request: &ClaimRequest) {
        let grant = Grant {
            attempt: request.attempt,
            fingerprint: request.fingerprint,
            run_deadline: request.run_deadline,
            valid_until: request.valid_until,
            settled: None,
        };
        self.grants.insert(request.key, grant);
    }

    /// The holder or another attempt settles.
    fn settle(&mut self, key: ClaimKey, value: u8) {
        let holder = self.grant(&key).map(|grant| grant.attempt);
        let settles = match holder {
            Some(holder) if !value.is_multiple_of(4) => holder,
            _ => attempt(u64::from(value) + 100_000),
        };
        let answer = stored(value, usize::from(value) * 3);
        let got = self
            .claims
            .settle(&key, &settles, Arc::clone(&answer), self.now());
        if holder != Some(settles) {
            assert_eq!(got, SettleOutcome::NotHolder);
            return;
        }
        assert_ne!(got, SettleOutcome::NotHolder);
        let used = self.claims.stored_bytes();
        assert!(used <= BOUNDS.max_stored_bytes, "{used} bytes stored");
        self.dropped |= used + 600 > BOUNDS.max_stored_bytes || got == SettleOutcome::NotKept;
        let grant = self.grants.get_mut(&key).expect("the holder has a grant");
        grant.settled.get_or_insert(answer);
    }

    /// The holder or another attempt releases.
    fn release(&mut self, key: ClaimKey, value: u8) {
        let grant = self.grant(&key).cloned();
        let releases = match &grant {
            Some(grant) if !value.is_multiple_of(4) => grant.attempt,
            _ => attempt(u64::from(value) + 100_000),
        };
        let answer = self.claims.release(&key, &releases, self.now());
        let expected = match &grant {
            None => ReleaseOutcome::Absent,
            Some(grant) => {
                let doubt = grant.settled.is_some() || grant.run_deadline <= self.now();
                if doubt || grant.attempt != releases {
                    ReleaseOutcome::NotHolder
                } else {
                    ReleaseOutcome::Released
                }
            }
        };
        assert_eq!(answer, expected, "released in doubt or kept without reason");
        if answer == ReleaseOutcome::Released {
            self.grants.remove(&key);
        }
    }
}

fn grants_once(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut run = Run {
        claims: Claims::new(BOUNDS),
        now_ms: 1000,
        attempts: 0,
        grants: BTreeMap::new(),
        dropped: false,
    };
    for step in steps {
        run.step(step);
        assert!(run.claims.len() <= BOUNDS.max_claims);
        assert_eq!(run.claims.violations().count, 0);
    }
    true
}

#[test]
fn a_key_is_granted_once_and_never_released_in_doubt() {
    println!("seed {SEED}");
    QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(120, SEED))
        .quickcheck(grants_once as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn an_answer_over_64_kib_is_not_kept() {
    let mut claims = Claims::new(ClaimSettings::default());
    let request = |number: u8| ClaimRequest {
        key: key(number),
        fingerprint: 1,
        attempt: attempt(1),
        run_deadline: at(100),
        valid_until: at(1000),
    };
    for (number, len, expected) in [
        (0, 64 * 1024 - 10, SettleOutcome::Settled),
        (1, 64 * 1024 - 9, SettleOutcome::NotKept),
    ] {
        let request = request(number);
        claims.claim(&request, at(1));
        let answer = claims.settle(&request.key, &request.attempt, stored(1, len), at(2));
        assert_eq!(answer, expected, "{len} bytes");
    }
    let late = claims.claim(&request(1), at(3));
    assert_eq!(
        late,
        ClaimResponse::Unknown,
        "a request whose answer was not kept ran again"
    );
}

#[test]
fn sweeps_free_expired_claims() {
    let mut claims = Claims::new(ClaimSettings::default());
    for number in 0..100 {
        let request = ClaimRequest {
            key: ClaimKey {
                team: number,
                key: [0; 16],
            },
            fingerprint: 0,
            attempt: attempt(number),
            run_deadline: at(2),
            valid_until: at(if number % 2 == 0 { 10 } else { 1000 }),
        };
        claims.claim(&request, at(1));
    }
    assert_eq!(claims.expire(at(11), 1000), 50);
    assert_eq!(claims.len(), 50);
}
