//! Runs the state machines of the routers.

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
use super::oracle::ViolationKind;
use super::requests::Job;
use super::world::{DATA_CENTRES, Event, ROUTERS, World};

const TICK_US: u64 = 5_000;
/// Time for which a stopping router still takes requests, since the load balancer still
/// sends them.
const BALANCER_DELAY_US: u64 = 1_000_000;
/// Longest time of a graceful stop; all requests time out earlier.
const STOP_TIMEOUT_US: u64 = 20_000_000;
const FOLLOW_TIMEOUT_US: u64 = 800_000;

/// State machines of a running router.
pub struct LiveRouter {
    pub placer: Placer,
    pub membership: Membership,
    pub holder: LeaseHolder,
    pub owner: LeaseOwner,
    pub budget: RetryBudget,
    pub breakers: BTreeMap<TargetId, Breaker>,
    pub rng: Rng,
    pub follower: Follower,
    /// Requests in progress, by send.
    pub jobs: BTreeMap<u64, Job>,
    pub leader: Option<u64>,
    /// Time at which a graceful stop began.
    pub stopping_us: Option<u64>,
    /// Ready targets that are not damped, with their incarnations.
    pub usable: BTreeMap<TargetId, u64>,
    ticks: u64,
    /// Position of the control member to follow, modulo the number of members.
    next_follow_slot: u64,
    /// Ticket and time of the follow request in progress.
    open_follow: Option<(u64, u64)>,
    /// Violations counted by the crates that are already in the report.
    reported_violations: u64,
}

