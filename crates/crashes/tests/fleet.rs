//! A fleet in virtual time: routers that see only their own requests, one hub, and a part
//! that crashes each engine, while messages are lost.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_crashes::{CrashMessage, Hub, HubSettings, Member, PartHash};
use bamboospur_types::Rng;

const ROUTERS: usize = 7;
const ENGINES: u64 = 12;
const CRASHING: PartHash = 0xdead;
const STEP: Duration = Duration::from_millis(10);
const STEPS: u64 = 6_000;
/// Time from the start of a request to its first events, which prove its parts sound.
const BEGIN_STEPS: u64 = 30;
const ANSWER_STEPS: u64 = 150;
const RESTART_STEPS: u64 = 300;
/// Crashes after which further requests with the part are counted.
const COUNTED_CRASHES: usize = 5;
/// Time in which all routers learn of the part.
const SPREAD_STEPS: u64 = 100;
const MAX_LATE: usize = 3;

#[derive(Clone)]
struct Request {
    router: usize,
    engine: u64,
    parts: [PartHash; 3],
    begins_at: u64,
    ends_at: u64,
}

#[derive(Default)]
struct Counts {
    /// Step of each crash.
    crashes: Vec<u64>,
    /// Requests with the part that were sent later than [`SPREAD_STEPS`] after the crash
    /// with the number [`COUNTED_CRASHES`].
    late: usize,
    sound_sent: usize,
    sound_rejected: usize,
}

struct Fleet {
    rng: Rng,
    /// Chance in percent that a message is lost.
    loss_percent: u64,
    start: Instant,
    step: u64,
    hub: Hub,
    members: Vec<Member>,
    running: Vec<Request>,
    /// Step from which each engine runs.
    engines: BTreeMap<u64, u64>,
    counts: Counts,
}

impl Fleet {
    fn new(seed: u64, loss_percent: u64) -> Self {
        Self {
            rng: Rng::new(seed),
            loss_percent,
            start: Instant::now(),
            step: 0,
            hub: Hub::new(HubSettings::default()),
            members: vec![Member::default(); ROUTERS],
            running: Vec::new(),
            engines: (0..ENGINES).map(|engine| (engine, 0)).collect(),
            counts: Counts::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * u32::try_from(self.step).expect("a small number")
    }

    fn is_lost(&mut self) -> bool {
        self.rng.below(100) < self.loss_percent
    }

    fn runs(&self, engine: u64) -> bool {
        self.engines[&engine] <= self.step
    }

    /// Sends a request through some router to some engine.
    fn send(&mut self, special: PartHash) {
        let router = self.rng.index(ROUTERS);
        let parts = [1, 10 + self.rng.below(20), special];
        let is_blocked = self.members[router]
            .find_blocked(parts, self.now())
            .is_some();
        if special == CRASHING {
            let counted = self.counts.crashes.get(COUNTED_CRASHES - 1);
            let is_late = counted.is_some_and(|&crash| self.step > crash + SPREAD_STEPS);
            self.counts.late += usize::from(is_late && !is_blocked);
        } else {
            self.counts.sound_sent += 1;
            self.counts.sound_rejected += usize::from(is_blocked);
        }
        let live: Vec<u64> = (0..ENGINES).filter(|&engine| self.runs(engine)).collect();
        if is_blocked || live.is_empty() {
            return;
        }
        self.running.push(Request {
            router,
            engine: live[self.rng.index(live.len())],
            parts,
            begins_at: self.step + BEGIN_STEPS,
            ends_at: self.step + ANSWER_STEPS,
        });
    }

    /// Lets engines answer or end; returns what the routers report.
    fn run_engines(&mut self) -> Vec<CrashMessage> {
        let (step, now) = (self.step, self.now());
        let is_due = |r: &&Request| r.begins_at == step || r.ends_at == step;
        let due: Vec<Request> = self.running.iter().filter(is_due).cloned().collect();
        let mut reports = Vec::new();
        for request in due {
            if !self.runs(request.engine) {
                continue;
            }
            if request.parts.contains(&CRASHING) {
                self.counts.crashes.push(step);
                self.engines.insert(request.engine, step + RESTART_STEPS);
                let target = request.engine << 32 | step;
                let at_engine = self.running.iter().filter(|r| r.engine == request.engine);
                let unanswered = at_engine.filter(|r| step <= r.begins_at);
                for broken in unanswered {
                    reports.extend(CrashMessage::crash_reports(target, &broken.parts));
                }
                self.running.retain(|r| r.engine != request.engine);
            } else {
                reports.extend(self.members[request.router].record_answer(request.parts, now));
            }
        }
        self.running.retain(|r| r.ends_at > step);
        reports
    }

    /// Carries messages to the hub, its answers to all members, and their replies back.
    fn exchange(&mut self, reports: Vec<CrashMessage>) {
        let now = self.now();
        let mut answers = self.hub.tick(now);
        for report in reports {
            if !self.is_lost() {
                answers.extend(self.hub.handle(report, now));
            }
        }
        for answer in answers {
            for member in 0..ROUTERS {
                if self.is_lost() {
                    continue;
                }
                if let Some(reply) = self.members[member].handle(&answer, now) {
                    // What this releases reaches the members with the next state.
                    let _released = self.hub.handle(reply, now);
                }
            }
        }
        if self.step.is_multiple_of(100) {
            self.hub.remove_expired(now);
            for message in self.hub.state(now) {
                for member in &mut self.members {
                    member.handle(&message, now);
                }
            }
        }
    }

    /// Plays sound requests, and from second five on one that crashes its engine every so
    /// many steps.
    fn play(mut self, crash_every: u64) -> Counts {
        while self.step < STEPS {
            if self.step.is_multiple_of(3) {
                let own = 0x100 + self.rng.below(200);
                self.send(own);
            }
            if self.step > 500 && self.step.is_multiple_of(crash_every) {
                self.send(CRASHING);
            }
            let reports = self.run_engines();
            self.exchange(reports);
            self.step += 1;
        }
        self.counts
    }
}

#[test]
fn the_part_is_blocked_after_a_few_crashes_and_sound_requests_are_not() {
    for seed in 0..40 {
        let fleet = Fleet::new(seed, seed % 4 * 10);
        let Counts {
            crashes,
            late,
            sound_sent,
            sound_rejected,
        } = fleet.play(20 + seed % 5 * 20);
        let crashes = crashes.len();
        assert!(crashes >= 3, "seed {seed}: {crashes} crashes");
        assert!(late <= MAX_LATE, "seed {seed}: {late} late");
        assert!(
            sound_rejected * 100 <= sound_sent,
            "seed {seed}: {sound_rejected} of {sound_sent}"
        );
    }
}
