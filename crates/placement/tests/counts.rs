//! Tests of the owners' counts and of the load bound.

mod fleet;

use fleet::{Fleet, request};
use quickcheck::{QuickCheck, TestResult};

/// Guards against counts that drift when messages are lost, repeated or reordered.
/// Once messages arrive again, the counts must equal the holdings.
#[test]
fn counts_equal_the_holdings_after_repair() {
    fn check(steps: Vec<u8>, seed: u64) -> TestResult {
        let mut fleet = Fleet::new(4, 9, 20, seed);
        for step in steps {
            let router = usize::from(step % 4);
            let work = 500 + 40 * u64::from(step);
            match step % 3 {
                0 => fleet.finish_one(),
                _ => drop(fleet.place(router, &request(u64::from(step), work, &[]))),
            }
            fleet.advance(u32::from(step % 5));
        }
        fleet.repair();
        TestResult::from_bool(fleet.counts() == fleet.holdings())
    }
    QuickCheck::new()
        .tests(40)
        .quickcheck(check as fn(Vec<u8>, u64) -> TestResult);
}

/// Guards against a new owner that counts from zero: when the list of routers
/// changes, the holders must declare to the new owners.
#[test]
fn a_new_owner_rebuilds_its_counts() {
    let mut fleet = Fleet::new(4, 12, 0, 1);
    for chat in 0..100 {
        let router = usize::try_from(chat % 3).unwrap();
        fleet.place(router, &request(chat, 1_000, &[]));
        fleet.advance(1);
    }
    // The fourth router holds nothing, so its loss changes no holding.
    fleet.placers.truncate(3);
    let now = fleet.now;
    for placer in &mut fleet.placers {
        placer.set_routers(&[1, 2, 3], now);
    }
    fleet.advance(4);
    assert_eq!(fleet.counts(), fleet.holdings());
}

/// Guards against grants over the load bound: with exact counts, no grant may leave
/// a target above the larger of 1.25 times the mean and the mean plus the request.
#[test]
fn no_grant_exceeds_the_bound() {
    fn check(works: Vec<u16>, routers: u8, targets: u8, seed: u64) -> bool {
        let routers = u64::from(routers % 4) + 1;
        let mut fleet = Fleet::new(routers, u64::from(targets % 12) + 1, 0, seed);
        for work in works {
            let work = u64::from(work % 4_000) + 1;
            let before = fleet.holdings();
            let router = usize::try_from(fleet.random_below(routers)).unwrap();
            let chat = fleet.random_below(u64::MAX);
            fleet.place(router, &request(chat, work, &[]));
            // Long enough for the reservation and for summaries to reach every router.
            fleet.advance(60);
            let after = fleet.holdings();
            let total: u64 = after.values().sum();
            #[expect(clippy::cast_precision_loss, reason = "small loads")]
            let within = |load: u64| {
                let mean = total as f64 / after.len() as f64;
                load as f64 <= (1.25 * mean).max(mean + work as f64) + 1.0
            };
            let changed = after
                .iter()
                .filter(|(target, load)| before[target] < **load);
            if !changed.into_iter().all(|(_, load)| within(*load)) {
                return false;
            }
        }
        fleet.placers.iter().all(|placer| placer.violations() == 0)
    }
    QuickCheck::new()
        .tests(40)
        .quickcheck(check as fn(Vec<u16>, u8, u8, u64) -> bool);
}
