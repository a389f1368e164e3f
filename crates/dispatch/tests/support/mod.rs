//! A fleet of three data centres that has sent each prompt once.

use std::time::{Duration, Instant};

use bamboospur_dispatch::{
    ChosenTarget, DispatchRequest, DispatchSettings, Dispatcher, Outcome, PromptPart,
};
use bamboospur_registry::{Announcement, Phase, StartTime};

pub const PROMPTS: u64 = 60;

pub fn target(index: u8) -> Announcement {
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

pub fn data_centre(index: u8) -> &'static str {
    ["north", "south", "west"][usize::from(index / 4)]
}

pub fn is_south(choice: &ChosenTarget) -> bool {
    ["t4", "t5", "t6", "t7"].contains(&choice.name.as_str())
}

pub fn choose(dispatcher: &mut Dispatcher, key: u64, now: Instant) -> ChosenTarget {
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
        cold_rate: None,
    };
    dispatcher.choose(&request, now).expect("a target")
}

/// Returns a dispatcher in the north that has sent each prompt once.
pub fn dispatcher(now: Instant) -> (Dispatcher, Vec<ChosenTarget>) {
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
