//! Holder side of leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, ResultCode, Rng, TeamId, WorkTokens};

use crate::amount::{Amount, TeamShare};
use crate::holding::{Holding, Limits};
use crate::message::{LeaseRequest, LimitsMessage, LimitsOutput};
use crate::outbox::{LimitsCounters, Outbox};
use crate::owner::owner_of;
use crate::settings::LimitsSettings;

/// Longest pause asked of a refused caller, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(20);

/// Proof of admission; returned once with `finish`.
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Team.
    pub team: TeamId,
    /// Work admitted, in tokens.
    pub work: WorkTokens,
    /// Priority of the request, passed through.
    pub priority: u8,
}

/// Answer to `admit`.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run.
    Granted(Ticket),
    /// The team's share is in use.
    Refused {
        /// `TeamRequestLimit` or `TeamWorkLimit`.
        code: ResultCode,
        /// Pause to ask of the caller.
        retry_after: Duration,
    },
}

/// Admits requests of teams on one router.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    settings: LimitsSettings,
    routers: Vec<InstanceId>,
    shares: BTreeMap<TeamId, TeamShare>,
    holdings: BTreeMap<TeamId, Holding>,
    outbox: Outbox,
    rng: Rng,
    /// Owners of the teams with holdings.
    owners: BTreeMap<TeamId, InstanceId>,
    /// Number of the last ask; shared by all teams, so that a late ask of a team
    /// that was idle in between is seen to be old.
    last_ask: u32,
}

impl LeaseHolder {
    /// Creates a holder without teams.
    #[must_use]
    pub fn new(settings: LimitsSettings, me: InstanceId, seed: u64, _now: Instant) -> Self {
        Self {
            outbox: Outbox::new(me, settings.bytes_per_second),
            settings,
            routers: vec![me],
            shares: BTreeMap::new(),
            holdings: BTreeMap::new(),
            rng: Rng::new(seed),
            owners: BTreeMap::new(),
            last_ask: 0,
        }
    }

    /// Sets the live routers of the data centre.
    pub fn set_routers(&mut self, routers: &[InstanceId], _now: Instant) {
        if routers != self.routers {
            self.routers = routers.to_vec();
            self.owners.clear();
        }
    }

    /// Sets or changes a team's share in this data centre.
    pub fn set_team(&mut self, team: TeamId, share: TeamShare) {
        self.shares.insert(team, share);
    }

    /// Forgets a team.
    pub fn remove_team(&mut self, team: TeamId) {
        self.shares.remove(&team);
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> &LimitsCounters {
        &self.outbox.counters
    }

    /// Returns the number of teams with requests, leases or refusals.
    #[must_use]
    pub fn active_teams(&self) -> usize {
        self.holdings.len()
    }

    /// Returns what a team uses on this router.
    #[must_use]
    pub fn used(&self, team: TeamId) -> Amount {
        self.holdings
            .get(&team)
            .map_or(Amount::default(), |holding| holding.used)
    }

    /// Returns the live lease of a team on this router.
    #[must_use]
    pub fn lease(&self, team: TeamId, now: Instant) -> Amount {
        self.holdings
            .get(&team)
            .map_or(Amount::default(), |holding| holding.live_lease(now))
    }

    /// Admits or refuses one request with `work` tokens.
    pub fn admit(
        &mut self,
        team: TeamId,
        work: WorkTokens,
        priority: u8,
        now: Instant,
    ) -> Admission {
        let share = self.share(team);
        let standing = self.standing(&share);
        let holding = self
            .holdings
            .entry(team)
            .or_insert_with(|| Holding::new(now));
        let Err(code) = holding.admit(work, &share, &standing, now) else {
            return Admission::Granted(Ticket {
                team,
                work,
                priority,
            });
        };
        let limit = holding.lease.plus(&standing).requests;
        let percent = holding.overload_percent(limit, now);
        let mean = Duration::from_millis(10 * percent).min(MAX_RETRY_AFTER);
        let retry_after = mean / 2 + self.rng.duration_up_to(mean);
        Admission::Refused { code, retry_after }
    }

    /// Ends an admitted request.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "taking the ticket by value prevents ending a request twice"
    )]
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        match self.holdings.get_mut(&ticket.team) {
            Some(holding) if holding.used.requests > 0 => holding.finish(ticket.work, now),
            _ => self.outbox.counters.violations += 1,
        }
    }

    /// Takes a grant from an owner.
    pub fn handle(
        &mut self,
        from: InstanceId,
        message: &LimitsMessage,
        _now: Instant,
    ) -> Vec<LimitsOutput> {
        self.outbox.received(from, message);
        let LimitsMessage::Grant(grants) = message else {
            return Vec::new();
        };
        for grant in grants {
            if owner_of(grant.team, &self.routers) != Some(from) {
                continue;
            }
            if let Some(holding) = self.holdings.get_mut(&grant.team) {
                holding.grant(grant, &self.settings);
            }
        }
        Vec::new()
    }

    /// Sends asks that are due; nothing is sent for idle teams.
    pub fn tick(&mut self, now: Instant) -> Vec<LimitsOutput> {
        let mut asks: BTreeMap<InstanceId, Vec<LeaseRequest>> = BTreeMap::new();
        let teams: Vec<TeamId> = self.holdings.keys().copied().collect();
        for team in teams {
            if let Some((owner, ask)) = self.ask(team, now) {
                asks.entry(owner).or_default().push(ask);
            }
        }
        self.outbox.asks(asks, now)
    }

    fn ask(&mut self, team: TeamId, now: Instant) -> Option<(InstanceId, LeaseRequest)> {
        let share = self.share(team);
        let limits = self.limits(&share);
        let owner = self.owner(team)?;
        let holding = self.holdings.get_mut(&team)?;
        let number = self.last_ask.wrapping_add(1);
        if holding.is_idle(now) {
            let returned = holding
                .is_counted()
                .then(|| holding.give_back(team, number));
            self.holdings.remove(&team);
            self.owners.remove(&team);
            self.last_ask = number;
            return returned.map(|ask| (owner, ask));
        }
        let ask = holding.ask(team, owner, &limits, &self.settings, number, now)?;
        self.last_ask = number;
        Some((owner, ask))
    }

    fn share(&self, team: TeamId) -> TeamShare {
        self.shares.get(&team).copied().unwrap_or(Amount::UNLIMITED)
    }

    fn standing(&self, share: &TeamShare) -> Amount {
        let standing = Amount {
            requests: self.settings.standing_requests,
            work: self.settings.standing_work,
            ..Amount::UNLIMITED
        };
        standing.min(share)
    }

    fn limits(&self, share: &TeamShare) -> Limits {
        let routers = u64::try_from(self.routers.len()).unwrap_or(1).max(1);
        let unreported = share.percent(self.settings.unreported_percent);
        Limits {
            share: *share,
            standing: self.standing(share),
            fair: share.map(|value| value / routers),
            sliver: unreported.map(|value| value / routers),
        }
    }

    /// Owners are kept, because finding one takes a hash for each router.
    fn owner(&mut self, team: TeamId) -> Option<InstanceId> {
        if let Some(owner) = self.owners.get(&team) {
            return Some(*owner);
        }
        let owner = owner_of(team, &self.routers)?;
        self.owners.insert(team, owner);
        Some(owner)
    }
}
