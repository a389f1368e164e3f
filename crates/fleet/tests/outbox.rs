//! What linked routers get when a configuration changes, and when they ask.

use std::time::{Duration, Instant};

use bamboospur_fleet::{Content, Outbox};
use bamboospur_group::{Change, Document};
use bamboospur_types::mix64;

/// Returns a configuration with this many routes.
fn document(version: u64, routes: u64) -> Document {
    let lines: Vec<String> = (0..routes)
        .map(|route| format!("route {} to {}", mix64(route), mix64(route + 5_000)))
        .collect();
    let text = format!("version {version}\n{}", lines.join("\n"));
    Document::new(version, text.as_bytes())
}

/// Returns an outbox with a configuration of 1,000 routes that no link waits for.
fn outbox(now: Instant) -> Outbox {
    let mut outbox = Outbox::new(None, now);
    outbox.add(document(1, 1_000), None);
    outbox
}

/// Takes everything that waits, as links and versions that changes lead to.
fn take_configs(outbox: &mut Outbox, now: Instant) -> Vec<(u64, u64)> {
    let taken = std::iter::from_fn(|| outbox.take(now));
    let configs = taken.filter_map(|(link, content)| match content {
        Content::Config(change) => Some((link, change.version())),
        Content::Targets | Content::NewestPrefixes | Content::OtherPrefixes => None,
    });
    configs.collect()
}

#[test]
fn a_small_change_goes_to_all_links_at_once() {
    let now = Instant::now();
    let mut outbox = outbox(now);
    let change = outbox.publish(document(2, 1_001), None, &[1, 2, 3]);
    assert!(matches!(change, Some(Change::Patch(_))));
    assert_eq!(outbox.waiting(), 0);
}

#[test]
fn a_large_change_waits_for_each_link() {
    let now = Instant::now();
    let mut outbox = outbox(now);
    assert_eq!(outbox.publish(document(2, 3_000), None, &[1, 2, 3]), None);
    assert_eq!(take_configs(&mut outbox, now), [(1, 2), (2, 2), (3, 2)]);
}

#[test]
fn a_router_that_asked_too_early_gets_the_next_version() {
    let now = Instant::now();
    let mut outbox = outbox(now);
    assert!(!outbox.request_config(7, 1));
    assert_eq!(outbox.waiting(), 0);
    outbox.publish(document(2, 1_001), None, &[]);
    assert_eq!(take_configs(&mut outbox, now), [(7, 2)]);
}

#[test]
fn a_superseded_version_is_not_sent() {
    let now = Instant::now();
    let mut outbox = outbox(now);
    assert!(outbox.request_config(7, 0));
    outbox.publish(document(2, 3_000), None, &[7]);
    outbox.publish(document(3, 6_000), None, &[7]);
    assert_eq!(take_configs(&mut outbox, now), [(7, 3)]);
}

#[test]
fn an_ended_link_gets_nothing() {
    let now = Instant::now();
    let mut outbox = outbox(now);
    assert!(outbox.request_config(7, 0));
    assert!(!outbox.request_config(8, 1));
    outbox.request_state(7, true);
    outbox.remove(7);
    outbox.remove(8);
    outbox.publish(document(2, 3_000), None, &[]);
    assert_eq!(outbox.waiting(), 0);
}

/// Routers that linked before there were relays get the state from the relays.
#[test]
fn relays_take_over_the_state_but_not_the_configuration() {
    let now = Instant::now();
    let mut outbox = outbox(now);
    for link in [1, 2] {
        outbox.request_state(link, true);
        assert!(outbox.request_config(link, 0));
    }
    outbox.retain_state(|link| link == 2);
    let links: Vec<u64> = std::iter::from_fn(|| outbox.take(now + Duration::from_secs(9)))
        .map(|(link, _)| link)
        .collect();
    assert_eq!(links, [1, 2, 2, 2, 2]);
}

#[test]
fn a_router_that_got_the_change_elsewhere_is_sent_nothing() {
    let now = Instant::now();
    let mut outbox = outbox(now);
    assert_eq!(outbox.publish(document(2, 3_000), None, &[1, 2]), None);
    assert!(!outbox.request_config(1, 2));
    assert_eq!(take_configs(&mut outbox, now), [(2, 2)]);
}
