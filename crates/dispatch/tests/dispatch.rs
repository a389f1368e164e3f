//! Guards the choice of targets: affinity of prompts, load bounds, ejection of failing targets and
//! avoidance of unreachable ones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_dispatch::{
    ChooseError, ChosenTarget, DispatchRequest, DispatchSettings, Dispatcher, LoadReport, Outcome,
    PromptPart,
};
use bamboospur_registry::{Announcement, Phase, StartTime};
use bamboospur_types::RequestRate;

const UNLIMITED_CONNECTIONS: u32 = 1_000;

fn target(index: u8, service: &str, data_centre: &str) -> Announcement {
    Announcement {
        name: format!("t{index}"),
        start: StartTime(1),
        sequence: 1,
        phase: Phase::Ready,
        service: service.to_owned(),
        software: "v1".to_owned(),
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

fn plain_request(tried: &[String]) -> DispatchRequest<'_> {
    DispatchRequest {
        service: "records",
        prompt: &[],
        repeatable: true,
        software: None,
        tried,
        max_in_flight_per_target: UNLIMITED_CONNECTIONS,
        cold_rate: None,
    }
}

fn prompt(key: u64) -> [PromptPart; 2] {
    let part = |hash| PromptPart {
        hash,
        tokens: 1_000,
    };
    [part(key), part(key + 1_000_000)]
}

fn chat_request(prompt: &[PromptPart]) -> DispatchRequest<'_> {
    DispatchRequest {
        service: "chat",
        prompt,
        ..plain_request(&[])
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
        let first = one.choose(&chat_request(&prompt), now).expect("a target");
        let second = two.choose(&chat_request(&prompt), now).expect("a target");
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
        let choice = dispatcher
            .choose(&chat_request(&prompt), now)
            .expect("a target");
        *counts.entry(choice.name).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    // Twice the mean of 10 plus three.
    assert!(most <= 23, "{counts:?}");
}

#[test]
fn a_prompt_keeps_its_target_when_targets_join() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(9, "chat");
    let choose = |d: &mut Dispatcher, key| {
        let choice = d
            .choose(&chat_request(&prompt(key)), now)
            .expect("a target");
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
    // Enough requests to exceed the load bound of the first target.
    let chosen = (0..30).map(|_| {
        one.choose(&chat_request(&prompt), now)
            .expect("a target")
            .name
    });
    let cached_at: std::collections::BTreeSet<String> = chosen.collect();
    let new_prefixes = one.take_new_prefixes();
    assert_eq!(new_prefixes.len(), cached_at.len());
    assert!(one.take_new_prefixes().is_empty());
    two.add_cached_prefixes(new_prefixes, now);
    assert!(two.take_new_prefixes().is_empty());
    let chosen = two.choose(&chat_request(&prompt), now).expect("a target");
    assert!(cached_at.contains(&chosen.name));
}

#[test]
fn a_restarted_target_counts_as_uncached() {
    let now = Instant::now();
    let mut one = dispatcher(2, "chat");
    let prompt = prompt(7);
    let first = one.choose(&chat_request(&prompt), now).expect("a target");
    let restarted: Vec<Announcement> = (0..2)
        .map(|i| Announcement {
            start: StartTime(2),
            ..target(i, "chat", "north")
        })
        .collect();
    one.update(&restarted.iter().collect::<Vec<_>>(), &[], now);
    one.take_new_prefixes();
    let second = one.choose(&chat_request(&prompt), now).expect("a target");
    assert_ne!(first.start, second.start);
    assert_eq!(one.take_new_prefixes().len(), 1);
}

/// Guards against queues at engines in a flash crowd of several times their capacity.
#[test]
fn prompts_beyond_the_capacity_of_all_engines_are_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4, "chat");
    let mut taken = 0;
    let refused = loop {
        match dispatcher.choose(&chat_request(&prompt(taken)), now) {
            Ok(_) => taken += 1,
            Err(refused) => break refused,
        }
    };
    assert!(matches!(refused, ChooseError::Full { available_in } if !available_in.is_zero()));
    // The capacity of the four engines is used, and no engine has more prompts than slots.
    assert!((230..=256).contains(&taken), "{taken}");
}

