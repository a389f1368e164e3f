//! One replica against hand-made messages, for rules that need a rare order
//! of events to matter.

use std::time::{Duration, Instant};

use bamboospur_agreement::{
    AppendResult, Body, Entry, HardState, Input, MemberChange, Members, Message, Output, Payload,
    PersistedState, ProposeError, Replica, ReplicaSettings, Role, SnapshotChunk, checksum,
};

struct Driven {
    replica: Replica,
    now: Instant,
    written: u64,
    synced: u64,
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = Payload::Data(vec![7; 20]);
    Entry {
        index,
        term,
        payload,
    }
}

/// Member 1 of 3, with disks 11, 12 and 13.
fn restored(terms: &[u64]) -> PersistedState {
    let members = Members::from_voters(&[(1, 11), (2, 12), (3, 13)]);
    let entries = (1..).zip(terms).map(|(index, &term)| entry(index, term));
    let term = terms.last().copied().unwrap_or(0);
    PersistedState {
        hard: HardState { term, vote: None },
        entries: entries.collect(),
        ..PersistedState::bootstrap(members)
    }
}

impl Driven {
    fn new(restored: PersistedState) -> Self {
        let now = Instant::now();
        let settings = ReplicaSettings {
            id: 1,
            disk: 11,
            max_inflight_appends: 4,
            max_append_bytes: 100,
            ..ReplicaSettings::default()
        };
        Self {
            replica: Replica::new(settings, restored, 1, now),
            now,
            written: 0,
            synced: 0,
        }
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let out = self.replica.handle(input, self.now);
        for output in &out {
            if let Output::Persist(write) = output {
                self.written = write.sequence;
            }
        }
        out
    }

    fn receive(&mut self, from: u64, term: u64, body: Body) -> Vec<Output> {
        let message = Message {
            from_disk: 10 + from,
            to_disk: 11,
            term,
            body,
        };
        self.input(Input::Message { from, message })
    }

    fn sync(&mut self) -> Vec<Output> {
        self.synced = self.written;
        let sequence = self.synced;
        self.input(Input::Synced { sequence })
    }

    fn stand(&mut self) -> Vec<Output> {
        self.now += Duration::from_secs(1);
        self.input(Input::Tick);
        let term = self.replica.status().term + 1;
        self.receive(2, term, Body::PreVoteReply { granted: true })
    }

    fn lead(&mut self) -> u64 {
        self.stand();
        self.sync();
        let term = self.replica.status().term;
        self.receive(2, term, Body::VoteReply { granted: true });
        assert_eq!(self.replica.status().role, Role::Leader);
        self.sync();
        term
    }

    fn matched(&mut self, from: u64, term: u64, index: u64) -> Vec<Output> {
        let result = AppendResult::Matched { index };
        self.receive(from, term, Body::AppendReply(result))
    }
}

fn sent(out: &[Output], to: u64) -> Vec<Body> {
    let sends = out.iter().filter_map(|o| match o {
        Output::Send { to: t, message } if *t == to => Some(message.body.clone()),
        _ => None,
    });
    sends.collect()
}

fn append(prev: (u64, u64), entries: Vec<Entry>) -> Body {
    Body::Append {
        prev_index: prev.0,
        prev_term: prev.1,
        entries,
        commit: 0,
    }
}

#[test]
fn entries_of_earlier_terms_are_not_committed_alone() {
    let mut one = Driven::new(restored(&[1, 2]));
    let term = one.lead();
    one.matched(2, term, 2);
    assert_eq!(one.replica.status().commit_index, 0);
    one.matched(2, term, 3);
    assert_eq!(one.replica.status().commit_index, 3);
}

#[test]
fn votes_are_asked_for_after_the_own_vote_is_synced() {
    let mut one = Driven::new(restored(&[1]));
    let is_vote = |b: &Body| matches!(b, Body::Vote { .. });
    assert!(!sent(&one.stand(), 3).iter().any(is_vote));
    assert!(sent(&one.sync(), 3).iter().any(is_vote));
}

