//! Counts of bytes by kind of frame.

use bamboospur_fleet::link::{Frame, Traffic, record_queued, record_written};

#[test]
fn bytes_are_counted_by_kind_and_until_they_are_written() {
    let before = Traffic::now();
    record_queued(&Frame::Alive(1), 10);
    record_queued(&Frame::NoNewerConfig, 500);
    record_queued(&Frame::Alive(2), 10);
    record_written(505);
    let now = Traffic::now();
    assert_eq!(now.describe_since(&before), "no-newer-config=500 alive=20");
    assert_eq!(now.total_bytes() - before.total_bytes(), 520);
    assert_eq!(now.waiting_bytes(), 15);
    assert!(
        now.text()
            .contains("bamboospur_link_bytes_total{kind=\"alive\"} 20\n"),
        "{}",
        now.text()
    );
}
