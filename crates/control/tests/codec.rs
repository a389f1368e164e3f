//! Tests the formats on disk and on the wire: every value decodes to what was
//! encoded, a checksum rejects changed bytes, and no input makes a decoder panic
//! or overflow the stack.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_agreement::{MemberChange, checksum};
use bamboospur_claims::{
    Attempt, ClaimResponse, ClaimSettings, ReleaseOutcome, SettleOutcome, StoredAnswer,
};
use bamboospur_control::{
    ClaimCommand, Command, ControlState, Entry, MemberError, ProposalId, Reply, Request, Response,
    RouterReport, claim_key, decode_command, decode_diff, decode_entry, decode_follower,
    decode_request, decode_response, encode_command, encode_diff, encode_entry, encode_follower,
    encode_request, encode_response,
};
use bamboospur_orders::{
    Action, FencingToken, FinishOutcome, Order, OrderResult, PlannedOrder, Report,
};
use bamboospur_settings::{Accepted, Change, Edit, Follower, Refusal, Value};
use bamboospur_types::{ResultCode, mix64};

fn at(ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(ms)
}

fn change_command(number: u64, path: &str, base_version: u64, edit: Edit) -> Command {
    Command::Change(Change {
        id: format!("change-{number}"),
        operator: "ada".to_owned(),
        path: path.parse().expect("a path"),
        base_version,
        edit,
    })
}

fn report() -> Report {
    Report {
        requested_at: at(5),
        pool: "gpu".to_owned(),
        offers: ["chat@1".parse().expect("an offer")].into(),
        role: "both".to_owned(),
        ready: true,
        checks_fencing: true,
    }
}

fn order() -> Order {
    Order {
        id: 4,
        target: 1,
        action: Action::Role {
            role: "decode".to_owned(),
        },
        fencing: FencingToken {
            term: 2,
            counter: 4,
        },
        deadline: at(9),
    }
}

fn attempt(number: u64) -> Attempt {
    Attempt {
        instance: 7,
        number,
    }
}

fn commands() -> Vec<Command> {
    let key = claim_key("demo", "key");
    let nested = Value::parse_toml("a = { b = [1, \"x\", true, []] }").expect("TOML");
    let claim = ClaimCommand {
        key,
        fingerprint: 9,
        attempt: attempt(1),
        run_timeout: Duration::from_mins(1),
    };
    let other = ClaimCommand {
        key: claim_key("demo", "other"),
        ..claim
    };
    let stored = StoredAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: vec![0, 1, 255],
    };
    let load = PlannedOrder {
        target: 5,
        action: Action::Load {
            offer: "m@1+a".parse().expect("an offer"),
        },
        checks_fencing: true,
    };
    let fencing = FencingToken {
        term: 3,
        counter: 1,
    };
    vec![
        change_command(1, "teams.demo.priority", 0, Edit::Set(Value::Integer(3))),
        change_command(2, "teams.demo", 1, Edit::Set(nested)),
        change_command(3, "teams.\"a.b\"", 0, Edit::Unset),
        change_command(4, "teams.demo", 1, Edit::Rollback { revision: 0 }),
        Command::Claims(vec![claim, other]),
        Command::Settle {
            key,
            attempt: attempt(1),
            stored: Arc::new(stored),
        },
        Command::Release {
            key: other.key,
            attempt: attempt(1),
        },
        Command::Expire { count: 10 },
        Command::IssueOrders {
            term: 3,
            wanted: vec![load],
        },
        Command::FinishOrder {
            target: 5,
            fencing,
            result: OrderResult::Unknown,
        },
    ]
}

