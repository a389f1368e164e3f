//! Frames as released versions encode them.
//!
//! During an upgrade, processes of two versions share links. A frame whose encoding changes is
//! misread by the other version, so `recorded_frames.txt` keeps the bytes that c375a8d wrote.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bamboospur_agreement::{
    AppendResult, Entry, Members, Message, MessageBody, Payload, SnapshotChunk,
};
use bamboospur_crashes::{Age, CrashMessage};
use bamboospur_fleet::link::{Frame, FrameReader, Hello, Role, RouterLocation, encode};
use bamboospur_fleet::stream_origins::{BegunStreams, FoundOrigin, PossibleOrigins, StreamOrigin};
use bamboospur_group::{Change, Document, FleetChange, FleetState, ServiceSoftware};
use bamboospur_registry::{Announcement, Phase, StartTime};
use bamboospur_target_limits::{LimitShare, StatedLimit};
use bamboospur_types::{BufferBudget, RequestRate};

const RECORDED: &str = include_str!("recorded_frames.txt");

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 7], port))
}

fn announcement(phase: Phase) -> Announcement {
    Announcement {
        name: "t1".to_owned(),
        start: StartTime(5),
        sequence: 300,
        phase,
        service: "s".to_owned(),
        software: "v1".to_owned(),
        address: address(80),
        data_centre: "north".to_owned(),
        slots: 64,
        warm_up: Duration::from_millis(1_500),
    }
}

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "s".to_owned(),
        software: "v1".to_owned(),
    }
}

fn software() -> ServiceSoftware {
    ServiceSoftware {
        service: "s".to_owned(),
        software: "v1".to_owned(),
    }
}

fn members() -> Members {
    Members::from_voters(&[(1, 11), (2, 12)])
}

/// Returns a patch between two documents with many lines.
fn patch() -> Change {
    let text = |routes: u32| {
        let lines: Vec<String> = (0..routes).map(|n| format!("route {n}\n")).collect();
        lines.concat()
    };
    let base = Document::new(7, text(400).as_bytes());
    let change = Change::between(&base, &Document::new(9, text(401).as_bytes()));
    assert!(matches!(change, Change::Patch(_)));
    change
}

fn replica(body: MessageBody) -> Frame {
    let message = Message {
        from_disk: 11,
        to_disk: 12,
        term: 3,
        body,
    };
    Frame::Replica {
        to: 2,
        message: Box::new(message),
    }
}

fn election_frames() -> Vec<(&'static str, Frame)> {
    let (last_index, last_term) = (6, 3);
    let vote = MessageBody::Vote {
        last_index,
        last_term,
        transfer: false,
    };
    let pre_vote = MessageBody::PreVote {
        last_index,
        last_term,
    };
    let granted = true;
    vec![
        ("pre-vote", replica(pre_vote)),
        (
            "pre-vote-reply",
            replica(MessageBody::PreVoteReply { granted }),
        ),
        ("vote", replica(vote)),
        ("vote-reply", replica(MessageBody::VoteReply { granted })),
        ("timeout-now", replica(MessageBody::TimeoutNow)),
        ("refused", replica(MessageBody::Refused { known_disk: 11 })),
    ]
}

fn append_frames() -> Vec<(&'static str, Frame)> {
    let entry = |index, payload| Entry {
        index,
        term: 3,
        payload,
    };
    let append = MessageBody::Append {
        prev_index: 3,
        prev_term: 2,
        entries: vec![
            entry(4, Payload::Empty),
            entry(5, Payload::Data(vec![1, 2, 3])),
            entry(6, Payload::Members(members())),
        ],
        commit: 3,
    };
    let conflict = AppendResult::Conflict {
        prev_index: 3,
        hint_term: Some(1),
        hint_index: 2,
    };
    let matched = AppendResult::Matched { index: 6 };
    let heartbeat = MessageBody::Heartbeat {
        commit: 6,
        round: 40,
    };
    vec![
        ("append", replica(append)),
        ("append-matched", replica(MessageBody::AppendReply(matched))),
        (
            "append-conflict",
            replica(MessageBody::AppendReply(conflict)),
        ),
        ("heartbeat", replica(heartbeat)),
        (
            "heartbeat-reply",
            replica(MessageBody::HeartbeatReply { round: 40 }),
        ),
    ]
}

