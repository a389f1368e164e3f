//! Generators of arbitrary frames for the link tests.

use std::sync::Arc;

use bamboospur_agreement::{
    AppendResult, Entry, Member, MemberKind, Members, Message, MessageBody, Payload, SnapshotChunk,
};
use bamboospur_wire::link::{Formation, Frame, LinkError};
use quickcheck::{Arbitrary, Gen};

#[derive(Clone, Debug)]
pub struct AnyFrame(pub Frame);

/// Decodes a body as if its HMAC had been verified.
pub fn decode(body: &[u8]) -> Result<Frame, LinkError> {
    Frame::decode(body)
}

fn number(g: &mut Gen) -> u64 {
    let any = u64::arbitrary(g);
    *g.choose(&[0, 1, any % 1000, any, u64::MAX])
        .expect("choice")
}

fn many<T>(g: &mut Gen, mut make: impl FnMut(&mut Gen) -> T) -> Vec<T> {
    let count = usize::arbitrary(g) % g.size().min(40);
    (0..count).map(|_| make(g)).collect()
}

fn member(g: &mut Gen) -> Member {
    let voter = bool::arbitrary(g);
    Member {
        kind: if voter {
            MemberKind::Voter
        } else {
            MemberKind::Learner
        },
        disk: number(g),
    }
}

fn members(g: &mut Gen) -> Members {
    Members {
        current: many(g, |g| (number(g), member(g))).into_iter().collect(),
        retired: many(g, |g| (number(g), number(g))).into_iter().collect(),
    }
}

fn entry(g: &mut Gen) -> Entry {
    Entry {
        index: number(g),
        term: number(g),
        payload: match u8::arbitrary(g) % 3 {
            0 => Payload::Empty,
            1 => Payload::Data(Vec::arbitrary(g)),
            _ => Payload::Members(members(g)),
        },
    }
}

fn chunk(g: &mut Gen) -> SnapshotChunk {
    SnapshotChunk {
        index: number(g),
        snapshot_term: number(g),
        members: members(g),
        total_bytes: number(g),
        total_checksum: number(g),
        offset: number(g),
        data: Vec::arbitrary(g),
        checksum: number(g),
    }
}

fn result(g: &mut Gen) -> AppendResult {
    if bool::arbitrary(g) {
        return AppendResult::Matched { index: number(g) };
    }
    AppendResult::Conflict {
        prev_index: number(g),
        hint_term: bool::arbitrary(g).then(|| number(g)),
        hint_index: number(g),
    }
}

fn body(g: &mut Gen) -> MessageBody {
    let (a, b, granted) = (number(g), number(g), bool::arbitrary(g));
    match u8::arbitrary(g) % 13 {
        0 => MessageBody::PreVote {
            last_index: a,
            last_term: b,
        },
        1 => MessageBody::PreVoteReply { granted },
        2 => MessageBody::Vote {
            last_index: a,
            last_term: b,
            transfer: granted,
        },
        3 => MessageBody::VoteReply { granted },
        4 | 5 => MessageBody::Append {
            prev_index: a,
            prev_term: b,
            entries: many(g, entry),
            commit: number(g),
        },
        6 => MessageBody::AppendReply(result(g)),
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
        _ => MessageBody::Refused { known_disk: a },
    }
}

impl Arbitrary for AnyFrame {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (number(g), number(g));
        Self(match u8::arbitrary(g) % 10 {
            0 => Frame::Heartbeat {
                revision: a,
                leader: Some(b).filter(|leader| *leader != 0),
            },
            1 => Frame::Request {
                ticket: a,
                body: Vec::arbitrary(g),
            },
            2 => Frame::Reply {
                ticket: a,
                body: Vec::arbitrary(g),
            },
            3 => Frame::Settings(Arc::new(Vec::arbitrary(g))),
            4 => Frame::Report { revision: a },
            5 => Frame::Formation(Formation {
                disk: a,
                formed: bool::arbitrary(g),
                members: many(g, |g| (number(g), number(g))),
            }),
            6 => Frame::Goodbye,
            _ => Frame::Agreement(Box::new(Message {
                from_disk: a,
                to_disk: b,
                term: number(g),
                body: body(g),
            })),
        })
    }
}
