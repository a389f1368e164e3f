//! Holder side of leases: admits requests and requests leases from owners.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, ResultCode, Rng, TeamId, WorkTokens, mix64};

use crate::amount::{Amount, TeamShare};
use crate::message::{LeaseRequest, LimitsMessage, LimitsOutput};
use crate::outbox::{LimitsCounters, Outbox};
use crate::owner::owner_of;
use crate::settings::LimitsSettings;
use crate::team_usage::{TeamLimits, TeamUsage};

/// Upper bound of the mean pause before a refused caller retries; jitter of up to
/// half the mean is added or subtracted.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(20);

/// Bound of the random number at which the lease requests of a process begin. It leaves room for
/// weeks of requests.
const FIRST_REQUEST_NUMBER_BITS: u32 = 27;

/// Proof that a request was admitted; passed to `finish` when the request ends.
#[derive(Debug, PartialEq, Eq)]
pub struct AdmissionTicket {
    /// Team that the request counts against.
    pub team: TeamId,
    /// Work admitted, in tokens.
    pub work: WorkTokens,
    /// Priority of the request; it does not affect admission.
    pub priority: u8,
}

/// Result of `admit`.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run.
    Granted(AdmissionTicket),
    /// The team has used up what it may use on this router.
    Refused {
        /// `TeamRequestLimit` or `TeamWorkLimit`.
        code: ResultCode,
        /// Time that the caller should wait before it retries.
        retry_after: Duration,
    },
}

/// Admits requests of teams on one router.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    settings: LimitsSettings,
    routers: Vec<InstanceId>,
    shares: BTreeMap<TeamId, TeamShare>,
    usages: BTreeMap<TeamId, TeamUsage>,
    outbox: Outbox,
    rng: Rng,
    /// Cached owners of the teams in `usages`.
    owners: BTreeMap<TeamId, InstanceId>,
    /// Number of the last lease request. All teams share the numbering, so that an
    /// owner can tell that a late request of a team that was idle in between is old. It begins
    /// at a random number, so that a grant to the process before answers no request of this one.
    last_request_number: u32,
}

impl LeaseHolder {
    /// Creates a holder without teams.
    #[must_use]
    pub fn new(settings: LimitsSettings, own_id: InstanceId, seed: u64, _now: Instant) -> Self {
        Self {
            outbox: Outbox::new(own_id, settings.holder_bytes_per_second),
            settings,
            routers: vec![own_id],
            shares: BTreeMap::new(),
            usages: BTreeMap::new(),
            rng: Rng::new(seed),
            owners: BTreeMap::new(),
            last_request_number: first_request_number(seed ^ own_id),
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

    /// Removes a team's share.
    pub fn remove_team(&mut self, team: TeamId) {
        self.shares.remove(&team);
    }

    /// Returns the counters since the holder was created.
    #[must_use]
    pub const fn counters(&self) -> &LimitsCounters {
        &self.outbox.counters
    }

    /// Returns the number of teams with running requests, leases or recent refusals.
    #[must_use]
    pub fn active_teams(&self) -> usize {
        self.usages.len()
    }

    /// Returns the requests and the work of a team that run on this router.
    #[must_use]
    pub fn used(&self, team: TeamId) -> Amount {
        self.usages
            .get(&team)
            .map_or(Amount::default(), |usage| usage.used)
    }

    /// Returns the unexpired lease of a team on this router, zero if there is none.
    #[must_use]
    pub fn lease(&self, team: TeamId, now: Instant) -> Amount {
        self.usages
            .get(&team)
            .map_or(Amount::default(), |usage| usage.live_lease(now))
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
        let standing = self.standing_allowance(&share);
        let usage = self
            .usages
            .entry(team)
            .or_insert_with(|| TeamUsage::new(now));
        let Err(code) = usage.admit(work, &share, &standing, now) else {
            return Admission::Granted(AdmissionTicket {
                team,
                work,
                priority,
            });
        };
        let limit = usage.lease.plus(&standing).requests;
        let percent = usage.overload_percent(limit, now);
        let mean = Duration::from_millis(10 * percent).min(MAX_RETRY_AFTER);
        let retry_after = mean / 2 + self.rng.duration_up_to(mean);
        Admission::Refused { code, retry_after }
    }

    /// Releases what an admitted request used.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "taking the ticket by value prevents ending a request twice"
    )]
    pub fn finish(&mut self, ticket: AdmissionTicket, now: Instant) {
        match self.usages.get_mut(&ticket.team) {
            Some(usage) if usage.used.requests > 0 => usage.finish(ticket.work, now),
            _ => self.outbox.counters.violations += 1,
        }
    }

