//! Herd of connecting routers at a control instance with a narrow network link.
//!
//! Guards against a loop that sustained itself: the state for hundreds of routers filled
//! the link, heartbeats came late, links ended, and the routers that dialled again asked
//! for the state once more.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_emulator::network::NetworkLink;
use bamboospur_fleet::link::{
    BulkItem, BulkKind, BulkQueue, Frame, FrameReader, encode, prefix_frames,
};
use bamboospur_fleet::{Content, Outbox};
use bamboospur_group::Document;
use bamboospur_types::{BufferBudget, mix64};

/// Rate of the network link of a control instance: 6 Mbit/s.
const LINK_BYTES_PER_S: f64 = 750_000.0;
/// Time between two heartbeats of a leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest election time-out; a heartbeat that waits longer costs the leader its place.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
const HEARTBEAT_BYTES: usize = 4 * 100;
const CONFIG_BYTES: usize = 50_000;
const TARGETS_BYTES: usize = 6_000;
const NEWEST_PREFIXES_BYTES: usize = 10_000;
const PREFIXES_BYTES: usize = 65_536;

fn size_of(item: &BulkItem) -> usize {
    match item.kind {
        BulkKind::Config => CONFIG_BYTES,
        BulkKind::Targets => TARGETS_BYTES,
        BulkKind::NewestPrefixes => NEWEST_PREFIXES_BYTES,
        BulkKind::OtherPrefixes => PREFIXES_BYTES,
    }
}

fn item(link: u64, kind: BulkKind) -> BulkItem {
    BulkItem {
        link,
        kind,
        held_version: 0,
    }
}

/// Result of a run.
struct Sent {
    longest_heartbeat_wait: Duration,
    /// Time at which each item had been sent.
    done: BTreeMap<(u64, BulkKind), Duration>,
    bytes: usize,
}

/// Sends the queue and a heartbeat every 100 ms over a link. `before_step` can add items.
fn run(
    queue: &mut BulkQueue,
    start: Instant,
    duration: Duration,
    mut before_step: impl FnMut(&mut BulkQueue, Duration),
) -> Sent {
    const STEP: Duration = Duration::from_millis(1);
    let mut link = NetworkLink::new(LINK_BYTES_PER_S, start);
    let mut sent = Sent {
        longest_heartbeat_wait: Duration::ZERO,
        done: BTreeMap::new(),
        bytes: 0,
    };
    let mut now = start;
    let mut heartbeat_at = start;
    while now < start + duration {
        before_step(queue, now - start);
        while let Some(item) = queue.take(now) {
            let bytes = size_of(&item);
            queue.record_sent(bytes);
            let done = link.send(bytes, now) - start;
            sent.done.insert((item.link, item.kind), done);
        }
        if now >= heartbeat_at {
            let wait = link.send(HEARTBEAT_BYTES, now) - now;
            sent.longest_heartbeat_wait = sent.longest_heartbeat_wait.max(wait);
            heartbeat_at = now + HEARTBEAT_INTERVAL;
        }
        now += STEP;
    }
    sent.bytes = link.sent_bytes();
    sent
}

#[test]
fn a_heartbeat_does_not_wait_for_the_state_of_300_routers() {
    let start = Instant::now();
    let mut queue = BulkQueue::new(Some(LINK_BYTES_PER_S), start);
    for link in 0..300 {
        for kind in [BulkKind::OtherPrefixes, BulkKind::Targets, BulkKind::Config] {
            queue.push(item(link, kind));
        }
    }
    let sent = run(&mut queue, start, Duration::from_secs(10), |_, _| {});
    assert!(
        sent.longest_heartbeat_wait < ELECTION_TIMEOUT / 2,
        "{:?}",
        sent.longest_heartbeat_wait
    );
    // A part of the link is left to traffic that is not paced.
    #[expect(clippy::cast_precision_loss, reason = "the run sends some megabytes")]
    let used = sent.bytes as f64 / (LINK_BYTES_PER_S * 10.0);
    assert!(used < 0.95, "{used} of the link");
}

#[test]
fn configurations_go_before_targets_and_cached_prompts() {
    let start = Instant::now();
    let mut queue = BulkQueue::new(Some(LINK_BYTES_PER_S), start);
    for link in 0..5 {
        queue.push(item(link, BulkKind::OtherPrefixes));
        queue.push(item(link, BulkKind::Targets));
    }
    queue.push(item(9, BulkKind::Config));
    let sent = run(&mut queue, start, Duration::from_secs(5), |_, _| {});
    let config_at = sent.done[&(9, BulkKind::Config)];
    let targets_at = (0..5).map(|link| sent.done[&(link, BulkKind::Targets)]);
    let prefixes_at = (0..5).map(|link| sent.done[&(link, BulkKind::OtherPrefixes)]);
    let (last_targets, first_prefixes) = (targets_at.max(), prefixes_at.min());
    assert!(Some(config_at) < last_targets && last_targets < first_prefixes);
    assert!(queue.is_empty() && queue.next_at().is_none());
}

