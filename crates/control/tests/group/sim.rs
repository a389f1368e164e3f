//! Simulation of members, their disks and clocks, engines and the network, in
//! virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bamboospur_agreement::{Members, Message, PersistedState, ReplicaSettings, Role};
use bamboospur_control::{
    Member, MemberError, MemberInput, MemberOutput, MemberSettings, Request, Response,
};
use bamboospur_orders::{Order, OrderResult, Report};
use bamboospur_settings::{ApplyOutcome, Follower};
use bamboospur_types::mix64;

use crate::disk::Disk;
use crate::oracle::Oracle;

pub const MEMBERS: u64 = 3;
/// Maximum difference of the clocks; the test's settings allow for this drift.
pub const DRIFT_MS: u64 = 150;
pub const ORDER_DEADLINE_MS: u64 = 1000;
/// Wall clock time at the start of the virtual time, in milliseconds since the
/// Unix epoch.
const START_UNIX_MS: u64 = 1_000_000;

pub struct Node {
    pub member: Option<Member>,
    pub disk: Disk,
    start_count: u64,
    timer_ms: u64,
}

pub enum Event {
    /// Sender, receiver and message.
    Deliver(u64, u64, Message),
    /// Member, its start count when the write was made, and sequence of the write.
    Synced(u64, u64, u64),
    /// Member whose deadline is due.
    Timer(u64),
    /// Crashed member to start.
    Start(u64),
    RestoreLinks,
    Fault,
    /// Index of the client and ticket for which the timer was set.
    Client(usize, u64),
    Report,
    /// Member that sent the order, its start count then, and the order.
    OrderDone(u64, u64, Order),
}

pub struct Sim {
    pub nodes: BTreeMap<u64, Node>,
    pub oracle: Oracle,
    pub now_ms: u64,
    pub cut_links: BTreeSet<(u64, u64)>,
    pub replies: Vec<(u64, Result<Response, MemberError>)>,
    pub router: Follower,
    pub queue: BTreeMap<(u64, u64), Event>,
    loaded_engines: BTreeSet<u64>,
    busy_engines: BTreeSet<u64>,
    start: Instant,
    random: u64,
    event_count: u64,
}

impl Sim {
    pub fn new(seed: u64) -> Self {
        let mut sim = Self {
            nodes: BTreeMap::new(),
            oracle: Oracle::default(),
            now_ms: 0,
            cut_links: BTreeSet::new(),
            replies: Vec::new(),
            router: Follower::default(),
            queue: BTreeMap::new(),
            loaded_engines: BTreeSet::new(),
            busy_engines: BTreeSet::new(),
            start: Instant::now(),
            random: seed,
            event_count: 0,
        };
        let voters: Vec<_> = (1..=MEMBERS).map(|id| (id, 100 + id)).collect();
        for id in 1..=MEMBERS {
            let mut disk = Disk::default();
            disk.write(PersistedState::bootstrap(Members::from_voters(&voters)).to_persist());
            disk.sync(0);
            let node = Node {
                member: None,
                disk,
                start_count: 0,
                timer_ms: 0,
            };
            sim.nodes.insert(id, node);
            sim.start_node(id);
        }
        sim
    }