#[test]
fn load_totals_do_not_count_requests_of_the_own_router_twice() {
    let now = Instant::now();
    let mut one = dispatcher(2, "records");
    for _ in 0..4 {
        one.choose(&plain_request(&[]), now).expect("a target");
    }
    let reported: BTreeMap<u64, u32> = one.collect_own_loads(now).into_iter().collect();
    let mut counts: Vec<u32> = reported.values().copied().collect();
    counts.sort_unstable();
    // Two requests at each target, and the arrival rate: four per second, in ten seconds.
    assert_eq!(counts, [2, 2, 40]);
    // The totals contain only the requests of this router.
    one.apply_load_totals(&reported, now);
    let choice = one.choose(&plain_request(&[]), now).expect("a target");
    assert!((choice.load - 2.0).abs() < f64::EPSILON, "{}", choice.load);
}

#[test]
fn reported_load_of_other_routers_moves_a_prompt() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(3, "chat");
    // All targets report: the first one of the prompt has 30 requests, the others none.
    let prompt = prompt(7);
    let first = dispatcher
        .choose(&chat_request(&prompt), now)
        .expect("a target");
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
    let second = dispatcher
        .choose(&chat_request(&prompt), now)
        .expect("a target");
    assert_ne!(first.name, second.name);
}

#[test]
fn a_failing_target_is_ejected_and_readmitted() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(3, "records");
    let choose = |d: &mut Dispatcher, at| d.choose(&plain_request(&[]), at).expect("a target");
    let mut last_failed = None::<ChosenTarget>;
    for _ in 0..60 {
        let choice = choose(&mut dispatcher, now);
        let is_failing = choice.name == "t1";
        let outcome = if is_failing {
            Outcome::Failed
        } else {
            answered(15)
        };
        dispatcher.finish("records", &choice, outcome, now);
        if is_failing {
            last_failed = Some(choice);
        }
    }
    assert!(last_failed.is_some());
    for _ in 0..30 {
        let choice = choose(&mut dispatcher, now);
        assert_ne!(choice.name, "t1");
        dispatcher.finish("records", &choice, answered(15), now);
    }
    let later = now + DispatchSettings::default().max_ejection;
    let is_readmitted = (0..30).any(|_| {
        let choice = choose(&mut dispatcher, later);
        dispatcher.finish("records", &choice, answered(15), later);
        choice.name == "t1"
    });
    assert!(is_readmitted);
}

#[test]
fn an_unreachable_data_centre_is_avoided_after_two_failed_connections() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), "north", 1);
    let centre = |i: u8| ["north", "south", "west"][usize::from(i / 3)];
    let targets: Vec<Announcement> = (0..9).map(|i| target(i, "chat", centre(i))).collect();
    dispatcher.update(&targets.iter().collect::<Vec<_>>(), &[], now);
    let is_south = |name: &str| ["t3", "t4", "t5"].contains(&name);
    let mut failed = 0;
    for key in 0..200 {
        let choice = dispatcher
            .choose(&chat_request(&prompt(key)), now)
            .expect("a target");
        let is_cut_off = is_south(&choice.name);
        failed += u32::from(is_cut_off);
        let outcome = if is_cut_off {
            Outcome::Unreachable
        } else {
            answered(10)
        };
        dispatcher.finish("chat", &choice, outcome, now);
    }
    assert_eq!(failed, 2);
    // Single requests show that the data centre is reachable again.
    let later = now + DispatchSettings::default().max_unreachable_pause;
    let is_readmitted = (0..200).any(|key| {
        let choice = dispatcher
            .choose(&chat_request(&prompt(key)), later)
            .expect("a target");
        dispatcher.finish("chat", &choice, answered(10), later);
        is_south(&choice.name)
    });
    assert!(is_readmitted);
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
        // This dispatcher has not seen a failed connection before.
        let mut fresh = dispatcher.clone();
        let mut tried = Vec::new();
        loop {
            let request = DispatchRequest {
                tried: &tried,
                ..chat_request(&prompt)
            };
            let choice = fresh.choose(&request, now).expect("a target");
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
        let choice = dispatcher
            .choose(&plain_request(&[]), now)
            .expect("a target");
        dispatcher.finish("records", &choice, Outcome::Unreachable, now);
    }
    assert!(dispatcher.choose(&plain_request(&[]), now).is_ok());
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4, "records");
    for _ in 0..100 {
        let choice = dispatcher
            .choose(&plain_request(&[]), now)
            .expect("a target");
        dispatcher.finish("records", &choice, Outcome::Failed, now);
    }
    assert!(dispatcher.choose(&plain_request(&[]), now).is_ok());
}

