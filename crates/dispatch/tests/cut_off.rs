//! One data centre is cut off with the targets that hold cached prompts: where prompts go and
//! what they copy.

use std::time::{Duration, Instant};

use bamboospur_dispatch::{
    ChosenTarget, DispatchRequest, DispatchSettings, Dispatcher, Outcome, PromptPart,
};
use bamboospur_registry::{Announcement, Phase, StartTime};

const PROMPTS: u64 = 60;

fn target(index: u8) -> Announcement {
    Announcement {
        name: format!("t{index}"),
        start: StartTime(1),
        sequence: 1,
        phase: Phase::Ready,
        service: "chat".to_owned(),
        software: "v1".to_owned(),
        address: format!("10.0.0.{index}:80").parse().expect("an address"),
        data_centre: data_centre(index).to_owned(),
        slots: 64,
        warm_up: Duration::ZERO,
    }
}

fn data_centre(index: u8) -> &'static str {
    ["north", "south", "west"][usize::from(index / 4)]
}

fn is_south(choice: &ChosenTarget) -> bool {
    ["t4", "t5", "t6", "t7"].contains(&choice.name.as_str())
}

fn choose(dispatcher: &mut Dispatcher, key: u64, now: Instant) -> ChosenTarget {
    let part = |hash| PromptPart {
        hash,
        tokens: 1_000,
    };
    let request = DispatchRequest {
        service: "chat",
        prompt: &[part(key), part(key + 1_000_000)],
        repeatable: true,
        software: None,
        tried: &[],
        max_in_flight_per_target: 1_000,
    };
    dispatcher.choose(&request, now).expect("a target")
}

/// Returns a dispatcher in the north that has sent each prompt once.
fn dispatcher(now: Instant) -> (Dispatcher, Vec<ChosenTarget>) {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), "north", 1);
    let targets: Vec<Announcement> = (0..12).map(target).collect();
    dispatcher.update(&targets.iter().collect::<Vec<_>>(), &[], now);
    let answered = Outcome::Answered {
        latency: Duration::from_millis(10),
    };
    let chosen = (0..PROMPTS).map(|key| {
        let choice = choose(&mut dispatcher, key, now);
        dispatcher.finish("chat", &choice, answered, now);
        choice
    });
    let chosen = chosen.collect();
    (dispatcher, chosen)
}

fn cut_off_south(dispatcher: &mut Dispatcher, chosen: &[ChosenTarget], now: Instant) {
    let first = chosen.iter().find(|c| is_south(c)).expect("a holder");
    let mut others = chosen.iter().filter(|c| is_south(c));
    let second = others.find(|c| c.name != first.name).expect("a holder");
    for silent in [first, second] {
        dispatcher.record_unreachable("chat", silent, now);
    }
}

#[test]
fn prompts_leave_a_data_centre_when_two_of_its_silent_targets_accept_no_connection() {
    let now = Instant::now();
    let (mut dispatcher, chosen) = dispatcher(now);
    assert!(chosen.iter().any(is_south));
    cut_off_south(&mut dispatcher, &chosen, now);
    for key in 0..PROMPTS {
        assert!(!is_south(&choose(&mut dispatcher, key, now)));
    }
}

#[test]
fn prefixes_are_copied_only_from_targets_that_can_be_reached() {
    let now = Instant::now();
    let (mut dispatcher, chosen) = dispatcher(now);
    cut_off_south(&mut dispatcher, &chosen, now);
    let mut copies = 0;
    for (key, before) in (0..PROMPTS).zip(&chosen) {
        let choice = choose(&mut dispatcher, key, now);
        if is_south(before) {
            assert_eq!(choice.copy_from, None, "copies from a cut-off data centre");
        } else if choice.name != before.name {
            assert_eq!(choice.copy_from, Some(before.address));
            copies += 1;
        }
    }
    assert!(copies > 0, "no prompt moved within reach");
}

#[test]
fn prefixes_are_copied_again_once_the_data_centre_can_be_reached() {
    let now = Instant::now();
    let (mut dispatcher, chosen) = dispatcher(now);
    cut_off_south(&mut dispatcher, &chosen, now);
    let later = now + DispatchSettings::default().max_unreachable_pause;
    let holder = chosen.iter().position(is_south).expect("a holder");
    // Load at the holder makes its prompts spread.
    let mut copied = false;
    for _ in 0..100 {
        let choice = choose(&mut dispatcher, holder as u64, later);
        copied |= choice.copy_from == Some(chosen[holder].address);
    }
    assert!(copied);
}
