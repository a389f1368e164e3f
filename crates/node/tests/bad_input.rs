//! Requests that are refused before anything is sent to a target.

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use bamboospur_types::ResultCode as Code;
use support::{Answer, Caller, Node, TargetAction, eventually};

const CHAT: &str = "/v1/chat/completions";
const HELLO: &str =
    "{\"model\":\"demo-chat\",\"messages\":[{\"role\":\"user\",\"content\":\"Hi\"}]}";

#[track_caller]
fn assert_refused(answer: &Answer, code: Code) {
    answer.assert_outcome("not-run", code);
    assert_eq!(answer.status, code.http_status(), "{answer:?}");
    let message = &answer.json()["error"]["message"];
    let sentence = message.as_str().unwrap_or_default();
    assert!(sentence.contains(' '), "no sentence: {answer:?}");
}

/// Guards against a refusal without a result code or message, and against sending a
/// refused request to a target.
#[test]
fn bad_requests_get_a_numbered_answer() {
    let node = Node::builder().limit("body_bytes", 2000).start();
    let engine = node.add_engine(&[]);
    let records = node.add_records(&[]);
    let caller = node.caller();
    let large = format!("{{\"model\":\"{}\"}}", "x".repeat(3000));
    let other = HELLO.replace("demo-chat", "other");
    let bad_offer = HELLO.replace("demo-chat", "demo-chat@");
    let cases = [
        (
            caller
                .clone()
                .with_header("authorization", "Bearer wrong")
                .post(CHAT, HELLO),
            Code::Unauthenticated,
        ),
        (
            caller
                .clone()
                .with_header("authorization", "demo")
                .post(CHAT, HELLO),
            Code::Unauthenticated,
        ),
        (caller.post(CHAT, "{"), Code::BadRequest),
        (
            caller.post(CHAT, "{\"model\":\"demo-chat\",\"messages\":[]}"),
            Code::BadRequest,
        ),
        (caller.post(CHAT, &large), Code::TooLarge),
        (caller.post(CHAT, &other), Code::UnknownModel),
        (caller.post(CHAT, &bad_offer), Code::UnknownModel),
        (caller.get(CHAT), Code::BadMethod),
        (caller.get("/nothing"), Code::UnknownPath),
        (caller.get("/services/"), Code::UnknownPath),
        (caller.get("/services/other/x"), Code::UnknownPool),
        (caller.get("/services/demo-chat/x"), Code::UnknownPool),
        (caller.post_record("entry"), Code::KeyRequired),
        (
            caller
                .clone()
                .with_key(&"k".repeat(300))
                .post_record("entry"),
            Code::BadRequest,
        ),
        (
            caller
                .clone()
                .with_header("bamboospur-deadline-ms", "soon")
                .post(CHAT, HELLO),
            Code::BadRequest,
        ),
    ];
    for (answer, code) in cases {
        assert_refused(&answer, code);
    }
    assert_eq!((engine.runs(), records.runs()), (0, 0));
    caller
        .post(CHAT, HELLO)
        .assert_outcome("answered", Code::Ok);
}

/// Guards against framing that two HTTP implementations read differently.
#[test]
fn ambiguous_framing_is_refused() {
    let node = Node::start();
    let engine = node.add_engine(&[]);
    let caller = node.caller();
    let framings = [
        "content-length: 5\r\ncontent-length: 6\r\n\r\nabcde",
        "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "content-length: +5\r\n\r\nabcde",
    ];
    for framing in framings {
        let request = caller.request_head("POST", CHAT) + framing;
        assert_refused(&caller.send_raw(request.as_bytes()), Code::BadRequest);
    }
    let records = node.add_records(&[]);
    let head = caller
        .clone()
        .with_key("a")
        .request_head("POST", "/services/records/x");
    for chunks in ["5\r\nentryX\r\n0\r\n\r\n", "z\r\nentry\r\n0\r\n\r\n"] {
        let request = format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}");
        assert_refused(&caller.send_raw(request.as_bytes()), Code::BadRequest);
    }
    // A request whose body ends within a chunk is not run.
    let cut = format!("{head}transfer-encoding: chunked\r\n\r\n5\r\nent");
    let stream = caller.open(cut.as_bytes());
    stream.shutdown(Shutdown::Write).expect("half closed");
    thread::sleep(Duration::from_millis(300));
    assert_eq!((engine.runs(), records.runs()), (0, 0));
}