/// Restart of all: prompts wait 900 ms after the first lease for the places of cached ones.
#[test]
fn all_routers_of_a_fleet_that_starts_get_the_newest_places_before_the_others() {
    const ROUTERS: u64 = 12;
    let start = Instant::now();
    let mut queue = BulkQueue::new(Some(LINK_BYTES_PER_S), start);
    for link in 0..ROUTERS {
        for kind in [
            BulkKind::Targets,
            BulkKind::NewestPrefixes,
            BulkKind::OtherPrefixes,
        ] {
            queue.push(item(link, kind));
        }
    }
    let sent = run(&mut queue, start, Duration::from_secs(5), |_, _| {});
    let times = |kind| (0..ROUTERS).map(move |link| (link, kind));
    let newest_at = times(BulkKind::NewestPrefixes).map(|key| sent.done[&key]);
    let others_at = times(BulkKind::OtherPrefixes).map(|key| sent.done[&key]);
    let (last_newest, first_others) = (newest_at.max(), others_at.min());
    assert!(last_newest < first_others);
    assert!(last_newest < Some(Duration::from_millis(900)));
}

#[test]
fn routers_that_dial_again_do_not_add_to_the_queue() {
    let start = Instant::now();
    let mut queue = BulkQueue::new(Some(LINK_BYTES_PER_S), start);
    // Each router asks again every 200 ms until it has its configuration.
    let sent = run(
        &mut queue,
        start,
        Duration::from_secs(4),
        |queue, elapsed| {
            if elapsed.as_millis() % 200 == 0 && elapsed < Duration::from_secs(1) {
                for link in 0..20 {
                    queue.push(item(link, BulkKind::Config));
                }
            }
            assert!(queue.len() <= 20);
        },
    );
    assert_eq!(sent.done.len(), 20);
}

#[test]
fn state_leaves_a_third_of_the_link_to_other_traffic() {
    let start = Instant::now();
    let mut queue = BulkQueue::new(Some(LINK_BYTES_PER_S), start);
    for link in 0..300 {
        queue.push(item(link, BulkKind::OtherPrefixes));
        queue.push(item(link, BulkKind::Targets));
    }
    let sent = run(&mut queue, start, Duration::from_secs(10), |_, _| {});
    assert!(sent.bytes < 5_000_000, "{} bytes", sent.bytes);
    assert!(sent.longest_heartbeat_wait < ELECTION_TIMEOUT / 2);
}

/// 1,400 routes are added: a control instance without relays sends the change to 20 routers.
#[test]
fn a_large_change_reaches_all_routers_in_time() {
    // Deployments ask for two seconds and more from the acknowledgement on, of which a
    // router may need one to hear of a version that it missed.
    const TIME_LIMIT: Duration = Duration::from_millis(1_500);
    let start = Instant::now();
    let mut queue = BulkQueue::new(Some(LINK_BYTES_PER_S), start);
    for link in 0..20 {
        queue.push(item(link, BulkKind::Config));
        queue.push(item(link, BulkKind::OtherPrefixes));
    }
    let sent = run(&mut queue, start, Duration::from_secs(5), |_, _| {});
    let last = (0..20).map(|link| sent.done[&(link, BulkKind::Config)]);
    let last = last.max().expect("a time");
    assert!(last < TIME_LIMIT, "{last:?}");
    assert!(sent.longest_heartbeat_wait < ELECTION_TIMEOUT / 2);
}

/// An operator reads a large configuration again and again while routers wait for it.
#[test]
fn frames_wait_for_other_large_sends_but_not_for_ever() {
    const READ_BYTES: usize = 250_000;
    let start = Instant::now();
    let mut queue = BulkQueue::new(Some(LINK_BYTES_PER_S), start);
    queue.push(item(1, BulkKind::Config));
    queue.record_other(READ_BYTES, start);
    assert_eq!(queue.take(start), None);
    for _ in 0..10 {
        queue.record_other(READ_BYTES, start);
    }
    let at = queue.next_at().expect("a time");
    assert!(at > start + Duration::from_millis(300), "{:?}", at - start);
    assert!(at < start + Duration::from_millis(700), "{:?}", at - start);
    assert!(queue.take(at).is_some());
}

