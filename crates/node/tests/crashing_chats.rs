//! Chats with a message that crashes each engine which begins to answer it.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_types::ResultCode as Code;
use support::{
    CRASHING_MESSAGE, Caller, CrashRecords, CrashingEngine, Node, WhileDown, eventually,
    stream_body,
};

const ENGINES: usize = 8;
const SOUND_CALLERS: usize = 8;
const SOUND_PAUSE: Duration = Duration::from_millis(100);
const CRASHING_PAUSE: Duration = Duration::from_millis(200);
const PLAY_TIME: Duration = Duration::from_secs(14);
/// Crashes after which further chats with the message are counted.
const COUNTED_CRASHES: usize = 5;
/// Time in which the node learns of the message.
const LEARN_TIME: Duration = Duration::from_secs(1);
const MAX_LATE_CHATS: usize = 3;
const MIN_SERVED_SHARE: f64 = 0.9;

/// Sends sound chats that share their first message until `done`; returns how many of them
/// were served, and how many there were.
fn send_sound(caller: &Caller, number: usize, done: &AtomicBool) -> (usize, usize) {
    let (mut served, mut sent) = (0, 0);
    while !done.load(Ordering::SeqCst) {
        let document = format!("document {}", (number + sent) % 3);
        let own = format!("question {number} {sent}");
        let answer = caller.post(
            "/v1/chat/completions",
            &stream_body(&["system", &document, &own]),
        );
        sent += 1;
        served += usize::from(answer.status == 200 && answer.has_end_event());
        thread::sleep(SOUND_PAUSE);
    }
    (served, sent)
}

/// Sends chats with the crashing message, no two alike, until `done`; returns the last answer.
fn send_crashing(caller: &Caller, done: &AtomicBool) -> support::Answer {
    let mut last = None;
    for number in 0.. {
        if done.load(Ordering::SeqCst) {
            break;
        }
        let document = format!("document {}", number % 3);
        let own = format!("other question {number}");
        let body = stream_body(&["system", &document, CRASHING_MESSAGE, &own]);
        last = Some(caller.post("/v1/chat/completions", &body));
        thread::sleep(CRASHING_PAUSE);
    }
    last.expect("an answer")
}

/// A message that crashes engines took the whole pool down: each chat with it was placed,
/// retried, and resumed at the engine that had started again.
#[test]
fn chats_with_a_message_that_crashes_engines_are_rejected_and_others_are_served() {
    check_crashing_chats(WhileDown::Refuse);
}

/// An engine whose proxy took and reset connections while it was down counted as running, and
/// the message was never blocked.
#[test]
fn chats_that_crash_engines_behind_proxies_are_rejected_and_others_are_served() {
    check_crashing_chats(WhileDown::Reset);
}

/// Sends chats that crash engines beside sound ones; checks which are rejected.
fn check_crashing_chats(while_down: WhileDown) {
    let node = Node::start();
    let records = Arc::<Mutex<CrashRecords>>::default();
    for index in 0..ENGINES {
        let name = format!("engine-{index}");
        CrashingEngine::start(&name, vec![node.operators], &records, while_down);
    }
    let caller = node.caller().with_deadline_ms(5_000);
    eventually("the engines serve", || {
        let body = stream_body(&["system", "ready?"]);
        caller.post("/v1/chat/completions", &body).has_end_event()
    });
    let done = AtomicBool::new(false);
    let (sound, last) = thread::scope(|scope| {
        let (caller, done) = (&caller, &done);
        let sound =
            (0..SOUND_CALLERS).map(|number| scope.spawn(move || send_sound(caller, number, done)));
        let sound: Vec<_> = sound.collect();
        thread::sleep(Duration::from_secs(1));
        let crashing = scope.spawn(move || send_crashing(caller, done));
        thread::sleep(PLAY_TIME);
        done.store(true, Ordering::SeqCst);
        let sound = sound
            .into_iter()
            .map(|thread| thread.join().expect("counts"));
        let sound = sound.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
        (sound, crashing.join().expect("an answer"))
    });
    let records = records.lock().expect("records");
    let counted: Option<&Instant> = records.crashes.get(COUNTED_CRASHES - 1);
    let arrivals = records.crashing_arrivals.iter();
    let late = arrivals.filter(|&&at| counted.is_some_and(|&crash| at > crash + LEARN_TIME));
    let late = late.count();
    let crashes = records.crashes.len();
    let (served, sent) = sound;
    println!("{crashes} crashes, {late} late, {served} of {sent} served");
    assert!(late <= MAX_LATE_CHATS, "{late} after {crashes} crashes");
    #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
    let share = served as f64 / sent as f64;
    assert!(share >= MIN_SERVED_SHARE, "{served} of {sent}");
    last.assert_outcome("not-run", Code::CrashesTargets);
    assert!(!last.header("retry-after").is_empty());
}
