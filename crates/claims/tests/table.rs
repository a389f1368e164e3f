//! Guards against granting a key to two attempts, and against releasing a claim
//! whose request may have run. Random operations are compared with a model that
//! records every grant and derives the expected results.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_claims::{
    Attempt, ClaimKey, ClaimRequest, ClaimResponse, ClaimSettings, Claims, ReleaseOutcome,
    SavedClaims, SettleOutcome, StoredAnswer,
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 21;
const SETTINGS: ClaimSettings = ClaimSettings {
    max_claims: 4,
    max_stored_bytes: 800,
    sweep_claims: 1,
};

fn at_ms(ms: u64) -> SystemTime {
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

fn stored(number: u8, len: usize) -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer {
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
    settled: Option<Arc<StoredAnswer>>,
}

struct Simulation {
    claims: Claims,
    now_ms: u64,
    last_attempt: u64,
    /// Last grant of each key that was not released.
    grants: BTreeMap<ClaimKey, Grant>,
    /// Whether the table may have dropped an answer because of its size or the
    /// memory bound.
    may_have_dropped_answer: bool,
}

impl Simulation {
    fn now(&self) -> SystemTime {
        at_ms(self.now_ms)
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
                self.claims = saved.restore(SETTINGS).expect("a saved table is valid");
            }
        }
    }

    /// Requests a claim for the holder or a new attempt, sometimes with another
    /// fingerprint.
    fn claim(&mut self, key: ClaimKey, value: u8) {
        let holder = self.grant(&key).map(|grant| grant.attempt);
        let requester = match holder {
            Some(holder) if value.is_multiple_of(4) => holder,
            _ => {
                self.last_attempt += 1;
                attempt(self.last_attempt)
            }
        };
        let request = ClaimRequest {
            key,
            fingerprint: u64::from(value % 8 == 7),
            attempt: requester,
            run_deadline: at_ms(self.now_ms + u64::from(value)),
            valid_until: at_ms(self.now_ms + 400),
        };
        let full = self.claims.len() >= SETTINGS.max_claims;
        let response = self.claims.claim(&request, self.now());
        let Some(grant) = self.grant(&key) else {
            match response {
                ClaimResponse::Granted => self.record_grant(&request),
                ClaimResponse::Full => assert!(full, "refused as full below max_claims"),
                other => panic!("{other:?} without a claim"),
            }
            return;
        };
        if grant.fingerprint != request.fingerprint {
            assert_eq!(response, ClaimResponse::KeyReused);
        } else if response == ClaimResponse::Granted {
            assert_eq!(grant.attempt, requester, "granted to two attempts");
            assert!(grant.run_deadline > self.now() && grant.settled.is_none());
        } else {
            self.check_existing_claim(&response, grant, requester);
        }
    }

    fn check_existing_claim(&self, response: &ClaimResponse, grant: &Grant, requester: Attempt) {
        match (response, &grant.settled) {
            (ClaimResponse::Answered { stored }, Some(settled)) => assert_eq!(stored, settled),
            (ClaimResponse::Unknown, Some(_)) => {
                assert!(self.may_have_dropped_answer, "a stored answer was lost");
            }
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
                assert!(*run_deadline > self.now() && *holder != requester);
            }
            (other, settled) => panic!("{other:?} for {settled:?}"),
        }
    }

    fn record_grant(&mut self, request: &ClaimRequest) {
        let grant = Grant {
            attempt: request.attempt,
            fingerprint: request.fingerprint,
            run_deadline: request.run_deadline,
            valid_until: request.valid_until,
            settled: None,
        };
        self.grants.insert(request.key, grant);
    }

    /// Settles a claim as the holder or as another attempt.
    fn settle(&mut self, key: ClaimKey, value: u8) {
        let holder = self.grant(&key).map(|grant| grant.attempt);
        let settler = match holder {
            Some(holder) if !value.is_multiple_of(4) => holder,
            _ => attempt(u64::from(value) + 100_000),
        };
        let answer = stored(value, usize::from(value) * 3);
        let outcome = self
            .claims
            .settle(&key, &settler, Arc::clone(&answer), self.now());
        if holder != Some(settler) {
            assert_eq!(outcome, SettleOutcome::NotHolder);
            return;
        }
        assert_ne!(outcome, SettleOutcome::NotHolder);
        let used = self.claims.stored_bytes();
        assert!(used <= SETTINGS.max_stored_bytes, "{used} bytes stored");
        self.may_have_dropped_answer |=
            used + 600 > SETTINGS.max_stored_bytes || outcome == SettleOutcome::NotKept;
        let grant = self.grants.get_mut(&key).expect("the holder has a grant");
        grant.settled.get_or_insert(answer);
    }

    /// Releases a claim as the holder or as another attempt.
    fn release(&mut self, key: ClaimKey, value: u8) {
        let grant = self.grant(&key).cloned();
        let releaser = match &grant {
            Some(grant) if !value.is_multiple_of(4) => grant.attempt,
            _ => attempt(u64::from(value) + 100_000),
        };
        let outcome = self.claims.release(&key, &releaser, self.now());
        let expected = match &grant {
            None => ReleaseOutcome::Absent,
            Some(grant) => {
                let may_have_run = grant.settled.is_some() || grant.run_deadline <= self.now();
                if may_have_run || grant.attempt != releaser {
                    ReleaseOutcome::NotHolder
                } else {
                    ReleaseOutcome::Released
                }
            }
        };
        assert_eq!(outcome, expected, "claim wrongly released or wrongly kept");
        if outcome == ReleaseOutcome::Released {
            self.grants.remove(&key);
        }
    }
}

