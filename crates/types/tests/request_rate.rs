//! Rates of requests as targets state them.

use std::time::Duration;

use bamboospur_types::RequestRate;

#[test]
fn parses_decimal_numbers_of_zero_or_more() {
    let milli = |text| RequestRate::parse(text).map(RequestRate::milli_per_s);
    assert_eq!(milli("2.5"), Some(2_500));
    assert_eq!(milli(" 0.125 "), Some(125));
    assert_eq!(milli("40"), Some(40_000));
    assert_eq!(milli("0"), Some(0));
    assert_eq!(milli("1e300"), Some(u32::MAX));
    for text in ["", "-1", "NaN", "1,5", "many"] {
        assert_eq!(milli(text), None, "{text}");
    }
}

#[test]
fn divides_a_rate_among_senders() {
    let rate = RequestRate::from_milli_per_s(500);
    assert_eq!(rate.interval(1), Some(Duration::from_secs(2)));
    assert_eq!(rate.interval(3), Some(Duration::from_secs(6)));
    assert_eq!(RequestRate::from_milli_per_s(0).interval(3), None);
}

#[test]
fn shows_its_unit() {
    assert_eq!(RequestRate::from_milli_per_s(2_500).to_string(), "2.5/s");
}