    /// Applies the grants of an owner. Grants from a router that does not own the
    /// team are ignored.
    pub fn handle(
        &mut self,
        from: InstanceId,
        message: &LimitsMessage,
        _now: Instant,
    ) -> Vec<LimitsOutput> {
        self.outbox.count_received(from, message);
        let LimitsMessage::Grant(grants) = message else {
            return Vec::new();
        };
        for grant in grants {
            if owner_of(grant.team, &self.routers) != Some(from) {
                continue;
            }
            if let Some(usage) = self.usages.get_mut(&grant.team) {
                usage.grant(grant, &self.settings);
            }
        }
        Vec::new()
    }

    /// Sends the lease requests that are due; nothing is sent for idle teams.
    pub fn tick(&mut self, now: Instant) -> Vec<LimitsOutput> {
        let mut lease_requests: BTreeMap<InstanceId, Vec<LeaseRequest>> = BTreeMap::new();
        let teams: Vec<TeamId> = self.usages.keys().copied().collect();
        for team in teams {
            if let Some((owner, request)) = self.lease_request(team, now) {
                lease_requests.entry(owner).or_default().push(request);
            }
        }
        self.outbox.send_requests(lease_requests, now)
    }

    fn lease_request(&mut self, team: TeamId, now: Instant) -> Option<(InstanceId, LeaseRequest)> {
        let share = self.share(team);
        let limits = self.limits(&share);
        let owner = self.owner(team)?;
        let usage = self.usages.get_mut(&team)?;
        let number = self.last_request_number.wrapping_add(1);
        if usage.is_idle(now) {
            let returned = usage.is_counted().then(|| usage.return_lease(team, number));
            self.usages.remove(&team);
            self.owners.remove(&team);
            self.last_request_number = number;
            return returned.map(|request| (owner, request));
        }
        let request = usage.lease_request(team, owner, &limits, &self.settings, number, now)?;
        self.last_request_number = number;
        Some((owner, request))
    }

    fn share(&self, team: TeamId) -> TeamShare {
        self.shares.get(&team).copied().unwrap_or(Amount::UNLIMITED)
    }

    fn standing_allowance(&self, share: &TeamShare) -> Amount {
        let standing = Amount {
            requests: self.settings.standing_requests,
            work: self.settings.standing_work,
            ..Amount::UNLIMITED
        };
        standing.min(share)
    }

    fn limits(&self, share: &TeamShare) -> TeamLimits {
        let router_count = u64::try_from(self.routers.len()).unwrap_or(1).max(1);
        let unreported = share.percent(self.settings.unreported_percent);
        TeamLimits {
            share: *share,
            standing: self.standing_allowance(share),
            equal_part: share.map(|value| value / router_count),
            unreported: unreported.map(|value| value / router_count),
        }
    }

    /// Owners are cached, because finding one takes a hash for each router.
    fn owner(&mut self, team: TeamId) -> Option<InstanceId> {
        if let Some(owner) = self.owners.get(&team) {
            return Some(*owner);
        }
        let owner = owner_of(team, &self.routers)?;
        self.owners.insert(team, owner);
        Some(owner)
    }
}

const fn first_request_number(random: u64) -> u32 {
    (mix64(random) >> (u64::BITS - FIRST_REQUEST_NUMBER_BITS)) as u32
}
