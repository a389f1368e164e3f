//! Targets with software that the group has not accepted get no requests yet.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboospur_fleet::control::{HeldTargets, ReportNumber};
use bamboospur_group::{FleetState, ServiceSoftware};
use bamboospur_registry::{Announcement, Phase, StartTime};

fn report(start: u64, phase: Phase) -> Announcement {
    Announcement {
        name: "t1".to_owned(),
        start: StartTime(start),
        sequence: 1,
        phase,
        service: "chat".to_owned(),
        software: "v1".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "north".to_owned(),
        slots: 4,
        warm_up: Duration::ZERO,
    }
}

const FIRST: ReportNumber = (StartTime(1), 1);

/// Returns the state in which the software of the reports is accepted.
fn accepted() -> FleetState {
    let software = ServiceSoftware {
        service: "chat".to_owned(),
        software: "v1".to_owned(),
    };
    // Revision, evacuations, software, and whether that is all software.
    let evacuations = BTreeMap::<String, u8>::new();
    let bytes = postcard::to_stdvec(&(1_u64, evacuations, [software].as_slice(), true));
    postcard::from_bytes(&bytes.expect("bytes")).expect("a state")
}

#[test]
fn a_report_is_answered_once_the_target_is_released() {
    let fleet = FleetState::default();
    let mut held = HeldTargets::default();
    assert_eq!(held.admit(report(1, Phase::Ready), &fleet), None);
    assert_eq!(held.hold_reply("t1", FIRST, 'a'), None);
    assert_eq!(held.hold_reply("t1", FIRST, 'b'), None);
    assert_eq!(held.hold_reply("other", FIRST, 'c'), Some('c'));
    assert_eq!(held.software().len(), 1);
    assert_eq!(held.release(&fleet), (Vec::new(), Vec::new()));
    let (released, replies) = held.release(&accepted());
    assert_eq!((released.len(), replies), (1, vec!['b']));
}

/// What answers a report was found by the name of its target alone: a late report of an earlier
/// start took the answer of the newest one, whose sender was refused.
#[test]
fn a_late_report_does_not_take_the_answer_of_the_newest_one() {
    let fleet = FleetState::default();
    let mut held = HeldTargets::default();
    assert_eq!(held.admit(report(2, Phase::Ready), &fleet), None);
    assert_eq!(held.hold_reply("t1", (StartTime(2), 1), "newest"), None);
    assert_eq!(held.admit(report(1, Phase::Ready), &fleet), None);
    assert_eq!(held.hold_reply("t1", FIRST, "late"), None);
    assert_eq!(held.release(&accepted()).1, ["newest"]);
}

/// A departure of an earlier start removed the newer start that was held, by its name.
#[test]
fn a_late_departure_does_not_drop_a_newer_start() {
    let fleet = FleetState::default();
    let mut held = HeldTargets::default();
    assert_eq!(held.admit(report(2, Phase::Ready), &fleet), None);
    assert_eq!(held.hold_reply("t1", (StartTime(2), 1), 'a'), None);
    held.remove_departed("t1", Some(StartTime(1)));
    assert_eq!(held.software().len(), 1);
    held.remove_departed("t1", Some(StartTime(2)));
    assert!(held.software().is_empty());
    assert_eq!(held.release(&accepted()), (Vec::new(), Vec::new()));
}

#[test]
fn a_held_target_that_leaves_is_forgotten() {
    let fleet = FleetState::default();
    let mut held = HeldTargets::<char>::default();
    for leaves in [Phase::Draining, Phase::Gone] {
        assert_eq!(held.admit(report(1, Phase::Ready), &fleet), None);
        let left = report(1, leaves);
        assert_eq!(held.admit(left.clone(), &fleet), Some(left));
        assert!(held.software().is_empty());
    }
    assert_eq!(held.admit(report(2, Phase::Ready), &fleet), None);
    // A late announcement of the start before does not drop the newer one.
    let late = report(1, Phase::Gone);
    assert_eq!(held.admit(late.clone(), &fleet), Some(late));
    assert_eq!(held.software().len(), 1);
    held.remove_departed("t1", None);
    assert!(held.software().is_empty());
}
