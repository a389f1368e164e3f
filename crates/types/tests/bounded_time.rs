//! Guards against times from outside that panic when they are added, doubled or waited for.

use std::time::{Duration, Instant};

use bamboospur_types::{MAX_TIME, time_at_rate, time_from_ms, time_from_s};
use quickcheck::quickcheck;

#[test]
fn times_are_read_up_to_a_year() {
    assert_eq!(time_from_s(1.5), Some(Duration::from_millis(1_500)));
    assert_eq!(time_from_ms(0.25), Some(Duration::from_micros(250)));
    for long in [1e10, 9.3e18, 1e22, f64::MAX, f64::INFINITY] {
        assert_eq!(time_from_s(long), Some(MAX_TIME), "{long}");
    }
    for none in [-1.0, -1e300, f64::NAN, f64::NEG_INFINITY] {
        assert_eq!(time_from_ms(none), None, "{none}");
    }
    assert_eq!(time_at_rate(1_000.0, 500.0), Duration::from_secs(2));
    assert_eq!(time_at_rate(1.0, 0.0), MAX_TIME);
    assert_eq!(time_at_rate(0.0, 0.0), MAX_TIME);
}

quickcheck! {
    fn a_time_can_be_doubled_and_added(seconds: f64) -> bool {
        let now = Instant::now();
        now + time_from_s(seconds).unwrap_or_default().mul_f64(2.0) >= now
    }
}
