//! Guards against retries that keep an overload going after its cause has gone.
//!
//! One server works off a queue in order and also runs requests whose caller
//! has timed out, which is how such overloads feed themselves. Callers never
//! give up: every failed request is sent again.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bamboospur_retries::{
    Backoff, BackoffSettings, BudgetSettings, Refusal, RefusalSettings, RetryBudget, Rng,
};

const TICK_MS: u64 = 10;
const DEADLINE_MS: u64 = 1_000;
const CAPACITY_PER_TICK: usize = 1; // 100 requests a second
const FRESH_PERCENT: u64 = 80;
const SURGE_MS: std::ops::Range<u64> = 10_000..20_000;
const END_MS: u64 = 400_000;

struct Run {
    /// Answers in time during the last 20 s, as a percentage of fresh requests.
    goodput_percent: u64,
    waiting_at_end: usize,
}

struct Router {
    budget: RetryBudget,
    backoff: Backoff,
    refusal: Refusal,
    rng: Rng,
    protected: bool,
    queue: VecDeque<u64>,
    /// Requests in the queue by the time they were sent.
    unanswered: BTreeMap<u64, u64>,
    resend_at: BTreeMap<u64, u64>,
    waiting: u64,
}

impl Router {
    fn new(protected: bool, seed: u64, now: Instant) -> Self {
        Self {
            budget: RetryBudget::new(BudgetSettings::default(), now),
            backoff: Backoff::new(BackoffSettings::default()),
            refusal: Refusal::new(RefusalSettings::default()),
            rng: Rng::new(seed),
            protected,
            queue: VecDeque::new(),
            unanswered: BTreeMap::new(),
            resend_at: BTreeMap::new(),
            waiting: 0,
        }
    }

    fn arrive(&mut self, at_ms: u64, now: Instant) {
        self.budget.record_request(now);
        let room = usize::try_from(DEADLINE_MS / TICK_MS).unwrap() * CAPACITY_PER_TICK / 2;
        if self.protected && self.queue.len() >= room {
            let offered = 100 + u32::try_from(self.waiting.min(1_000)).unwrap();
            let pause = self.refusal.retry_after(offered, &mut self.rng);
            self.resend(at_ms, pause);
            return;
        }
        self.enqueue(at_ms);
    }

    fn enqueue(&mut self, at_ms: u64) {
        self.queue.push_back(at_ms);
        *self.unanswered.entry(at_ms).or_default() += 1;
    }

    /// Runs one request and returns whether its caller still waits.
    fn serve(&mut self) -> bool {
        let Some(sent) = self.queue.pop_front() else {
            return false;
        };
        let Some(count) = self.unanswered.get_mut(&sent) else {
            return false;
        };
        *count -= 1;
        true
    }

    fn resend(&mut self, at_ms: u64, pause: Duration) {
        let pause_ms = u64::try_from(pause.as_millis()).unwrap().max(1);
        let due = at_ms + pause_ms.next_multiple_of(TICK_MS);
        *self.resend_at.entry(due).or_default() += 1;
        self.waiting += 1;
    }

    fn timed_out(&mut self, at_ms: u64, now: Instant) {
        if !self.protected {
            self.enqueue(at_ms);
            return;
        }
        if self.budget.try_retry(now) {
            let pause = self.backoff.next(0, &mut self.rng);
            self.resend(at_ms, pause);
            return;
        }
        let pause = self.refusal.retry_after(200, &mut self.rng);
        self.resend(at_ms, pause);
    }
}

fn run(protected: bool, seed: u64) -> Run {
    let start = Instant::now();
    let mut router = Router::new(protected, seed, start);
    let mut answered = 0_u64;
    let mut fresh_credit = 0;
    for at_ms in (0..END_MS).step_by(usize::try_from(TICK_MS).unwrap()) {
        let now = start + Duration::from_millis(at_ms);
        fresh_credit += if SURGE_MS.contains(&at_ms) {
            10 * FRESH_PERCENT
        } else {
            FRESH_PERCENT
        };
        let due = router.resend_at.remove(&at_ms).unwrap_or(0);
        router.waiting -= due;
        for _ in 0..fresh_credit / 100 + due {
            router.arrive(at_ms, now);
        }
        fresh_credit %= 100;
        let late = at_ms
            .checked_sub(DEADLINE_MS)
            .and_then(|sent| router.unanswered.remove(&sent));
        for _ in 0..late.unwrap_or(0) {
            router.timed_out(at_ms, now);
        }
        for _ in 0..CAPACITY_PER_TICK {
            answered += u64::from(router.serve() && at_ms >= END_MS - 20_000);
        }
    }
    Run {
        goodput_percent: answered * 100 / (20_000 / TICK_MS * FRESH_PERCENT / 100),
        waiting_at_end: usize::try_from(router.waiting).unwrap() + router.queue.len(),
    }
}

#[test]
fn callers_that_never_give_up_do_not_keep_an_overload_going() {
    for seed in [1, 2, 3] {
        println!("seed {seed}");
        let protected = run(true, seed);
        assert!(
            protected.goodput_percent >= 100,
            "goodput {}",
            protected.goodput_percent
        );
        // The surge leaves 7,000 requests; spare capacity of 20/s in 100 s is 2,000.
        assert!(
            protected.waiting_at_end < 6_000,
            "waiting {}",
            protected.waiting_at_end
        );
    }
}

#[test]
fn without_the_budget_the_same_load_stays_collapsed() {
    let unprotected = run(false, 1);
    assert!(
        unprotected.goodput_percent < 10,
        "goodput {}",
        unprotected.goodput_percent
    );
}
