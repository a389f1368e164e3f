//! Which connections give way when a listener is full.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bamboospur_http1::connections::{ConnectionId, ConnectionTable};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Longer than the grace of a connection.
const LONG: Duration = Duration::from_secs(1);

fn fill(table: &mut ConnectionTable, count: usize, now: Instant) -> Vec<ConnectionId> {
    let ids: Vec<_> = (0..count).filter_map(|_| table.open(now)).collect();
    assert_eq!(ids.len(), count);
    ids
}

#[test]
fn a_full_table_takes_no_connection_and_takes_one_after_a_close() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(3);
    let ids = fill(&mut table, 3, now);
    assert_eq!(table.open(now), None);
    table.close(ids[1]);
    assert!(table.open(now).is_some());
    assert_eq!(table.open(now), None);
}

#[test]
fn no_connection_gives_way_within_its_grace() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(4);
    fill(&mut table, 4, now);
    assert_eq!(table.take_victims(now + Duration::from_millis(499)), []);
    let next_at = table.next_victim_at(now).expect("a time");
    assert_eq!(table.take_victims(next_at).len(), 1);
}

#[test]
fn the_least_progress_for_its_time_gives_way_first() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(4);
    let ids = fill(&mut table, 4, now);
    table.record_received(ids[0], 1_000, now);
    table.record_received(ids[1], 10, now);
    table.record_received(ids[2], 500, now);
    table.start_serving(ids[3]);
    table.start_reading(ids[3], now);
    let mut order = Vec::new();
    loop {
        let victims = table.take_victims(now + LONG);
        if victims.is_empty() {
            break;
        }
        for &id in &victims {
            table.close(id);
        }
        order.extend(victims);
    }
    // The idle connection comes last.
    assert_eq!(order, [ids[1], ids[2], ids[0], ids[3]]);
}

#[test]
fn a_first_request_in_progress_stays_and_a_later_one_ends_its_connection() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(2);
    let ids = fill(&mut table, 2, now);
    table.start_serving(ids[0]);
    table.start_serving(ids[1]);
    table.start_reading(ids[1], now);
    table.start_serving(ids[1]);
    assert_eq!(table.take_victims(now + LONG), [ids[1]]);
    assert_eq!(table.take_victims(now + LONG), []);
    assert_eq!(table.next_victim_at(now + LONG), None);
}

#[test]
fn no_more_connections_give_way_while_an_eighth_of_them_closes() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(32);
    fill(&mut table, 32, now);
    let victims = table.take_victims(now + LONG);
    assert_eq!(victims.len(), 4);
    assert_eq!(table.take_victims(now + LONG), []);
    assert_eq!(table.next_victim_at(now + LONG), None);
    table.close(victims[0]);
    assert_eq!(table.take_victims(now + LONG).len(), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Receive(u8, u16),
    Serve(u8),
    Read(u8),
    Close(u8),
    TakeVictims,
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = u8::arbitrary(g) % 12;
        match u8::arbitrary(g) % 9 {
            0 | 1 => Self::Open,
            2 => Self::Receive(id, u16::arbitrary(g)),
            3 | 4 => Self::Serve(id),
            5 => Self::Read(id),
            6 => Self::Close(id),
            7 => Self::TakeVictims,
            _ => Self::Wait(u16::arbitrary(g) % 2_000),
        }
    }
}

quickcheck! {
    /// The table never holds more than its limit, no connection gives way twice, and none whose
    /// first request is being served.
    fn limits_hold_in_any_order(steps: Vec<Step>) -> bool {
        const LIMIT: usize = 8;
        let mut now = Instant::now();
        let mut table = ConnectionTable::new(LIMIT);
        let mut open = BTreeSet::new();
        let mut first_requests = BTreeSet::new();
        let mut served = BTreeSet::new();
        let mut gone = BTreeSet::new();
        for step in steps {
            match step {
                Step::Open => {
                    open.extend(table.open(now));
                }
                Step::Receive(id, bytes) => table.record_received(id.into(), bytes.into(), now),
                Step::Serve(id) => {
                    let id = ConnectionId::from(id);
                    if open.contains(&id) && !gone.contains(&id) && served.insert(id) {
                        first_requests.insert(id);
                    }
                    table.start_serving(id);
                }
                Step::Read(id) => {
                    first_requests.remove(&id.into());
                    table.start_reading(id.into(), now);
                }
                Step::Close(id) => {
                    open.remove(&id.into());
                    table.close(id.into());
                }
                Step::TakeVictims => {
                    for id in table.take_victims(now) {
                        if first_requests.contains(&id) || !gone.insert(id) {
                            return false;
                        }
                    }
                }
                Step::Wait(ms) => now += Duration::from_millis(ms.into()),
            }
            if table.len() > LIMIT {
                return false;
            }
        }
        true
    }
}

/// One connection that waits does not end all others that are in use.
#[test]
fn at_most_an_eighth_of_the_connections_in_use_gives_way_at_a_time() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(32);
    let ids = fill(&mut table, 32, now);
    for &id in &ids {
        table.start_serving(id);
        table.start_reading(id, now);
        table.start_serving(id);
        // Again for the same request.
        table.start_serving(id);
    }
    let victims = table.take_victims(now + LONG);
    assert_eq!(victims.len(), 4);
    assert_eq!(table.take_victims(now + LONG), []);
    assert_eq!(table.next_victim_at(now + LONG), None);
    // The response has been written.
    table.start_reading(victims[0], now + LONG);
    assert_eq!(table.take_victims(now + LONG), []);
    table.close(victims[0]);
    assert_eq!(table.take_victims(now + LONG).len(), 1);
}
