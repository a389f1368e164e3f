//! Messages to the process that ran before under the same id.

mod cluster;

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use bamboospur_membership::{
    Membership, MembershipInput, MembershipOutput, MembershipSettings, Message, Seed,
};
use cluster::{address_of, instance};

/// Returns the nonces of the first pings of a process.
fn first_nonces(incarnation: u64) -> BTreeSet<u64> {
    let seeds = [0, 1].map(|node| Seed {
        address: address_of(node),
        data_centre: "dc".to_owned(),
    });
    let settings = MembershipSettings {
        seeds: seeds.into(),
        ..MembershipSettings::default()
    };
    let mut now = Instant::now();
    let mut nodes = [
        Membership::new(settings.clone(), &instance(0, incarnation), incarnation),
        Membership::new(settings, &instance(1, 1), 1),
    ];
    let mut nonces = BTreeSet::new();
    for _ in 0..200 {
        now += Duration::from_millis(100);
        let mut inputs = VecDeque::from([(0, MembershipInput::Tick), (1, MembershipInput::Tick)]);
        while let Some((node, input)) = inputs.pop_front() {
            for output in nodes[node].handle(input, now) {
                let MembershipOutput::Send { message, .. } = output else {
                    continue;
                };
                if let (0, Message::Ping { nonce }) = (node, &message) {
                    nonces.insert(*nonce);
                }
                let packet = MembershipInput::Packet {
                    from: instance(node, 1).id(),
                    address: address_of(node),
                    message,
                };
                inputs.push_back((1 - node, packet));
            }
        }
    }
    nonces
}

/// Nonces were counted from 1 in each process, so that an ack to the process before answered a
/// ping of the next one, to whichever instance that was.
#[test]
fn an_ack_to_the_process_before_answers_no_ping() {
    let (first, next) = (first_nonces(1), first_nonces(2));
    assert!(first.len() > 5, "{first:?}");
    assert!(first.is_disjoint(&next), "{first:?} {next:?}");
}
