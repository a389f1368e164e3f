//! Tests of the decisions of a router that need no network: limits on attempts, the
//! configuration lease and admission.

use std::time::Duration;

use bamboospur_catalog::{
    Catalog, RequestKind, Route, Service, ServiceShare, Team, UncheckedCatalog,
};
use bamboospur_dispatch::LoadReport;
use bamboospur_fleet::clock::BootTime;
use bamboospur_fleet::router::{
    Accepted, AttemptHistory, AttemptLimits, ConfigState, Execution, Lease, Refusal,
    RejectionCause, Rejections, admit,
};
use bamboospur_platform::request::RequestMetadata;
use quickcheck::quickcheck;

const KEY_REMOVAL_TIME: Duration = Duration::from_secs(5);
const CHANGE_TIME: Duration = Duration::from_secs(2);

fn limits(repeatable: bool, runs: u32) -> AttemptLimits {
    AttemptLimits {
        repeatable,
        max_runs: runs,
        max_attempts: 4,
    }
}

#[test]
fn a_request_that_is_not_repeatable_runs_once() {
    let mut history = AttemptHistory::new(limits(false, 2));
    history.record(Execution::NotRun);
    assert!(history.may_retry() && history.proves_not_run());
    assert!(!history.may_abandon_attempt());
    history.record(Execution::MayHaveRun);
    assert!(!history.may_retry());
    assert!(!history.proves_not_run());
}

#[test]
fn a_repeatable_request_runs_on_as_many_targets_as_its_route_allows() {
    let mut history = AttemptHistory::new(limits(true, 2));
    assert!(history.may_abandon_attempt());
    history.record(Execution::MayHaveRun);
    assert!(history.may_retry() && !history.may_abandon_attempt());
    history.record(Execution::MayHaveRun);
    assert!(!history.may_retry());
}

const fn load(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 8,
    }
}

#[test]
fn targets_without_room_are_the_cause_of_their_rejections() {
    let mut rejections = Rejections::default();
    for stated in [Some(load(8, 0)), Some(load(3, 1)), Some(load(9, 4)), None] {
        assert_eq!(rejections.record(stated), RejectionCause::Target);
    }
    assert_eq!(rejections.with_room(), 0);
}

#[test]
fn a_request_that_targets_with_room_reject_is_the_cause() {
    let mut rejections = Rejections::default();
    assert_eq!(rejections.record(Some(load(3, 0))), RejectionCause::Target);
    assert_eq!(rejections.record(Some(load(8, 0))), RejectionCause::Target);
    assert_eq!(rejections.record(Some(load(0, 0))), RejectionCause::Request);
}

quickcheck! {
    fn runs_never_pass_their_limits(repeatable: bool, runs: u8, ends: Vec<bool>) -> bool {
        let runs = u32::from(runs % 4) + 1;
        let mut history = AttemptHistory::new(limits(repeatable, runs));
        let (mut sent, mut ran) = (0, 0);
        for may_have_run in ends {
            if sent > 0 && !history.may_retry() {
                break;
            }
            sent += 1;
            ran += u32::from(may_have_run);
            history.record(if may_have_run { Execution::MayHaveRun } else { Execution::NotRun });
        }
        let max_runs = if repeatable { runs } else { 1 };
        ran <= max_runs && sent <= 4 && history.proves_not_run() == (ran == 0)
    }
}

fn config(version: u64) -> Accepted {
    Accepted {
        config: version,
        fleet: 0,
    }
}

#[test]
fn a_lease_ends_before_a_removed_key_must_stop() {
    let mut lease = Lease::new(KEY_REMOVAL_TIME, CHANGE_TIME);
    let asked = BootTime(1_000);
    lease.record_config(7);
    assert!(!lease.is_valid(asked));
    lease.confirm(config(7), asked);
    assert!(lease.is_valid(BootTime(5_000)));
    assert!(!lease.is_valid(BootTime(6_000)));
}

#[test]
fn a_confirmation_is_recent_for_less_time_than_a_change_may_take() {
    let mut lease = Lease::new(KEY_REMOVAL_TIME, CHANGE_TIME);
    lease.record_config(7);
    assert_eq!(lease.config_state(BootTime(1_000)), ConfigState::Expired);
    lease.confirm(config(7), BootTime(1_000));
    assert_eq!(lease.config_state(BootTime(2_700)), ConfigState::Confirmed);
    assert_eq!(
        lease.config_state(BootTime(3_000)),
        ConfigState::Unconfirmed
    );
    assert_eq!(lease.config_state(BootTime(6_000)), ConfigState::Expired);
}

