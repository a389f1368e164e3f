//! Engines that run requests and orders, report lagging load, and misbehave.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::SystemTime;

use bamboospur_membership::Load;
use bamboospur_orders::{Action, FencingToken, Order, OrderResult, Report};
use bamboospur_types::{Offer, TargetId, TargetKind, TargetRecord, TargetState, stable_id};

use super::message::{Ask, Message, Node};
use super::oracle::{Label, body_of};
use super::world::{DATA_CENTRES, Event, ROUTERS, World};

pub const CAPACITY_REQUESTS: u32 = 64;
const BEAT_US: u64 = 1_000_000;
const LEAVING_MS: u64 = 3_000;

#[derive(Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent faults and states"
)]
pub struct Target {
    pub id: TargetId,
    pub name: String,
    up: bool,
    run: u64,
    pub incarnation: u64,
    pub joined_us: u64,
    sequence: u32,
    announced: bool,
    pub leaving: bool,
    leave_accepted: bool,
    home: usize,
    pub slow: bool,
    pub running: BTreeMap<u64, (Ask, Node)>,
    lag: VecDeque<Load>,
    order: Option<(Order, u64)>,
    newest: Option<FencingToken>,
    loaded: bool,
    pub checks_fencing: bool,
}

impl Target {
    pub fn new(index: usize) -> Self {
        let name = format!("engine-{index}");
        Self {
            id: stable_id(&name),
            name,
            incarnation: 1,
            home: index % ROUTERS,
            checks_fencing: index.is_multiple_of(2),
            ..Self::default()
        }
    }

    pub fn running(&self) -> u64 {
        if self.up { self.run } else { 0 }
    }

    fn load(&self) -> Load {
        Load {
            tokens: self.running.values().map(|(ask, _)| ask.work).sum(),
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
        target.run += 1;
        target.incarnation += 1;
        target.joined_us = self.now_us;
        target.sequence = 0;
        (target.announced, target.leaving, target.leave_accepted) = (false, false, false);
        target.loaded = false;
        let run = target.run;
        let wait_us = self.below(200_000);
        self.after(wait_us, Event::Timer(Node::Target(index), run));
    }

    /// The process dies; some of its callers see their connection break.
    pub fn crash_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.up = false;
        target.lag.clear();
        let running = std::mem::take(&mut target.running);
        let (id, order) = (target.id, target.order.take());
        if let Some((order, _)) = order {
            self.oracle.order_ended(id, order.id);
        }
        for (attempt, (_, router)) in running {
            if self.below(2) == 0 {
                self.send(Node::Target(index), router, Message::RunBroken(attempt));
            }
        }
    }

    pub fn target_beat(&mut self, index: usize) {
        let jitter_us = self.below(100_000);
        let target = &mut self.targets[index];
        let node = Node::Target(index);
        let run = target.run;
        let load = target.load();
        target.lag.push_back(load);
        if target.lag.len() > 2 {
            target.lag.pop_front();
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
            Message::Beat {
                target: target.id,
                incarnation: target.incarnation,
                sequence: target.sequence,
                state: if ready {
                    TargetState::Ready
                } else {
                    TargetState::Draining
                },
                load: target.lag.front().copied().unwrap_or_default(),
            }
        };
        let home = self.home(index);
        self.send(node, Node::Router(home), message);
        self.after(BEAT_US - 50_000 + jitter_us, Event::Timer(node, run));
    }

    /// A reachable router of the data centre; targets notice failed calls.
    fn home(&mut self, index: usize) -> usize {
        let node = Node::Target(index);
        let fits = |world: &Self, router: usize| {
            world.routers[router].accepts()
                && router % DATA_CENTRES == index % DATA_CENTRES
                && world.is_open_both_ways(node, Node::Router(router))
        };
        if fits(self, self.targets[index].home) {
            return self.targets[index].home;
        }
        let good: Vec<usize> = (0..ROUTERS).filter(|r| fits(self, *r)).collect();
        if !good.is_empty() {
            let home = good[self.index(good.len())];
            self.targets[index].home = home;
        }
        self.targets[index].home
    }

