//! Host of the state machines of one router.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bamboospur_limits::{Amount, LeaseHolder, LeaseOwner, LimitsMessage, LimitsSettings};
use bamboospur_membership::{
    InstanceRecord, Membership, MembershipInput, MembershipSettings, Seed,
};
use bamboospur_placement::{PlacementSettings, Placer};
use bamboospur_retries::{Breaker, BudgetSettings, RetryBudget, Rng};
use bamboospur_settings::{ApplyOutcome, Diff, Follower, Tree};
use bamboospur_types::{InstanceId, TargetId, stable_id};

use super::message::{Message, Node};
use super::oracle::Label;
use super::path::Job;
use super::world::{DATA_CENTRES, Event, ROUTERS, World};

const TICK_US: u64 = 5_000;
/// Time for which a stopping router still takes requests.
const BALANCER_US: u64 = 1_000_000;
/// Longest time of a graceful stop; requests end earlier.
const STOP_US: u64 = 20_000_000;
const FOLLOW_TIMEOUT_US: u64 = 800_000;

pub struct Live {
    pub placer: Placer,
    pub membership: Membership,
    pub holder: LeaseHolder,
    pub owner: LeaseOwner,
    pub budget: RetryBudget,
    pub breakers: BTreeMap<TargetId, Breaker>,
    pub rng: Rng,
    pub follower: Follower,
    pub jobs: BTreeMap<u64, Job>,
    pub leader: Option<u64>,
    pub stopping_us: Option<u64>,
    pub usable: BTreeMap<TargetId, u64>,
    ticks: u64,
    control: u64,
    /// Open question to the control member and its time.
    follow: Option<(u64, u64)>,
    reported: u64,
}

pub struct Router {
    pub id: InstanceId,
    pub live: Option<Live>,
    up: bool,
    run: u64,
    pub incarnation: u64,
    saved: Option<Tree>,
    /// Sends accepted and not answered yet.
    pub open: BTreeSet<u64>,
}

pub fn address_of(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).unwrap_or(0);
    SocketAddr::from(([10, 0, 1, 1], port))
}

pub fn data_centre_name(index: usize) -> String {
    format!("dc-{}", index % DATA_CENTRES)
}

impl Router {
    pub fn new(index: usize) -> Self {
        Self {
            id: stable_id(&format!("router-{index}")),
            live: None,
            up: false,
            run: 0,
            incarnation: 1,
            saved: None,
            open: BTreeSet::new(),
        }
    }

    pub const fn running(&self) -> u64 {
        if self.up { self.run } else { 0 }
    }

    pub fn accepts(&self) -> bool {
        self.live
            .as_ref()
            .is_some_and(|live| live.stopping_us.is_none())
    }

    pub fn revision(&self) -> Option<u64> {
        let live = self
            .live
            .as_ref()
            .filter(|live| live.stopping_us.is_none())?;
        Some(live.follower.revision())
    }
}

impl World {
    pub fn start_router(&mut self, index: usize) {
        if self.routers[index].up {
            return;
        }
        let node = Node::Router(index);
        let now = self.instant(node);
        let seed = self.below(u64::MAX);
        let seeds = (0..ROUTERS).map(|router| Seed {
            address: address_of(router),
            data_centre: data_centre_name(router),
        });
        let router = &mut self.routers[index];
        router.up = true;
        router.run += 1;
        router.incarnation += 1;
        let record = InstanceRecord {
            name: format!("router-{index}"),
            incarnation: router.incarnation,
            address: address_of(index),
            data_centre: data_centre_name(index),
        };
        let settings = MembershipSettings {
            seeds: seeds.collect(),
            ..MembershipSettings::default()
        };
        let id = router.id;
        let mut holder = LeaseHolder::new(LimitsSettings::default(), id, seed, now);
        let mut owner = LeaseOwner::new(LimitsSettings::default(), id, seed, now);
        for team in 0..4 {
            let share = Amount {
                // The last team is at its limit at times.
                requests: if team == 3 { 8 } else { 400 },
                work: 4_000_000,
                ..Amount::UNLIMITED
            };
            holder.set_team(team, share);
            owner.set_team(team, share);
        }
        let mut placer = Placer::new(PlacementSettings::default(), id, router.incarnation);
        placer.set_routers(&[id], now);
        let saved = router.saved.clone().unwrap_or_default();
        router.live = Some(Live {
            placer,
            membership: Membership::new(settings, &record, seed),
            holder,
            owner,
            budget: RetryBudget::new(BudgetSettings::default(), now),
            breakers: BTreeMap::new(),
            rng: Rng::new(seed),
            follower: Follower::new(saved),
            jobs: BTreeMap::new(),
            leader: None,
            stopping_us: None,
            usable: BTreeMap::new(),
            ticks: 0,
            control: 0,
            follow: None,
            reported: 0,
        });
        let run = router.run;
        self.good_since.retain(|(router, _), _| *router != index);
        self.after(TICK_US, Event::Timer(node, run));
    }

