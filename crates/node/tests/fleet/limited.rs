//! Targets that state how many requests per second they take from all routers together.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::process::Process;
use crate::support::{Caller, Target, eventually};

const CALLERS: usize = 9;
const CALLER_PAUSE: Duration = Duration::from_millis(150);
/// Time in which all routers learn of a limit.
const SPREAD_TIME: Duration = Duration::from_secs(1);
const LIMITED_TIME: Duration = Duration::from_secs(10);
/// Span in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
const LIMIT: &str = "2.5";
const LIMIT_PER_S: f64 = 2.5;
/// Requests that a target may get in a window beyond one and a half times its limit.
const SLACK: f64 = 5.0;
/// Requests that reach the target soon after the end of its limit.
const USED_AFTERWARDS: usize = 100;
const USED_WITHIN: Duration = Duration::from_secs(10);
/// Least part of the limit that is used while another target has room.
const MIN_USED_SHARE: f64 = 0.25;
const MIN_SERVED_SHARE: f64 = 0.98;

/// Returns the most arrivals in a window, and all, in a span of time.
fn arrivals(target: &Target, from: Instant, to: Instant) -> (f64, f64) {
    let requests = target.received_requests();
    let at = requests.iter().map(|request| request.received_at);
    let at: Vec<Instant> = at.filter(|&at| from <= at && at < to).collect();
    let in_window = |&end: &Instant| {
        let window = at.iter();
        window.filter(|&&at| at <= end && at + WINDOW > end).count()
    };
    let most = at.iter().map(in_window).max().unwrap_or(0);
    let count = |count| f64::from(u32::try_from(count).expect("a count"));
    (count(most), count(at.len()))
}

/// Callers of all routers that send one chat after the other.
struct Load {
    callers: Vec<Caller>,
    done: AtomicBool,
    asked: AtomicUsize,
    served: AtomicUsize,
}

impl Load {
    fn new(fleet: &Fleet) -> Self {
        let caller = |process: &Process| Caller::new(process.callers).with_deadline_ms(4_000);
        Self {
            callers: fleet.all().map(caller).collect(),
            done: AtomicBool::new(false),
            asked: AtomicUsize::new(0),
            served: AtomicUsize::new(0),
        }
    }

    fn send_until_done(&self, index: usize) {
        for number in 0.. {
            if self.done.load(Ordering::SeqCst) {
                return;
            }
            let caller = &self.callers[(index + number) % self.callers.len()];
            let served = send(caller, &format!("chat-{index}-{number}"));
            self.asked.fetch_add(1, Ordering::SeqCst);
            self.served.fetch_add(usize::from(served), Ordering::SeqCst);
            thread::sleep(CALLER_PAUSE);
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
    fn served_share(&self) -> f64 {
        let (served, asked) = (&self.served, &self.asked);
        served.load(Ordering::SeqCst) as f64 / asked.load(Ordering::SeqCst).max(1) as f64
    }
}

fn send(caller: &Caller, chat: &str) -> bool {
    let body = format!(
        "{{\"model\":\"demo-chat\",\"chat_id\":\"{chat}\",\"messages\":\
         [{{\"role\":\"user\",\"content\":\"Hello\"}}]}}"
    );
    caller.post("/v1/chat/completions", &body).status == 200
}

/// Each router sent as many requests as before to a target that had stated a limit.
#[test]
fn routers_keep_the_limit_that_a_target_states_to_any_of_them() {
    let fleet = Fleet::start(1, 2);
    fleet.add_model("demo-chat");
    let operators = fleet.all().next().expect("a process").operators;
    let target = |name| Target::start(name, "demo-chat", "engine", &[], operators);
    let (limited, free) = (target("engine-0"), target("engine-1"));
    let load = Load::new(&fleet);
    for caller in &load.callers {
        eventually("the engines serve", || send(caller, "ready"));
    }
    let (from, to, runs) = thread::scope(|scope| {
        for index in 0..CALLERS {
            let load = &load;
            scope.spawn(move || load.send_until_done(index));
        }
        thread::sleep(Duration::from_secs(1));
        limited.state_limit(Some(LIMIT));
        thread::sleep(SPREAD_TIME);
        let from = Instant::now();
        thread::sleep(LIMITED_TIME);
        let to = Instant::now();
        limited.state_limit(None);
        let runs = limited.runs();
        let end = to + USED_WITHIN;
        while limited.runs() < runs + USED_AFTERWARDS && Instant::now() < end {
            thread::sleep(Duration::from_millis(50));
        }
        load.done.store(true, Ordering::SeqCst);
        (from, to, limited.runs() - runs)
    });
    let (most, all) = arrivals(&limited, from, to);
    println!("{most} at most in a window, {all} in all, {runs} after the limit");
    let allowed = 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + SLACK;
    assert!(most <= allowed, "{most} of {allowed}");
    let offered = LIMIT_PER_S * LIMITED_TIME.as_secs_f64();
    assert!(all >= MIN_USED_SHARE * offered, "{all} of {offered}");
    assert!(runs >= USED_AFTERWARDS, "{runs}");
    assert!(free.runs() > 0);
    let served = load.served_share();
    assert!(served >= MIN_SERVED_SHARE, "{served}");
    fleet.assert_no_violations();
}
