//! Answers to reservation requests of the process that ran before under the same id.

mod fleet;

use std::time::Instant;

use bamboospur_placement::{
    Decision, PlacementMessage, PlacementOutput, PlacementSettings, Placer, ReservationRequest,
    Ticket,
};
use bamboospur_types::{InstanceId, TargetId};
use fleet::{request, view};

const HOLDER: InstanceId = 1;
const OWNER: InstanceId = 2;

/// Returns a placer that knows ten targets.
fn placer(own_id: InstanceId, epoch: u64, ticket_seed: u64, now: Instant) -> Placer {
    let mut placer = Placer::new(PlacementSettings::default(), own_id, epoch, ticket_seed);
    for target in 101..=110 {
        placer.set_target(view(target), now);
    }
    placer.set_routers(&[HOLDER, OWNER], now);
    placer
}

/// Places requests of new chats until the owner is asked for this many.
fn ask_owner(placer: &mut Placer, count: usize, now: Instant) -> Vec<ReservationRequest> {
    let mut asked = Vec::new();
    for chat in 0..1_000 {
        let decision = placer.place(&request(chat, 100, &[]), now);
        if let Decision::ReservationRequest {
            owner: OWNER,
            message,
            ..
        } = decision
            && let PlacementMessage::ReservationRequest(reservation) = message
        {
            asked.push(reservation);
        }
        if asked.len() == count {
            return asked;
        }
    }
    panic!(
        "the owner was asked for {} of {count} requests",
        asked.len()
    );
}

fn grant(ticket: Ticket, target: TargetId) -> PlacementMessage {
    PlacementMessage::Grant {
        ticket,
        target,
        work_tokens: 100,
        source: None,
    }
}

/// Returns how many requests of the next process the answers to the first one place. Answers
/// carry the count of a ticket alone, and the receiver adds its own epoch.
fn placed_by_late_answers(next_epoch: u64, next_seed: u64) -> usize {
    let now = Instant::now();
    let mut first = placer(HOLDER, 1, 1, now);
    let asked = ask_owner(&mut first, 50, now);
    let mut next = placer(HOLDER, next_epoch, next_seed, now);
    ask_owner(&mut next, 50, now);
    let is_placed = |output: &PlacementOutput| matches!(output, PlacementOutput::Placed { .. });
    let late = asked.iter().map(|reservation| {
        let ticket = next_epoch << 32 | (reservation.ticket & 0xffff_ffff);
        let outputs = next.handle(grant(ticket, reservation.choices[0]), OWNER, now);
        outputs.iter().filter(|output| is_placed(output)).count()
    });
    late.sum()
}

/// Tickets were counted from 1 in each process, so that a grant to the process before placed a
/// request of the next one on a target that had no room for it.
#[test]
fn a_late_grant_places_no_request_of_the_next_process() {
    assert_eq!(placed_by_late_answers(2, 2), 0);
    // The grants do place requests whose tickets they name.
    assert_eq!(placed_by_late_answers(1, 1), 50);
}
