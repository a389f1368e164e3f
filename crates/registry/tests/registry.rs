//! Tests which announcement replaces which, and which targets are usable.

use std::time::{Duration, Instant};

use bamboospur_registry::{Announcement, Merge, Phase, Registry, RegistrySettings, StartTime};
use quickcheck::quickcheck;

fn announcement(name: &str, start: u64, sequence: u64, phase: Phase) -> Announcement {
    Announcement {
        name: name.to_owned(),
        start: StartTime(start),
        sequence,
        phase,
        service: "records".to_owned(),
        software: "v1".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "north".to_owned(),
        slots: 6,
        warm_up: Duration::ZERO,
    }
}

fn usable(registry: &Registry, now: Instant) -> Vec<String> {
    let usable = registry.usable(now).into_iter();
    usable.map(|a| a.name.clone()).collect()
}

#[test]
fn draining_prevails_over_a_later_ready_report_of_the_same_start() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.merge(announcement("a", 1, 5, Phase::Draining), now);
    assert_eq!(
        registry.merge(announcement("a", 1, 9, Phase::Ready), now),
        Merge::Stale
    );
    assert!(usable(&registry, now).is_empty());
}

/// Guards against a panic of the process that merges an announcement of a peer or of its disk.
#[test]
fn a_target_that_stays_cold_for_ages_is_merged() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let ages = Announcement {
        warm_up: Duration::MAX,
        ..announcement("a", 1, 1, Phase::Ready)
    };
    assert_eq!(registry.merge(ages, now), Merge::Changed);
    assert_eq!(registry.cold(now).count(), 1);
    let next = registry.merge(announcement("a", 1, 2, Phase::Ready), now);
    assert_eq!(next, Merge::Refreshed);
    assert_eq!(registry.cold(now).count(), 0);
}

#[test]
fn a_new_start_under_the_same_name_is_usable_again() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.merge(announcement("a", 1, 50, Phase::Gone), now);
    assert_eq!(
        registry.merge(announcement("a", 2, 1, Phase::Ready), now),
        Merge::Changed
    );
    assert_eq!(usable(&registry, now), ["a"]);
}

/// Without start times, the first name in the order of names owned the address, so that half
/// of the engines that had ended and started again got no requests for 6 s.
#[test]
fn the_last_target_that_is_ready_at_an_address_owns_it_if_no_start_is_stated() {
    let now = Instant::now();
    for (ended, successor) in [("a", "b"), ("b", "a")] {
        let mut registry = Registry::default();
        registry.merge(announcement(ended, 0, 7, Phase::Ready), now);
        registry.merge(announcement(successor, 0, 1, Phase::Ready), now);
        assert_eq!(usable(&registry, now), [successor]);
        // A late word that the ended target leaves changes nothing.
        registry.leave(ended, None, now);
        assert_eq!(usable(&registry, now), [successor]);
        let mut started = Registry::default();
        for known in registry.all(now) {
            started.merge(known, now);
        }
        assert_eq!(usable(&started, now), [successor]);
    }
}

#[test]
fn a_target_whose_address_another_process_answers_at_owns_it_again_after_a_report() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.merge(announcement("b", 0, 1, Phase::Ready), now);
    assert!(!registry.disown("b", StartTime(0), now));
    assert_eq!(usable(&registry, now), ["b"]);
    // A late report of a target that has ended.
    registry.merge(announcement("a", 0, 7, Phase::Ready), now);
    assert_eq!(usable(&registry, now), ["a"]);
    assert!(!registry.disown("a", StartTime(1), now));
    assert_eq!(usable(&registry, now), ["a"]);
    registry.merge(announcement("b", 0, 2, Phase::Ready), now);
    registry.merge(announcement("a", 0, 8, Phase::Ready), now);
    assert!(registry.disown("a", StartTime(0), now));
    assert_eq!(usable(&registry, now), ["b"]);
    registry.merge(announcement("a", 0, 9, Phase::Ready), now);
    assert_eq!(usable(&registry, now), ["a"]);
}

