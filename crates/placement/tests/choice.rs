//! Tests of which targets are chosen.

mod fleet;

use std::time::Duration;

use bamboospur_placement::{Decision, PlacementRequest, Refusal};
use bamboospur_types::TargetState;
use fleet::{Fleet, OFFER, request, view};
use quickcheck::QuickCheck;

/// Guards against requests on targets that are draining, damped, excluded or
/// without the offer, whichever way the request is placed.
#[test]
fn unusable_targets_get_no_work() {
    #[expect(clippy::needless_pass_by_value, reason = "as quickcheck needs it")]
    fn check(kinds: Vec<u8>, hint: u8, seed: u64) -> bool {
        let mut fleet = Fleet::new(3, 8, 5, seed);
        let kind = |index: usize| kinds.get(index).copied().unwrap_or(0) % 5;
        let mut excluded = Vec::new();
        for (index, target) in fleet.targets.clone().into_iter().enumerate() {
            let mut changed = view(target);
            match kind(index) {
                1 => changed.state = TargetState::Draining,
                2 => changed.damped = true,
                3 => changed.offers = vec![OFFER + 1],
                4 => excluded.push(target),
                _ => {}
            }
            let now = fleet.now;
            for placer in &mut fleet.placers {
                placer.set_target(changed.clone(), now);
            }
        }
        for chat in 0..40 {
            let hint = fleet.targets[usize::from(hint) % 8];
            let new_request = PlacementRequest {
                prefix_tokens: 300 * (chat % 2),
                hint: (chat % 3 == 0).then_some(hint),
                ..request(chat % 20, 1_000, &excluded)
            };
            fleet.place(usize::try_from(chat % 3).unwrap(), &new_request);
            fleet.advance(3);
        }
        let index = |target| fleet.targets.iter().position(|t| *t == target).unwrap();
        fleet.runs.iter().all(|run| kind(index(run.target)) == 0)
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(check as fn(Vec<u8>, u8, u64) -> bool);
}

/// Guards against requests that wait forever. Without a usable target the request
/// is refused at once; if no owner answers, it is placed by load reports.
#[test]
fn every_request_is_settled() {
    let mut fleet = Fleet::new(3, 6, 0, 1);
    let all = fleet.targets.clone();
    let now = fleet.now;
    let refused = fleet.placers[0].place(&request(1, 10, &all), now);
    assert!(matches!(
        refused,
        Decision::Refuse {
            reason: Refusal::NoTarget,
            ..
        }
    ));
    fleet.fault_percent = 100;
    for chat in 0..50 {
        fleet.place(0, &request(chat, 1_000, &[]));
    }
    fleet.advance(10);
    assert_eq!(fleet.runs.len(), 50);
}

/// Guards against refusals in a pool with room. The first reservation request of each
/// placement is sent twice, and the second denial must not end a later round.
#[test]
fn repeated_reservation_requests_are_denied_once() {
    let mut fleet = Fleet::new(4, 12, 0, 1);
    fleet.duplicates_reservations = true;
    for chat in 0..200 {
        let new_request = request(chat, 1_000 + 10 * chat, &[]);
        fleet.place(usize::try_from(chat % 4).unwrap(), &new_request);
        fleet.advance(2);
    }
    assert_eq!(fleet.runs.len(), 200);
}

/// Guards against lost prefixes: a returning chat must get the target that served
/// it before, also if that was not its first choice.
#[test]
fn returning_chats_find_their_target() {
    let mut fleet = Fleet::new(4, 12, 0, 1);
    let mut first_targets = Vec::new();
    for chat in 0..200 {
        fleet.place(
            usize::try_from(chat % 4).unwrap(),
            &request(chat, 1_000 + 10 * chat, &[]),
        );
        fleet.advance(2);
        first_targets.push(fleet.runs.last().map(|run| run.target));
    }
    assert_eq!(fleet.runs.len(), 200, "requests were refused");
    while !fleet.runs.is_empty() {
        fleet.finish_one();
    }
    fleet.now += Duration::from_secs(1);
    fleet.advance(100);
    let mut found = 0;
    for (chat, first_target) in (0..200).zip(first_targets) {
        let returning = PlacementRequest {
            prefix_tokens: 1_000,
            ..request(chat, 1_200, &[])
        };
        fleet.place(usize::try_from((chat + 1) % 4).unwrap(), &returning);
        fleet.advance(3);
        found += usize::from(fleet.runs.last().map(|run| run.target) == first_target);
        fleet.finish_one();
        // Longer than `declare_delay`, so that the finished request is declared.
        fleet.advance(60);
    }
    assert_eq!(found, 200);
}