#[test]
fn a_slow_target_gets_fewer_requests() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(3, "records");
    let mut slow = 0;
    for _ in 0..300 {
        let choice = dispatcher
            .choose(&plain_request(&[]), now)
            .expect("a target");
        let is_slow = choice.name == "t0";
        slow += u32::from(is_slow);
        let latency = if is_slow { 120 } else { 15 };
        dispatcher.finish("records", &choice, answered(latency), now);
    }
    assert!(slow < 60, "{slow}");
}

#[test]
fn targets_already_tried_or_at_their_connection_limit_are_not_chosen() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1, "records");
    let tried = ["t0".to_owned()];
    assert_eq!(
        dispatcher.choose(&plain_request(&tried), now),
        Err(ChooseError::NoTarget)
    );
    let limited = DispatchRequest {
        max_in_flight_per_target: 1,
        cold_rate: None,
        ..plain_request(&[])
    };
    assert!(dispatcher.choose(&limited, now).is_ok());
    assert!(matches!(
        dispatcher.choose(&limited, now),
        Err(ChooseError::Full { .. })
    ));
}

#[test]
fn a_restarted_target_starts_without_load_or_failures() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1, "records");
    let choice = dispatcher
        .choose(&plain_request(&[]), now)
        .expect("a target");
    let restarted = Announcement {
        start: StartTime(2),
        ..target(0, "records", "north")
    };
    dispatcher.update(&[&restarted], &[], now);
    dispatcher.finish("records", &choice, Outcome::Failed, now);
    let next = dispatcher
        .choose(&plain_request(&[]), now)
        .expect("a target");
    assert_eq!(next.start, StartTime(2));
    assert!(next.load.abs() < f64::EPSILON);
}

/// Returns a dispatcher with targets of version v1 and, from index `old` on, v2.
fn two_versions(old: u8, count: u8) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), "north", 1);
    let targets = (0..count).map(|index| {
        let software = if index < old { "v1" } else { "v2" };
        Announcement {
            software: software.to_owned(),
            ..target(index, "chat", "north")
        }
    });
    let targets: Vec<Announcement> = targets.collect();
    dispatcher.update(&targets.iter().collect::<Vec<_>>(), &[], Instant::now());
    dispatcher
}

#[test]
fn a_stream_that_has_begun_gets_a_target_of_its_software_version_or_none() {
    let now = Instant::now();
    let mut dispatcher = two_versions(2, 9);
    for key in 0..40 {
        let prompt = prompt(key);
        let request = DispatchRequest {
            software: Some("v1"),
            ..chat_request(&prompt)
        };
        let choice = dispatcher.choose(&request, now).expect("a target");
        assert_eq!(choice.software, "v1");
    }
    let tried = ["t0".to_owned(), "t1".to_owned()];
    let request = DispatchRequest {
        software: Some("v1"),
        tried: &tried,
        ..chat_request(&[])
    };
    let refused = dispatcher.choose(&request, now);
    assert_eq!(refused, Err(ChooseError::NoTarget));
}

#[test]
fn a_stream_that_has_begun_is_not_refused_for_the_expected_load_of_new_ones() {
    let now = Instant::now();
    let mut dispatcher = two_versions(1, 9);
    dispatcher.set_router_count(100);
    // Every engine is at four fifths of its slots, and many new prompts are expected.
    let mut choices = Vec::new();
    for index in 0..9 {
        let request = chat_request(&[]);
        let any = dispatcher.choose(&request, now).expect("a target");
        let choice = ChosenTarget {
            name: format!("t{index}"),
            ..any
        };
        let report = LoadReport {
            running: 51,
            waiting: 0,
            slots: 64,
        };
        dispatcher.record_load_report("chat", &choice, report, now);
        choices.push(choice);
    }
    for key in 0..300 {
        // Refused or not, each counts as an arrival.
        let _choice = dispatcher.choose(&chat_request(&prompt(key)), now);
    }
    let prompt = prompt(1_000);
    let request = DispatchRequest {
        software: Some("v1"),
        ..chat_request(&prompt)
    };
    let new = (0..20).filter(|_| dispatcher.choose(&chat_request(&prompt), now).is_err());
    assert!(new.count() > 0, "no new prompt was refused");
    let choice = dispatcher.choose(&request, now);
    assert_eq!(choice.map(|choice| choice.name), Ok("t0".to_owned()));
}