#[test]
fn a_target_that_another_instance_hears_is_not_silent() {
    let now = Instant::now();
    let settings = RegistrySettings::default();
    let mut registry = Registry::new(settings);
    registry.merge(announcement("a", 1, 5, Phase::Ready), now);
    let later = now + settings.silence_timeout / 2;
    assert_eq!(registry.refresh("a", StartTime(1), 5, later), Merge::Stale);
    assert_eq!(registry.refresh("a", StartTime(0), 9, later), Merge::Stale);
    assert_eq!(registry.refresh("b", StartTime(1), 9, later), Merge::Stale);
    assert_eq!(
        registry.refresh("a", StartTime(1), 9, later),
        Merge::Refreshed
    );
    let end = now + settings.silence_timeout;
    assert_eq!(usable(&registry, end), ["a"]);
    let silent = later + settings.silence_timeout;
    assert!(usable(&registry, silent).is_empty());
    assert_eq!(
        registry.refresh("a", StartTime(1), 10, silent),
        Merge::Changed
    );
    assert_eq!(usable(&registry, silent), ["a"]);
    registry.merge(announcement("a", 1, 11, Phase::Draining), silent);
    assert_eq!(
        registry.refresh("a", StartTime(1), 12, silent),
        Merge::Stale
    );
}

#[test]
fn a_departure_of_an_earlier_start_is_ignored() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.merge(announcement("a", 2, 1, Phase::Ready), now);
    assert_eq!(registry.leave("a", Some(StartTime(1)), now), None);
    assert!(registry.leave("a", None, now).is_some());
    assert!(usable(&registry, now).is_empty());
}

/// An instance that had forgotten a target acknowledged its departure and recorded nothing.
#[test]
fn a_departure_of_an_unknown_target_or_start_is_recorded() {
    let now = Instant::now();
    let mut forgetful = Registry::default();
    let departure = forgetful.leave("a", None, now).expect("a departure");
    assert_eq!(forgetful.leave("a", None, now), None);
    let mut other = Registry::default();
    other.merge(announcement("a", 0, 7, Phase::Ready), now);
    assert_eq!(other.merge(departure, now), Merge::Changed);
    assert!(usable(&other, now).is_empty());
    assert!(other.services_with_software().is_empty());

    forgetful.merge(announcement("b", 1, 1, Phase::Ready), now);
    let departure = forgetful.leave("b", Some(StartTime(2)), now);
    other.merge(announcement("b", 2, 1, Phase::Ready), now);
    assert_eq!(
        other.merge(departure.expect("a departure"), now),
        Merge::Changed
    );
    assert!(usable(&other, now).is_empty());
}

#[test]
fn a_late_report_does_not_take_an_address_back() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.merge(announcement("new", 7, 1, Phase::Ready), now);
    registry.merge(announcement("old", 3, 9, Phase::Ready), now);
    assert_eq!(usable(&registry, now), ["new"]);
}

#[test]
fn a_silent_target_is_not_usable_until_it_reports_again() {
    let now = Instant::now();
    let settings = RegistrySettings::default();
    let mut registry = Registry::new(settings);
    registry.merge(announcement("a", 1, 1, Phase::Ready), now);
    let later = now + settings.silence_timeout;
    assert!(usable(&registry, later).is_empty());
    assert_eq!(
        registry.merge(announcement("a", 1, 2, Phase::Ready), later),
        Merge::Changed
    );
    assert_eq!(usable(&registry, later), ["a"]);
}

#[test]
fn a_newer_announcement_prevails_over_silence_reported_by_another_instance() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let old = announcement("a", 1, 1, Phase::Ready);
    registry.merge(announcement("a", 1, 2, Phase::Ready), now);
    assert!(!registry.mark_silent(&old, now));
    assert!(registry.mark_silent(&announcement("a", 1, 2, Phase::Ready), now));
    assert!(usable(&registry, now).is_empty());
    assert_eq!(registry.silent(now).count(), 1);
    assert_eq!(
        registry.merge(announcement("a", 1, 3, Phase::Ready), now),
        Merge::Changed
    );
}

#[test]
fn only_targets_that_are_gone_or_silent_are_forgotten() {
    let now = Instant::now();
    let settings = RegistrySettings {
        silence_timeout: Duration::from_hours(1),
        retention: Duration::from_mins(1),
    };
    let mut registry = Registry::new(settings);
    for (name, phase) in [("a", Phase::Ready), ("b", Phase::Gone), ("c", Phase::Ready)] {
        registry.merge(announcement(name, 1, 1, phase), now);
    }
    let later = now + settings.retention;
    assert!(registry.mark_silent(&announcement("c", 1, 1, Phase::Ready), later));
    registry.remove_expired(later);
    let known: Vec<String> = registry.all(now).map(|a| a.name).collect();
    assert_eq!(known, ["a", "c"]);
    registry.remove_expired(later + settings.retention);
    assert_eq!(registry.all(now).count(), 1);
}

