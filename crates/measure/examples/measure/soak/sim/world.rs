//! Processes, clocks, the event queue and the network in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bamboospur_types::mix64;

use super::callers::Caller;
use super::control::Member;
use super::fault_kind::FaultKind;
use super::faults::FaultPlan;
use super::load_bound::Agreement;
use super::message::{Message, Node};
use super::operators::Operator;
use super::oracle::{Oracle, ViolationKind};
use super::repair::Repair;
use super::router::Router;
use super::targets::Target;
use super::{Plan, Report};

pub const DATA_CENTRES: usize = 3;
pub const ROUTERS: usize = 9;
pub const TARGETS: usize = 12;
pub const CALLERS: usize = 120;
pub const OPERATORS: usize = 2;
/// Time after the failures in which the fleet must recover.
pub const QUIET_MS: u64 = 25_000;
/// Last part of the quiet time, in which callers and operators start nothing new.
pub const SETTLE_MS: u64 = 12_000;
/// Largest difference between two wall clocks, as the settings state it.
pub const DRIFT_MS: u64 = 150;
const MAX_CLOCK_SPEED_ERROR_PPM: u64 = 200;
const TRACE_LINES: usize = 60;

pub enum Event {
    /// Receiver, its start number at the time of sending, sender, message.
    Deliver(Node, u64, Node, Box<Message>),
    /// Process and its start number.
    Timer(Node, u64),
    /// Engine, its start number, and the attempt that ends.
    RunEnds(usize, u64, u64),
    /// Engine, its start number, and the order that ends.
    OrderEnds(usize, u64, u64),
    /// Member, its start number, and the sequence of the last synced write.
    Synced(u64, u64, u64),
    Start(Node),
    /// Kind of the failure, and its number or its engine.
    EndFault(FaultKind, u64),
    InjectFault(u64),
    PeriodicCheck,
    CheckChange(u64),
}

/// Failures of the network in force.
#[derive(Default)]
pub struct Network {
    /// Number of cuts from one data centre to another.
    pub cuts: BTreeMap<(usize, usize), u32>,
    /// Number of isolations of processes that receive nothing (`false`) or whose messages
    /// are lost (`true`).
    pub isolated: BTreeMap<(Node, bool), u32>,
    /// Links from one process to another that lose every message.
    pub silent: BTreeSet<(Node, Node)>,
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub reorder_percent: u64,
}

pub struct World {
    pub plan: Plan,
    pub now_us: u64,
    pub routers: Vec<Router>,
    pub members: BTreeMap<u64, Member>,
    pub targets: Vec<Target>,
    pub callers: Vec<Caller>,
    pub operators: Vec<Operator>,
    pub oracle: Oracle,
    pub network: Network,
    pub faults: FaultPlan,
    pub repair: Option<Repair>,
    pub next_member: u64,
    /// Wall clock errors by process.
    pub clock_offsets_ms: BTreeMap<Node, i64>,
    pub injected_faults: Vec<(u64, String)>,
    pub last_id: u64,
    /// Time since which a router can reach a member that follows the leader.
    pub linked_since: BTreeMap<(usize, u64), u64>,
    /// Sender of a control request and the sender's ticket, by the ticket at the member.
    pub open_control_requests: BTreeMap<u64, (Node, u64)>,
    pub agreement: Vec<Agreement>,
    /// Last time at which a process in a router's data centre was cut off or reconnected.
    pub last_cut_us: [u64; ROUTERS],
    pub is_second_loss_due: bool,
    /// Cuts in force, by the number of their failure.
    pub active_cuts: BTreeMap<u64, Vec<(usize, usize)>>,
    /// Isolations in force, by the number of their failure.
    pub active_isolations: BTreeMap<u64, Vec<(Node, bool)>>,
    /// Silent links in force, by the number of their failure.
    pub silent_links: BTreeMap<u64, (Node, Node)>,
    trace: VecDeque<(u64, String)>,
    /// Events by time, and in order of scheduling at the same time.
    queue: BTreeMap<(u64, u64), Event>,
    scheduled_events: u64,
    rng_state: u64,
    start: Instant,
}

