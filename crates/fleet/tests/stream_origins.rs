//! Tests that the origin of a stream is found by any router, and that nothing is reported
//! while all streams of a service begin at one version.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_fleet::router::{OriginQueries, QueryStep};
use bamboospur_fleet::stream_origins::{
    BegunStreams, FoundOrigin, MAX_STREAM_AGE, OriginTable, OwnStreams, PossibleOrigins,
    StreamOrigin,
};
use bamboospur_group::FleetState;
use bamboospur_registry::{Announcement, Phase, Registry, StartTime};
use quickcheck::quickcheck;

fn origin(service: &str, software: &str) -> StreamOrigin {
    StreamOrigin {
        service: service.to_owned(),
        software: software.to_owned(),
    }
}

fn target(name: &str, software: &str, phase: Phase) -> Announcement {
    Announcement {
        name: name.to_owned(),
        start: StartTime(1),
        sequence: 1,
        phase,
        service: "chat".to_owned(),
        software: software.to_owned(),
        address: format!("10.0.0.{}:80", name.len())
            .parse()
            .expect("an address"),
        data_centre: "north".to_owned(),
        slots: 4,
        warm_up: Duration::ZERO,
    }
}

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 80))
}

#[test]
fn a_stream_keeps_its_first_origin_for_as_long_as_it_can_be_resumed() {
    let start = Instant::now();
    let mut table = OriginTable::default();
    assert!(table.record(1, &origin("chat", "v1"), start));
    assert!(!table.record(1, &origin("chat", "v2"), start));
    let rotated_at = start + MAX_STREAM_AGE;
    table.remove_expired(rotated_at);
    table.record(2, &origin("chat", "v2"), rotated_at);
    assert_eq!(table.find(1), Some(&origin("chat", "v1")));
    table.remove_expired(rotated_at + MAX_STREAM_AGE);
    assert_eq!(table.find(1), None);
    assert_eq!(table.find(2), Some(&origin("chat", "v2")));
    // After a long pause nothing is left.
    table.remove_expired(rotated_at + MAX_STREAM_AGE * 4);
    assert!(table.is_empty());
}

#[test]
fn streams_are_reported_once_their_service_has_several_versions() {
    let now = Instant::now();
    let mut streams = OwnStreams::default();
    streams.record(1, origin("chat", "v1"), false, now);
    streams.record(2, origin("draft", "v1"), false, now);
    assert!(streams.take_due(|_| false, now).is_empty());
    let due = streams.take_due(|service| service == "chat", now);
    let expected = BegunStreams {
        origin: origin("chat", "v1"),
        streams: vec![1],
    };
    assert_eq!(due, [expected]);
    assert!(
        streams
            .take_due(|service| service == "chat", now)
            .is_empty()
    );
    // A report that could not be sent is sent later.
    streams.put_back(due, now);
    assert_eq!(streams.take_due(|_| false, now).len(), 1);
}

#[test]
fn an_instance_that_lost_its_memory_gets_the_streams_of_the_last_seconds_again() {
    let now = Instant::now();
    let mut streams = OwnStreams::default();
    streams.record(1, origin("chat", "v1"), false, now);
    assert!(streams.reported_lately(now).is_empty());
    let reported = streams.take_due(|_| true, now);
    let later = now + Duration::from_secs(10);
    assert_eq!(streams.reported_lately(later), reported);
    streams.record(2, origin("chat", "v2"), false, later);
    let second = streams.take_due(|_| true, later);
    assert_eq!(streams.reported_lately(later).len(), 2);
    let much_later = now + Duration::from_secs(20);
    assert_eq!(streams.reported_lately(much_later), second);
}

#[test]
fn a_stream_that_could_not_be_reported_does_not_count_as_reported() {
    let now = Instant::now();
    let mut streams = OwnStreams::default();
    streams.record(1, origin("chat", "v1"), false, now);
    for _ in 0..3 {
        let begun = streams.take_due(|_| true, now);
        assert_eq!(begun[0].streams, [1]);
        streams.put_back(begun, now);
        assert!(streams.reported_lately(now).is_empty());
    }
    streams.take_due(|_| true, now);
    assert_eq!(streams.reported_lately(now)[0].streams, [1]);
}

#[test]
fn streams_are_reported_if_their_route_has_or_had_other_services() {
    let now = Instant::now();
    let mut streams = OwnStreams::default();
    streams.record(1, origin("chat", "v1"), true, now);
    assert_eq!(streams.take_due(|_| false, now).len(), 1);
    streams.record(2, origin("chat", "v1"), false, now);
    assert!(streams.take_due(|_| false, now).is_empty());
    streams.make_all_due();
    assert_eq!(streams.take_due(|_| false, now)[0].streams, [2]);
    streams.record(3, origin("chat", "v1"), false, now);
    streams.make_all_due();
    assert!(streams.take_due(|_| false, now + MAX_STREAM_AGE).is_empty());
}

#[test]
fn a_version_that_left_lately_is_a_possible_origin() {
    let now = Instant::now();
    let possible = |registry: &Registry, service: &str, now| {
        PossibleOrigins::known_to(registry, &FleetState::default(), &[service.to_owned()], now)
    };
    let mut registry = Registry::default();
    registry.merge(target("a", "v1", Phase::Ready), now);
    let only = possible_of(&["v1"]);
    assert_eq!(possible(&registry, "chat", now), only);
    registry.merge(target("bb", "v2", Phase::Draining), now);
    let both = possible_of(&["v1", "v2"]);
    assert_eq!(possible(&registry, "chat", now), both);
    registry.leave("bb", None, now);
    assert_eq!(possible(&registry, "chat", now), both);
    let later = now + MAX_STREAM_AGE;
    let report = Announcement {
        sequence: 2,
        ..target("a", "v1", Phase::Ready)
    };
    registry.merge(report, later);
    assert_eq!(possible(&registry, "chat", later), only);
    assert_eq!(possible(&registry, "other", now), possible_of(&[]));
}