#[test]
fn a_target_that_asks_for_no_requests_gets_none_even_if_no_other_is_left() {
    const REJECTED_FOR: Duration = Duration::from_secs(2);
    let now = Instant::now();
    for prompt in [&[][..], &prompt(1)[..]] {
        let mut dispatcher = dispatcher(2, "chat");
        let request = chat_request(prompt);
        let first = dispatcher.choose(&request, now).expect("a target");
        dispatcher.record_rejection("chat", &first, REJECTED_FOR, now);
        dispatcher.finish("chat", &first, Outcome::Full, now);
        for _ in 0..10 {
            let choice = dispatcher.choose(&request, now).expect("the other target");
            assert_ne!(choice.name, first.name);
        }
        let second = dispatcher.choose(&request, now).expect("the other target");
        dispatcher.record_rejection("chat", &second, REJECTED_FOR * 2, now);
        // A shorter time does not end a longer one.
        dispatcher.record_rejection("chat", &second, Duration::ZERO, now);
        let refused = dispatcher.choose(&request, now + REJECTED_FOR / 2);
        let available_in = REJECTED_FOR / 2;
        assert_eq!(refused, Err(ChooseError::Full { available_in }));
        let choice = dispatcher.choose(&request, now + REJECTED_FOR);
        assert_eq!(choice.map(|choice| choice.name), Ok(first.name));
        let tried = [second.name];
        let request = DispatchRequest {
            tried: &tried,
            ..request
        };
        let later = now + REJECTED_FOR / 2;
        let refused = dispatcher.choose(&request, later);
        assert_eq!(refused, Err(ChooseError::Full { available_in }));
    }
}

/// Guards against a target that one answer takes out of service for long, and against requests
/// that reach one again and again that means what it says.
#[test]
fn a_target_that_asks_for_no_requests_for_long_gets_single_trials() {
    const HOUR: Duration = Duration::from_hours(1);
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut dispatcher = dispatcher(1, "records");
    let request = plain_request(&[]);
    let older = dispatcher.choose(&request, start).expect("the target");
    let first = dispatcher.choose(&request, start).expect("the target");
    let reject = |dispatcher: &mut Dispatcher, choice: &ChosenTarget, now| {
        dispatcher.record_rejection("records", choice, HOUR, now);
        dispatcher.finish("records", choice, Outcome::Full, now);
    };
    reject(&mut dispatcher, &first, start);
    assert!(dispatcher.choose(&request, at(4)).is_err());
    let trial = dispatcher.choose(&request, at(6)).expect("a trial");
    // One trial at a time, and an answer to an older request says nothing of the rejection.
    assert!(dispatcher.choose(&request, at(6)).is_err());
    dispatcher.finish("records", &older, answered(20), at(6));
    assert!(dispatcher.choose(&request, at(7)).is_err());
    reject(&mut dispatcher, &trial, at(7));
    assert!(dispatcher.choose(&request, at(60)).is_err());
    let trial = dispatcher.choose(&request, at(68)).expect("a second trial");
    reject(&mut dispatcher, &trial, at(68));
    assert!(dispatcher.choose(&request, at(3_500)).is_err());
    let trial = dispatcher
        .choose(&request, at(2 * 3_600))
        .expect("a request");
    dispatcher.finish("records", &trial, answered(20), at(2 * 3_600));
}

