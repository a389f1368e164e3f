//! Tests of one replica with hand-written messages, for rules that matter only in
//! a rare order of events.

use std::time::{Duration, Instant};

use bamboospur_agreement::{
    AppendResult, Entry, HardState, Input, MemberChange, Members, Message, MessageBody, Output,
    Payload, PersistedState, ProposeError, Replica, ReplicaSettings, Role, SnapshotChunk, checksum,
};

/// Replica 1 of a group, with the sequence numbers of its writes.
struct Harness {
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

/// State of a group of voters 1, 2 and 3 with disks 11, 12 and 13, and one log
/// entry for each term.
fn restored(terms: &[u64]) -> PersistedState {
    let members = Members::from_voters(&[(1, 11), (2, 12), (3, 13)]);
    let entries = (1..).zip(terms).map(|(index, &term)| entry(index, term));
    let term = terms.last().copied().unwrap_or(0);
    PersistedState {
        hard_state: HardState { term, vote: None },
        entries: entries.collect(),
        ..PersistedState::bootstrap(members)
    }
}

impl Harness {
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

    fn receive(&mut self, from: u64, term: u64, body: MessageBody) -> Vec<Output> {
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

    fn start_election(&mut self) -> Vec<Output> {
        self.now += Duration::from_secs(1);
        self.input(Input::Tick);
        let term = self.replica.status().term + 1;
        self.receive(2, term, MessageBody::PreVoteReply { granted: true })
    }

    fn become_leader(&mut self) -> u64 {
        self.start_election();
        self.sync();
        let term = self.replica.status().term;
        self.receive(2, term, MessageBody::VoteReply { granted: true });
        assert_eq!(self.replica.status().role, Role::Leader);
        self.sync();
        term
    }

    fn acknowledge(&mut self, from: u64, term: u64, index: u64) -> Vec<Output> {
        let result = AppendResult::Matched { index };
        self.receive(from, term, MessageBody::AppendReply(result))
    }
}

fn sent(out: &[Output], to: u64) -> Vec<MessageBody> {
    let sends = out.iter().filter_map(|o| match o {
        Output::Send { to: t, message } if *t == to => Some(message.body.clone()),
        _ => None,
    });
    sends.collect()
}

fn append(prev: (u64, u64), entries: Vec<Entry>) -> MessageBody {
    MessageBody::Append {
        prev_index: prev.0,
        prev_term: prev.1,
        entries,
        commit: 0,
    }
}

#[test]
fn entries_of_earlier_terms_are_committed_only_with_the_current_term() {
    let mut harness = Harness::new(restored(&[1, 2]));
    let term = harness.become_leader();
    harness.acknowledge(2, term, 2);
    assert_eq!(harness.replica.status().commit_index, 0);
    harness.acknowledge(2, term, 3);
    assert_eq!(harness.replica.status().commit_index, 3);
}

#[test]
fn votes_are_requested_after_the_candidates_vote_is_synced() {
    let mut harness = Harness::new(restored(&[1]));
    let is_vote = |b: &MessageBody| matches!(b, MessageBody::Vote { .. });
    assert!(!sent(&harness.start_election(), 3).iter().any(is_vote));
    assert!(sent(&harness.sync(), 3).iter().any(is_vote));
}

#[test]
fn truncated_entries_do_not_count_as_synced() {
    let mut harness = Harness::new(restored(&[]));
    harness.receive(
        2,
        1,
        append((0, 0), vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
    );
    let sequence = harness.written;
    harness.receive(3, 2, append((1, 1), vec![entry(2, 2)]));
    harness.input(Input::Synced { sequence });
    assert_eq!(harness.replica.status().synced_index, 1);
    harness.sync();
    assert_eq!(harness.replica.status().synced_index, 2);
    harness.receive(2, 3, append((1, 1), vec![entry(2, 3)]));
    assert_eq!(harness.replica.status().synced_index, 1);
}

#[test]
fn committed_entries_are_never_replaced() {
    let mut harness = Harness::new(restored(&[1, 1]));
    harness.receive(
        2,
        1,
        MessageBody::Heartbeat {
            commit: 2,
            round: 1,
        },
    );
    let out = harness.receive(3, 2, append((0, 0), vec![entry(1, 2)]));
    assert!(out.iter().any(|o| matches!(o, Output::Violation(_))));
    assert_eq!(harness.replica.status().role, Role::Stopped);
}

#[test]
fn member_change_waits_for_the_previous_one_and_for_an_entry_of_the_term() {
    let mut harness = Harness::new(restored(&[1]));
    let term = harness.become_leader();
    let add = |harness: &mut Harness, ticket: u64| {
        let disk = ticket;
        let change = MemberChange::AddLearner { id: ticket, disk };
        let out = harness.input(Input::ChangeMembers { ticket, change });
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
    assert!(
        add(&mut harness, 21),
        "no entry of the leader's term is committed yet"
    );
    harness.acknowledge(2, term, 2);
    assert!(!add(&mut harness, 22));
    assert!(
        add(&mut harness, 23),
        "the previous change is not committed yet"
    );
    harness.sync();
    harness.acknowledge(2, term, 3);
    assert!(!add(&mut harness, 24));
}

/// In a short log, even an empty learner is within the allowed lag. A learner
/// without the members in its log would grant no vote after the promotion.
#[test]
fn learner_is_promoted_only_when_its_log_has_the_members() {
    let mut harness = Harness::new(restored(&[1]));
    let term = harness.become_leader();
    harness.acknowledge(2, term, 2);
    let mut change = |ticket, change| harness.input(Input::ChangeMembers { ticket, change });
    change(1, MemberChange::AddLearner { id: 4, disk: 14 });
    harness.sync();
    harness.acknowledge(2, term, 3);
    harness.acknowledge(4, term, 0);
    let promote = |ticket| Input::ChangeMembers {
        ticket,
        change: MemberChange::Promote { id: 4 },
    };
    harness.input(promote(2));
    assert_eq!(harness.replica.status().last_index, 3);
    harness.acknowledge(4, term, 3);
    harness.input(promote(3));
    assert_eq!(harness.replica.status().last_index, 4);
}

#[test]
fn empty_disk_grants_no_vote() {
    let mut harness = Harness::new(PersistedState::default());
    let body = MessageBody::Vote {
        last_index: 9,
        last_term: 9,
        transfer: false,
    };
    let out = harness.receive(2, 9, body);
    assert_eq!(sent(&out, 2), [MessageBody::VoteReply { granted: false }]);
    let body = MessageBody::PreVote {
        last_index: 9,
        last_term: 9,
    };
    let out = harness.receive(2, 10, body);
    assert_eq!(
        sent(&out, 2),
        [MessageBody::PreVoteReply { granted: false }]
    );
}

#[test]
fn conflict_skips_the_whole_term() {
    let mut harness = Harness::new(restored(&[1; 100]));
    let term = harness.become_leader();
    let result = AppendResult::Conflict {
        prev_index: 100,
        hint_term: Some(2),
        hint_index: 41,
    };
    let out = harness.receive(3, term, MessageBody::AppendReply(result));
    let prev = sent(&out, 3).into_iter().find_map(|b| match b {
        MessageBody::Append { prev_index, .. } => Some(prev_index),
        _ => None,
    });
    assert_eq!(prev, Some(40));
}

#[test]
fn appends_without_a_reply_are_limited() {
    let mut harness = Harness::new(restored(&[1]));
    let term = harness.become_leader();
    harness.acknowledge(2, term, 1);
    let mut appends = 0;
    for ticket in 0..1000 {
        let data = vec![0; 200];
        let out = harness.input(Input::Propose { ticket, data });
        appends += sent(&out, 2).len();
    }
    assert!(appends <= 4, "{appends} appends without a reply");
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
fn damaged_chunk_is_requested_again_and_install_is_acknowledged_after_sync() {
    let mut harness = Harness::new(restored(&[]));
    let state: Vec<u8> = (0..100).collect();
    let first = harness.receive(2, 1, MessageBody::SnapshotChunk(chunk(&state, 0..60)));
    let wanted = MessageBody::SnapshotReply {
        index: 50,
        offset: 60,
    };
    assert_eq!(sent(&first, 2), vec![wanted.clone()]);
    let mut damaged = chunk(&state, 60..100);
    damaged.data[3] ^= 1;
    let again = harness.receive(2, 1, MessageBody::SnapshotChunk(damaged));
    assert_eq!(sent(&again, 2), [wanted]);
    let out = harness.receive(2, 1, MessageBody::SnapshotChunk(chunk(&state, 60..100)));
    assert!(out.contains(&Output::Restore { index: 50, state }));
    assert!(
        sent(&out, 2).is_empty(),
        "the snapshot was acknowledged before the sync"
    );
    let result = AppendResult::Matched { index: 50 };
    assert_eq!(sent(&harness.sync(), 2), [MessageBody::AppendReply(result)]);
    assert_eq!(harness.replica.status().synced_index, 50);
}

/// A replica that restarts has the id and the term of the process before. Replies to that process
/// make it neither a leader nor commit an entry or confirm a read, since it leads no term twice.
#[test]
fn replies_to_the_process_before_count_for_nothing() {
    let mut first = Harness::new(restored(&[1]));
    let earlier_term = first.become_leader();
    let vote = Some(1);
    let mut next = Harness::new(PersistedState {
        hard_state: HardState {
            term: earlier_term,
            vote,
        },
        ..restored(&[1])
    });
    for from in [2, 3] {
        next.receive(from, earlier_term, MessageBody::VoteReply { granted: true });
    }
    assert_eq!(next.replica.status().role, Role::Follower);
    let term = next.become_leader();
    assert!(term > earlier_term);
    next.input(Input::Read { ticket: 1 });
    let mut replies = |term| {
        let mut outputs = next.acknowledge(2, term, 2);
        let round = 9;
        outputs.extend(next.receive(2, term, MessageBody::HeartbeatReply { round }));
        let is_read = |o: &Output| {
            matches!(
                o,
                Output::Done {
                    ticket: 1,
                    result: Ok(_)
                }
            )
        };
        let is_read = outputs.iter().any(is_read);
        (next.replica.status().commit_index, is_read)
    };
    assert_eq!(replies(earlier_term), (0, false));
    let (committed, _) = replies(term);
    assert_eq!(committed, 2);
    assert!(replies(term).1, "the read is confirmed in the own term");
}
