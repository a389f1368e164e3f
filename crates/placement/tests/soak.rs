//! Longer random runs in which the placers check their own invariants.

mod fleet;

use bamboospur_placement::PlacementRequest;
use bamboospur_types::TargetState;
use fleet::{Fleet, request, view};

/// Guards the invariants that the placer checks while targets and routers change and
/// messages are lost. `PlacementOutput::Violation` fails the test.
#[test]
fn invariants_hold_through_changes() {
    for seed in 1..=4 {
        println!("seed {seed}");
        let mut fleet = Fleet::new(5, 15, 5, seed);
        for step in 0..3_000_u64 {
            let chat = fleet.random_below(300);
            let returning = PlacementRequest {
                prefix_tokens: if step > 300 { 800 } else { 0 },
                ..request(chat, 1_000 + chat, &[])
            };
            let router = usize::try_from(fleet.random_below(5)).unwrap();
            fleet.place(router, &returning);
            fleet.advance(1);
            if fleet.runs.len() > 120 {
                fleet.finish_one();
            }
            if step.is_multiple_of(100) {
                change(&mut fleet, step);
            }
        }
        fleet.repair();
        assert_eq!(fleet.counts(), fleet.holdings(), "seed {seed}");
    }
}

/// Drains or restores a random target and changes the first router's list of
/// routers; from step 2800 on all routers get the full list.
fn change(fleet: &mut Fleet, step: u64) {
    let now = fleet.now;
    let index = usize::try_from(fleet.random_below(15)).unwrap();
    let mut changed = view(fleet.targets[index]);
    if step.is_multiple_of(200) {
        changed.state = TargetState::Draining;
    }
    let all = [1, 2, 3, 4, 5];
    let known = if step.is_multiple_of(300) {
        &all[..4]
    } else {
        &all[..]
    };
    for placer in &mut fleet.placers {
        placer.set_target(changed.clone(), now);
    }
    fleet.placers[0].set_routers(known, now);
    if step >= 2_800 {
        for placer in &mut fleet.placers {
            placer.set_routers(&all, now);
        }
    }
}
