//! Router actor: placement, team limits, retries and circuit breakers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bamboospur_membership::TargetView as MembershipTargetView;
use bamboospur_placement::{CacheEventKind, PlacementSettings, Placer, Ticket};
use bamboospur_retries::{Backoff, BackoffSettings, BudgetSettings, RetryBudget, Rng};
use bamboospur_settings::{Fleet, Share};
use bamboospur_types::{ChatId, InstanceId, TargetId, WorkTokens};
use bamboospur_wire::datagram::ShortId;
use stakker::{CX, after};
use tracing::error;

use super::crashes::Crashes;
use super::placement_packets::PoolShortIds;
use super::placing::DeniedRequest;
use super::router_messages::RouterMessage;
use super::shares::{ShareRequest, Shares};
use super::target_limits::Limits;
use super::targets::Targets;
use crate::mailbox::ReplySender;
use crate::peers::Peers;
use crate::request::{PlaceRequest, Placement};
use crate::status::PoolStatus;

const PLACER_TICK_PERIOD: Duration = Duration::from_millis(5);
const LIMITS_TICK_PERIOD: Duration = Duration::from_millis(20);

/// One pool with its placer and its retry budget.
pub(super) struct Pool {
    pub(super) placer: Placer,
    pub(super) budget: RetryBudget,
    /// Requests that wait for the answer of an owner.
    pub(super) waiting: BTreeMap<Ticket, (PlaceRequest, ReplySender<Placement>)>,
}

/// Actor that owns the state of all requests in progress.
pub struct Router {
    pub(super) own_id: InstanceId,
    data_centre: String,
    /// Start time of the process in seconds; upper half of the placers' tickets.
    pub(super) epoch: u32,
    /// Random number of the process, from which the counts of the placers' tickets begin.
    ticket_seed: u64,
    pub(super) rng: Rng,
    pub(super) pools: BTreeMap<String, Pool>,
    pub(super) targets: Targets,
    pub(super) shares: Shares,
    pub(super) backoff: Backoff,
    pub(super) denied: VecDeque<DeniedRequest>,
    fleet: Arc<Fleet>,
    pub(super) routers: Vec<InstanceId>,
    /// Cache of short ids by pool, filled on use.
    pub(super) pool_short_ids: BTreeMap<ShortId, PoolShortIds>,
    pub(super) peers: Peers,
    /// Placements made since the start.
    pub(super) placed: u64,
    /// Placements that have ended since the start.
    pub(super) finished: u64,
    pub(super) violations: u64,
    pub(super) crashes: Crashes,
    pub(super) limits: Limits,
}

impl Router {
    /// Creates the actor and starts its timers.
    pub fn init(
        cx: CX![],
        own: InstanceId,
        data_centre: String,
        (seed, epoch): (u64, u32),
        peers: Peers,
    ) -> Option<Self> {
        let now = cx.now();
        after!(PLACER_TICK_PERIOD, [cx], tick());
        after!(LIMITS_TICK_PERIOD, [cx], limits_tick());
        Some(Self {
            own_id: own,
            data_centre,
            epoch,
            ticket_seed: seed,
            rng: Rng::new(seed),
            pools: BTreeMap::new(),
            targets: Targets::default(),
            shares: Shares::new(own, seed, now),
            backoff: Backoff::default(),
            denied: VecDeque::new(),
            fleet: Arc::default(),
            routers: vec![own],
            pool_short_ids: BTreeMap::new(),
            peers,
            placed: 0,
            finished: 0,
            violations: 0,
            crashes: Crashes::new(now),
            limits: Limits::new(seed),
        })
    }

    /// Handles a message of the mailbox.
    pub fn handle_message(&mut self, cx: CX![], message: RouterMessage) {
        let now = cx.now();
        match message {
            RouterMessage::Admit {
                team,
                work_tokens,
                priority,
                reply,
            } => {
                let request = ShareRequest {
                    team,
                    work_tokens,
                    priority,
                    reply,
                };
                self.shares.admit(request, now);
            }
            RouterMessage::Release { ticket } => self.shares.finish(ticket, now),
            RouterMessage::Place { place, reply } => self.place(place, reply, now),
            RouterMessage::Finish {
                pool,
                team,
                target,
                ticket,
                permit,
                outcome,
            } => {
                self.finish_placement(&pool, ticket, now);
                self.record_outcome(team, target, permit, outcome, now);
            }
            RouterMessage::Retry {
                pool,
                attempt,
                reply,
            } => {
                let pause = self.grant_retry(&pool, attempt, now);
                // If the request no longer waits, the retry needs no clean-up.
                let _ = reply.try_send(pause);
            }
            RouterMessage::Placement {
                from,
                pool,
                sequence,
                messages,
            } => self.handle_placement(from, pool, sequence, &messages, now),
            RouterMessage::Answered { .. }
            | RouterMessage::BrokenOff { .. }
            | RouterMessage::TargetChecked { .. }
            | RouterMessage::Crashes { .. } => self.handle_crash_evidence(message, now),
            RouterMessage::Limited {
                target,
                limit,
                sent_at,
            } => self.record_limit(target, limit, sent_at, now),
            RouterMessage::StatedLimits { stated } => self.handle_stated_limits(&stated, now),
            RouterMessage::Limits { from, message } => {
                self.shares.handle(from, &message, &self.peers, now);
            }
        }
    }

