//! Where requests go.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_dispatch::{
    ChooseError, ChosenTarget, DispatchRequest, DispatchSettings, Dispatcher, LoadReport, Outcome,
    PromptPart,
};
use bamboospur_registry::{Announcement, Phase, StartTime};

const MANY: u32 = 1_000;

fn target(index: u8, service: &str, data_centre: &str) -> Announcement {
    Announcement {
        name: format!("t{index}"),
        start: StartTime(1),
        sequence: 1,
        phase: Phase::Ready,
        service: service.to_owned(),
        address: format!("10.0.0.{index}:80").parse().expect("an address"),
        data_centre: data_centre.to_owned(),
        slots: 64,
        warm_up: Duration::ZERO,
    }
}

fn dispatcher(count: u8, service: &str) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), "north", 1);
    let targets: Vec<Announcement> = (0..count).map(|i| target(i, service, "north")).collect();
    dispatcher.update(&targets.iter().collect::<Vec<_>>(), &[], Instant::now());
    dispatcher
}

fn plain(tried: &[String]) -> DispatchRequest<'_> {
    DispatchRequest {
        service: "records",
        prompt: &[],
        repeatable: true,
        tried,
        connection_share: MANY,
    }
}

fn prompt(key: u64) -> [PromptPart; 2] {
    let part = |hash| PromptPart {
        hash,
        tokens: 1_000,
    };
    [part(key), part(key + 1_000_000)]
}

fn chat(prompt: &[PromptPart]) -> DispatchRequest<'_> {
    DispatchRequest {
        service: "chat",
        prompt,
        ..plain(&[])
    }
}

fn answered(millis: u64) -> Outcome {
    Outcome::Answered {
        latency: Duration::from_millis(millis),
    }
}

#[test]
fn routers_agree_on_the_target_of_a_prompt() {
    let now = Instant::now();
    let mut one = dispatcher(9, "chat");
    let mut two = dispatcher(9, "chat");
    for key in 0..50 {
        let prompt = prompt(key);
        let first = one.choose(&chat(&prompt), now).expect("a target");
        let second = two.choose(&chat(&prompt), now).expect("a target");
        assert_eq!(first.name, second.name);
        one.finish("chat", &first, answered(10), now);
        two.finish("chat", &second, answered(10), now);
    }
}

#[test]
fn one_hot_prompt_spreads_within_the_load_bound() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(9, "chat");
    let prompt = prompt(7);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..90 {
        let choice = dispatcher.choose(&chat(&prompt), now).expect("a target");
        *counts.entry(choice.name).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    // Twice the mean of 10 plus three.
    assert!(most <= 23, "{counts:?}");
}

#[test]
fn a_prompt_stays_when_targets_join() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(9, "chat");
    let choose = |d: &mut Dispatcher, key| {
        let choice = d.choose(&chat(&prompt(key)), now).expect("a target");
        d.finish("chat", &choice, answered(10), now);
        choice.name
    };
    let before: Vec<String> = (0..40).map(|key| choose(&mut dispatcher, key)).collect();
    let targets: Vec<Announcement> = (0..18).map(|i| target(i, "chat", "north")).collect();
    dispatcher.update(&targets.iter().collect::<Vec<_>>(), &[], now);
    let after: Vec<String> = (0..40).map(|key| choose(&mut dispatcher, key)).collect();
    assert_eq!(before, after);
}

#[test]
fn routers_learn_from_each_other_where_a_prompt_is_cached() {
    let now = Instant::now();
    let mut one = dispatcher(9, "chat");
    let mut two = dispatcher(9, "chat");
    let prompt = prompt(7);
    // Enough requests to spill past the first target.
    let chosen = (0..30).map(|_| one.choose(&chat(&prompt), now).expect("a target").name);
    let places: std::collections::BTreeSet<String> = chosen.collect();
    let news = one.take_new_prefixes();
    assert_eq!(news.len(), places.len());
    assert!(one.take_new_prefixes().is_empty());
    two.add_cached_prefixes(news, now);
    assert!(two.take_new_prefixes().is_empty());
    let chosen = two.choose(&chat(&prompt), now).expect("a target");
    assert!(places.contains(&chosen.name));
}