    pub fn crash_router(&mut self, index: usize) {
        let router = &mut self.routers[index];
        router.up = false;
        router.open.clear();
        if let Some(live) = router.live.take() {
            // Routers with an odd number have a disk.
            router.saved = (index % 2 == 1).then(|| live.follower.tree().clone());
            router.incarnation = router.incarnation.max(live.membership.incarnation());
        }
    }

    pub fn stop_router(&mut self, index: usize) {
        let now_us = self.now_us;
        if let Some(live) = &mut self.routers[index].live {
            live.stopping_us.get_or_insert(now_us);
        }
    }

    /// Whether a stopping router still takes requests.
    pub fn takes_requests(&self, live: &Live) -> bool {
        live.stopping_us
            .is_none_or(|since| self.now_us < since + BALANCER_US)
    }

    pub fn router_tick(&mut self, index: usize) {
        let node = Node::Router(index);
        let now = self.instant(node);
        let Some(mut live) = self.routers[index].live.take() else {
            return;
        };
        live.ticks += 1;
        let outputs = live.placer.tick(now);
        self.placement_outputs(index, &mut live, outputs);
        self.jobs_tick(index, &mut live);
        if live.ticks.is_multiple_of(4) {
            let mut outputs = live.holder.tick(now);
            outputs.extend(live.owner.tick(now));
            self.limits_outputs(index, &mut live, outputs);
        }
        if live.ticks.is_multiple_of(40) {
            self.membership_input(index, &mut live, MembershipInput::Tick, None);
            self.check_router(index, &mut live);
        }
        if live.ticks.is_multiple_of(20) {
            self.follow_control(index, &mut live);
        }
        let done = self.is_stopped_router(index, &mut live);
        self.routers[index].live = Some(live);
        if done {
            let open = self.routers[index].open.len();
            if open > 0 {
                let what = format!("router {index} stopped with {open} requests in progress");
                self.fail(Label::GracefulStop, what);
            }
            self.oracle.tally.stops += 1;
            self.crash_router(index);
            let wait_us = 500_000 + self.below(4_000_000);
            return self.after(wait_us, Event::Start(node));
        }
        let run = self.routers[index].run;
        self.after(TICK_US, Event::Timer(node, run));
    }

    fn is_stopped_router(&mut self, index: usize, live: &mut Live) -> bool {
        let Some(since_us) = live.stopping_us else {
            return false;
        };
        if live.jobs.is_empty() && !self.takes_requests(live) {
            self.membership_input(index, live, MembershipInput::Shutdown, None);
            return true;
        }
        if self.now_us > since_us + STOP_US {
            let what = format!("router {index} still has {} requests", live.jobs.len());
            self.fail(Label::GracefulStop, what);
            return true;
        }
        false
    }

    /// Adds up what the crates' own checks counted.
    fn check_router(&mut self, index: usize, live: &mut Live) {
        let counters = [
            live.placer.violations(),
            live.membership.counters().violations,
            live.holder.counters().violations,
            live.owner.counters().violations,
            live.budget.violations(),
            live.follower.violations().count,
        ];
        let sum = counters.iter().sum();
        if sum > live.reported {
            live.reported = sum;
            let what = format!(
                "router {index} counts placer, membership, holder, owner, budget, follower: {counters:?}"
            );
            self.fail(Label::Internal, what);
        }
    }

