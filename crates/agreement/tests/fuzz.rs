//! Arbitrary inputs and messages must not make a replica panic.

use std::time::{Duration, Instant};

use bamboospur_agreement::{
    AppendResult, Entry, Input, Members, Message, MessageBody, Payload, PersistedState, Replica,
    ReplicaSettings, SnapshotChunk,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
struct ArbitraryInput(Input);

fn number(g: &mut Gen) -> u64 {
    let small = u64::arbitrary(g) % 6;
    *g.choose(&[small, small, small, small, small, u64::MAX, u64::MAX - 1])
        .unwrap()
}

fn entry(g: &mut Gen) -> Entry {
    let payload = match u8::arbitrary(g) % 3 {
        0 => Payload::Empty,
        1 => Payload::Data(Vec::arbitrary(g)),
        _ => Payload::Members(Members::from_voters(&[(1, 11), (number(g), number(g))])),
    };
    Entry {
        index: number(g),
        term: number(g),
        payload,
    }
}

fn chunk(g: &mut Gen) -> SnapshotChunk {
    let data = Vec::arbitrary(g);
    SnapshotChunk {
        index: number(g),
        snapshot_term: number(g),
        members: Members::from_voters(&[(1, 11), (2, 12)]),
        total_bytes: number(g),
        total_checksum: number(g),
        offset: number(g),
        checksum: bamboospur_agreement::checksum(&data),
        data,
    }
}

fn body(g: &mut Gen) -> MessageBody {
    let (a, b, c) = (number(g), number(g), bool::arbitrary(g));
    match u8::arbitrary(g) % 13 {
        0 => MessageBody::PreVote {
            last_index: a,
            last_term: b,
        },
        1 => MessageBody::PreVoteReply { granted: c },
        2 => MessageBody::Vote {
            last_index: a,
            last_term: b,
            transfer: c,
        },
        3 => MessageBody::VoteReply { granted: c },
        4 => {
            let count = usize::arbitrary(g) % 4;
            let mut entries: Vec<_> = (0..count).map(|_| entry(g)).collect();
            if c {
                (1_u64..)
                    .zip(&mut entries)
                    .for_each(|(i, e)| e.index = a.wrapping_add(i));
            }
            let commit = number(g);
            MessageBody::Append {
                prev_index: a,
                prev_term: b,
                entries,
                commit,
            }
        }
        5 => MessageBody::AppendReply(AppendResult::Matched { index: a }),
        6 => MessageBody::AppendReply(AppendResult::Conflict {
            prev_index: a,
            hint_term: c.then_some(b),
            hint_index: number(g),
        }),
        7 => MessageBody::Heartbeat {
            commit: a,
            round: b,
        },
        8 => MessageBody::HeartbeatReply { round: a },
        9 => MessageBody::SnapshotChunk(chunk(g)),
        10 => MessageBody::SnapshotReply {
            index: a,
            offset: b,
        },
        11 => MessageBody::TimeoutNow,
        _ => MessageBody::Refused {
            known_disk: if c { 11 } else { a },
        },
    }
}

impl Arbitrary for ArbitraryInput {
    fn arbitrary(g: &mut Gen) -> Self {
        let ticket = number(g);
        Self(match u8::arbitrary(g) % 12 {
            0 | 1 => Input::Tick,
            2 => Input::Propose {
                ticket,
                data: Vec::arbitrary(g),
            },
            3 => Input::Read { ticket },
            4 => Input::Compact {
                index: number(g),
                state: Vec::arbitrary(g),
            },
            5 => Input::TransferLeadership,
            _ => {
                let from = *g.choose(&[2, 2, 2, 3, 4]).unwrap();
                let term = number(g);
                let message = Message {
                    from_disk: 10 + from,
                    to_disk: 11,
                    term,
                    body: body(g),
                };
                Input::Message { from, message }
            }
        })
    }
}

fn handles_all_inputs(inputs: Vec<ArbitraryInput>, seed: u64) -> bool {
    let members = Members::from_voters(&[(1, 11), (2, 12), (3, 13)]);
    let settings = ReplicaSettings {
        id: 1,
        disk: 11,
        ..ReplicaSettings::default()
    };
    let mut now = Instant::now();
    let mut replica = Replica::new(settings, PersistedState::bootstrap(members), seed, now);
    for (at, ArbitraryInput(input)) in (0_u64..).zip(inputs) {
        now += Duration::from_millis(at % 500);
        for output in replica.handle(input, now) {
            if let bamboospur_agreement::Output::Persist(write) = output {
                let sequence = write.sequence;
                replica.handle(Input::Synced { sequence }, now);
            }
        }
    }
    true
}

#[test]
fn arbitrary_inputs_do_not_panic() {
    let check = QuickCheck::new().rng(Gen::from_size_and_seed(100, 1));
    check
        .tests(5000)
        .quickcheck(handles_all_inputs as fn(Vec<ArbitraryInput>, u64) -> bool);
}