#[test]
fn a_restart_empties_a_cache() {
    let now = Instant::now();
    let mut one = dispatcher(2, "chat");
    let prompt = prompt(7);
    let first = one.choose(&chat(&prompt), now).expect("a target");
    let reborn: Vec<Announcement> = (0..2)
        .map(|i| Announcement {
            start: StartTime(2),
            ..target(i, "chat", "north")
        })
        .collect();
    one.update(&reborn.iter().collect::<Vec<_>>(), &[], now);
    one.take_new_prefixes();
    let second = one.choose(&chat(&prompt), now).expect("a target");
    assert_ne!(first.start, second.start);
    assert_eq!(one.take_new_prefixes().len(), 1);
}

/// Pattern: a flash crowd of several times what the engines can run.
#[test]
fn prompts_beyond_the_places_of_all_engines_are_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4, "chat");
    let mut taken = 0;
    let refused = loop {
        match dispatcher.choose(&chat(&prompt(taken)), now) {
            Ok(_) => taken += 1,
            Err(refused) => break refused,
        }
    };
    assert!(matches!(refused, ChooseError::Full { available_in } if !available_in.is_zero()));
    // No place of the four engines stays empty, and none is overbooked.
    assert!((230..=256).contains(&taken), "{taken}");
}

#[test]
fn totals_of_all_routers_do_not_count_the_own_requests_twice() {
    let now = Instant::now();
    let mut one = dispatcher(2, "records");
    for _ in 0..4 {
        one.choose(&plain(&[]), now).expect("a target");
    }
    let told: BTreeMap<u64, u32> = one.collect_own_loads(now).into_iter().collect();
    let mut counts: Vec<u32> = told.values().copied().collect();
    counts.sort_unstable();
    // Two requests at each target, and four arrivals a second for ten seconds.
    assert_eq!(counts, [2, 2, 40]);
    // The totals hold nothing but the own requests.
    one.apply_load_totals(&told, now);
    let choice = one.choose(&plain(&[]), now).expect("a target");
    assert!((choice.load - 2.0).abs() < f64::EPSILON, "{}", choice.load);
}

#[test]
fn requests_of_other_routers_count() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(3, "chat");
    // Every target reports: the first one of the prompt is busy, the others idle.
    let prompt = prompt(7);
    let first = dispatcher.choose(&chat(&prompt), now).expect("a target");
    for index in 0..3 {
        let name = format!("t{index}");
        let running = if name == first.name { 30 } else { 0 };
        let report = LoadReport {
            running,
            waiting: 0,
            slots: 64,
        };
        let choice = ChosenTarget {
            name,
            ..first.clone()
        };
        dispatcher.record_load_report("chat", &choice, report, now);
    }
    // 30 requests are more than twice the mean of 10 plus three.
    let second = dispatcher.choose(&chat(&prompt), now).expect("a target");
    assert_ne!(first.name, second.name);
}

#[test]
fn a_failing_target_is_left_out_and_comes_back() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(3, "records");
    let choose = |d: &mut Dispatcher, at| d.choose(&plain(&[]), at).expect("a target");
    let mut failed = None::<ChosenTarget>;
    for _ in 0..60 {
        let choice = choose(&mut dispatcher, now);
        let bad = choice.name == "t1";
        let outcome = if bad { Outcome::Failed } else { answered(15) };
        dispatcher.finish("records", &choice, outcome, now);
        if bad {
            failed = Some(choice);
        }
    }
    assert!(failed.is_some());
    for _ in 0..30 {
        let choice = choose(&mut dispatcher, now);
        assert_ne!(choice.name, "t1");
        dispatcher.finish("records", &choice, answered(15), now);
    }
    let later = now + DispatchSettings::default().eject_max;
    let back = (0..30).any(|_| {
        let choice = choose(&mut dispatcher, later);
        dispatcher.finish("records", &choice, answered(15), later);
        choice.name == "t1"
    });
    assert!(back);
}