fn responses() -> Vec<Result<Response, MemberError>> {
    let refusal = Refusal {
        code: ResultCode::VersionConflict,
        path: "fleet".to_owned(),
        message: "read it again".to_owned(),
        present_version: 4,
    };
    let running = ClaimResponse::Running {
        holder: attempt(2),
        run_deadline: at(5000),
    };
    let replies = [
        Reply::Change(Ok(Accepted { revision: 8 })),
        Reply::Change(Err(refusal)),
        Reply::Claims(vec![
            ClaimResponse::Granted,
            running,
            ClaimResponse::KeyReused,
        ]),
        Reply::Settled(SettleOutcome::NotKept),
        Reply::Released(ReleaseOutcome::Absent),
        Reply::Expired(3),
        Reply::OrderFinished(FinishOutcome::Kept),
        Reply::Skipped,
    ];
    let mut answers: Vec<_> = replies
        .into_iter()
        .map(|reply| Ok(Response::Applied(reply)))
        .collect();
    answers.extend([
        Ok(Response::Watched(Some(ClaimResponse::Unknown))),
        Ok(Response::Watched(None)),
        Ok(Response::Read { index: 4 }),
        Ok(Response::Members { index: 5 }),
        Ok(Response::Changes(
            populated_state().settings().changes_since(0),
        )),
        Ok(Response::Routers(vec![RouterReport {
            id: 1,
            revision: 2,
            silent_ms: 3,
            connected: true,
        }])),
        Ok(Response::Orders(vec![order()])),
        Err(MemberError::NotLeader { leader: Some(1) }),
        Err(MemberError::NotApplied {
            message: "busy".to_owned(),
        }),
        Err(MemberError::OutcomeUnknown),
        Err(MemberError::Invalid {
            message: "no".to_owned(),
        }),
    ]);
    answers
}

fn populated_state() -> ControlState {
    let mut state = ControlState::new(ClaimSettings::default());
    for (index, command) in (1..).zip(commands()) {
        state.apply(index, at(1000 * index), &command);
    }
    state
}

#[test]
fn commands_requests_and_answers_round_trip() {
    for command in commands() {
        let entry = Entry {
            origin: ProposalId {
                process: 1,
                proposal: 2,
            },
            at: at(77),
            command: command.clone(),
        };
        assert_eq!(
            decode_entry(&encode_entry(&entry).expect("encodes")),
            Ok(entry)
        );
        let bytes = encode_command(&command).expect("encodes");
        assert_eq!(decode_command(&bytes), Ok(command.clone()));
        let longer = [bytes.as_slice(), &[0]].concat();
        decode_command(&longer).expect_err("one byte too many");
        let request = Request::Command(command);
        let bytes = encode_request(&request).expect("encodes");
        assert_eq!(decode_request(&bytes), Ok(request));
    }
    let requests = [
        Request::Watch {
            key: claim_key("a", "b"),
        },
        Request::Read,
        Request::Members(MemberChange::AddLearner { id: 1, disk: 2 }),
        Request::Changes { since: 3 },
        Request::Routers,
        Request::Engines {
            reports: vec![(1, report())],
            ended: vec![(2, order().fencing, OrderResult::Unknown)],
        },
    ];
    for request in requests {
        let bytes = encode_request(&request).expect("encodes");
        assert_eq!(decode_request(&bytes), Ok(request));
    }
    for answer in responses() {
        let bytes = encode_response(&answer).expect("encodes");
        assert_eq!(decode_response(&bytes), Ok(answer));
    }
}

#[test]
fn a_restored_state_continues_like_the_original() {
    let mut original = populated_state();
    let bytes = original.snapshot().expect("encodes");
    let mut restored = ControlState::restore(&bytes, ClaimSettings::default()).expect("valid");
    assert_eq!(restored.snapshot().expect("encodes"), bytes);
    for (index, command) in (100..).zip(commands()) {
        let replies = (
            original.apply(index, at(1), &command),
            restored.apply(index, at(1), &command),
        );
        assert_eq!(replies.0, replies.1, "{command:?}");
    }
    assert_eq!(original.snapshot(), restored.snapshot());
    assert_eq!(original.violations().count, 0);
}

#[test]
fn the_clock_never_goes_back_and_an_index_is_applied_once() {
    let mut state = populated_state();
    let clock = state.clock();
    let command = change_command(9, "teams.late.priority", 0, Edit::Set(Value::Integer(1)));
    state.apply(50, at(1), &command);
    assert_eq!(state.clock(), clock);
    assert_eq!(state.violations().count, 0);
    assert_eq!(state.apply(50, at(9), &command), Reply::Skipped);
    assert_eq!(state.violations().count, 1);
}

#[test]
fn checksums_reject_every_changed_byte_and_truncation() {
    let state = populated_state();
    let mut follower = Follower::default();
    follower.apply(&state.settings().changes_since(0));
    let snapshot = state.snapshot().expect("encodes");
    let copy = encode_follower(&follower).expect("encodes");
    assert_eq!(
        decode_follower(&copy).expect("valid").tree(),
        follower.tree()
    );
    for index in 0..snapshot.len() {
        let mut changed = snapshot.clone();
        changed[index] ^= 1 << (index % 8);
        ControlState::restore(&changed, ClaimSettings::default()).expect_err("changed");
        ControlState::restore(&snapshot[..index], ClaimSettings::default()).expect_err("truncated");
    }
    for index in 0..copy.len() {
        let mut changed = copy.clone();
        changed[index] ^= 1 << (index % 8);
        decode_follower(&changed).expect_err("changed");
        decode_follower(&copy[..index]).expect_err("truncated");
    }
}

