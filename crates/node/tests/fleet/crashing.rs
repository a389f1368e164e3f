//! Chats that crash engines, sent through several routers that see only their own.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::support::{
    CRASHING_MESSAGE, Caller, CrashRecords, CrashingEngine, WhileDown, eventually, stream_body,
};

const ENGINES: usize = 6;
const CHATS: usize = 40;
const CHAT_PAUSE: Duration = Duration::from_millis(150);
/// Crashes after which further chats with the message are counted.
const COUNTED_CRASHES: usize = 5;
const SPREAD_TIME: Duration = Duration::from_secs(1);
const MAX_LATE_CHATS: usize = 3;

/// Each router alone would have had to see several engines end.
#[test]
fn routers_tell_each_other_which_chats_crash_engines() {
    let fleet = Fleet::start(1, 2);
    fleet.add_model("demo-chat");
    let operators: Vec<_> = fleet.all().map(|process| process.operators).collect();
    let records = Arc::<Mutex<CrashRecords>>::default();
    for index in 0..ENGINES {
        let name = format!("engine-{index}");
        CrashingEngine::start(&name, operators.clone(), &records, WhileDown::Refuse);
    }
    let callers: Vec<Caller> = fleet
        .all()
        .map(|process| Caller::new(process.callers).with_deadline_ms(4_000))
        .collect();
    let send = |caller: &Caller, messages: &[&str]| {
        caller.post("/v1/chat/completions", &stream_body(messages))
    };
    for caller in &callers {
        eventually("the engines serve", || {
            send(caller, &["system", "ready?"]).has_end_event()
        });
    }
    for chat in 0..CHATS {
        let question = format!("question {chat}");
        let caller = &callers[chat % callers.len()];
        send(caller, &["system", CRASHING_MESSAGE, &question]);
        thread::sleep(CHAT_PAUSE);
    }
    let records = records.lock().expect("records");
    let counted: Option<&Instant> = records.crashes.get(COUNTED_CRASHES - 1);
    let arrivals = records.crashing_arrivals.iter();
    let late = arrivals.filter(|&&at| counted.is_some_and(|&crash| at > crash + SPREAD_TIME));
    let (late, crashes) = (late.count(), records.crashes.len());
    println!("{crashes} crashes, {late} late");
    assert!(late <= MAX_LATE_CHATS, "{late} after {crashes} crashes");
    for caller in &callers {
        eventually("sound chats are served", || {
            send(caller, &["system", "well?"]).has_end_event()
        });
        let blocked = send(caller, &["system", CRASHING_MESSAGE, "again"]);
        assert_eq!(blocked.status, 503, "{blocked:?}");
    }
    fleet.assert_no_violations();
}