    pub fn random(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.random) % limit
    }

    pub fn schedule(&mut self, ms: u64, event: Event) {
        self.event_count += 1;
        self.queue
            .insert((self.now_ms + ms, self.event_count), event);
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn clock(&self, id: u64) -> SystemTime {
        let skew = id * DRIFT_MS / MEMBERS;
        UNIX_EPOCH + Duration::from_millis(START_UNIX_MS + self.now_ms + skew)
    }

    pub fn start_node(&mut self, id: u64) {
        let now = self.instant();
        let seed = self.random(u64::MAX);
        let settings = MemberSettings {
            replica: ReplicaSettings {
                id,
                disk: 100 + id,
                snapshot_chunk_bytes: 2000,
                trailing_log_bytes: 2000,
                max_inflight_appends: 4,
                ..ReplicaSettings::default()
            },
            process: seed,
            snapshot_entries: 60,
            expire_interval: Duration::from_secs(3),
            plan_interval: Duration::from_millis(200),
            ..MemberSettings::default()
        };
        let node = self.nodes.get_mut(&id).expect("a member");
        if node.member.is_some() {
            return;
        }
        node.start_count += 1;
        node.timer_ms = 0;
        node.member = Some(Member::new(settings, node.disk.durable.clone(), seed, now));
        self.input(id, MemberInput::Tick);
    }

    pub fn crash(&mut self, id: u64) {
        let kept_count = usize::try_from(self.random(4)).expect("small");
        let node = self.nodes.get_mut(&id).expect("a member");
        node.member = None;
        node.disk.crash(kept_count);
    }

    pub fn input(&mut self, id: u64, input: MemberInput) {
        let (now, at) = (self.instant(), self.clock(id));
        let node = self.nodes.get_mut(&id).expect("a member");
        let Some(member) = &mut node.member else {
            return;
        };
        let outputs = member.handle(input, now, at);
        let next = member.next_deadline().saturating_duration_since(self.start);
        let next_ms = u64::try_from(next.as_millis()).expect("small") + 1;
        if node.timer_ms <= self.now_ms || next_ms < node.timer_ms {
            node.timer_ms = next_ms.max(self.now_ms + 1);
            let wait_ms = node.timer_ms - self.now_ms;
            self.schedule(wait_ms, Event::Timer(id));
        }
        for output in outputs {
            self.output(id, output);
        }
    }

    fn output(&mut self, id: u64, output: MemberOutput) {
        let start_count = self.nodes[&id].start_count;
        match output {
            MemberOutput::Persist(write) => {
                let sequence = write.sequence;
                self.nodes.get_mut(&id).expect("a member").disk.write(write);
                let wait_ms = 1 + self.random(5);
                self.schedule(wait_ms, Event::Synced(id, start_count, sequence));
            }
            MemberOutput::Send { to, message } => self.send(id, to, message),
            MemberOutput::Reply { ticket, answer } => {
                if self.random(20) > 0 {
                    self.replies.push((ticket, answer));
                }
            }
            MemberOutput::Settings(diff) => self.update_router(id, &diff),
            MemberOutput::Order(order) => self.run_order(id, start_count, order),
            MemberOutput::Leadership { .. } | MemberOutput::MembersChanged { .. } => {}
            other => panic!("member {id} at {} ms: {other:?}", self.now_ms),
        }
    }

    fn send(&mut self, from: u64, to: u64, message: Message) {
        if self.cut_links.contains(&(from, to)) || self.random(50) == 0 {
            return;
        }
        let wait_ms = 1 + self.random(8);
        self.schedule(wait_ms, Event::Deliver(from, to, message));
    }

    /// Applies a settings diff to the simulated router, which loses a third of the
    /// diffs and requests the missing changes after a gap.
    fn update_router(&mut self, id: u64, diff: &bamboospur_settings::Diff) {
        if self.random(3) == 0 {
            return;
        }
        let before = self.router.revision();
        let mut outcome = self.router.apply(diff);
        if let ApplyOutcome::Gap { have } = outcome {
            let member = self.nodes[&id].member.as_ref().expect("it sent the diff");
            outcome = self
                .router
                .apply(&member.state().settings().changes_since(have));
        }
        assert_ne!(outcome, ApplyOutcome::Refused);
        assert!(
            self.router.revision() >= before,
            "the router returned to an earlier revision"
        );
    }

    /// Simulates an engine that ignores fencing tokens, runs an order for a random
    /// time and may not answer. A lost order may still start until its deadline, by the
    /// slowest clock.
    fn run_order(&mut self, id: u64, start_count: u64, order: Order) {
        let sender = self.nodes[&id]
            .member
            .as_ref()
            .expect("it sends an order")
            .status();
        let is_leader =
            sender.replica.role == Role::Leader && sender.replica.term == order.fencing.term;
        assert!(
            is_leader,
            "member {id} sent order {} without being the leader of its term",
            order.fencing
        );
        assert!(
            self.clock(id) < order.deadline,
            "order {} was sent after its deadline",
            order.fencing
        );
        let deadline = order
            .deadline
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        let deadline_ms = u64::try_from(deadline.as_millis()).expect("small") - START_UNIX_MS;
        let wait_ms = 50 + self.random(400);
        let lost = self.random(4) == 0;
        let ends_ms = if lost {
            deadline_ms
        } else {
            deadline_ms.max(self.now_ms + wait_ms)
        };
        self.oracle.record_order(&order, self.now_ms, ends_ms);
        if !lost {
            self.busy_engines.insert(order.target);
            self.schedule(wait_ms, Event::OrderDone(id, start_count, order));
        }
    }

    pub fn request(&mut self, id: u64, ticket: u64, request: Request) {
        self.input(id, MemberInput::Request { ticket, request });
    }

    pub fn random_running_member(&mut self) -> u64 {
        let running: Vec<u64> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.member.is_some())
            .map(|(id, _)| *id)
            .collect();
        let index = self.random(running.len().max(1) as u64);
        running
            .get(usize::try_from(index).expect("small"))
            .copied()
            .unwrap_or(1)
    }

    /// Handles the events of members and engines; returns all others.
    pub fn handle(&mut self, event: Event) -> Option<Event> {
        match event {
            Event::Deliver(from, to, message) => {
                self.input(to, MemberInput::PeerMessage { from, message });
            }
            Event::Synced(id, start_count, sequence)
                if self.nodes[&id].start_count == start_count =>
            {
                if self.nodes[&id].member.is_some() {
                    self.nodes
                        .get_mut(&id)
                        .expect("a member")
                        .disk
                        .sync(sequence);
                    self.input(id, MemberInput::Synced { sequence });
                }
            }
            Event::Timer(id) if self.nodes[&id].timer_ms == self.now_ms => {
                self.input(id, MemberInput::Tick);
            }
            Event::Synced(..) | Event::Timer(_) => {}
            Event::Start(id) => self.start_node(id),
            Event::RestoreLinks => self.cut_links.clear(),
            Event::OrderDone(id, start_count, order) => {
                self.handle_order_done(id, start_count, &order);
            }
            Event::Report => self.report_engines(),
            other => return Some(other),
        }
        None
    }

    fn handle_order_done(&mut self, id: u64, start_count: u64, order: &Order) {
        self.busy_engines.remove(&order.target);
        self.oracle.record_order_end(order, self.now_ms);
        let load = matches!(order.action, bamboospur_orders::Action::Load { .. });
        if load {
            self.loaded_engines.insert(order.target);
        } else {
            self.loaded_engines.remove(&order.target);
        }
        if self.nodes[&id].start_count == start_count && self.random(3) > 0 {
            let result = OrderResult::Done;
            let (target, fencing) = (order.target, order.fencing);
            self.input(
                id,
                MemberInput::OrderResult {
                    target,
                    fencing,
                    result,
                },
            );
        }
    }

    /// Sends the reports of all engines to all members. Sometimes an engine restarts
    /// with no model loaded.
    fn report_engines(&mut self) {
        if self.random(10) == 0 {
            self.loaded_engines.pop_first();
        }
        for id in 1..=MEMBERS {
            for target in 1..=2 {
                let offer = "chat@1".parse().expect("an offer");
                let loaded = self.loaded_engines.contains(&target);
                let report = Report {
                    requested_at: self.clock(id),
                    pool: "gpu".to_owned(),
                    offers: loaded.then_some(offer).into_iter().collect(),
                    role: "both".to_owned(),
                    ready: !self.busy_engines.contains(&target),
                    checks_fencing: false,
                };
                self.input(id, MemberInput::Report { target, report });
            }
        }
        self.schedule(150, Event::Report);
    }
}