/// Passes the bytes to every decoder and applies what can be decoded, as a replica
/// would.
fn decode_all(bytes: &[u8], state: &mut ControlState) {
    let _ = decode_response(bytes);
    let _ = decode_request(bytes);
    let _ = decode_follower(bytes);
    let _ = ControlState::restore(bytes, ClaimSettings::default());
    if let Ok(command) = decode_command(bytes) {
        state.apply(state.applied() + 1, at(1), &command);
    }
    if let Ok(entry) = decode_entry(bytes) {
        state.apply(state.applied() + 1, entry.at, &entry.command);
    }
    if let Ok(diff) = decode_diff(bytes) {
        Follower::default().apply(&diff);
    }
}

#[test]
fn decoders_do_not_panic_on_corrupt_or_random_bytes() {
    const SEED: u64 = 41;
    println!("seed {SEED}");
    let mut samples: Vec<Vec<u8>> = commands().iter().flat_map(encode_command).collect();
    samples.extend(responses().iter().flat_map(encode_response));
    samples.extend(encode_diff(&populated_state().settings().changes_since(0)));
    let mut random = SEED;
    let mut next = |limit: usize| {
        random = mix64(random.wrapping_add(0x9e37_79b9_7f4a_7c15));
        usize::try_from(random % limit as u64).expect("small")
    };
    let mut state = populated_state();
    for _ in 0..60_000 {
        let mut bytes = samples[next(samples.len())].clone();
        for _ in 0..=next(4) {
            let index = next(bytes.len());
            bytes[index] = u8::try_from(next(256)).expect("a byte");
        }
        bytes.truncate(bytes.len() - next(3).min(bytes.len() - 1));
        decode_all(&bytes, &mut state);
    }
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..next(64))
            .map(|_| u8::try_from(next(256)).expect("a byte"))
            .collect();
        decode_all(&bytes, &mut state);
    }
}

/// Corrects the checksum, so that the changed bytes reach the decoder. The header
/// has 4 bytes of magic number, 2 of version and 8 of checksum.
fn with_corrected_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let sum = checksum(&bytes[14..]).to_le_bytes();
    bytes[6..14].copy_from_slice(&sum);
    bytes
}

#[test]
fn corrupt_snapshots_with_valid_checksums_do_not_panic() {
    const SEED: u64 = 42;
    println!("seed {SEED}");
    let snapshot = populated_state().snapshot().expect("encodes");
    let mut random = SEED;
    let mut next = |limit: usize| {
        random = mix64(random.wrapping_add(0x9e37_79b9_7f4a_7c15));
        usize::try_from(random % limit as u64).expect("small")
    };
    let mut restored = 0;
    for _ in 0..20_000 {
        let mut bytes = snapshot.clone();
        for _ in 0..=next(3) {
            let index = 14 + next(bytes.len() - 14);
            bytes[index] = u8::try_from(next(256)).expect("a byte");
        }
        let state =
            ControlState::restore(&with_corrected_checksum(bytes), ClaimSettings::default());
        let Ok(mut state) = state else { continue };
        restored += 1;
        for command in commands() {
            state.apply(state.applied().saturating_add(1), at(1), &command);
        }
        state.snapshot().expect("encodes");
    }
    assert!(restored > 1000, "only {restored} snapshots were restored");
}

#[test]
fn deeply_nested_values_are_rejected_without_stack_overflow() {
    let mut value = Value::Integer(1);
    for _ in 0..20 {
        value = Value::List(vec![value]);
    }
    encode_command(&change_command(1, "fleet", 0, Edit::Set(value))).expect_err("too deep");
    // Lists nested 200,000 levels deep, encoded by hand: version, change, id,
    // operator, path, base version, set, number of tokens, tokens.
    let mut bytes = vec![1, 0, 1, b'i', 1, b'o', 5];
    bytes.extend(b"fleet");
    bytes.extend([0, 0, 0xc0, 0x9a, 0x0c]);
    bytes.extend([3, 1].repeat(200_000));
    decode_command(&bytes).expect_err("too deep");
}