/// Guards against a chunked body that reaches the target truncated, joined wrongly or
/// with its chunk sizes.
#[test]
fn a_chunked_body_arrives_whole() {
    let node = Node::start();
    let records = node.add_records(&[]);
    let caller = node.caller().with_key("a");
    let request = caller.request_head("POST", "/services/records/x")
        + "transfer-encoding: chunked\r\n\r\n3\r\nent\r\n2;x=y\r\nry\r\n0\r\n\r\n";
    caller
        .send_raw(request.as_bytes())
        .assert_outcome("answered", Code::Ok);
    let seen = records.received_requests();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].body, "entry");
    assert_eq!(seen[0].header("content-length").as_deref(), Some("5"));
    assert_eq!(seen[0].header("transfer-encoding"), None);
}

/// Guards against allocating the declared length of a body, which would abort the
/// process, and against a slow body that occupies a thread for ever.
#[test]
fn oversized_and_slow_bodies_do_not_stop_the_node() {
    let node = Node::builder()
        .limit("body_timeout_ms", 300)
        .limit("head_timeout_ms", 200)
        .start();
    let engine = node.add_engine(&[]);
    let caller = node.caller();
    for length in [
        "99999999999",
        "8000000000000000",
        "9999999999999999999",
        "18446744073709551615",
    ] {
        let request =
            caller.request_head("POST", CHAT) + &format!("content-length: {length}\r\n\r\nx");
        let answer = caller.send_raw(request.as_bytes());
        assert!(answer.status == 413 || answer.status == 400, "{answer:?}");
        assert_eq!(answer.outcome(), "not-run", "{answer:?}");
    }
    let slow = caller.request_head("POST", CHAT) + "content-length: 5000\r\n\r\nx";
    assert_refused(&caller.send_raw(slow.as_bytes()), Code::CallerTooSlow);
    caller
        .post(CHAT, HELLO)
        .assert_outcome("answered", Code::Ok);
    assert_eq!(engine.runs(), 1);
}

/// Guards against a caller that sends its body byte by byte without end.
#[test]
fn a_body_sent_byte_by_byte_is_refused_at_its_deadline() {
    let node = Node::builder().limit("body_timeout_ms", 400).start();
    let engine = node.add_engine(&[]);
    let caller = node.caller();
    let head = caller.request_head("POST", CHAT) + "content-length: 5000\r\n\r\n";
    let mut stream = caller.open(head.as_bytes());
    let mut slow_writer = stream.try_clone().expect("clone");
    thread::spawn(move || {
        while slow_writer.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(20));
        }
    });
    assert_refused(&support::read_answer(&mut stream), Code::CallerTooSlow);
    assert_eq!(engine.runs(), 0);
}

/// Guards against more requests in progress than the limit of the instance.
#[test]
fn a_full_instance_refuses_requests_until_others_end() {
    let node = Node::builder().limit("requests", 3).start();
    let engine = node.add_engine(&[TargetAction::AnswerAfterMs(800); 3]);
    let running: Vec<_> = (0..3)
        .map(|_| {
            let caller = node.caller();
            thread::spawn(move || caller.send_chat())
        })
        .collect();
    eventually("three requests run", || engine.runs() == 3);
    let refused = node.caller().send_chat();
    assert_refused(&refused, Code::InstanceFull);
    assert!(!refused.header("retry-after").is_empty(), "{refused:?}");
    for caller in running {
        caller
            .join()
            .expect("caller")
            .assert_outcome("answered", Code::Ok);
    }
    node.caller()
        .send_chat()
        .assert_outcome("answered", Code::Ok);
    assert_eq!(engine.runs(), 4);
}

/// Guards against idle connections that block other callers for ever, and against a
/// listener that accepts nothing after the connection limit or an idle time.
#[test]
fn idle_connections_do_not_block_callers() {
    let node = Node::builder()
        .limit("connections", 4)
        .limit("head_timeout_ms", 300)
        .start();
    let engine = node.add_engine(&[]);
    let idle: Vec<_> = (0..12)
        .map(|_| node.caller().open(b"POST /v1/ch"))
        .collect();
    thread::sleep(Duration::from_millis(1200));
    node.caller()
        .send_chat()
        .assert_outcome("answered", Code::Ok);
    drop(idle);
    node.caller()
        .send_chat()
        .assert_outcome("answered", Code::Ok);
    assert_eq!(engine.runs(), 2);
}

/// Guards against an unbounded number of open connections.
#[test]
fn connections_above_the_limit_are_not_accepted() {
    let node = Node::builder().limit("connections", 4).start();
    let held: Vec<_> = (0..6).map(|_| node.caller().open(b"GET /")).collect();
    let probe = || {
        let mut stream = node.caller().open(b"GET /healthz HTTP/1.1\r\n\r\n");
        let wait = Some(Duration::from_millis(300));
        stream.set_read_timeout(wait).expect("time-out");
        support::read_answer(&mut stream).status
    };
    eventually("no further connection is accepted", || probe() == 0);
    drop(held);
    eventually("connections are accepted again", || probe() == 200);
}

