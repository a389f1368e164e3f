//! Guards against orders of two leaders at one engine, and against orders that
//! are run twice or never issued again when orders, answers or reports are lost
//! or late. Engines with skewed clocks, some of which check fencing tokens, get
//! orders from random leaders. At the end one stable leader has to reach the
//! desired state.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboospur_orders::{
    Action, DesiredState, DesiredVersion, FencingToken, FinishOutcome, IssueOutcome, Ledger, Order,
    OrderLimits, OrderResult, PlannedOrder, Report, Reports, SavedLedger, plan,
};
use bamboospur_types::Offer;
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 31;
const ENGINES: u64 = 4;
const DRIFT_MS: u64 = 200;
const LIMITS: OrderLimits = OrderLimits {
    loads_per_minute: 600,
    deadline: Duration::from_secs(1),
    clock_drift: Duration::from_millis(DRIFT_MS),
};

fn at_ms(ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(ms)
}

fn offer(text: &str) -> Offer {
    text.parse().expect("an offer")
}

fn desired_version(text: &str, replicas: u32, adapters: &[&str]) -> DesiredVersion {
    DesiredVersion {
        offer: offer(text),
        replicas,
        role: "both".to_owned(),
        adapters: adapters.iter().map(|name| (*name).to_owned()).collect(),
    }
}

/// Returns one of several desired states. Each state manages every version,
/// because a version that is not managed would keep its engines.
fn desired(choice: u8) -> DesiredState {
    let (a1, a2, b1): (u32, u32, u32) =
        [(2, 0, 2), (1, 3, 0), (0, 0, 4), (0, 1, 1)][usize::from(choice % 4)];
    let adapters: &[&str] = if choice < 128 { &["x"] } else { &["x", "y"] };
    let versions = vec![
        desired_version("a@1", a1, adapters),
        desired_version("a@2", a2, &[]),
        desired_version("b@1", b1, &adapters[1..]),
    ];
    DesiredState {
        pools: [("gpu".to_owned(), versions)].into(),
    }
}

#[derive(Default)]
struct Engine {
    checks_fencing: bool,
    /// Time by which the engine's clock is ahead.
    clock_offset_ms: u64,
    offers: BTreeSet<Offer>,
    role: String,
    highest_token: Option<FencingToken>,
    /// Order that the engine runs, and the time in milliseconds at which it ends.
    running: Option<(Order, u64)>,
}

impl Engine {
    fn receive_order(&mut self, order: Order, now_ms: u64) -> Option<OrderResult> {
        let is_old_token = self
            .highest_token
            .is_some_and(|highest| order.fencing <= highest);
        if at_ms(now_ms + self.clock_offset_ms) > order.deadline
            || (self.checks_fencing && is_old_token)
        {
            return Some(OrderResult::NotRun);
        }
        if self.checks_fencing && self.running.is_some() {
            return Some(OrderResult::NotRun);
        }
        assert!(
            !is_old_token,
            "order {} arrived after an order with token {:?}",
            order.fencing, self.highest_token
        );
        assert!(self.running.is_none(), "two orders run at once");
        match &order.action {
            Action::Load { offer } => assert!(!self.offers.contains(offer), "loaded twice"),
            Action::Unload { offer } => assert!(self.offers.contains(offer), "unloaded twice"),
            Action::Role { role } => assert_ne!(role, &self.role, "role set twice"),
        }
        self.highest_token = Some(order.fencing);
        let end = now_ms + 100 + 7 * (order.id % 200);
        self.running = Some((order, end));
        None
    }

    fn finish_order(&mut self, now_ms: u64) -> Option<Order> {
        let (order, _) = self.running.take_if(|(_, end)| *end <= now_ms)?;
        match &order.action {
            Action::Load { offer } => {
                self.offers.insert(offer.clone());
            }
            Action::Unload { offer } => self.offers.retain(|loaded| {
                let whole = offer.adapter.is_none();
                let part = loaded.model == offer.model && loaded.version == offer.version;
                loaded != offer && !(whole && part)
            }),
            Action::Role { role } => self.role.clone_from(role),
        }
        Some(order)
    }

    fn report(&self, asked: SystemTime) -> Report {
        Report {
            requested_at: asked,
            pool: "gpu".to_owned(),
            offers: self.offers.clone(),
            role: self.role.clone(),
            ready: self.running.is_none(),
            checks_fencing: self.checks_fencing,
        }
    }
}

