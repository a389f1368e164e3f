//! Owner side of leases: divides the shares of the teams that a router owns.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, TeamId, mix64};

use crate::amount::TeamShare;
use crate::message::{LeaseGrant, LimitsMessage, LimitsOutput};
use crate::outbox::{LimitsCounters, Outbox};
use crate::settings::LimitsSettings;
use crate::team_leases::TeamLeases;
use crate::work_cap::WorkCap;

/// Time between removals of the expired leases of all teams. A lease request also
/// removes those of its own team.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// Returns the owner of a team among the live routers of the data centre, chosen by
/// rendezvous hashing; `None` if `routers` is empty.
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
    own_id: InstanceId,
    routers: Vec<InstanceId>,
    routers_changed_at: Instant,
    shares: BTreeMap<TeamId, TeamShare>,
    teams: BTreeMap<TeamId, TeamLeases>,
    cap: WorkCap,
    next_expiry_at: Instant,
    outbox: Outbox,
}

impl LeaseOwner {
    /// Creates an owner without teams.
    #[must_use]
    pub fn new(settings: LimitsSettings, own_id: InstanceId, _seed: u64, now: Instant) -> Self {
        Self {
            outbox: Outbox::new(own_id, settings.owner_bytes_per_second),
            settings,
            own_id,
            routers: vec![own_id],
            routers_changed_at: now,
            shares: BTreeMap::new(),
            teams: BTreeMap::new(),
            cap: WorkCap::default(),
            next_expiry_at: now,
        }
    }

    /// Sets the live routers of the data centre, and drops the leases of the teams
    /// that another router now owns.
    pub fn set_routers(&mut self, routers: &[InstanceId], now: Instant) {
        if routers == self.routers {
            return;
        }
        self.routers = routers.to_vec();
        self.routers_changed_at = now;
        let (own_id, routers) = (self.own_id, &self.routers);
        self.teams
            .retain(|team, _| owner_of(*team, routers) == Some(own_id));
    }

    /// Sets or changes a team's share in this data centre.
    pub fn set_team(&mut self, team: TeamId, share: TeamShare) {
        self.shares.insert(team, share);
    }

    /// Removes a team's share and its leases.
    pub fn remove_team(&mut self, team: TeamId) {
        self.shares.remove(&team);
        self.teams.remove(&team);
    }

    /// Sets the data centre's load as a percentage of its capacity.
    ///
    /// Above 100% all owners lower the same cap on the work of any one team, so
    /// teams below the cap keep what they need and the others get equal parts.
    pub fn set_load(&mut self, load_percent: u32, now: Instant) {
        let largest_share = self.shares.values().map(|share| share.work).max();
        self.cap
            .set_load(load_percent, largest_share.unwrap_or(0), now);
    }

    /// Returns the current cap on the work in flight of any one team, in tokens;
    /// `None` if no overload has set one.
    #[must_use]
    pub const fn work_cap(&self) -> Option<u64> {
        self.cap.cap()
    }

    /// Returns the counters since the owner was created.
    #[must_use]
    pub const fn counters(&self) -> &LimitsCounters {
        &self.outbox.counters
    }

    /// Returns the number of teams for which a holder has reported use.
    #[must_use]
    pub fn active_teams(&self) -> usize {
        self.teams.len()
    }

    /// Answers the lease requests of a holder. Requests for teams that this router
    /// does not own or that have no share are ignored.
    pub fn handle(
        &mut self,
        from: InstanceId,
        message: &LimitsMessage,
        now: Instant,
    ) -> Vec<LimitsOutput> {
        self.outbox.count_received(from, message);
        let LimitsMessage::Ask(requests) = message else {
            return Vec::new();
        };
        let mut grants: Vec<LeaseGrant> = Vec::new();
        for request in requests {
            if owner_of(request.team, &self.routers) != Some(self.own_id) {
                continue;
            }
            let Some(share) = self.shares.get(&request.team) else {
                continue;
            };
            let share = self.cap.apply(share);
            let routers_changed_at = self.routers_changed_at;
            let team = self
                .teams
                .entry(request.team)
                .or_insert_with(|| TeamLeases::new(routers_changed_at));
            grants.extend(team.handle_request(
                from,
                request,
                (&share, self.routers.len()),
                &self.settings,
                now,
            ));
            if std::mem::take(&mut team.exceeded_share) {
                self.outbox.counters.violations += 1;
            }
            if team.is_empty() {
                self.teams.remove(&request.team);
            }
        }
        self.outbox.send_grants(from, &grants, now)
    }

    /// Drops expired leases; never sends anything.
    pub fn tick(&mut self, now: Instant) -> Vec<LimitsOutput> {
        if now < self.next_expiry_at {
            return Vec::new();
        }
        self.next_expiry_at = now + EXPIRY_PERIOD;
        self.teams.retain(|_, team| {
            team.expire(now);
            !team.is_empty()
        });
        Vec::new()
    }
}
