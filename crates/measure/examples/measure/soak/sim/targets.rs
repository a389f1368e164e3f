//! Engines that run requests and orders and report their load with a delay. At times they
//! refuse a request, answer another one, or answer late.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::SystemTime;

use bamboospur_membership::Load;
use bamboospur_orders::{Action, FencingToken, Order, OrderResult, Report};
use bamboospur_types::{Offer, TargetId, TargetKind, TargetRecord, TargetState, stable_id};

use super::message::{CallerRequest, Message, Node};
use super::oracle::{ViolationKind, body_of};
use super::world::{DATA_CENTRES, Event, ROUTERS, World};

pub const CAPACITY_REQUESTS: u32 = 64;
const HEARTBEAT_US: u64 = 1_000_000;
/// Time after an accepted leave from which no router may send new work.
const LEAVE_DEADLINE_MS: u64 = 3_000;

#[derive(Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent faults and states"
)]
pub struct Target {
    pub id: TargetId,
    pub name: String,
    up: bool,
    starts: u64,
    pub incarnation: u64,
    pub joined_us: u64,
    sequence: u32,
    announced: bool,
    pub leaving: bool,
    leave_accepted: bool,
    /// Router that gets the heartbeats.
    home_router: usize,
    pub slow: bool,
    /// Requests in progress and their routers, by attempt.
    pub running: BTreeMap<u64, (CallerRequest, Node)>,
    /// The last loads; heartbeats report the oldest.
    delayed_loads: VecDeque<Load>,
    /// Order in progress and the member that sent it.
    order: Option<(Order, u64)>,
    newest_token: Option<FencingToken>,
    model_loaded: bool,
    pub checks_fencing: bool,
}

impl Target {
    pub fn new(index: usize) -> Self {
        let name = format!("engine-{index}");
        Self {
            id: stable_id(&name),
            name,
            incarnation: 1,
            home_router: index % ROUTERS,
            checks_fencing: index.is_multiple_of(2),
            ..Self::default()
        }
    }

    /// Number of the current start, or 0 while the process is down.
    pub fn start_number(&self) -> u64 {
        if self.up { self.starts } else { 0 }
    }

    fn load(&self) -> Load {
        Load {
            tokens: self
                .running
                .values()
                .map(|(request, _)| request.work_tokens)
                .sum(),
            requests: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
        }
    }

    fn record(&self, index: usize) -> TargetRecord {
        let port = 20_000 + u16::try_from(index).unwrap_or(0);
        TargetRecord {
            name: self.name.clone(),
            incarnation: self.incarnation,
            address: SocketAddr::from(([10, 0, 0, 1], port)),
            data_centre: format!("dc-{}", index % DATA_CENTRES),
            pool: "gpu".to_owned(),
            kind: TargetKind::Engine,
            offers: Vec::new(),
            capacity_tokens: 60_000,
            capacity_requests: CAPACITY_REQUESTS,
            checks_fencing: self.checks_fencing,
        }
    }
}

