//! Tests the check behind `--wait`: a change is in force only when every live
//! router has reported its revision.

use std::time::{Duration, Instant};

use bamboospur_control::operator::{RevisionTracker, Router};
use bamboospur_types::ResultCode;

fn router(instance: &str, cut_off: bool) -> Router {
    Router {
        instance: instance.to_owned(),
        cut_off,
    }
}

#[test]
fn live_routers_are_counted_and_unreachable_ones_are_listed() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut reports = RevisionTracker::new(start);
    let routers = [router("a", false), router("b", false), router("c", true)];
    let summary = |reports: &RevisionTracker, ms| {
        let answer = reports.answer(5, &routers, at(ms));
        let names: Vec<_> = answer
            .lagging
            .into_iter()
            .map(|router| router.instance)
            .collect();
        (
            answer.head.result,
            answer.in_force,
            answer.live,
            names.join(" "),
        )
    };
    let not_yet = ResultCode::NotInForceYet;
    assert_eq!(
        summary(&reports, 1),
        (not_yet, 0, 2, "a b c".to_owned()),
        "no reports yet"
    );
    reports.report("a", 5, at(2));
    reports.report("a", 4, at(3));
    reports.report("b", 4, at(4));
    assert_eq!(summary(&reports, 5), (not_yet, 1, 2, "b c".to_owned()));
    reports.report("b", 6, at(6));
    assert_eq!(summary(&reports, 7), (ResultCode::Ok, 2, 2, "c".to_owned()));
    let answer = reports.answer(5, &routers, at(900));
    assert_eq!(
        (answer.lagging[0].silent_ms, answer.lagging[0].cut_off),
        (900, true)
    );
    reports.forget("b");
    assert_eq!(
        summary(&reports, 8),
        (not_yet, 1, 2, "b c".to_owned()),
        "b restarted without a copy of the settings"
    );
}