#[test]
fn a_trial_that_is_answered_ends_the_pause_of_a_target() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut dispatcher = dispatcher(1, "records");
    let request = plain_request(&[]);
    let first = dispatcher.choose(&request, start).expect("the target");
    dispatcher.record_rejection("records", &first, Duration::from_hours(1), start);
    dispatcher.finish("records", &first, Outcome::Full, start);
    // A trial that is lost on its way is made again.
    let lost = dispatcher.choose(&request, at(6)).expect("a trial");
    dispatcher.finish("records", &lost, Outcome::Neutral, at(7));
    assert!(dispatcher.choose(&request, at(8)).is_err());
    let trial = dispatcher.choose(&request, at(13)).expect("a trial");
    // The answer itself can last for long.
    dispatcher.record_acceptance("records", &trial);
    for _ in 0..3 {
        dispatcher.choose(&request, at(13)).expect("the target");
    }
}

const LIMIT: RequestRate = RequestRate::from_milli_per_s(1_000);

/// Sends a request to each target until all have stated a limit for a fleet of one router.
fn limit_all(dispatcher: &mut Dispatcher, targets: &[&str], now: Instant) {
    let mut tried = Vec::new();
    for _ in 0..9 {
        let choice = dispatcher
            .choose(&plain_request(&tried), now)
            .expect("a target");
        let limit = targets.contains(&choice.name.as_str()).then_some(LIMIT);
        dispatcher.record_stated_limit(&choice, limit, now);
        dispatcher.finish("records", &choice, answered(10), now);
        tried.push(choice.name);
    }
}

/// Requests beyond the limits of all targets would wait at the targets or exceed the limits.
#[test]
fn requests_beyond_the_limits_of_all_targets_are_refused_with_the_time_of_the_next() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(9, "records");
    let all: Vec<String> = (0..9).map(|index| format!("t{index}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    limit_all(&mut dispatcher, &all, start);
    assert_eq!(dispatcher.take_stated_limits().len(), 9);
    let mut sent = 0;
    for step in 0..500 {
        let now = start + Duration::from_millis(20) * step;
        match dispatcher.choose(&plain_request(&[]), now) {
            Ok(choice) => {
                dispatcher.record_stated_limit(&choice, Some(LIMIT), now);
                dispatcher.finish("records", &choice, answered(10), now);
                sent += 1;
            }
            Err(ChooseError::Full { available_in }) => {
                assert!(available_in <= Duration::from_secs(1), "{available_in:?}");
            }
            Err(error) => panic!("{error:?}"),
        }
    }
    // Nine requests a second for ten seconds, the first after up to a second.
    assert!((80..=90).contains(&sent), "{sent}");
}

/// New prompts at a limited target have to be copied elsewhere by the next request with them.
#[test]
fn limited_targets_take_prompts_that_they_have_cached_and_now_and_then_one_that_shows_their_state()
{
    let start = Instant::now();
    let mut dispatcher = dispatcher(9, "chat");
    let mut limited = None;
    let mut at_limited = 0;
    for step in 0..1_000_u32 {
        let now = start + Duration::from_millis(20) * step;
        let prompt = prompt(u64::from(step) + 100);
        let choice = dispatcher
            .choose(&chat_request(&prompt), now)
            .expect("a target");
        let name = limited.get_or_insert_with(|| choice.name.clone());
        let is_limited = *name == choice.name;
        at_limited += u32::from(is_limited);
        dispatcher.record_stated_limit(&choice, is_limited.then_some(LIMIT), now);
        dispatcher.finish("chat", &choice, answered(10), now);
    }
    // A request every two seconds for twenty seconds, and the first one.
    assert!((9..=11).contains(&at_limited), "{at_limited}");
}

#[test]
fn an_answer_to_a_request_from_before_a_limit_does_not_end_it() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(1, "records");
    let choose = |dispatcher: &mut Dispatcher, now| dispatcher.choose(&plain_request(&[]), now);
    let early = choose(&mut dispatcher, start).expect("a target");
    let later = start + Duration::from_millis(50);
    let limited = choose(&mut dispatcher, later).expect("a target");
    let answered_at = start + Duration::from_millis(100);
    dispatcher.record_stated_limit(&limited, Some(LIMIT), answered_at);
    dispatcher.record_stated_limit(&early, None, answered_at);
    assert_eq!(dispatcher.limit_count(), 1);
    let next = start + Duration::from_secs(2);
    let choice = choose(&mut dispatcher, next).expect("a target");
    dispatcher.record_stated_limit(&choice, None, next);
    assert_eq!(dispatcher.limit_count(), 0);
}
