//! Prompts spread over all targets, as under overload: their places take a bounded part of
//! the network link of a control instance.

use std::time::{Duration, Instant};

use bamboospur_fleet::control::PrefixQueue;

/// 4.2 Mbit/s.
const LINK_BYTES_PER_S: f64 = 525_000.0;
const ROUTERS: usize = 72;
const STEP: Duration = Duration::from_millis(20);

/// Returns how many prefixes are sent to each router in `time`, with `new` ones at each step.
fn sent(queue: &mut PrefixQueue, start: Instant, time: Duration, new: u64) -> usize {
    let steps = u32::try_from(time.as_millis() / STEP.as_millis()).expect("a short time");
    let sent = (0..steps).map(|step| {
        let prefixes: Vec<(u64, u64)> = (0..new).map(|n| (n, u64::from(step))).collect();
        queue.push(&prefixes);
        queue.take(ROUTERS, start + STEP * step).len()
    });
    sent.sum()
}

#[test]
fn a_flood_of_prefixes_takes_a_bounded_part_of_the_link() {
    let start = Instant::now();
    let mut queue = PrefixQueue::new(Some(LINK_BYTES_PER_S), start);
    let time = Duration::from_secs(10);
    let sent = sent(&mut queue, start, time, 40);
    let bytes = sent * 18 * ROUTERS;
    let link_bytes = 5_250_000;
    assert!(bytes < link_bytes / 4, "{bytes} of {link_bytes} bytes");
    assert!(bytes > link_bytes / 6, "{bytes} of {link_bytes} bytes");
    // The newest prefixes are the ones that are kept.
    let newest = queue.take(1, start + time + Duration::from_secs(1));
    assert!(newest.iter().all(|&(_, step)| step > 470), "{newest:?}");
}

#[test]
fn usual_prefixes_are_sent_at_once() {
    let start = Instant::now();
    let mut queue = PrefixQueue::new(Some(LINK_BYTES_PER_S), start);
    assert_eq!(sent(&mut queue, start, Duration::from_secs(10), 1), 500);
    let mut queue = PrefixQueue::new(None, start);
    assert_eq!(sent(&mut queue, start, Duration::from_secs(1), 40), 2_000);
}