struct Simulation {
    now_ms: u64,
    engines: Vec<Engine>,
    ledger: Ledger,
    /// Highest time that any leader wrote to the log.
    last_log_time: SystemTime,
    term: u64,
    /// Time by which the leader's clock is ahead.
    leader_clock_offset_ms: u64,
    reports: Reports,
    desired: DesiredState,
    /// Orders that were sent and have not arrived.
    orders: Vec<Order>,
    answers: Vec<(Order, OrderResult)>,
    /// Term of the leader that requested the report, target, and report.
    delayed_reports: Vec<(u64, u64, Report)>,
}

impl Simulation {
    fn new() -> Self {
        let engine = |number: u64| Engine {
            checks_fencing: number % 2 == 1,
            clock_offset_ms: number * DRIFT_MS / (ENGINES - 1),
            role: "both".to_owned(),
            ..Engine::default()
        };
        Self {
            now_ms: 1_000_000,
            engines: (0..ENGINES).map(engine).collect(),
            ledger: Ledger::default(),
            last_log_time: UNIX_EPOCH,
            term: 1,
            leader_clock_offset_ms: 0,
            reports: Reports::new(),
            desired: desired(0),
            orders: Vec::new(),
            answers: Vec::new(),
            delayed_reports: Vec::new(),
        }
    }

    fn leader_time(&self) -> SystemTime {
        at_ms(self.now_ms + self.leader_clock_offset_ms)
    }

    fn log_time(&mut self) -> SystemTime {
        self.last_log_time = self.last_log_time.max(self.leader_time());
        self.last_log_time
    }

    fn step(&mut self, (kind, first, second): (u8, u8, u8)) {
        match kind % 9 {
            0 => self.now_ms += u64::from(first) * 3,
            1 | 2 => self.plan(),
            3 => self.deliver_order(first, second),
            4 => self.deliver_answer(first, second),
            5 => self.request_report(first, second),
            6 if first < 40 => self.desired = desired(second),
            7 if first < 60 => self.elect_leader(second),
            8 if first < 60 => {
                let saved = SavedLedger::from(&self.ledger);
                self.ledger = Ledger::try_from(saved).expect("a saved ledger is valid");
            }
            _ => self.request_report(first, 0),
        }
        self.run_engines();
        assert_eq!(self.ledger.violations().count, 0);
    }

    fn plan(&mut self) {
        let now = self.log_time();
        for wanted in plan(&self.desired, &self.reports, &self.ledger, self.term, now) {
            if let IssueOutcome::Issued(order) = self.ledger.issue(self.term, &wanted, &LIMITS, now)
            {
                self.orders.push(order);
            }
        }
    }

    fn run_engines(&mut self) {
        for engine in &mut self.engines {
            if let Some(order) = engine.finish_order(self.now_ms) {
                self.answers.push((order, OrderResult::Done));
            }
        }
    }

    /// Delivers or loses an order in flight, which may be from an old leader.
    fn deliver_order(&mut self, selector: u8, outcome: u8) {
        if self.orders.is_empty() {
            return;
        }
        let order = self
            .orders
            .swap_remove(usize::from(selector) % self.orders.len());
        if outcome < 40 {
            return;
        }
        if outcome < 80 {
            // The sender times out while the order is still in flight.
            self.answers.push((order.clone(), OrderResult::Unknown));
            self.orders.push(order);
            return;
        }
        let index = usize::try_from(order.target).expect("small");
        if let Some(result) = self.engines[index].receive_order(order.clone(), self.now_ms) {
            self.answers.push((order, result));
        }
    }

    /// Delivers or loses an answer. Only the leader that sent the order accepts
    /// its answer.
    fn deliver_answer(&mut self, selector: u8, outcome: u8) {
        if self.answers.is_empty() {
            return;
        }
        let (order, result) = self
            .answers
            .swap_remove(usize::from(selector) % self.answers.len());
        if outcome < 60 || order.fencing.term != self.term {
            return;
        }
        let now = self.log_time();
        let finish = |ledger: &mut Ledger| ledger.finish(order.target, order.fencing, result, now);
        let first = finish(&mut self.ledger);
        if outcome > 200 {
            let again = finish(&mut self.ledger);
            let kept = first == FinishOutcome::Kept && result == OrderResult::Unknown;
            let expected = if kept {
                FinishOutcome::Kept
            } else {
                FinishOutcome::NotLive
            };
            assert_eq!(again, expected, "an answer counted twice");
        }
    }

