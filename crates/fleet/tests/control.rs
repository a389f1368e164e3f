//! Loads, soft state and link frames of a control instance, without a network.

use std::time::{Duration, Instant};

use bamboospur_fleet::Loads;
use bamboospur_fleet::control::{SoftState, SoftStateSchedule};
use bamboospur_fleet::link::{Frame, FrameReader, encode};
use bamboospur_fleet::stream_origins::{BegunStreams, FoundOrigin, StreamOrigin};
use bamboospur_registry::{Announcement, Phase, StartTime};
use bamboospur_types::BufferBudget;
use quickcheck::quickcheck;

#[test]
fn totals_include_routers_and_peers_and_drop_expired_counts() {
    let now = Instant::now();
    let later = now + Duration::from_secs(2);
    let mut loads = Loads::default();
    loads.record_router_counts(1, vec![(7, 2), (8, 1)], now);
    loads.record_router_counts(1, vec![(7, 3)], now);
    loads.record_router_counts(2, vec![(7, 1)], now);
    loads.record_peer_sums(9, vec![(7, 10), (9, 1)], now);
    assert_eq!(loads.local_totals(), [(7, 4)]);
    assert_eq!(loads.totals(), [(7, 14), (9, 1)]);
    loads.record_router_counts(2, vec![(7, 1)], later);
    loads.remove_expired(later);
    assert_eq!(loads.totals(), [(7, 1)]);
}

fn state() -> SoftState {
    SoftState {
        targets: vec![Announcement {
            name: "t".to_owned(),
            start: StartTime(3),
            sequence: 4,
            phase: Phase::Draining,
            service: "s".to_owned(),
            software: "v1".to_owned(),
            address: "10.0.0.1:80".parse().expect("an address"),
            data_centre: "north".to_owned(),
            slots: 6,
            warm_up: Duration::ZERO,
        }],
        prefixes: vec![(1, 2)],
    }
}

#[test]
fn soft_state_round_trips_and_damaged_bytes_decode_as_empty() {
    let blob = state().encode().expect("bytes");
    assert_eq!(SoftState::decode(Some(blob.clone())), state());
    for length in 0..blob.len() {
        let cut = blob[..length].to_vec();
        assert_eq!(SoftState::decode(Some(cut)), SoftState::default());
    }
    // A state without the mark of its format, as earlier versions of the program stored it.
    let unmarked = postcard::to_stdvec(&state()).expect("bytes");
    assert_eq!(SoftState::decode(Some(unmarked)), SoftState::default());
    assert_eq!(SoftState::decode(None), SoftState::default());
}

#[test]
fn departures_are_written_at_once_and_other_changes_at_intervals() {
    let now = Instant::now();
    let mut schedule = SoftStateSchedule::new(now);
    assert!(!schedule.take_due(now));
    schedule.record_change();
    assert!(schedule.take_due(now));
    schedule.record_change();
    assert!(!schedule.take_due(now + Duration::from_millis(100)));
    schedule.record_departure();
    assert!(schedule.take_due(now + Duration::from_millis(100)));
    assert!(!schedule.take_due(now + Duration::from_secs(9)));
}

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "s".to_owned(),
        software: "v1".to_owned(),
    }
}

#[test]
fn frames_are_decoded_from_chunks_of_any_size() {
    let frames = [
        Frame::Alive(7),
        Frame::CachedPrefixes(vec![(1, 2), (3, 4)]),
        Frame::Targets(state().targets),
        Frame::StreamsBegun(vec![BegunStreams {
            origin: origin(),
            streams: vec![5, 6],
        }]),
        Frame::FindStream {
            ticket: 1,
            stream: Some(5),
            services: vec!["s".to_owned()],
        },
        Frame::StreamFound {
            ticket: 1,
            found: FoundOrigin::Reported(origin()),
        },
    ];
    let bytes: Vec<u8> = frames.iter().filter_map(encode).flatten().collect();
    for chunk_bytes in 1..bytes.len() {
        let mut reader = FrameReader::new(&BufferBudget::new(usize::MAX));
        let mut read = Vec::new();
        for chunk in bytes.chunks(chunk_bytes) {
            reader.push(chunk);
            while let Some(frame) = reader.take().expect("frames") {
                read.push(frame);
            }
        }
        assert_eq!(read, frames, "chunks of {chunk_bytes} bytes");
    }
}

quickcheck! {
    fn arbitrary_bytes_do_not_panic_the_decoders(bytes: Vec<u8>) -> bool {
        let mut reader = FrameReader::new(&BufferBudget::new(usize::MAX));
        reader.push(&bytes);
        while matches!(reader.take(), Ok(Some(_))) {}
        let _state = SoftState::decode(Some(bytes.clone()));
        let marked = b"soft2".iter().copied().chain(bytes).collect();
        let _state = SoftState::decode(Some(marked));
        true
    }
}

#[test]
fn long_frames_are_compressed_and_a_false_size_is_rejected() {
    let targets = (0..200).map(|index| {
        let mut target = state().targets.remove(0);
        target.name = format!("target-{index}");
        target
    });
    let frame = Frame::Targets(targets.collect());
    let uncompressed_bytes = postcard::to_stdvec(&frame).expect("bytes").len();
    let bytes = encode(&frame).expect("bytes");
    assert!(
        bytes.len() * 2 < uncompressed_bytes,
        "{} of {uncompressed_bytes}",
        bytes.len()
    );
    let mut reader = FrameReader::new(&BufferBudget::new(usize::MAX));
    reader.push(&bytes);
    assert_eq!(reader.take().expect("a frame"), Some(frame));
    // The uncompressed size follows the length of the frame.
    let mut damaged = bytes.to_vec();
    damaged[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut reader = FrameReader::new(&BufferBudget::new(usize::MAX));
    reader.push(&damaged);
    assert!(reader.take().is_err());
}