impl World {
    pub fn start_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if target.up {
            return;
        }
        target.up = true;
        target.starts += 1;
        target.incarnation += 1;
        target.joined_us = self.now_us;
        target.sequence = 0;
        (target.announced, target.leaving, target.leave_accepted) = (false, false, false);
        target.model_loaded = false;
        let start_number = target.starts;
        let wait_us = self.random_below(200_000);
        self.schedule_after(wait_us, Event::Timer(Node::Target(index), start_number));
    }

    /// Stops the process. For some of the requests in progress the router sees the
    /// connection break; the others get no answer.
    pub fn crash_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.up = false;
        target.delayed_loads.clear();
        let running = std::mem::take(&mut target.running);
        let (id, order) = (target.id, target.order.take());
        if let Some((order, _)) = order {
            self.oracle.order_ended(id, order.id);
        }
        for (attempt, (_, router)) in running {
            if self.random_below(2) == 0 {
                self.send(
                    Node::Target(index),
                    router,
                    Message::ConnectionBroken(attempt),
                );
            }
        }
    }

    pub fn target_heartbeat(&mut self, index: usize) {
        let jitter_us = self.random_below(100_000);
        let target = &mut self.targets[index];
        let node = Node::Target(index);
        let start_number = target.starts;
        let load = target.load();
        target.delayed_loads.push_back(load);
        if target.delayed_loads.len() > 2 {
            target.delayed_loads.pop_front();
        }
        target.sequence += 1;
        let message = if !target.announced {
            Message::Announce(Box::new(target.record(index)))
        } else if target.leaving && !target.leave_accepted {
            let (target, incarnation) = (target.id, target.incarnation);
            Message::Leave {
                target,
                incarnation,
            }
        } else {
            let ready = !target.leaving;
            Message::Heartbeat {
                target: target.id,
                incarnation: target.incarnation,
                sequence: target.sequence,
                state: if ready {
                    TargetState::Ready
                } else {
                    TargetState::Draining
                },
                load: target.delayed_loads.front().copied().unwrap_or_default(),
            }
        };
        let home = self.home_router(index);
        self.send(node, Node::Router(home), message);
        self.schedule_after(
            HEARTBEAT_US - 50_000 + jitter_us,
            Event::Timer(node, start_number),
        );
    }

    /// Router of the data centre that gets the heartbeats. A target notices failed calls
    /// and picks another reachable router.
    fn home_router(&mut self, index: usize) -> usize {
        let node = Node::Target(index);
        let fits = |world: &Self, router: usize| {
            world.routers[router].is_serving()
                && router % DATA_CENTRES == index % DATA_CENTRES
                && world.is_link_open_both_ways(node, Node::Router(router))
        };
        if fits(self, self.targets[index].home_router) {
            return self.targets[index].home_router;
        }
        let reachable: Vec<usize> = (0..ROUTERS).filter(|r| fits(self, *r)).collect();
        if !reachable.is_empty() {
            let home = reachable[self.random_index(reachable.len())];
            self.targets[index].home_router = home;
        }
        self.targets[index].home_router
    }

    pub fn target_message(&mut self, index: usize, from: Node, message: Message) {
        match message {
            Message::Run { attempt, request } => self.target_run(index, from, attempt, request),
            Message::Announced { accepted, least } => {
                let target = &mut self.targets[index];
                target.announced = accepted;
                if !accepted && least > target.incarnation {
                    target.incarnation = least;
                    target.sequence = 0;
                }
            }
            Message::HeartbeatReply { known: false } => {
                self.targets[index].announced = self.targets[index].leaving;
            }
            Message::LeaveAccepted => self.targets[index].leave_accepted = true,
            Message::Probe(incarnation) => {
                let target = &self.targets[index];
                if target.incarnation == incarnation {
                    let answer = Message::Probed(target.id, incarnation);
                    self.send(Node::Target(index), from, answer);
                }
            }
            Message::Order(order) => self.target_order(index, from, *order),
            Message::Query(at) => self.report_offers(index, from, at),
            _ => {}
        }
    }

    fn target_run(&mut self, index: usize, from: Node, attempt: u64, request: CallerRequest) {
        let node = Node::Target(index);
        let full = self.targets[index].running.len() >= CAPACITY_REQUESTS as usize;
        if full || self.random_below(100) == 0 {
            self.send(node, from, Message::RunRefused(attempt));
            return;
        }
        self.oracle.run_started(&request);
        let target = &mut self.targets[index];
        target.running.insert(attempt, (request, from));
        let start_number = target.starts;
        let slow = if target.slow { 8 } else { 1 };
        let wait_us = (300_000 + request.work_tokens * 250) * slow;
        self.schedule_after(wait_us, Event::RunEnds(index, start_number, attempt));
    }

    /// Checks that a router sends no work more than 3 s after a target's leave was
    /// accepted, unless a cut kept the news from the router.
    pub fn check_leaving(&mut self, router: usize, index: usize, incarnation: u64) {
        let id = self.targets[index].id;
        let Some(left_ms) = self.oracle.left_ms.get(&(id, incarnation)).copied() else {
            return;
        };
        let since_ms = self.now_ms() - left_ms;
        if since_ms > LEAVE_DEADLINE_MS && !self.was_cut(router, left_ms) {
            let what = format!(
                "router {router} sent work to engine {index}, which left {since_ms} ms ago"
            );
            self.fail(ViolationKind::Leaving, what);
        }
    }

    pub fn run_ends(&mut self, index: usize, start_number: u64, attempt: u64) {
        if self.targets[index].start_number() != start_number {
            return;
        }
        let Some((request, router)) = self.targets[index].running.remove(&attempt) else {
            return;
        };
        let swapped = self.targets[index].running.values().next().copied();
        let node = Node::Target(index);
        match (self.random_below(200), swapped) {
            // The answer to another request arrives on this connection.
            (0, Some((other, _))) => {
                let (request, body) = (other.request_id, body_of(other.request_id));
                self.send(
                    node,
                    router,
                    Message::RunAnswered {
                        attempt,
                        request,
                        body,
                    },
                );
            }
            // The answer arrives after the router gave up.
            (1, _) => {
                let message = Message::RunAnswered {
                    attempt,
                    request: request.request_id,
                    body: body_of(request.request_id),
                };
                let router_start = self.start_number(router);
                self.schedule_after(
                    6_000_000,
                    Event::Deliver(router, router_start, node, Box::new(message)),
                );
            }
            _ => {
                let (request, body) = (request.request_id, body_of(request.request_id));
                self.send(
                    node,
                    router,
                    Message::RunAnswered {
                        attempt,
                        request,
                        body,
                    },
                );
            }
        }
    }

    fn target_order(&mut self, index: usize, from: Node, order: Order) {
        let node = Node::Target(index);
        let wall = self.wall_time(node);
        let target = &mut self.targets[index];
        let is_stale = target
            .newest_token
            .is_some_and(|newest| order.fencing <= newest);
        if order.deadline <= wall || (target.checks_fencing && is_stale) {
            let ended = Message::OrderEnded(order.target, order.fencing, OrderResult::NotRun);
            self.send(node, from, ended);
            return;
        }
        target.newest_token = target.newest_token.max(Some(order.fencing));
        let (id, checks) = (target.id, target.checks_fencing);
        let left = order.deadline.duration_since(wall).unwrap_or_default();
        let left_us = u64::try_from(left.as_micros()).unwrap_or(0);
        let number = order.id;
        if let Some((before, _)) = target.order.take() {
            // An engine that checks fencing tokens replaces the older order by the newer.
            if checks {
                self.oracle.order_ended(id, before.id);
            }
        }
        let Node::Member(member) = from else {
            return;
        };
        self.targets[index].order = Some((order, member));
        self.oracle.order_started(id, number, checks);
        let wait_us = (50_000 + self.random_below(700_000)).min(left_us);
        let start_number = self.targets[index].starts;
        self.schedule_after(wait_us, Event::OrderEnds(index, start_number, number));
    }

    pub fn order_ends(&mut self, index: usize, start_number: u64, number: u64) {
        let target = &mut self.targets[index];
        if target.start_number() != start_number {
            return;
        }
        self.oracle.order_ended(target.id, number);
        let Some((order, member)) = target.order.take_if(|(order, _)| order.id == number) else {
            return;
        };
        match order.action {
            Action::Load { .. } => target.model_loaded = true,
            Action::Unload { .. } => target.model_loaded = false,
            Action::Role { .. } => {}
        }
        if self.random_below(5) > 0 {
            let ended = Message::OrderEnded(order.target, order.fencing, OrderResult::Done);
            self.send(Node::Target(index), Node::Member(member), ended);
        }
    }

    fn report_offers(&mut self, index: usize, from: Node, at: SystemTime) {
        let target = &self.targets[index];
        // Some engines that ignore fencing tokens do not report an order in progress.
        let hides_order = index % 4 == 1;
        let offer: Option<Offer> = "chat@1".parse().ok();
        let report = Report {
            requested_at: at,
            pool: "gpu".to_owned(),
            offers: offer.filter(|_| target.model_loaded).into_iter().collect(),
            role: "both".to_owned(),
            ready: (hides_order || target.order.is_none()) && !target.leaving,
            checks_fencing: target.checks_fencing,
        };
        let message = Message::Report(target.id, Box::new(report));
        self.send(Node::Target(index), from, message);
    }
}