fn possible_of(versions: &[&str]) -> PossibleOrigins {
    let origins = versions.iter().map(|version| origin("chat", version));
    PossibleOrigins {
        origins: origins.collect(),
        is_complete: false,
    }
}

#[test]
fn a_version_that_a_target_replaced_under_its_name_is_a_possible_origin() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.merge(target("a", "v1", Phase::Ready), now);
    let upgraded = Announcement {
        start: StartTime(2),
        ..target("a", "v2", Phase::Ready)
    };
    registry.merge(upgraded, now);
    let possible = |now| {
        let chat = ["chat".to_owned()];
        PossibleOrigins::known_to(&registry, &FleetState::default(), &chat, now)
    };
    assert_eq!(possible(now), possible_of(&["v1", "v2"]));
    assert_eq!(possible(now + MAX_STREAM_AGE), possible_of(&["v2"]));
}

#[test]
fn only_the_leader_can_tell_the_only_possible_origin() {
    let v1 = Some(origin("chat", "v1"));
    let cases: [(&[&str], bool, &[&str], _); 7] = [
        (&["v1"], true, &["v1"], v1.clone()),
        (&["v1"], true, &[], v1.clone()),
        (&[], true, &["v1"], v1.clone()),
        // An instance that does not lead may not have heard of the second version yet.
        (&["v1"], false, &["v1"], None),
        (&["v1"], true, &["v1", "v2"], None),
        (&["v1", "v2"], true, &["v1"], None),
        (&[], true, &[], None),
    ];
    for (theirs, is_complete, own, expected) in cases {
        let found = FoundOrigin::NotReported(PossibleOrigins {
            is_complete,
            ..possible_of(theirs)
        });
        let own = possible_of(own);
        assert_eq!(
            found.clone().decide(own.clone()),
            expected,
            "{found:?} {own:?}"
        );
    }
    let reported = FoundOrigin::Reported(origin("chat", "v2"));
    let decided = reported.decide(possible_of(&["v1"]));
    assert_eq!(decided, Some(origin("chat", "v2")));
}

fn ask(step: &QueryStep<char>) -> (SocketAddr, u64) {
    match step {
        QueryStep::Ask { to, ticket } => (*to, *ticket),
        QueryStep::End(..) => panic!("the query has ended: {step:?}"),
    }
}

#[test]
fn a_query_goes_on_until_an_instance_leaves_one_origin() {
    let now = Instant::now();
    let mut queries = OriginQueries::default();
    let (to, first) = ask(&queries.start('q', [1, 2, 3].map(address), now));
    assert_eq!(to, address(1));
    let step = queries
        .handle_answer(first, address(1), None, now)
        .expect("a step");
    let (to, second) = ask(&step);
    assert_eq!(to, address(2));
    // The second instance does not answer in time, so the third one is asked.
    let late = queries.next_timeout().expect("a time-out");
    let steps = queries.handle_timeouts(late);
    let (to, third) = ask(&steps[0]);
    assert_eq!(to, address(3));
    let known = Some(origin("chat", "v2"));
    assert_eq!(
        queries.handle_answer(second, address(2), known.clone(), late),
        None
    );
    // Only the instance that was asked may answer.
    assert_eq!(
        queries.handle_answer(third, address(2), known.clone(), late),
        None
    );
    let end = queries.handle_answer(third, address(3), known, late);
    assert_eq!(end, Some(QueryStep::End('q', Some(origin("chat", "v2")))));
    assert_eq!(queries.next_timeout(), None);
}

#[test]
fn a_query_that_no_instance_can_answer_ends_without_an_origin() {
    let now = Instant::now();
    let mut queries = OriginQueries::default();
    assert_eq!(queries.start('q', [], now), QueryStep::End('q', None));
    let (_, ticket) = ask(&queries.start('r', [address(1)], now));
    let step = queries.handle_answer(ticket, address(1), None, now);
    assert_eq!(step, Some(QueryStep::End('r', None)));
}

quickcheck! {
    /// Whatever is recorded, reported and put back in whatever order, every stream of a
    /// service with several versions is reported with its first origin.
    fn every_stream_of_a_mixed_service_is_reported(records: Vec<(u8, bool, bool)>) -> bool {
        let now = Instant::now();
        let mut streams = OwnStreams::default();
        let mut reported = OriginTable::default();
        for &(stream, is_new, fails) in &records {
            let software = if is_new { "v2" } else { "v1" };
            streams.record(stream.into(), origin("chat", software), false, now);
            let begun = streams.take_due(|_| true, now);
            if fails {
                streams.put_back(begun, now);
                continue;
            }
            for batch in begun {
                for stream in batch.streams {
                    reported.record(stream, &batch.origin, now);
                }
            }
        }
        for batch in streams.take_due(|_| true, now) {
            for stream in batch.streams {
                reported.record(stream, &batch.origin, now);
            }
        }
        records.iter().all(|&(stream, ..)| {
            let stream = stream.into();
            reported.find(stream).is_some() && reported.find(stream) == streams.find(stream)
        })
    }
}