    /// Requests a report from an engine; the report may arrive later.
    fn request_report(&mut self, selector: u8, delay: u8) {
        let target = u64::from(selector) % ENGINES;
        let index = usize::from(selector) % self.engines.len();
        let report = self.engines[index].report(self.leader_time());
        self.delayed_reports.push((self.term, target, report));
        if delay < 128 {
            for (term, target, report) in std::mem::take(&mut self.delayed_reports) {
                if term == self.term
                    && self
                        .reports
                        .get(&target)
                        .is_none_or(|r| r.requested_at <= report.requested_at)
                {
                    self.reports.insert(target, report);
                }
            }
        }
    }

    fn elect_leader(&mut self, clock: u8) {
        self.term += 1;
        self.leader_clock_offset_ms = u64::from(clock) * DRIFT_MS / 255;
        self.reports.clear();
    }

    /// Runs for 40 s without faults, then asserts that the engines have the
    /// desired state.
    fn run_until_settled(&mut self) {
        for _ in 0..400 {
            self.now_ms += 100;
            self.run_engines();
            while !self.answers.is_empty() {
                self.deliver_answer(0, 100);
            }
            for engine in 0..4 {
                self.request_report(engine, 0);
            }
            self.plan();
            while !self.orders.is_empty() {
                self.deliver_order(0, 255);
            }
        }
        for version in &self.desired.pools["gpu"] {
            let complete = self.engines.iter().filter(|engine| {
                let adapter = |name: &String| Offer {
                    adapter: Some(name.clone()),
                    ..version.offer.clone()
                };
                let adapters = version.adapters.iter().map(adapter);
                let wanted: BTreeSet<_> = adapters.chain([version.offer.clone()]).collect();
                engine.offers == wanted
            });
            let complete = u32::try_from(complete.count()).expect("small");
            assert_eq!(
                complete, version.replicas,
                "engines with exactly {} and its adapters loaded",
                version.offer
            );
        }
    }
}

fn check_orders(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut simulation = Simulation::new();
    for step in steps {
        simulation.step(step);
    }
    simulation.run_until_settled();
    true
}

#[test]
fn orders_are_never_run_twice_forgotten_or_from_two_leaders_at_once() {
    println!("seed {SEED}");
    QuickCheck::new()
        .tests(600)
        .rng(Gen::from_size_and_seed(400, SEED))
        .quickcheck(check_orders as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn a_new_leader_waits_for_live_orders_of_engines_that_ignore_fencing_tokens() {
    let unload = |checks_fencing| PlannedOrder {
        target: 1,
        action: Action::Unload {
            offer: offer("a@1"),
        },
        checks_fencing,
    };
    let load = |checks_fencing| PlannedOrder {
        action: Action::Load {
            offer: offer("b@1"),
        },
        ..unload(checks_fencing)
    };
    let mut ledger = Ledger::default();
    ledger.issue(1, &load(false), &LIMITS, at_ms(1000));
    let until = at_ms(1000 + 1000 + DRIFT_MS);
    let busy = ledger.issue(2, &unload(false), &LIMITS, at_ms(2199));
    assert_eq!(busy, IssueOutcome::Busy { until });
    let issued = ledger.issue(2, &unload(false), &LIMITS, until);
    assert!(matches!(issued, IssueOutcome::Issued(_)), "{issued:?}");
    let old = ledger.issue(1, &load(false), &LIMITS, at_ms(9000));
    assert_eq!(old, IssueOutcome::OldTerm { term: 2 });

    let mut ledger = Ledger::default();
    ledger.issue(1, &load(true), &LIMITS, at_ms(1000));
    let issued = ledger.issue(2, &unload(true), &LIMITS, at_ms(1001));
    assert!(matches!(issued, IssueOutcome::Issued(_)), "{issued:?}");
}

#[test]
fn the_rate_limit_of_loads_holds_across_leaders() {
    let mut ledger = Ledger::default();
    let mut issued = 0;
    for ms in 0..1000_u64 {
        let load = PlannedOrder {
            target: ms,
            action: Action::Load {
                offer: offer("a@1"),
            },
            checks_fencing: true,
        };
        let outcome = ledger.issue(1 + ms / 300, &load, &LIMITS, at_ms(ms));
        issued += u32::from(matches!(outcome, IssueOutcome::Issued(_)));
    }
    assert_eq!(issued, 10, "600 loads per minute are 10 per second");
}
