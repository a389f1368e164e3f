//! Owner side of leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, TeamId, mix64};

use crate::amount::TeamShare;
use crate::level::Level;
use crate::message::{LeaseGrant, LimitsMessage, LimitsOutput};
use crate::outbox::{LimitsCounters, Outbox};
use crate::settings::LimitsSettings;
use crate::team::Team;

/// Asks expire the leases of their own team; this is for the others.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// Returns the owner of a team among the live routers of the data centre.
#[must_use]
pub fn owner_of(team: TeamId, routers: &[InstanceId]) -> Option<InstanceId> {
    routers
        .iter()
        .copied()
        .max_by_key(|router| (mix64(team ^ mix64(*router)), *router))
}

/// Divides the shares of the teams that this router owns.
#[derive(Clone, Debug)]
pub struct LeaseOwner {
    settings: LimitsSettings,
    me: InstanceId,
    routers: Vec<InstanceId>,
    routers_at: Instant,
    shares: BTreeMap<TeamId, TeamShare>,
    teams: BTreeMap<TeamId, Team>,
    level: Level,
    next_expiry: Instant,
    outbox: Outbox,
}

impl LeaseOwner {
    /// Creates an owner without teams.
    #[must_use]
    pub fn new(settings: LimitsSettings, me: InstanceId, _seed: u64, now: Instant) -> Self {
        Self {
            outbox: Outbox::new(me, settings.owner_bytes_per_second),
            settings,
            me,
            routers: vec![me],
            routers_at: now,
            shares: BTreeMap::new(),
            teams: BTreeMap::new(),
            level: Level::default(),
            next_expiry: now,
        }
    }

    /// Sets the live routers of the data centre.
    pub fn set_routers(&mut self, routers: &[InstanceId], now: Instant) {
        if routers == self.routers {
            return;
        }
        self.routers = routers.to_vec();
        self.routers_at = now;
        let (me, routers) = (self.me, &self.routers);
        self.teams
            .retain(|team, _| owner_of(*team, routers) == Some(me));
    }

    /// Sets or changes a team's share in this data centre.
    pub fn set_team(&mut self, team: TeamId, share: TeamShare) {
        self.shares.insert(team, share);
    }

    /// Forgets a team.
    pub fn remove_team(&mut self, team: TeamId) {
        self.shares.remove(&team);
        self.teams.remove(&team);
    }

    /// Sets the data centre's load as a percentage of its capacity.
    ///
    /// Above 100% all owners lower the same cap on the work of any one team, so
    /// teams below the cap keep what they need and the others get equal parts.
    pub fn set_load(&mut self, load_percent: u32, now: Instant) {
        let largest = self.shares.values().map(|share| share.work).max();
        self.level.set_load(load_percent, largest.unwrap_or(0), now);
    }

    /// Returns the present cap on the work in flight of any one team.
    #[must_use]
    pub const fn work_cap(&self) -> Option<u64> {
        self.level.cap()
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> &LimitsCounters {
        &self.outbox.counters
    }

    /// Returns the number of teams with holders.
    #[must_use]
    pub fn active_teams(&self) -> usize {
        self.teams.len()
    }

    /// Takes an ask from a holder.
    pub fn handle(
        &mut self,
        from: InstanceId,
        message: &LimitsMessage,
        now: Instant,
    ) -> Vec<LimitsOutput> {
        self.outbox.received(from, message);
        let LimitsMessage::Ask(asks) = message else {
            return Vec::new();
        };
        let mut grants: Vec<LeaseGrant> = Vec::new();
        for ask in asks {
            if owner_of(ask.team, &self.routers) != Some(self.me) {
                continue;
            }
            let Some(share) = self.shares.get(&ask.team) else {
                continue;
            };
            let share = self.level.apply(share);
            let routers_at = self.routers_at;
            let team = self
                .teams
                .entry(ask.team)
                .or_insert_with(|| Team::new(routers_at));
            grants.extend(team.ask(from, ask, (&share, self.routers.len()), &self.settings, now));
            if std::mem::take(&mut team.is_broken) {
                self.outbox.counters.violations += 1;
            }
            if team.is_empty() {
                self.teams.remove(&ask.team);
            }
        }
        self.outbox.grants(from, &grants, now)
    }

    /// Drops expired leases.
    pub fn tick(&mut self, now: Instant) -> Vec<LimitsOutput> {
        if now < self.next_expiry {
            return Vec::new();
        }
        self.next_expiry = now + EXPIRY_PERIOD;
        self.teams.retain(|_, team| {
            team.expire(now);
            !team.is_empty()
        });
        Vec::new()
    }
}