    pub fn target_message(&mut self, index: usize, from: Node, message: Message) {
        match message {
            Message::Run { attempt, ask } => self.target_run(index, from, attempt, ask),
            Message::Announced { accepted, least } => {
                let target = &mut self.targets[index];
                target.announced = accepted;
                if !accepted && least > target.incarnation {
                    target.incarnation = least;
                    target.sequence = 0;
                }
            }
            Message::BeatAnswer { known: false } => {
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

    fn target_run(&mut self, index: usize, from: Node, attempt: u64, ask: Ask) {
        let node = Node::Target(index);
        let full = self.targets[index].running.len() >= CAPACITY_REQUESTS as usize;
        if full || self.below(100) == 0 {
            self.send(node, from, Message::RunRefused(attempt));
            return;
        }
        self.oracle.ran(&ask);
        let target = &mut self.targets[index];
        target.running.insert(attempt, (ask, from));
        let run = target.run;
        let slow = if target.slow { 8 } else { 1 };
        let wait_us = (300_000 + ask.work * 250) * slow;
        self.after(wait_us, Event::RunEnds(index, run, attempt));
    }

    /// Checks that the sender of new work could know that the target leaves.
    pub fn check_leaving(&mut self, router: usize, index: usize, incarnation: u64) {
        let id = self.targets[index].id;
        let Some(left_ms) = self.oracle.left_ms.get(&(id, incarnation)).copied() else {
            return;
        };
        let since_ms = self.now_ms() - left_ms;
        if since_ms > LEAVING_MS && !self.was_cut(router, left_ms) {
            let what = format!(
                "router {router} sent work to engine {index}, which left {since_ms} ms ago"
            );
            self.fail(Label::Leaving, what);
        }
    }

    pub fn run_ends(&mut self, index: usize, run: u64, attempt: u64) {
        if self.targets[index].running() != run {
            return;
        }
        let Some((ask, router)) = self.targets[index].running.remove(&attempt) else {
            return;
        };
        let swapped = self.targets[index].running.values().next().copied();
        let node = Node::Target(index);
        match (self.below(200), swapped) {
            // An answer to another request on this connection.
            (0, Some((other, _))) => {
                let (request, body) = (other.request, body_of(other.request));
                self.send(
                    node,
                    router,
                    Message::Ran {
                        attempt,
                        request,
                        body,
                    },
                );
            }
            // An answer that comes after the router gave up.
            (1, _) => {
                let message = Message::Ran {
                    attempt,
                    request: ask.request,
                    body: body_of(ask.request),
                };
                let to_run = self.run_of(router);
                self.after(
                    6_000_000,
                    Event::Deliver(router, to_run, node, Box::new(message)),
                );
            }
            _ => {
                let (request, body) = (ask.request, body_of(ask.request));
                self.send(
                    node,
                    router,
                    Message::Ran {
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
        let wall = self.wall(node);
        let target = &mut self.targets[index];
        let old = target.newest.is_some_and(|newest| order.fencing <= newest);
        if order.deadline <= wall || (target.checks_fencing && old) {
            let ended = Message::OrderEnded(order.target, order.fencing, OrderResult::NotRun);
            self.send(node, from, ended);
            return;
        }
        target.newest = target.newest.max(Some(order.fencing));
        let (id, checks) = (target.id, target.checks_fencing);
        let left = order.deadline.duration_since(wall).unwrap_or_default();
        let left_us = u64::try_from(left.as_micros()).unwrap_or(0);
        let number = order.id;
        if let Some((before, _)) = target.order.take() {
            // The newer order replaces the older one where tokens are checked.
            if checks {
                self.oracle.order_ended(id, before.id);
            }
        }
        let Node::Member(member) = from else {
            return;
        };
        self.targets[index].order = Some((order, member));
        self.oracle.order_started(id, number, checks);
        let wait_us = (50_000 + self.below(700_000)).min(left_us);
        let run = self.targets[index].run;
        self.after(wait_us, Event::OrderEnds(index, run, number));
    }

    pub fn order_ends(&mut self, index: usize, run: u64, number: u64) {
        let target = &mut self.targets[index];
        if target.running() != run {
            return;
        }
        self.oracle.order_ended(target.id, number);
        let Some((order, member)) = target.order.take_if(|(order, _)| order.id == number) else {
            return;
        };
        match order.action {
            Action::Load { .. } => target.loaded = true,
            Action::Unload { .. } => target.loaded = false,
            Action::Role { .. } => {}
        }
        if self.below(5) > 0 {
            let ended = Message::OrderEnded(order.target, order.fencing, OrderResult::Done);
            self.send(Node::Target(index), Node::Member(member), ended);
        }
    }

    fn report_offers(&mut self, index: usize, from: Node, at: SystemTime) {
        let target = &self.targets[index];
        // Some engines that ignore tokens do not tell that they run an order.
        let silent = index % 4 == 1;
        let offer: Option<Offer> = "chat@1".parse().ok();
        let report = Report {
            at,
            pool: "gpu".to_owned(),
            offers: offer.filter(|_| target.loaded).into_iter().collect(),
            role: "both".to_owned(),
            ready: (silent || target.order.is_none()) && !target.leaving,
            checks_fencing: target.checks_fencing,
        };
        let message = Message::Report(target.id, Box::new(report));
        self.send(Node::Target(index), from, message);
    }
}