#[test]
fn a_data_centre_that_is_cut_off_is_left_out_as_a_whole() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), "north", 1);
    let centre = |i: u8| ["north", "south", "west"][usize::from(i / 3)];
    let targets: Vec<Announcement> = (0..9).map(|i| target(i, "chat", centre(i))).collect();
    dispatcher.update(&targets.iter().collect::<Vec<_>>(), &[], now);
    let is_south = |name: &str| ["t3", "t4", "t5"].contains(&name);
    let mut failed = 0;
    for key in 0..200 {
        let choice = dispatcher
            .choose(&chat(&prompt(key)), now)
            .expect("a target");
        let cut = is_south(&choice.name);
        failed += u32::from(cut);
        let outcome = if cut {
            Outcome::Unreachable
        } else {
            answered(10)
        };
        dispatcher.finish("chat", &choice, outcome, now);
    }
    assert_eq!(failed, 2);
    // Single requests find out that the data centre is back.
    let later = now + DispatchSettings::default().unreachable_max;
    let back = (0..200).any(|key| {
        let choice = dispatcher
            .choose(&chat(&prompt(key)), later)
            .expect("a target");
        dispatcher.finish("chat", &choice, answered(10), later);
        is_south(&choice.name)
    });
    assert!(back);
}

#[test]
fn a_request_fails_to_reach_each_data_centre_once() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), "north", 1);
    let centre = |i: u8| ["north", "south", "west"][usize::from(i / 3)];
    let targets: Vec<Announcement> = (0..9).map(|i| target(i, "chat", centre(i))).collect();
    dispatcher.update(&targets.iter().collect::<Vec<_>>(), &[], now);
    for key in 0..40 {
        let prompt = prompt(key);
        // Nothing is known of the cut when this request begins.
        let mut fresh = dispatcher.clone();
        let mut tried = Vec::new();
        loop {
            let demand = DispatchRequest {
                tried: &tried,
                ..chat(&prompt)
            };
            let choice = fresh.choose(&demand, now).expect("a target");
            if ["t0", "t1", "t2"].contains(&choice.name.as_str()) {
                break;
            }
            fresh.finish("chat", &choice, Outcome::Unreachable, now);
            tried.push(choice.name);
        }
        assert!(tried.len() <= 2, "{tried:?}");
    }
}

#[test]
fn unreachable_targets_are_tried_when_there_are_no_others() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2, "records");
    for _ in 0..4 {
        let choice = dispatcher.choose(&plain(&[]), now).expect("a target");
        dispatcher.finish("records", &choice, Outcome::Unreachable, now);
    }
    assert!(dispatcher.choose(&plain(&[]), now).is_ok());
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4, "records");
    for _ in 0..100 {
        let choice = dispatcher.choose(&plain(&[]), now).expect("a target");
        dispatcher.finish("records", &choice, Outcome::Failed, now);
    }
    assert!(dispatcher.choose(&plain(&[]), now).is_ok());
}

#[test]
fn a_slow_target_gets_fewer_requests() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(3, "records");
    let mut slow = 0;
    for _ in 0..300 {
        let choice = dispatcher.choose(&plain(&[]), now).expect("a target");
        let is_slow = choice.name == "t0";
        slow += u32::from(is_slow);
        let latency = if is_slow { 120 } else { 15 };
        dispatcher.finish("records", &choice, answered(latency), now);
    }
    assert!(slow < 60, "{slow}");
}

#[test]
fn nothing_is_chosen_twice_or_beyond_the_connections() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1, "records");
    let tried = ["t0".to_owned()];
    assert_eq!(
        dispatcher.choose(&plain(&tried), now),
        Err(ChooseError::NoTarget)
    );
    let one = DispatchRequest {
        connection_share: 1,
        ..plain(&[])
    };
    assert!(dispatcher.choose(&one, now).is_ok());
    assert!(matches!(
        dispatcher.choose(&one, now),
        Err(ChooseError::Full { .. })
    ));
}

#[test]
fn a_restarted_target_begins_without_a_past() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1, "records");
    let choice = dispatcher.choose(&plain(&[]), now).expect("a target");
    let reborn = Announcement {
        start: StartTime(2),
        ..target(0, "records", "north")
    };
    dispatcher.update(&[&reborn], &[], now);
    dispatcher.finish("records", &choice, Outcome::Failed, now);
    let next = dispatcher.choose(&plain(&[]), now).expect("a target");
    assert_eq!(next.start, StartTime(2));
    assert!(next.load.abs() < f64::EPSILON);
}