#[test]
fn a_target_that_becomes_cold_again_has_changed() {
    let second = Duration::from_secs(1);
    let start = Instant::now();
    let mut registry = Registry::default();
    let report = |sequence, warm_up| Announcement {
        warm_up,
        ..announcement("a", 1, sequence, Phase::Ready)
    };
    let cold_until = |registry: &Registry, now| {
        let mut cold = registry.cold(now);
        cold.next().map(|(_, until)| until)
    };
    assert_eq!(registry.merge(report(1, 3 * second), start), Merge::Changed);
    assert_eq!(cold_until(&registry, start), Some(start + 3 * second));
    // The rest of the same time, and reports that do not state it.
    let later = start + second;
    assert_eq!(
        registry.merge(report(2, 2 * second), later),
        Merge::Refreshed
    );
    registry.refresh("a", StartTime(1), 3, later);
    assert_eq!(cold_until(&registry, later), Some(start + 3 * second));
    let warm = start + 3 * second;
    assert_eq!(cold_until(&registry, warm), None);
    assert_eq!(
        registry.merge(report(4, Duration::ZERO), warm),
        Merge::Refreshed
    );
    let later = warm + 4 * second;
    assert_eq!(registry.merge(report(5, 4 * second), later), Merge::Changed);
    // Whoever asks for all targets hears what is left of the time.
    let asked = later + second;
    let all: Vec<Announcement> = registry.all(asked).collect();
    assert_eq!(all[0].warm_up, 3 * second);
}

quickcheck! {
    fn the_order_of_arrival_does_not_matter(reports: Vec<(u8, u8, u8)>) -> bool {
        let now = Instant::now();
        let reports: Vec<Announcement> = reports
            .iter()
            .map(|&(start, sequence, phase)| {
                let phase = [Phase::Ready, Phase::Draining, Phase::Gone][usize::from(phase % 3)];
                announcement("a", u64::from(start % 4), u64::from(sequence % 8), phase)
            })
            .collect();
        let newest = |reports: Vec<&Announcement>| {
            let mut registry = Registry::default();
            for report in reports {
                registry.merge(report.clone(), now);
            }
            registry.get("a").cloned()
        };
        newest(reports.iter().collect()) == newest(reports.iter().rev().collect())
    }
}

#[test]
fn a_target_that_is_found_to_drain_stays_so_for_its_start() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.merge(announcement("a", 1, 5, Phase::Ready), now);
    assert_eq!(registry.drain("a", StartTime(2), now), None);
    assert_eq!(usable(&registry, now), ["a"]);
    let drained = registry.drain("a", StartTime(1), now).expect("a change");
    assert_eq!(drained, announcement("a", 1, 5, Phase::Draining));
    assert_eq!(registry.drain("a", StartTime(1), now), None);
    let late = announcement("a", 1, 6, Phase::Ready);
    assert_eq!(registry.merge(late, now), Merge::Stale);
    assert!(usable(&registry, now).is_empty());
    registry.merge(announcement("a", 2, 1, Phase::Ready), now);
    assert_eq!(usable(&registry, now), ["a"]);
}

#[test]
fn a_drained_target_that_ends_without_a_word_leaves_no_version_behind() {
    const MAX_AGE: Duration = Duration::from_mins(1);
    let now = Instant::now();
    // Routers do not detect silent targets themselves.
    let mut registry = Registry::new(RegistrySettings {
        silence_timeout: Duration::from_hours(24),
        ..RegistrySettings::default()
    });
    registry.merge(announcement("a", 1, 1, Phase::Ready), now);
    let new = Announcement {
        software: "v2".to_owned(),
        ..announcement("b", 1, 1, Phase::Ready)
    };
    registry.merge(new, now);
    registry.merge(announcement("a", 1, 2, Phase::Draining), now);
    let versions = |now| {
        let versions = registry.software_versions("records", MAX_AGE, now);
        versions.into_iter().cloned().collect::<Vec<_>>()
    };
    let just_before = MAX_AGE.saturating_sub(Duration::from_millis(1));
    assert_eq!(versions(now + just_before), ["v1", "v2"]);
    assert_eq!(versions(now + MAX_AGE), ["v2"]);
}