/// Guards against malformed request heads that crash the node.
#[test]
fn malformed_heads_do_not_stop_the_node() {
    let node = Node::start();
    let _engine = node.add_engine(&[]);
    let caller = node.caller();
    let heads: [&[u8]; 5] = [
        b"\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
        b"\xff\xfe\x00 / HTTP/1.1\r\n\r\n",
    ];
    for head in heads {
        let stream = caller.open(head);
        drop(stream);
    }
    caller
        .post(CHAT, HELLO)
        .assert_outcome("answered", Code::Ok);
}

/// Guards against secrets in the log and in requests to targets.
#[test]
fn keys_are_neither_logged_nor_sent_on() {
    let node = Node::start();
    let engine = node.add_engine(&[TargetAction::CloseInHead]);
    let caller = Caller::new(node.callers);
    caller
        .clone()
        .with_header("authorization", "Bearer wrong-secret")
        .post(CHAT, HELLO);
    caller
        .with_header("authorization", "Bearer demo")
        .with_header("cookie", "crumb")
        .post(CHAT, HELLO);
    eventually("the requests are logged", || {
        node.log().contains("\"code\":0")
    });
    let log = node.log();
    assert!(
        !log.contains("wrong-secret") && !log.contains("Bearer"),
        "{log}"
    );
    for seen in engine.received_requests() {
        assert!(
            !seen.head.to_lowercase().contains("authorization"),
            "{seen:?}"
        );
        assert!(!seen.head.contains("crumb"), "{seen:?}");
    }
}

/// Guards against numbers of targets, callers and operators that stop a thread of the node.
#[test]
fn extreme_numbers_do_not_stop_the_node() {
    const NUMBERS: [&str; 12] = [
        "0",
        "-1",
        "0.5",
        "4294967295",
        "4294967296",
        "9223372036854775807",
        "18446744073709551615",
        "1e20",
        "1e22",
        "1e300",
        "1e-300",
        "-1e22",
    ];
    let node = Node::start();
    let engine = node.add_engine(&[]);
    let caller = node.caller();
    let operator = Caller::new(node.operators);
    for number in NUMBERS {
        let late = caller.clone().with_header("bamboospur-deadline-ms", number);
        assert_ne!(late.post(CHAT, HELLO).status, 0, "deadline {number}");
        let long = HELLO.replacen('{', &format!("{{\"max_tokens\":{number},"), 1);
        assert_ne!(caller.post(CHAT, &long).status, 0, "max_tokens {number}");
        for field in ["incarnation", "capacity_tokens", "capacity_requests"] {
            let fields = ["incarnation", "capacity_tokens", "capacity_requests"];
            let fields = fields.map(|name| {
                let value = if name == field { number } else { "1" };
                format!("\"{name}\":{value}")
            });
            let record = format!(
                "{{\"name\":\"{field}-{number}\",\"address\":\"127.0.0.1:9\",\
                 \"data_centre\":\"dev\",\"pool\":\"unused\",\"kind\":\"service\",\
                 \"offers\":[],\"checks_fencing\":false,{}}}",
                fields.join(",")
            );
            let answer = operator.post("/targets/announce", &record);
            assert_ne!(answer.status, 0, "{field} {number}");
        }
        for field in ["sequence", "load_tokens", "load_requests"] {
            let beat = format!(
                "{{\"name\":\"{}\",\"incarnation\":1,\"state\":\"ready\",\"sequence\":1,\
                 \"{field}\":{number}}}",
                "other"
            );
            let answer = operator.post("/targets/heartbeat", &beat);
            assert_ne!(answer.status, 0, "{field} {number}");
        }
    }
    caller
        .post(CHAT, HELLO)
        .assert_outcome("answered", Code::Ok);
    assert!(engine.runs() > 0);
    assert!(!node.log().contains("panic"), "{}", node.log());
}

/// Guards against callers that are told to return after years because one target said so.
#[test]
fn the_pause_that_a_target_asks_for_is_limited_for_callers() {
    let node = Node::start();
    let engine = node.add_engine(&[]);
    for seconds in ["3600", "18446744073709551615", "1e300"] {
        // New requests fill the retry budget.
        for _ in 0..30 {
            node.caller().send_chat();
        }
        for _ in 0..3 {
            engine.push_action(TargetAction::RefuseFor(seconds));
        }
        let answer = node.caller().send_chat();
        answer.assert_outcome("not-run", Code::TargetRefused);
        let pause: u64 = answer.header("retry-after").parse().expect("a number");
        assert!(pause <= 5, "{seconds}: {answer:?}");
        eventually("the target answers", || {
            node.caller().send_chat().status == 200
        });
    }
}