/// Guards against requests that run by a configuration which the router knows to be outdated.
#[test]
fn a_router_is_outdated_while_it_waits_for_a_change_for_too_long() {
    let mut lease = Lease::new(KEY_REMOVAL_TIME, CHANGE_TIME);
    lease.record_config(7);
    lease.confirm(config(7), BootTime(1_000));
    lease.confirm(config(8), BootTime(1_500));
    assert_eq!(lease.config_state(BootTime(2_700)), ConfigState::Confirmed);
    assert_eq!(lease.config_state(BootTime(3_000)), ConfigState::Outdated);
    assert_eq!(lease.config_state(BootTime(9_000)), ConfigState::Outdated);
    lease.record_config(8);
    assert_eq!(lease.config_state(BootTime(3_000)), ConfigState::Confirmed);
    assert_eq!(
        lease.config_state(BootTime(4_000)),
        ConfigState::Unconfirmed
    );
}

#[test]
fn a_confirmation_of_a_version_counts_once_the_version_has_arrived() {
    let mut lease = Lease::new(KEY_REMOVAL_TIME, CHANGE_TIME);
    lease.record_config(7);
    lease.confirm(config(8), BootTime(1_000));
    assert!(!lease.is_valid(BootTime(1_100)));
    lease.record_config(8);
    assert!(lease.is_valid(BootTime(1_100)));
}

#[test]
fn a_confirmation_counts_once_the_state_of_the_fleet_has_arrived() {
    let mut lease = Lease::new(KEY_REMOVAL_TIME, CHANGE_TIME);
    lease.record_config(7);
    let accepted = Accepted {
        config: 7,
        fleet: 3,
    };
    lease.confirm(accepted, BootTime(1_000));
    lease.record_fleet(2);
    assert!(!lease.is_valid(BootTime(1_100)));
    lease.record_fleet(3);
    assert!(lease.is_valid(BootTime(1_100)));
}

#[test]
fn a_suspend_ends_a_lease() {
    let mut lease = Lease::new(KEY_REMOVAL_TIME, CHANGE_TIME);
    lease.record_config(1);
    lease.confirm(config(1), BootTime(1_000));
    // The boot-time clock includes the eight seconds for which the machine was
    // suspended.
    assert!(!lease.is_valid(BootTime(9_000)));
    assert_eq!(lease.age(BootTime(9_000)), Some(Duration::from_secs(8)));
}

fn catalog() -> Catalog {
    let route = Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/x/".to_owned(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        priority: 0,
        shares: vec![ServiceShare {
            service: "s".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        has_prompt: false,
        resumable: false,
        event_gap_objective: Duration::ZERO,
    };
    let public = Route {
        path_prefix: "/open/".to_owned(),
        public: true,
        ..route.clone()
    };
    let service = Service {
        name: "s".to_owned(),
        max_connections: 10,
        cold_rate: None,
        engine: None,
    };
    let team = Team {
        name: "red".to_owned(),
        keys: vec!["k".to_owned()],
        priority: None,
    };
    let parts = UncheckedCatalog {
        version: 1,
        routes: vec![route, public],
        services: vec![service],
        teams: vec![team],
        ..UncheckedCatalog::default()
    };
    Catalog::try_from(parts).expect("a valid catalog")
}

fn metadata(key: &str) -> RequestMetadata {
    RequestMetadata {
        host: "a.example".to_owned(),
        api_key: Some(key.to_owned()),
        ..RequestMetadata::default()
    }
}

#[test]
fn nothing_is_refused_for_good_by_a_catalog_that_may_be_old() {
    let catalog = catalog();
    let refusal = |key, path, state| admit(Some(&catalog), &metadata(key), path, state, true).err();
    let confirmed = ConfigState::Confirmed;
    assert_eq!(refusal("k", "/none/", confirmed), Some(Refusal::NoRoute));
    assert_eq!(refusal("other", "/x/1", confirmed), Some(Refusal::NoTeam));
    for state in [
        ConfigState::Unconfirmed,
        ConfigState::Outdated,
        ConfigState::Expired,
    ] {
        assert_eq!(refusal("k", "/none/", state), Some(Refusal::Stale));
        assert_eq!(refusal("other", "/x/1", state), Some(Refusal::Stale));
    }
    assert_eq!(
        admit(None, &metadata("k"), "/x/1", confirmed, true).err(),
        Some(Refusal::NoConfig)
    );
}

#[test]
fn keys_fail_closed_and_public_routes_stay_open() {
    let catalog = catalog();
    let served =
        |path, state, closed| admit(Some(&catalog), &metadata("k"), path, state, closed).is_ok();
    assert!(served("/x/1", ConfigState::Confirmed, true));
    assert!(served("/x/1", ConfigState::Unconfirmed, true));
    assert!(!served("/x/1", ConfigState::Expired, true));
    assert!(served("/x/1", ConfigState::Expired, false));
    assert!(served("/open/1", ConfigState::Expired, true));
    for path in ["/x/1", "/open/1"] {
        assert!(!served(path, ConfigState::Outdated, false));
    }
}
