//! Tests that the newest version of a record wins, whatever the order and number of
//! messages.

mod cluster;

use std::time::{Duration, Instant};

use bamboospur_membership::{
    Gossip, MemberKey, MemberRecord, MemberState, Membership, MembershipInput, MembershipSettings,
    Message, RecordEntry, Version, dequantise, quantise,
};
use quickcheck::quickcheck;

fn version(incarnation: u8, sequence: u8, state: u8) -> Version {
    Version {
        incarnation: u64::from(incarnation % 4),
        sequence: u32::from(sequence),
        state: MemberState::from_repr(state % 5).expect("a state"),
    }
}

fn deliver(node: &mut Membership, version: Version, now: Instant) {
    let record = cluster::target_record(1, version.incarnation);
    let entry = RecordEntry {
        version,
        details: MemberRecord::Target(record.into()),
    };
    let gossip = Gossip {
        records: vec![entry],
        ..Gossip::default()
    };
    let input = MembershipInput::Packet {
        from: 77,
        address: cluster::address_of(9),
        message: Message::Gossip(gossip),
    };
    node.handle(input, now);
}

quickcheck! {
    /// After messages in any order and with repetitions, the known version is the
    /// largest by (incarnation, rank of the state, sequence, suspicion), and a dead or
    /// departed member is never live again in the same incarnation.
    fn the_newest_record_wins_in_any_order(raw: Vec<(u8, u8, u8)>, repeat: Vec<usize>) -> bool {
        let now = Instant::now();
        let own = cluster::instance(0, 1);
        let mut node = Membership::new(MembershipSettings::default(), &own, 1);
        let key = MemberKey::Target(cluster::target_record(1, 1).id());
        let versions: Vec<Version> = raw.iter().map(|(i, s, t)| version(*i, *s, *t)).collect();
        let again = repeat.iter().filter_map(|i| versions.get(i % versions.len().max(1)));
        let mut newest: Option<Version> = None;
        let mut gone = None;
        for (step, next) in versions.iter().chain(again).enumerate() {
            deliver(&mut node, *next, now + Duration::from_millis(step as u64));
            let rank = |v: &Version| {
                let rank = match v.state {
                    MemberState::Ready | MemberState::Suspect => 0,
                    MemberState::Draining => 1,
                    MemberState::Dead => 2,
                    MemberState::Left => 3,
                };
                (v.incarnation, rank, v.sequence, v.state == MemberState::Suspect)
            };
            if newest.as_ref().is_none_or(|known| rank(next) > rank(known)) {
                newest = Some(*next);
            }
            let held = node.version(key);
            let revived = held.is_some_and(|v| gone == Some(v.incarnation) && !v.state.is_final());
            gone = held.filter(|v| v.state.is_final()).map(|v| v.incarnation);
            if held != newest || revived {
                return false;
            }
        }
        node.counters().violations == 0
    }

    fn quantised_loads_are_at_most_an_eighth_too_low(value: u64) -> bool {
        // The largest code stands for 16,106,127,360 and more.
        let value = value % 16_000_000_000;
        let shown = dequantise(quantise(value));
        shown <= value && value - shown <= value / 8
    }
}
