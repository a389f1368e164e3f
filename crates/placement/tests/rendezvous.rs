//! Tests of the distribution and stability of the chats' first choices.

use std::time::Instant;

use bamboospur_placement::{Decision, PlacementRequest, PlacementSettings, Placer, TargetView};
use bamboospur_types::{TargetId, TargetState};

fn view(id: TargetId) -> TargetView {
    TargetView {
        id,
        incarnation: 1,
        data_centre: 1,
        same_data_centre: true,
        offers: vec![7],
        capacity_tokens: 100_000,
        capacity_requests: 64,
        report: None,
        state: TargetState::Ready,
        damped: false,
    }
}

fn first_choices(placer: &mut Placer, now: Instant) -> Vec<TargetId> {
    let choose = |chat| {
        let request = PlacementRequest {
            team: 1,
            chat,
            offer: Some(7),
            work_tokens: 1,
            prefix_tokens: 0,
            excluded: &[],
            hint: None,
            priority: 0,
        };
        match placer.place(&request, now) {
            Decision::Send { target, ticket, .. } => {
                placer.finish(ticket, now);
                target
            }
            other => panic!("an idle pool without routers answered {other:?}"),
        }
    };
    (0..5_000).map(choose).collect()
}

/// Guards against rehashing of all chats: the loss of a target must move only the
/// chats that it had, about a tenth of them here.
#[test]
fn only_the_chats_of_a_lost_target_move() {
    let now = Instant::now();
    let mut placer = Placer::new(PlacementSettings::default(), 1, 1, 1);
    for id in 1..=10 {
        placer.set_target(view(id), now);
    }
    let before = first_choices(&mut placer, now);
    placer.remove_target(4, now);
    let after = first_choices(&mut placer, now);
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a).count();
    let lost = before.iter().filter(|b| **b == 4).count();
    assert_eq!(moved, lost);
    assert!(
        (400..600).contains(&lost),
        "{lost} of 5000 chats on one of 10 targets"
    );
}
