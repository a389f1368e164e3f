//! Restart of a whole fleet: what routers are told first about cached prefixes.

use bamboospur_fleet::control::PrefixStore;

/// Prefixes of the fleet, and targets that have cached each.
const PREFIXES: u64 = 1_000;
const TARGETS_PER_PREFIX: u64 = 6;

fn filled() -> PrefixStore {
    let mut store = PrefixStore::default();
    for round in 0..TARGETS_PER_PREFIX {
        store.add((0..PREFIXES).map(|prefix| (prefix, (prefix + round * 17) % 90)));
    }
    store
}

#[test]
fn each_prefix_comes_once_first_with_its_newest_target() {
    let (newest, others) = filled().split_newest(|_| true);
    let mut prefixes: Vec<u64> = newest.iter().map(|&(prefix, _)| prefix).collect();
    prefixes.sort_unstable();
    assert_eq!(prefixes, (0..PREFIXES).collect::<Vec<_>>());
    let last_round = TARGETS_PER_PREFIX - 1;
    let is_newest = |&(prefix, target): &(u64, u64)| target == (prefix + last_round * 17) % 90;
    assert!(newest.iter().all(is_newest));
    let count = PREFIXES * (TARGETS_PER_PREFIX - 1);
    assert_eq!(others.len(), usize::try_from(count).expect("a count"));
}

#[test]
fn targets_that_have_left_are_left_out() {
    let has_left = |target: u64| target >= 45;
    let (newest, others) = filled().split_newest(|target| !has_left(target));
    let mut all = newest.iter().chain(&others);
    assert!(all.all(|&(_, target)| !has_left(target)));
    assert_eq!(newest.len(), usize::try_from(PREFIXES).expect("a count"));
}

#[test]
fn an_entry_that_is_reported_again_is_kept_once_and_becomes_the_newest() {
    let mut store = PrefixStore::default();
    store.add([(1, 1), (1, 2), (2, 2), (1, 1)]);
    assert_eq!(store.iter().collect::<Vec<_>>(), [(1, 2), (2, 2), (1, 1)]);
    let (newest, others) = store.split_newest(|_| true);
    assert_eq!(newest, [(1, 1), (2, 2)]);
    assert_eq!(others, [(1, 2)]);
}

#[test]
fn repeated_reports_do_not_push_out_other_entries() {
    let mut store = filled();
    for _ in 0..20 {
        store.add((0..1_000).map(|target| (0, target)));
    }
    let (newest, _) = store.split_newest(|_| true);
    assert_eq!(newest.len(), usize::try_from(PREFIXES).expect("a count"));
}

#[test]
fn the_oldest_entries_are_dropped_beyond_the_limit() {
    let mut store = PrefixStore::default();
    store.add((0..10_000).map(|prefix| (prefix, 1)));
    let kept: Vec<_> = store.iter().collect();
    assert_eq!(kept.len(), 8_192);
    assert_eq!(kept.last(), Some(&(9_999, 1)));
}