fn snapshot_frames() -> Vec<(&'static str, Frame)> {
    let chunk = SnapshotChunk {
        index: 6,
        snapshot_term: 3,
        members: members(),
        total_bytes: 3,
        total_checksum: 99,
        offset: 0,
        data: vec![4, 5, 6],
        checksum: 98,
    };
    let reply = MessageBody::SnapshotReply {
        index: 6,
        offset: 3,
    };
    vec![
        ("snapshot-chunk", replica(MessageBody::SnapshotChunk(chunk))),
        ("snapshot-reply", replica(reply)),
    ]
}

fn target_frames() -> Vec<(&'static str, Frame)> {
    let targets = |phase| vec![announcement(phase)];
    let heard = vec![("t1".to_owned(), StartTime(5), 300)];
    let report = Frame::Report {
        ticket: 8,
        announcement: Box::new(announcement(Phase::Ready)),
    };
    let leave = Frame::Leave {
        ticket: 9,
        name: "t1".to_owned(),
        start: Some(StartTime(5)),
    };
    let request = Frame::RequestTargets {
        with_prefixes: true,
        as_relay: false,
    };
    vec![
        ("request-targets", request),
        ("targets", Frame::Targets(targets(Phase::Ready))),
        ("all-targets", Frame::AllTargets(targets(Phase::Draining))),
        ("silent", Frame::Silent(targets(Phase::Gone))),
        ("heard", Frame::Heard(heard)),
        ("report", report),
        ("leave", leave),
        ("taken", Frame::Taken { ticket: 8 }),
        (
            "cached-prefixes",
            Frame::CachedPrefixes(vec![(1, 2), (3, 4)]),
        ),
        ("loads", Frame::Loads(vec![(5, 6)])),
        ("totals", Frame::Totals(vec![(5, 60)])),
    ]
}

fn stream_frames() -> Vec<(&'static str, Frame)> {
    let begun = BegunStreams {
        origin: origin(),
        streams: vec![70, 71],
    };
    let find = Frame::FindStream {
        ticket: 10,
        stream: Some(70),
        services: vec!["s".to_owned()],
    };
    let possible = PossibleOrigins {
        origins: [origin()].into(),
        is_complete: true,
    };
    let found = |ticket, found| Frame::StreamFound { ticket, found };
    vec![
        ("streams-begun", Frame::StreamsBegun(vec![begun])),
        ("find-stream", find),
        ("stream-found", found(10, FoundOrigin::Reported(origin()))),
        (
            "stream-not-found",
            found(11, FoundOrigin::NotReported(possible)),
        ),
    ]
}

fn observation_frames() -> Vec<(&'static str, Frame)> {
    let (target, limit) = (5, Some(RequestRate::from_milli_per_s(2_500)));
    let share = LimitShare {
        target,
        limit,
        holders: vec![1, 2],
    };
    let aged = || vec![(30, Age::from(Duration::from_secs(4)))];
    let crashed = CrashMessage::Crashed {
        target,
        parts: vec![30, 31],
    };
    let report = Frame::Crashes;
    vec![
        ("crashed", report(crashed)),
        ("watch", report(CrashMessage::Watch(vec![30]))),
        ("answered", report(CrashMessage::Answered(aged()))),
        ("blocked", report(CrashMessage::Blocked(aged()))),
        ("released", report(CrashMessage::Released(vec![30]))),
        (
            "stated-limits",
            Frame::StatedLimits(vec![StatedLimit { target, limit }]),
        ),
        ("limit-shares", Frame::LimitShares(vec![share])),
    ]
}

