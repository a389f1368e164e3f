//! Tests of the table of losses on lines as routers log them.

use bamboospur_measure::losses::{Cause, Loss, LossSettings, Losses};
use quickcheck::quickcheck;

fn line(route: &str, attempts: &str, detail: &str, result: &str, took_ms: u64) -> String {
    format!(
        r#"{{"timestamp":"2026-05-15T00:01:03.500000Z","level":"INFO","message":"request ended","id":"1","route":"{route}","attempts":"{attempts}","detail":"{detail}","result":"{result}","took_ms":{took_ms}}}"#
    )
}

fn causes(lines: &[String]) -> Vec<(Loss, String)> {
    let losses = Losses::read(lines.iter().map(String::as_str), &LossSettings::default());
    let counts = losses.by_route.into_values();
    let causes = counts.flat_map(|counts| counts.lost.into_keys());
    causes
        .map(|Cause { loss, reason }| (loss, reason))
        .collect()
}

#[test]
fn each_end_has_its_cause() {
    let attempts =
        r#"[\"t1 software=v1 load=1.0 not-sent\", \"t2 load=2.0 cached=true whole limit=3\"]"#;
    let lines = [
        line("a", "[]", "", "ok", 1_000),
        line("b", "[]", "", "ok", 1_001),
        line("c", "[]", "Stale", "not-ready", 0),
        line("d", attempts, "", "target-failed", 20),
        line("e", "[]", "", "caller-gone", 20),
    ];
    let expected = [
        (Loss::Late, "ok".to_owned()),
        (Loss::Rejected, "not-ready, Stale".to_owned()),
        (Loss::Failed, "target-failed, not-sent -> whole".to_owned()),
        (Loss::Abandoned, "caller-gone".to_owned()),
    ];
    assert_eq!(causes(&lines), expected);
}

#[test]
fn requests_count_in_the_slot_of_their_arrival() {
    let ended = line("a", "[]", "", "ok", 2_000);
    let with_time = format!("  -0.5 router-1 {ended}");
    let losses = Losses::read([ended.as_str(), &with_time], &LossSettings::default());
    let slots: Vec<(i64, u64)> = losses
        .by_slot
        .iter()
        .map(|(&s, c)| (s, c.requests))
        .collect();
    assert_eq!(slots, [(-4, 1), (60, 1)]);
}

#[test]
fn other_lines_are_skipped_and_damaged_ones_counted() {
    let other = r#"{"message":"router started"}"#;
    let damaged = r#"{"message":"request ended","route":"#;
    let losses = Losses::read([other, "text", damaged], &LossSettings::default());
    assert!(losses.by_slot.is_empty());
    assert_eq!(losses.malformed, 1);
}

quickcheck! {
    fn arbitrary_lines_do_not_panic(before: String, after: String) -> bool {
        let line = format!("{before}\"message\":\"request ended\"{after}");
        let _losses = Losses::read([line.as_str()], &LossSettings::default());
        true
    }
}
