//! Decisions of a control instance that need no network, and the frames of links.

use std::time::{Duration, Instant};

use bamboospur_fleet::Loads;
use bamboospur_fleet::control::{SoftSchedule, SoftState};
use bamboospur_fleet::link::{Frame, FrameReader, encode};
use bamboospur_registry::{Announcement, Phase, StartTime};
use quickcheck::quickcheck;

#[test]
fn totals_add_routers_and_peers_and_forget_old_ones() {
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
            address: "10.0.0.1:80".parse().expect("an address"),
            data_centre: "north".to_owned(),
            slots: 6,
            warm_up: Duration::ZERO,
        }],
        prefixes: vec![(1, 2)],
    }
}

#[test]
fn soft_state_survives_and_damage_is_as_good_as_a_loss() {
    let blob = state().encode().expect("bytes");
    assert_eq!(SoftState::decode(Some(blob.clone())), state());
    assert_eq!(
        SoftState::decode(Some(blob[..5].to_vec())),
        SoftState::default()
    );
    assert_eq!(SoftState::decode(None), SoftState::default());
}

#[test]
fn a_departure_is_kept_at_once_and_other_changes_now_and_then() {
    let now = Instant::now();
    let mut schedule = SoftSchedule::new(now);
    assert!(!schedule.take_due(now));
    schedule.record_change();
    assert!(schedule.take_due(now));
    schedule.record_change();
    assert!(!schedule.take_due(now + Duration::from_millis(100)));
    schedule.record_departure();
    assert!(schedule.take_due(now + Duration::from_millis(100)));
    assert!(!schedule.take_due(now + Duration::from_secs(9)));
}

#[test]
fn frames_are_read_whatever_the_pieces() {
    let frames = [
        Frame::Alive(7),
        Frame::CachedPrefixes(vec![(1, 2), (3, 4)]),
        Frame::Targets(state().targets),
    ];
    let bytes: Vec<u8> = frames.iter().filter_map(encode).flatten().collect();
    for step in 1..bytes.len() {
        let mut reader = FrameReader::default();
        let mut read = Vec::new();
        for part in bytes.chunks(step) {
            reader.push(part);
            while let Some(frame) = reader.take().expect("frames") {
                read.push(frame);
            }
        }
        assert_eq!(read, frames, "step {step}");
    }
}

quickcheck! {
    fn no_bytes_break_a_link_or_the_soft_state(bytes: Vec<u8>) -> bool {
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        while matches!(reader.take(), Ok(Some(_))) {}
        let _state = SoftState::decode(Some(bytes));
        true
    }
}

#[test]
fn long_frames_are_compressed_and_damage_is_found() {
    let targets = (0..200).map(|index| {
        let mut target = state().targets.remove(0);
        target.name = format!("target-{index}");
        target
    });
    let frame = Frame::Targets(targets.collect());
    let plain = postcard::to_stdvec(&frame).expect("bytes").len();
    let bytes = encode(&frame).expect("bytes");
    assert!(bytes.len() * 2 < plain, "{} of {plain}", bytes.len());
    let mut reader = FrameReader::default();
    reader.push(&bytes);
    assert_eq!(reader.take().expect("a frame"), Some(frame));
    // The size of the text before compression follows the length.
    let mut damaged = bytes.to_vec();
    damaged[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut reader = FrameReader::default();
    reader.push(&damaged);
    assert!(reader.take().is_err());
}
