//! What one router knows and uses of one team's share.

use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, ResultCode, WorkTokens};

use crate::amount::{Amount, TeamShare};
use crate::message::{LeaseGrant, LeaseRequest};
use crate::rate::{Bucket, Rate};
use crate::settings::LimitsSettings;

/// Asks whose answers may still come.
const ASKS_KEPT: usize = 4;
/// Idle time after which a lease is returned.
const IDLE: Duration = Duration::from_secs(1);

/// Returns the part of a router's equal part that it need not report. Owners keep
/// this back for the routers that have not reported.
pub(crate) const fn unreported(fair: u64) -> u64 {
    fair / 8
}

/// Amounts of one team that depend on its share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) share: TeamShare,
    /// What a router may use above its lease.
    pub(crate) standing: Amount,
    /// Equal part of the share.
    pub(crate) fair: Amount,
    /// What need not be reported.
    pub(crate) sliver: Amount,
}

#[derive(Clone, Debug)]
pub(crate) struct Holding {
    pub(crate) used: Amount,
    pub(crate) lease: Amount,
    pub(crate) deadline: Option<Instant>,
    lease_number: u32,
    pub(crate) strict_until: Option<Instant>,
    owner: Option<InstanceId>,
    asks: Vec<(u32, Instant)>,
    next_ask_at: Instant,
    last_ask_at: Option<Instant>,
    /// What the owner counts for this router.
    reported: Amount,
    peak: Amount,
    refused: Amount,
    offered_requests: Rate,
    offered_work: Rate,
    request_bucket: Bucket,
    work_bucket: Bucket,
    busy_since: Option<Instant>,
    idle_since: Instant,
}