fn config_frames() -> Vec<(&'static str, Frame)> {
    let document = Document::new(9, b"text");
    let in_force = Frame::InForce {
        asked: 1_000,
        version: 9,
        routers: 72,
        fleet: 4,
    };
    let put = Frame::Put {
        ticket: 1,
        document: document.clone(),
    };
    let done = Frame::PutDone {
        ticket: 1,
        accepted: true,
    };
    let got = Frame::GetDone {
        ticket: 2,
        document: Some(document.clone()),
    };
    vec![
        ("request-config", Frame::RequestConfig(7)),
        ("no-newer-config", Frame::NoNewerConfig),
        ("config-whole", Frame::Config(Change::Whole(document))),
        ("config-patch", Frame::Config(patch())),
        ("ask", Frame::Ask(1_000)),
        ("leader", Frame::Leader(address(7_000))),
        ("in-force", in_force),
        ("put", put),
        ("put-done", done),
        ("get", Frame::Get { ticket: 2 }),
        ("get-done", got),
    ]
}

fn fleet_frames() -> Vec<(&'static str, Frame)> {
    let change = |change| Frame::ChangeFleet { ticket: 3, change };
    let evacuate = FleetChange::Evacuate {
        data_centre: "north".to_owned(),
        evacuated: true,
        base: 4,
    };
    let add = FleetChange::AddSoftware([software()].into());
    let remove = FleetChange::RemoveSoftware([software()].into());
    vec![
        ("found", change(FleetChange::Found)),
        ("evacuate", change(evacuate)),
        ("add-software", change(add)),
        ("remove-software", change(remove)),
        ("request-fleet", Frame::RequestFleet),
        ("fleet", Frame::Fleet(FleetState::default())),
    ]
}

fn link_frames() -> Vec<(&'static str, Frame)> {
    let hello = |role| Frame::Hello(Hello { id: 1, role });
    let links = address(7_000);
    let location = RouterLocation {
        data_centre: "north".to_owned(),
        links,
        reports: address(7_001),
    };
    vec![
        ("hello-router", hello(Role::Router(location))),
        ("hello-control", hello(Role::Control { links })),
        ("alive", Frame::Alive(40)),
        ("controls", Frame::Controls(vec![links])),
        ("relays", Frame::Relays(vec![("north".to_owned(), links)])),
    ]
}

/// Returns a sample of every frame. A new kind of frame needs one, and a way to be sent only to
/// peers that read it.
fn samples() -> Vec<(&'static str, Frame)> {
    let parts = [
        link_frames(),
        election_frames(),
        append_frames(),
        snapshot_frames(),
        target_frames(),
        stream_frames(),
        observation_frames(),
        config_frames(),
        fleet_frames(),
    ];
    parts.into_iter().flatten().collect()
}

fn to_hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let digits = digits.map(|two| std::str::from_utf8(two).expect("hexadecimal digits"));
    digits
        .map(|two| u8::from_str_radix(two, 16).expect("hexadecimal digits"))
        .collect()
}

/// Guards against a frame that processes of the version before and after misread.
#[test]
fn frames_are_encoded_and_read_as_by_the_released_version() {
    let lines = RECORDED.lines().filter_map(|line| line.split_once(' '));
    let recorded: BTreeMap<&str, &str> = lines.collect();
    let samples = samples();
    let encoded = |frame: &Frame| to_hex(&encode(frame).expect("a frame"));
    let lines: Vec<String> = samples
        .iter()
        .map(|(name, frame)| format!("{name} {}\n", encoded(frame)))
        .collect();
    for (name, frame) in &samples {
        let bytes = recorded.get(name).copied();
        let bytes = bytes
            .unwrap_or_else(|| panic!("{name} is not recorded; all frames:\n{}", lines.concat()));
        assert_eq!(
            encoded(frame),
            bytes,
            "the encoding of {name} changed: released versions misread it; add a new kind of \
             frame instead, and send it only to peers that read it"
        );
        let mut reader = FrameReader::new(&BufferBudget::new(usize::MAX));
        reader.push(&from_hex(bytes));
        let read = reader.take().expect("a valid frame");
        assert_eq!(read.as_ref(), Some(frame), "{name}");
    }
    assert_eq!(recorded.len(), samples.len());
}