fn check_single_grant(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut simulation = Simulation {
        claims: Claims::new(SETTINGS),
        now_ms: 1000,
        last_attempt: 0,
        grants: BTreeMap::new(),
        may_have_dropped_answer: false,
    };
    for step in steps {
        simulation.step(step);
        assert!(simulation.claims.len() <= SETTINGS.max_claims);
        assert_eq!(simulation.claims.violations().count, 0);
    }
    true
}

#[test]
fn a_key_is_granted_once_and_not_released_when_its_request_may_have_run() {
    println!("seed {SEED}");
    QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(120, SEED))
        .quickcheck(check_single_grant as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn an_answer_over_64_kib_is_not_stored() {
    let mut claims = Claims::new(ClaimSettings::default());
    let request = |number: u8| ClaimRequest {
        key: key(number),
        fingerprint: 1,
        attempt: attempt(1),
        run_deadline: at_ms(100),
        valid_until: at_ms(1000),
    };
    for (number, len, expected) in [
        (0, 64 * 1024 - 10, SettleOutcome::Settled),
        (1, 64 * 1024 - 9, SettleOutcome::NotKept),
    ] {
        let request = request(number);
        claims.claim(&request, at_ms(1));
        let outcome = claims.settle(&request.key, &request.attempt, stored(1, len), at_ms(2));
        assert_eq!(outcome, expected, "{len} bytes");
    }
    let resend = claims.claim(&request(1), at_ms(3));
    assert_eq!(
        resend,
        ClaimResponse::Unknown,
        "a request whose answer was not stored could run again"
    );
}

#[test]
fn sweeps_remove_expired_claims() {
    let mut claims = Claims::new(ClaimSettings::default());
    for number in 0..100 {
        let request = ClaimRequest {
            key: ClaimKey {
                team: number,
                key: [0; 16],
            },
            fingerprint: 0,
            attempt: attempt(number),
            run_deadline: at_ms(2),
            valid_until: at_ms(if number % 2 == 0 { 10 } else { 1000 }),
        };
        claims.claim(&request, at_ms(1));
    }
    assert_eq!(claims.expire(at_ms(11), 1000), 50);
    assert_eq!(claims.len(), 50);
}