impl World {
    pub fn new(plan: &Plan) -> Self {
        let mut world = Self {
            plan: plan.clone(),
            now_us: 0,
            routers: (0..ROUTERS).map(Router::new).collect(),
            members: BTreeMap::new(),
            targets: (0..TARGETS).map(Target::new).collect(),
            callers: (0..CALLERS).map(|_| Caller::default()).collect(),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            oracle: Oracle::default(),
            network: Network::default(),
            faults: FaultPlan::new(plan.seed),
            repair: None,
            next_member: 1,
            clock_offsets_ms: BTreeMap::new(),
            injected_faults: Vec::new(),
            last_id: 0,
            linked_since: BTreeMap::new(),
            open_control_requests: BTreeMap::new(),
            agreement: vec![Agreement::default(); DATA_CENTRES],
            last_cut_us: [0; ROUTERS],
            is_second_loss_due: false,
            active_cuts: BTreeMap::new(),
            active_isolations: BTreeMap::new(),
            silent_links: BTreeMap::new(),
            trace: VecDeque::new(),
            queue: BTreeMap::new(),
            scheduled_events: 0,
            rng_state: mix64(plan.seed),
            start: Instant::now(),
        };
        world.bootstrap_members();
        for index in 0..ROUTERS {
            world.start_router(index);
        }
        for index in 0..TARGETS {
            world.start_target(index);
        }
        for index in 0..CALLERS {
            let wait = 2_000_000 + world.random_below(1_000_000);
            world.schedule_after(wait, Event::Timer(Node::Caller(index), 0));
        }
        for index in 0..OPERATORS {
            world.schedule_after(1_000_000, Event::Timer(Node::Operator(index), 0));
        }
        world.schedule_after(100_000, Event::PeriodicCheck);
        world.schedule_after(5_000_000, Event::InjectFault(0));
        world
    }

    pub fn run(&mut self) {
        let end_us = (self.plan.seconds * 1000 + QUIET_MS) * 1000;
        while let Some(((at_us, _), event)) = self.queue.pop_first() {
            if at_us > end_us || self.is_stopped() {
                break;
            }
            self.now_us = at_us;
            self.oracle.now_ms = at_us / 1000;
            self.handle(event);
        }
        if !self.is_stopped() {
            self.check_final_state();
        }
    }

    fn is_stopped(&self) -> bool {
        let wanted = self.plan.stop_at;
        wanted.is_some_and(|kind| self.oracle.violations.iter().any(|v| v.kind == kind))
    }