impl Holding {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            used: Amount::default(),
            lease: Amount::default(),
            deadline: None,
            lease_number: 0,
            strict_until: None,
            owner: None,
            asks: Vec::new(),
            next_ask_at: now,
            last_ask_at: None,
            reported: Amount::default(),
            peak: Amount::default(),
            refused: Amount::default(),
            offered_requests: Rate::new(now),
            offered_work: Rate::new(now),
            request_bucket: Bucket::new(now),
            work_bucket: Bucket::new(now),
            busy_since: None,
            idle_since: now,
        }
    }

    /// Admits or names the quantity that is in use.
    pub(crate) fn admit(
        &mut self,
        work: WorkTokens,
        share: &TeamShare,
        standing: &Amount,
        now: Instant,
    ) -> Result<(), ResultCode> {
        self.offered_requests.add(1, now);
        self.offered_work.add(work, now);
        let result = self.check(work.min(share.work), share, standing, now);
        if result.is_err() {
            self.refused.requests += 1;
            self.refused.work = self.refused.work.saturating_add(work);
            return result;
        }
        self.request_bucket.take(1);
        self.work_bucket.take(work);
        self.used.requests += 1;
        self.used.work = self.used.work.saturating_add(work);
        self.peak = self.peak.max(&self.used);
        self.busy_since.get_or_insert(now);
        Ok(())
    }

    fn check(
        &mut self,
        work: WorkTokens,
        share: &TeamShare,
        standing: &Amount,
        now: Instant,
    ) -> Result<(), ResultCode> {
        let strict = self.is_strict(now);
        let limit = self.limit(share, standing, now);
        if self.used.requests >= limit.requests {
            return Err(ResultCode::TeamRequestLimit);
        }
        if self.used.work.saturating_add(work) > limit.work {
            return Err(ResultCode::TeamWorkLimit);
        }
        if !strict {
            return Ok(());
        }
        if !self.request_bucket.has(1, limit.requests_per_minute, now) {
            return Err(ResultCode::TeamRequestLimit);
        }
        if !self.work_bucket.has(work, limit.work_per_minute, now) {
            return Err(ResultCode::TeamWorkLimit);
        }
        Ok(())
    }

    /// At its share, a team has its lease on this router; below it also the
    /// standing allowance.
    fn limit(&self, share: &TeamShare, standing: &Amount, now: Instant) -> Amount {
        if self.is_strict(now) {
            return self.lease.min(share);
        }
        self.live_lease(now).plus(standing).min(share)
    }

    pub(crate) fn is_strict(&self, now: Instant) -> bool {
        self.strict_until.is_some_and(|until| now < until)
    }

    pub(crate) fn live_lease(&self, now: Instant) -> Amount {
        match self.deadline {
            Some(deadline) if now < deadline => self.lease,
            _ => Amount::default(),
        }
    }

    pub(crate) fn finish(&mut self, work: WorkTokens, now: Instant) {
        self.used.requests = self.used.requests.saturating_sub(1);
        self.used.work = self.used.work.saturating_sub(work);
        if self.used.requests == 0 {
            self.busy_since = None;
            self.idle_since = now;
        }
    }

    /// Returns whether nothing must be remembered.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        self.used.requests == 0
            && now.saturating_duration_since(self.idle_since) >= IDLE
            && self.refused.is_zero()
            // A grant on the way would be charged until its deadline.
            && self.last_ask_at.is_none_or(|at| now >= at + IDLE)
    }

    pub(crate) const fn holds_lease(&self) -> bool {
        self.lease_number != 0
    }

    /// Returns whether the owner counts something for this router.
    pub(crate) const fn is_counted(&self) -> bool {
        self.holds_lease() || self.last_ask_at.is_some()
    }

    /// Returns how much callers want, refused requests included.
    fn demand(&mut self, now: Instant) -> Amount {
        let in_flight = self.peak.max(&self.used).plus(&self.refused);
        Amount {
            requests: in_flight.requests,
            work: in_flight.work,
            requests_per_minute: self.offered_requests.per_minute(now),
            work_per_minute: self.offered_work.per_minute(now),
        }
    }

    /// Returns an ask, if one is due.
    pub(crate) fn ask(
        &mut self,
        team: u64,
        owner: InstanceId,
        limits: &Limits,
        settings: &LimitsSettings,
        number: u32,
        now: Instant,
    ) -> Option<LeaseRequest> {
        let Limits {
            share,
            standing,
            fair,
            sliver,
        } = limits;
        if self.owner != Some(owner) {
            self.change_owner(owner, now);
        }
        if !self.is_due((share, standing, fair), settings, now) {
            return None;
        }
        let demand = self.demand(now);
        // A refused request needs a lease, however small the demand is.
        let is_small = self.refused.is_zero() && demand.fits_within(sliver);
        if is_small && !self.is_counted() && !self.is_strict(now) {
            return None;
        }
        let urgent_wait = self.last_ask_at.map(|at| at + settings.urgent_renew);
        if urgent_wait.is_some_and(|at| now < at) {
            return None;
        }
        Some(self.new_ask((team, number), demand, settings, now))
    }

    /// The new owner knows nothing of the leases of the former one.
    fn change_owner(&mut self, owner: InstanceId, now: Instant) {
        if self.owner.is_some() {
            self.next_ask_at = now;
        }
        self.owner = Some(owner);
        self.lease_number = 0;
        self.asks.clear();
    }

    fn is_due(
        &self,
        (share, standing, fair): (&TeamShare, &Amount, &Amount),
        settings: &LimitsSettings,
        now: Instant,
    ) -> bool {
        if !self.refused.is_zero() && !self.is_strict(now) {
            return true;
        }
        let limit = self.limit(share, standing, now);
        let is_tight =
            self.used.requests * 2 > limit.requests || self.used.work / 2 > limit.work / 4;
        if is_tight && !self.is_strict(now) && self.next_ask_at > now + settings.renew {
            return true;
        }
        // An owner that counts requests which have ended would refuse others.
        let has_shrunk = self.used.requests * 2 <= self.reported.requests;
        let rested = self.last_ask_at.is_none_or(|at| now >= at + IDLE);
        if has_shrunk && self.reported.requests > 0 && rested {
            return true;
        }
        if self.has_grown(fair) && !self.is_strict(now) {
            return true;
        }
        let is_old = self.used.requests > 1
            && self
                .busy_since
                .is_some_and(|since| now.saturating_duration_since(since) >= settings.report_after);
        let has_to_report = is_old || is_tight || self.holds_lease() || self.is_strict(now);
        has_to_report && now >= self.next_ask_at
    }

    /// Returns whether the use has grown since the last report. One request is
    /// never reported: it would cost more bytes than all the rest.
    const fn has_grown(&self, fair: &Amount) -> bool {
        let requests = self.used.requests > self.reported.requests
            && self.used.requests > unreported(fair.requests);
        let work = self.used.work > self.reported.work && self.used.work > unreported(fair.work);
        self.used.requests > 1 && (requests || work)
    }

    fn new_ask(
        &mut self,
        (team, number): (u64, u32),
        demand: Amount,
        settings: &LimitsSettings,
        now: Instant,
    ) -> LeaseRequest {
        self.asks.push((number, now));
        if self.asks.len() > ASKS_KEPT {
            self.asks.remove(0);
        }
        let pause = if self.is_strict(now) {
            settings.renew
        } else {
            settings.quiet_renew
        };
        self.next_ask_at = now + pause;
        self.last_ask_at = Some(now);
        self.reported = self.used;
        self.peak = self.used;
        self.refused = Amount::default();
        let rates = Amount {
            requests: 0,
            work: 0,
            ..demand
        };
        LeaseRequest {
            team,
            ask: number,
            lease: self.lease_number,
            used: self.used.plus(&rates.min(&self.lease)),
            demand,
        }
    }

    /// Returns the ask that gives the lease back.
    pub(crate) const fn give_back(&self, team: u64, number: u32) -> LeaseRequest {
        LeaseRequest {
            team,
            ask: number,
            lease: self.lease_number,
            used: ZERO,
            demand: ZERO,
        }
    }

    /// Takes a grant; only the answer to a remembered ask counts, because the
    /// lifetime starts when the ask was sent.
    pub(crate) fn grant(&mut self, grant: &LeaseGrant, settings: &LimitsSettings) {
        let asked = self.asks.iter().find(|(ask, _)| *ask == grant.ask);
        let Some((_, asked_at)) = asked.copied() else {
            return;
        };
        if grant.lease <= self.lease_number {
            return;
        }
        let lifetime = Duration::from_millis(u64::from(grant.lifetime_ms));
        self.lease = grant.amount;
        self.lease_number = grant.lease;
        self.deadline = Some(asked_at + lifetime);
        self.strict_until = grant
            .strict
            .then(|| asked_at + lifetime + settings.owner_grace);
        if grant.strict {
            self.next_ask_at = self.next_ask_at.min(asked_at + settings.renew);
        }
    }

    /// Returns the overload of this team here, as a percentage of its limit.
    pub(crate) fn overload_percent(&mut self, limit: u64, now: Instant) -> u64 {
        let demand = self.demand(now);
        (demand.requests.saturating_mul(100) / limit.max(1)).clamp(100, 1_000)
    }
}

const ZERO: Amount = Amount {
    requests: 0,
    work: 0,
    requests_per_minute: 0,
    work_per_minute: 0,
};