    pub fn router_message(&mut self, index: usize, from: Node, message: Message) {
        let Some(mut live) = self.routers[index].live.take() else {
            return;
        };
        self.route_message(index, &mut live, from, message);
        self.routers[index].live = Some(live);
    }

    fn route_message(&mut self, index: usize, live: &mut Live, from: Node, message: Message) {
        let now = self.instant(Node::Router(index));
        let sender = match from {
            Node::Router(router) => self.routers[router].id,
            _ => 0,
        };
        match message {
            Message::Gossip(address, message) => {
                let input = MembershipInput::Packet {
                    from: sender,
                    address,
                    message: *message,
                };
                self.membership_input(index, live, input, None);
            }
            Message::Placement(message) => {
                let outputs = live.placer.handle(message, sender, now);
                self.placement_outputs(index, live, outputs);
            }
            Message::Limits(message) => {
                let outputs = match &message {
                    LimitsMessage::Ask(_) => live.owner.handle(sender, &message, now),
                    LimitsMessage::Grant(_) => live.holder.handle(sender, &message, now),
                };
                self.limits_outputs(index, live, outputs);
            }
            Message::Settings(diff) => self.apply_settings(index, live, &diff),
            Message::Followed(ticket, diff, led) => {
                if live.follow.is_some_and(|(open, _)| open == ticket) {
                    live.follow = None;
                    if !led {
                        live.control += 1;
                    }
                }
                self.apply_settings(index, live, &diff);
            }
            Message::Reply(ticket, answer) => self.control_answer(index, live, ticket, *answer),
            Message::Submit(ask) => self.submit(index, live, ask),
            Message::Ran {
                attempt,
                request,
                body,
            } => {
                self.attempt_answered(index, live, attempt, request, body);
            }
            Message::RunRefused(attempt) => self.attempt_failed(index, live, attempt, false),
            Message::RunBroken(attempt) => self.attempt_failed(index, live, attempt, true),
            other => self.target_notice(index, live, from, other),
        }
    }

    /// What targets tell a router about themselves.
    fn target_notice(&mut self, index: usize, live: &mut Live, from: Node, message: Message) {
        match message {
            Message::Announce(record) => {
                let input = MembershipInput::Announce(*record);
                self.membership_input(index, live, input, Some(from));
            }
            Message::Beat {
                target,
                incarnation,
                sequence,
                state,
                load,
            } => {
                let input = MembershipInput::Heartbeat {
                    target,
                    incarnation,
                    sequence,
                    state,
                    load,
                };
                self.membership_input(index, live, input, Some(from));
            }
            Message::Leave {
                target,
                incarnation,
            } => {
                let input = MembershipInput::Leave {
                    target,
                    incarnation,
                };
                self.membership_input(index, live, input, None);
                self.leave_accepted(index, live, from, target, incarnation);
            }
            Message::Probed(target, incarnation) => {
                let input = MembershipInput::ProbeFinished {
                    target,
                    incarnation,
                    alive: true,
                };
                self.membership_input(index, live, input, None);
            }
            _ => {}
        }
    }

    fn follow_control(&mut self, index: usize, live: &mut Live) {
        if let Some((_, since_us)) = live.follow {
            if self.now_us < since_us + FOLLOW_TIMEOUT_US {
                return;
            }
            live.control += 1;
        }
        let members: Vec<u64> = self
            .members
            .values()
            .filter(|m| !m.is_lost)
            .map(|m| m.id)
            .collect();
        let slot = usize::try_from(live.control).unwrap_or(0) + index;
        let member = members[slot % members.len()];
        let ticket = self.number();
        live.follow = Some((ticket, self.now_us));
        let message = Message::Follow(ticket, live.follower.revision());
        self.send(Node::Router(index), Node::Member(member), message);
    }

    fn apply_settings(&mut self, index: usize, live: &mut Live, diff: &Diff) {
        let before = live.follower.revision();
        let followed = live.follower.apply(diff);
        if followed == ApplyOutcome::Refused || live.follower.revision() < before {
            let after = live.follower.revision();
            let what = format!("router {index}: {followed:?} from revision {before} to {after}");
            self.fail(Label::Settings, what);
        }
    }
}