    pub fn into_report(self) -> Report {
        Report {
            virtual_ms: self.now_us / 1000,
            violations: self.oracle.violations,
            tally: self.oracle.tally,
            faults: self.injected_faults,
            trace: self
                .trace
                .into_iter()
                .map(|(ms, line)| format!("{ms} ms: {line}"))
                .collect(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(to, start_number, from, message) => {
                if self.is_up(to) && self.start_number(to) == start_number {
                    self.deliver(to, from, *message);
                } else {
                    self.refuse_delivery(to, from, *message);
                }
            }
            Event::Timer(node, start_number) if self.start_number(node) == start_number => {
                match node {
                    Node::Router(index) => self.router_tick(index),
                    Node::Member(id) => self.member_tick(id),
                    Node::Target(index) => self.target_heartbeat(index),
                    Node::Caller(index) => self.caller_turn(index),
                    Node::Operator(index) => self.operator_turn(index),
                }
            }
            Event::Timer(..) => {}
            Event::RunEnds(target, start_number, attempt) => {
                self.run_ends(target, start_number, attempt);
            }
            Event::OrderEnds(target, start_number, order) => {
                self.order_ends(target, start_number, order);
            }
            Event::Synced(id, start_number, sequence) => {
                self.disk_synced(id, start_number, sequence);
            }
            Event::Start(node) => self.start(node),
            Event::EndFault(kind, number) => self.end_fault(kind, number),
            Event::InjectFault(number) => self.inject_next_fault(number),
            Event::PeriodicCheck => self.periodic_check(),
            Event::CheckChange(revision) => self.check_change(revision),
        }
    }

    fn start(&mut self, node: Node) {
        match node {
            Node::Router(index) => self.start_router(index),
            Node::Member(id) => self.start_member(id),
            Node::Target(index) => self.start_target(index),
            Node::Caller(_) | Node::Operator(_) => {}
        }
    }

    fn deliver(&mut self, to: Node, from: Node, message: Message) {
        match to {
            Node::Router(index) => self.router_message(index, from, message),
            Node::Member(id) => self.member_message(id, from, message),
            Node::Target(index) => self.target_message(index, from, message),
            Node::Caller(index) => self.caller_message(index, message),
            Node::Operator(index) => self.operator_message(index, message),
        }
    }

    /// Handles a message to a process that is down: its machine refuses the connection.
    fn refuse_delivery(&mut self, to: Node, from: Node, message: Message) {
        if let (Node::Target(_), Message::Run { attempt, .. }) = (to, message) {
            self.send(to, from, Message::RunRefused(attempt));
        }
    }

    /// Whether a process runs; callers and operators always do.
    fn is_up(&self, node: Node) -> bool {
        matches!(node, Node::Caller(_) | Node::Operator(_)) || self.start_number(node) > 0
    }

    /// Number of the current start of a process, or 0 while the process is down.
    pub fn start_number(&self, node: Node) -> u64 {
        match node {
            Node::Router(index) => self.routers[index].start_number(),
            Node::Member(id) => self.members.get(&id).map_or(0, Member::start_number),
            Node::Target(index) => self.targets[index].start_number(),
            Node::Caller(_) | Node::Operator(_) => 0,
        }
    }

    pub fn data_centre(&self, node: Node) -> usize {
        match node {
            Node::Router(index)
            | Node::Target(index)
            | Node::Caller(index)
            | Node::Operator(index) => index % DATA_CENTRES,
            Node::Member(id) => self.members.get(&id).map_or(0, |member| member.data_centre),
        }
    }

    pub fn is_link_open(&self, from: Node, to: Node) -> bool {
        let network = &self.network;
        let pair = (self.data_centre(from), self.data_centre(to));
        !network.cuts.contains_key(&pair)
            && !network.isolated.contains_key(&(from, true))
            && !network.isolated.contains_key(&(to, false))
            && !network.silent.contains(&(from, to))
    }

    pub fn is_link_open_both_ways(&self, one: Node, other: Node) -> bool {
        self.is_link_open(one, other) && self.is_link_open(other, one)
    }

    /// Sends a message. Packets between routers and between members may be lost,
    /// duplicated and reordered; calls are lost only with their connection.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "every caller builds the message for this call"
    )]
    pub fn send(&mut self, from: Node, to: Node, message: Message) {
        if !self.is_link_open(from, to) {
            return;
        }
        let is_local = self.data_centre(from) == self.data_centre(to);
        let base_us = if is_local { 200 } else { 1_000 };
        let packet = matches!(
            message,
            Message::Gossip(..) | Message::Placement(_) | Message::Limits(_) | Message::Peer(_)
        );
        if packet && self.random_below(1000) < 2 + 10 * self.network.loss_percent {
            return;
        }
        let is_duplicated = packet && self.random_below(100) < self.network.duplicate_percent;
        let start_number = self.start_number(to);
        for _ in 0..=u8::from(is_duplicated) {
            let is_reordered = packet && self.random_below(100) < self.network.reorder_percent;
            let spread_us = if is_reordered { 60_000 } else { base_us };
            let wait_us = base_us + self.random_below(spread_us);
            let event = Event::Deliver(to, start_number, from, Box::new(message.clone()));
            self.schedule_after(wait_us, event);
        }
    }

    pub fn schedule_after(&mut self, wait_us: u64, event: Event) {
        self.scheduled_events += 1;
        self.queue
            .insert((self.now_us + wait_us, self.scheduled_events), event);
    }

    pub fn random_below(&mut self, limit: u64) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.rng_state) % limit.max(1)
    }

    pub fn random_index(&mut self, length: usize) -> usize {
        usize::try_from(self.random_below(length as u64)).unwrap_or(0)
    }

    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub fn now_ms(&self) -> u64 {
        self.now_us / 1000
    }

    /// Whether the time with failures is over.
    pub fn is_quiet(&self) -> bool {
        self.now_ms() >= self.plan.seconds * 1000
    }

    /// Whether callers and operators start nothing new.
    pub fn is_settling(&self) -> bool {
        self.now_ms() + SETTLE_MS >= self.plan.seconds * 1000 + QUIET_MS
    }

    /// Speed error of a process's clock, in parts per million.
    fn speed_ppm(&self, node: Node) -> i64 {
        let number = match node {
            Node::Router(index) => index as u64,
            Node::Member(id) => 100 + id,
            Node::Target(index) => 1_000 + index as u64,
            Node::Caller(_) | Node::Operator(_) => return 0,
        };
        if self.plan.disabled_kinds.contains(&FaultKind::ClockDrift) {
            return 0;
        }
        let drawn = mix64(self.plan.seed ^ mix64(number)) % (2 * MAX_CLOCK_SPEED_ERROR_PPM);
        i64::try_from(drawn).unwrap_or(0) - MAX_CLOCK_SPEED_ERROR_PPM.cast_signed()
    }

    /// Monotonic clock of a process.
    pub fn instant(&self, node: Node) -> Instant {
        let ppm = self.speed_ppm(node);
        let error_us = i64::try_from(self.now_us).unwrap_or(0) * ppm / 1_000_000;
        let local_us = self.now_us.saturating_add_signed(error_us);
        self.start + Duration::from_secs(10) + Duration::from_micros(local_us)
    }

    /// Wall clock of a process.
    pub fn wall_time(&self, node: Node) -> SystemTime {
        let offset_ms = self
            .clock_offsets_ms
            .get(&node)
            .copied()
            .unwrap_or_default();
        let local_ms = (1_000_000 + self.now_ms()).saturating_add_signed(offset_ms);
        UNIX_EPOCH + Duration::from_millis(local_ms)
    }

    pub fn add_trace(&mut self, line: String) {
        if self.trace.len() == TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back((self.now_ms(), line));
    }

    pub fn fail(&mut self, kind: ViolationKind, what: String) {
        self.add_trace(format!("VIOLATION {kind:?}: {what}"));
        self.oracle.fail(kind, what);
    }
}