pub struct Router {
    pub id: InstanceId,
    pub live: Option<LiveRouter>,
    up: bool,
    starts: u64,
    pub incarnation: u64,
    saved_settings: Option<Tree>,
    /// Sends that were accepted and are not answered yet.
    pub open_sends: BTreeSet<u64>,
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
            starts: 0,
            incarnation: 1,
            saved_settings: None,
            open_sends: BTreeSet::new(),
        }
    }

    /// Number of the current start, or 0 while the process is down.
    pub const fn start_number(&self) -> u64 {
        if self.up { self.starts } else { 0 }
    }

    /// Whether the router runs and is not stopping.
    pub fn is_serving(&self) -> bool {
        self.live
            .as_ref()
            .is_some_and(|live| live.stopping_us.is_none())
    }

    /// Revision of the settings in force; `None` if the router is down or stopping.
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
        let seed = self.random_below(u64::MAX);
        let seeds = (0..ROUTERS).map(|router| Seed {
            address: address_of(router),
            data_centre: data_centre_name(router),
        });
        let router = &mut self.routers[index];
        router.up = true;
        router.starts += 1;
        router.incarnation += 1;
        let (id, epoch) = (router.id, router.incarnation);
        let record = InstanceRecord {
            name: format!("router-{index}"),
            incarnation: epoch,
            address: address_of(index),
            data_centre: data_centre_name(index),
        };
        let settings = MembershipSettings {
            seeds: seeds.collect(),
            ..MembershipSettings::default()
        };
        let mut holder = LeaseHolder::new(LimitsSettings::default(), id, seed, now);
        let mut owner = LeaseOwner::new(LimitsSettings::default(), id, seed, now);
        for team in 0..4 {
            let share = Amount {
                // Low, so that the last team reaches its limit at times.
                requests: if team == 3 { 8 } else { 400 },
                work: 4_000_000,
                ..Amount::UNLIMITED
            };
            holder.set_team(team, share);
            owner.set_team(team, share);
        }
        let mut placer = Placer::new(PlacementSettings::default(), id, epoch, epoch);
        placer.set_routers(&[id], now);
        let saved = router.saved_settings.clone().unwrap_or_default();
        router.live = Some(LiveRouter {
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
            next_follow_slot: 0,
            open_follow: None,
            reported_violations: 0,
        });
        let start_number = router.starts;
        self.linked_since.retain(|(router, _), _| *router != index);
        self.schedule_after(TICK_US, Event::Timer(node, start_number));
    }

    pub fn crash_router(&mut self, index: usize) {
        let router = &mut self.routers[index];
        router.up = false;
        router.open_sends.clear();
        if let Some(live) = router.live.take() {
            // Only routers with an odd index have a disk.
            router.saved_settings = (index % 2 == 1).then(|| live.follower.tree().clone());
            router.incarnation = router.incarnation.max(live.membership.incarnation());
        }
    }

    pub fn stop_router(&mut self, index: usize) {
        let now_us = self.now_us;
        if let Some(live) = &mut self.routers[index].live {
            live.stopping_us.get_or_insert(now_us);
        }
    }

    /// Whether a router takes requests; a stopping one does for `BALANCER_DELAY_US`.
    pub fn takes_requests(&self, live: &LiveRouter) -> bool {
        live.stopping_us
            .is_none_or(|since| self.now_us < since + BALANCER_DELAY_US)
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
            let open = self.routers[index].open_sends.len();
            if open > 0 {
                let what = format!("router {index} stopped with {open} requests in progress");
                self.fail(ViolationKind::GracefulStop, what);
            }
            self.oracle.tally.stops += 1;
            self.crash_router(index);
            let wait_us = 500_000 + self.random_below(4_000_000);
            return self.schedule_after(wait_us, Event::Start(node));
        }
        let start_number = self.routers[index].starts;
        self.schedule_after(TICK_US, Event::Timer(node, start_number));
    }

    fn is_stopped_router(&mut self, index: usize, live: &mut LiveRouter) -> bool {
        let Some(since_us) = live.stopping_us else {
            return false;
        };
        if live.jobs.is_empty() && !self.takes_requests(live) {
            self.membership_input(index, live, MembershipInput::Shutdown, None);
            return true;
        }
        if self.now_us > since_us + STOP_TIMEOUT_US {
            let what = format!("router {index} still has {} requests", live.jobs.len());
            self.fail(ViolationKind::GracefulStop, what);
            return true;
        }
        false
    }

    /// Reports new violations that the crates' own checks counted.
    fn check_router(&mut self, index: usize, live: &mut LiveRouter) {
        let counters = [
            live.placer.violations(),
            live.membership.counters().violations,
            live.holder.counters().violations,
            live.owner.counters().violations,
            live.budget.violations(),
            live.follower.violations().count,
        ];
        let sum = counters.iter().sum();
        if sum > live.reported_violations {
            live.reported_violations = sum;
            let what = format!(
                "router {index} counts placer, membership, holder, owner, budget, follower: {counters:?}"
            );
            self.fail(ViolationKind::Internal, what);
        }
    }

    pub fn router_message(&mut self, index: usize, from: Node, message: Message) {
        let Some(mut live) = self.routers[index].live.take() else {
            return;
        };
        self.dispatch_message(index, &mut live, from, message);
        self.routers[index].live = Some(live);
    }

    fn dispatch_message(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        from: Node,
        message: Message,
    ) {
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
            Message::FollowReply(ticket, diff, led) => {
                if live.open_follow.is_some_and(|(open, _)| open == ticket) {
                    live.open_follow = None;
                    if !led {
                        live.next_follow_slot += 1;
                    }
                }
                self.apply_settings(index, live, &diff);
            }
            Message::ControlReply(ticket, answer) => {
                self.handle_control_reply(index, live, ticket, *answer);
            }
            Message::Submit(request) => self.submit(index, live, request),
            Message::RunAnswered {
                attempt,
                request,
                body,
            } => {
                self.attempt_answered(index, live, attempt, request, body);
            }
            Message::RunRefused(attempt) => self.attempt_failed(index, live, attempt, false),
            Message::ConnectionBroken(attempt) => self.attempt_failed(index, live, attempt, true),
            other => self.target_notice(index, live, from, other),
        }
    }

    /// Handles announcements, heartbeats, leaves and probe answers of targets.
    fn target_notice(&mut self, index: usize, live: &mut LiveRouter, from: Node, message: Message) {
        match message {
            Message::Announce(record) => {
                let input = MembershipInput::Announce(*record);
                self.membership_input(index, live, input, Some(from));
            }
            Message::Heartbeat {
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

    fn follow_control(&mut self, index: usize, live: &mut LiveRouter) {
        if let Some((_, since_us)) = live.open_follow {
            if self.now_us < since_us + FOLLOW_TIMEOUT_US {
                return;
            }
            live.next_follow_slot += 1;
        }
        let members: Vec<u64> = self
            .members
            .values()
            .filter(|m| !m.is_lost)
            .map(|m| m.id)
            .collect();
        let slot = usize::try_from(live.next_follow_slot).unwrap_or(0) + index;
        let member = members[slot % members.len()];
        let ticket = self.next_id();
        live.open_follow = Some((ticket, self.now_us));
        let message = Message::Follow(ticket, live.follower.revision());
        self.send(Node::Router(index), Node::Member(member), message);
    }

    fn apply_settings(&mut self, index: usize, live: &mut LiveRouter, diff: &Diff) {
        let before = live.follower.revision();
        let followed = live.follower.apply(diff);
        if followed == ApplyOutcome::Refused || live.follower.revision() < before {
            let after = live.follower.revision();
            let what = format!("router {index}: {followed:?} from revision {before} to {after}");
            self.fail(ViolationKind::Settings, what);
        }
    }
}