    /// Applies the fleet's settings.
    pub fn set_fleet(&mut self, cx: CX![], fleet: Arc<Fleet>) {
        let now = cx.now();
        self.shares.set_defaults(fleet.limits);
        self.backoff = Backoff::new(BackoffSettings {
            base: Duration::from_millis(fleet.retry.backoff_base_ms),
            cap: Duration::from_millis(fleet.retry.backoff_cap_ms),
        });
        self.pools.retain(|name, _| fleet.pools.contains_key(name));
        for (name, settings) in &fleet.pools {
            let known = self.fleet.pools.get(name);
            let same = known.is_some_and(|k| k.load_bound_percent == settings.load_bound_percent);
            if same && self.pools.contains_key(name) {
                continue;
            }
            let pool = self.new_pool(name, settings.load_bound_percent, &fleet, now);
            self.pools.insert(name.clone(), pool);
        }
        for (name, view) in self.targets.set_drained(|target| fleet.is_drained(target)) {
            if let Some(pool) = self.pools.get_mut(&name) {
                pool.placer.set_target(view, now);
            }
        }
        self.fleet = fleet;
    }

    /// Sets or removes a team's share.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "actor calls own their arguments"
    )]
    pub fn set_team(&mut self, _: CX![], name: String, share: Option<Share>) {
        self.shares.set_team(&name, share);
    }

    /// Adds, updates or removes a target.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "actor calls own their arguments"
    )]
    pub fn set_target(&mut self, cx: CX![], known: MembershipTargetView) {
        let now = cx.now();
        let held = self.targets.get(known.id).map(|held| &held.view);
        if known.state.is_final()
            || held.is_none_or(|held| held.incarnation != known.record.incarnation)
        {
            self.pool_short_ids.clear();
        }
        if known.state.is_final() {
            if let Some(target) = self.targets.remove(known.id)
                && let Some(pool) = self.pools.get_mut(&target.pool)
            {
                pool.placer.remove_target(known.id, now);
            }
            return;
        }
        let target = {
            let drained = self.fleet.is_drained(&known.record.name);
            self.targets.set(&known, &self.data_centre, drained)
        };
        if let Some(pool) = self.pools.get_mut(&target.pool) {
            pool.placer.set_target(target.view.clone(), now);
        }
    }

    /// Sets the live routers of the data centre.
    pub fn set_routers(&mut self, cx: CX![], routers: Vec<InstanceId>) {
        let now = cx.now();
        self.shares.set_routers(&routers, now);
        for pool in self.pools.values_mut() {
            pool.placer.set_routers(&routers, now);
        }
        self.routers = routers;
        self.update_hub(now);
        self.update_limit_holders(now);
    }

    /// Handles a change of a target's prefix cache.
    pub fn cache_event(
        &mut self,
        cx: CX![],
        target: TargetId,
        chat: ChatId,
        prefix_tokens: WorkTokens,
        kind: CacheEventKind,
    ) {
        let now = cx.now();
        let name = self.targets.get(target).map(|t| t.pool.as_str());
        if let Some(pool) = name.and_then(|name| self.pools.get_mut(name)) {
            pool.placer
                .handle_cache_event(target, chat, prefix_tokens, kind, now);
        }
    }

    /// Returns the state of the pools for the status page.
    #[must_use]
    pub fn status(&self) -> Vec<PoolStatus> {
        let pools = self.pools.iter();
        let pools =
            pools.map(|(name, pool)| PoolStatus::new(name, &self.targets, pool.budget.available()));
        pools.collect()
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in names {
            let outputs = self.pools.get_mut(&name).map(|pool| pool.placer.tick(now));
            self.deliver(&name, outputs.unwrap_or_default(), now);
        }
        self.place_denied(now);
        after!(PLACER_TICK_PERIOD, [cx], tick());
    }

    fn limits_tick(&mut self, cx: CX![]) {
        self.shares.tick(&self.peers, cx.now());
        self.crashes_tick(cx.now());
        self.target_limits_tick(cx.now());
        after!(LIMITS_TICK_PERIOD, [cx], limits_tick());
    }

    fn new_pool(&self, name: &str, bound_percent: u32, fleet: &Fleet, now: Instant) -> Pool {
        let settings = PlacementSettings {
            bound: f64::from(bound_percent) / 100.0,
            ..PlacementSettings::default()
        };
        let epoch = u64::from(self.epoch);
        let mut placer = Placer::new(settings, self.own_id, epoch, self.ticket_seed);
        placer.set_routers(&self.routers, now);
        for target in self.targets.in_pool(name) {
            placer.set_target(target.view.clone(), now);
        }
        let budget = BudgetSettings {
            retries_per_thousand: fleet.retry.budget_percent * 10,
            ..BudgetSettings::default()
        };
        Pool {
            placer,
            budget: RetryBudget::new(budget, now),
            waiting: BTreeMap::new(),
        }
    }

    pub(super) fn record_violation(&mut self, what: &str) {
        self.violations += 1;
        error!(what, "an invariant was violated");
    }
}