#[test]
fn truncated_entries_do_not_count_as_synced() {
    let mut one = Driven::new(restored(&[]));
    one.receive(
        2,
        1,
        append((0, 0), vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
    );
    let sequence = one.written;
    one.receive(3, 2, append((1, 1), vec![entry(2, 2)]));
    one.input(Input::Synced { sequence });
    assert_eq!(one.replica.status().synced_index, 1);
    one.sync();
    assert_eq!(one.replica.status().synced_index, 2);
    one.receive(2, 3, append((1, 1), vec![entry(2, 3)]));
    assert_eq!(one.replica.status().synced_index, 1);
}

#[test]
fn committed_entries_are_never_replaced() {
    let mut one = Driven::new(restored(&[1, 1]));
    one.receive(
        2,
        1,
        Body::Heartbeat {
            commit: 2,
            round: 1,
        },
    );
    let out = one.receive(3, 2, append((0, 0), vec![entry(1, 2)]));
    assert!(out.iter().any(|o| matches!(o, Output::Violation(_))));
    assert_eq!(one.replica.status().role, Role::Stopped);
}

#[test]
fn changes_wait_for_each_other_and_for_the_first_own_entry() {
    let mut one = Driven::new(restored(&[1]));
    let term = one.lead();
    let add = |one: &mut Driven, ticket: u64| {
        let disk = ticket;
        let change = MemberChange::AddLearner { id: ticket, disk };
        let out = one.input(Input::ChangeMembers { ticket, change });
        let refused = |o: &Output| {
            matches!(
                o,
                Output::Done {
                    result: Err(ProposeError::ChangeRefused { .. }),
                    ..
                }
            )
        };
        out.iter().any(refused)
    };
    assert!(add(&mut one, 21), "the leader has committed nothing yet");
    one.matched(2, term, 2);
    assert!(!add(&mut one, 22));
    assert!(add(&mut one, 23), "the change before is not committed");
    one.sync();
    one.matched(2, term, 3);
    assert!(!add(&mut one, 24));
}

/// In a short log, an empty learner is within any allowed lag.
#[test]
fn learner_is_promoted_only_when_it_knows_the_members() {
    let mut one = Driven::new(restored(&[1]));
    let term = one.lead();
    one.matched(2, term, 2);
    let mut change = |ticket, change| one.input(Input::ChangeMembers { ticket, change });
    change(1, MemberChange::AddLearner { id: 4, disk: 14 });
    one.sync();
    one.matched(2, term, 3);
    one.matched(4, term, 0);
    let promote = |ticket| Input::ChangeMembers {
        ticket,
        change: MemberChange::Promote { id: 4 },
    };
    one.input(promote(2));
    assert_eq!(one.replica.status().last_index, 3);
    one.matched(4, term, 3);
    one.input(promote(3));
    assert_eq!(one.replica.status().last_index, 4);
}

#[test]
fn empty_disk_grants_no_vote() {
    let mut one = Driven::new(PersistedState::default());
    let body = Body::Vote {
        last_index: 9,
        last_term: 9,
        transfer: false,
    };
    let out = one.receive(2, 9, body);
    assert_eq!(sent(&out, 2), [Body::VoteReply { granted: false }]);
    let body = Body::PreVote {
        last_index: 9,
        last_term: 9,
    };
    let out = one.receive(2, 10, body);
    assert_eq!(sent(&out, 2), [Body::PreVoteReply { granted: false }]);
}

#[test]
fn conflict_skips_the_whole_term() {
    let mut one = Driven::new(restored(&[1; 100]));
    let term = one.lead();
    let result = AppendResult::Conflict {
        prev_index: 100,
        hint_term: Some(2),
        hint_index: 41,
    };
    let out = one.receive(3, term, Body::AppendReply(result));
    let prev = sent(&out, 3).into_iter().find_map(|b| match b {
        Body::Append { prev_index, .. } => Some(prev_index),
        _ => None,
    });
    assert_eq!(prev, Some(40));
}

#[test]
fn silent_follower_gets_a_bounded_number_of_appends() {
    let mut one = Driven::new(restored(&[1]));
    let term = one.lead();
    one.matched(2, term, 1);
    let mut appends = 0;
    for ticket in 0..1000 {
        let data = vec![0; 200];
        let out = one.input(Input::Propose { ticket, data });
        appends += sent(&out, 2).len();
    }
    assert!(appends <= 4, "{appends} appends without an answer");
}

fn chunk(state: &[u8], range: std::ops::Range<usize>) -> SnapshotChunk {
    let data = state[range.clone()].to_vec();
    SnapshotChunk {
        index: 50,
        snapshot_term: 1,
        members: Members::from_voters(&[(1, 11), (2, 12), (3, 13)]),
        total_bytes: state.len() as u64,
        total_checksum: checksum(state),
        offset: range.start as u64,
        checksum: checksum(&data),
        data,
    }
}

#[test]
fn damaged_chunk_is_asked_for_again_and_the_install_waits_for_the_disk() {
    let mut one = Driven::new(restored(&[]));
    let state: Vec<u8> = (0..100).collect();
    let first = one.receive(2, 1, Body::SnapshotChunk(chunk(&state, 0..60)));
    let wanted = Body::SnapshotReply {
        index: 50,
        offset: 60,
    };
    assert_eq!(sent(&first, 2), vec![wanted.clone()]);
    let mut damaged = chunk(&state, 60..100);
    damaged.data[3] ^= 1;
    let again = one.receive(2, 1, Body::SnapshotChunk(damaged));
    assert_eq!(sent(&again, 2), [wanted]);
    let out = one.receive(2, 1, Body::SnapshotChunk(chunk(&state, 60..100)));
    assert!(out.contains(&Output::Restore { index: 50, state }));
    assert!(sent(&out, 2).is_empty(), "acknowledged before the sync");
    let result = AppendResult::Matched { index: 50 };
    assert_eq!(sent(&one.sync(), 2), [Body::AppendReply(result)]);
    assert_eq!(one.replica.status().synced_index, 50);
}