#[test]
fn an_ended_link_takes_its_items_with_it() {
    let start = Instant::now();
    let mut queue = BulkQueue::new(Some(LINK_BYTES_PER_S), start);
    queue.push(item(1, BulkKind::Config));
    queue.push(item(2, BulkKind::Config));
    queue.retain(|item| item.link != 1);
    queue.push(item(1, BulkKind::Config));
    let order: Vec<u64> = std::iter::from_fn(|| queue.take(start))
        .map(|i| i.link)
        .collect();
    assert_eq!(order, [2, 1]);
}

#[test]
fn a_repeated_request_replaces_the_version_and_keeps_its_place() {
    let start = Instant::now();
    let mut queue = BulkQueue::new(None, start);
    queue.push(item(1, BulkKind::Config));
    queue.push(item(2, BulkKind::Config));
    let newer = BulkItem {
        held_version: 7,
        ..item(1, BulkKind::Config)
    };
    queue.push(newer);
    assert_eq!(queue.take(start), Some(newer));
    assert_eq!(queue.len(), 1);
}

/// All routers get the prefixes of all targets after a start of the fleet.
#[test]
fn prefixes_of_many_targets_take_less_than_twelve_bytes_each() {
    let prefixes: Vec<(u64, u64)> = (0..3_000_u64)
        .map(|index| (mix64(index), mix64(1_000_000 + index % 90)))
        .collect();
    let frames = prefix_frames(prefixes.clone());
    let bytes: usize = frames
        .iter()
        .map(|frame| encode(frame).expect("a frame").len())
        .sum();
    assert!(bytes < 12 * prefixes.len(), "{bytes} bytes");
    let mut reader = FrameReader::new(&BufferBudget::new(usize::MAX));
    let mut received = Vec::new();
    for frame in &frames {
        reader.push(&encode(frame).expect("a frame"));
        while let Some(frame) = reader.take().expect("a valid frame") {
            let Frame::CachedPrefixes(part) = frame else {
                panic!("another frame: {frame:?}");
            };
            received.extend(part);
        }
    }
    let sorted = |mut pairs: Vec<(u64, u64)>| {
        pairs.sort_unstable();
        pairs
    };
    assert_eq!(sorted(received), sorted(prefixes));
}

/// Guards against heartbeats and leases that were seconds late: configurations took nine tenths
/// of the link of a control instance, and loads and cached prompts, which were not counted, up
/// to a half.
#[test]
fn a_change_leaves_room_for_what_is_sent_at_once() {
    /// Routers that an instance serves in a fleet of 100 routers and 6 instances.
    const ROUTERS: u64 = 17;
    /// Changes have to be in force after two seconds.
    const CHANGE_TIME: Duration = Duration::from_secs(2);
    const STEP: Duration = Duration::from_millis(1);
    let start = Instant::now();
    let mut outbox = Outbox::new(Some(LINK_BYTES_PER_S), start);
    let config = |version: u64| {
        let lines: Vec<String> = (0..version * 700)
            .map(|line| format!("{:x}", mix64(line)))
            .collect();
        Document::new(version, lines.join("\n").as_bytes())
    };
    outbox.add(config(1), None);
    let links: Vec<u64> = (0..ROUTERS).collect();
    assert_eq!(outbox.publish(config(4), None, &links), None);
    let mut link = NetworkLink::new(LINK_BYTES_PER_S, start);
    let (mut link_bytes, mut longest_wait) = (0_u64, Duration::ZERO);
    let (mut configs, mut last_config_at) = (0, start);
    let mut now = start;
    while now < start + CHANGE_TIME * 2 {
        // Loads take a quarter of the link, and cached prompts a fifth when they may be sent.
        let other_bytes = if outbox.has_config() { 190 } else { 340 };
        link_bytes += other_bytes;
        link.send(usize::try_from(other_bytes).expect("a length"), now);
        outbox.record_link_bytes(link_bytes, now);
        while let Some((_, content)) = outbox.take(now) {
            let Content::Config(change) = content else {
                panic!("only a configuration waits");
            };
            let bytes = encode(&Frame::Config(change)).expect("a frame").len();
            link_bytes += u64::try_from(bytes).expect("a length");
            last_config_at = link.send(bytes, now);
            outbox.record_sent(bytes);
            configs += 1;
        }
        if (now - start).as_millis().is_multiple_of(100) {
            let wait = link.send(HEARTBEAT_BYTES, now) - now;
            longest_wait = longest_wait.max(wait);
        }
        now += STEP;
    }
    assert_eq!(configs, ROUTERS);
    assert!(longest_wait < ELECTION_TIMEOUT / 2, "{longest_wait:?}");
    let took = last_config_at - start;
    assert!(took < CHANGE_TIME, "{took:?}");
}
