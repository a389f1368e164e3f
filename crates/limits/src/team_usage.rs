//! Use and lease of one team on one router.

use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, ResultCode, WorkTokens};

use crate::amount::{Amount, TeamShare};
use crate::message::{LeaseGrant, LeaseRequest};
use crate::rate::{Bucket, Rate};
use crate::settings::LimitsSettings;

/// Maximum number of lease requests for which an answer is still accepted.
const MAX_PENDING_LEASE_REQUESTS: usize = 4;
/// Time without requests after which a lease is returned.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns how much of its equal part of a share a router may use without a report.
/// Owners reserve this amount for each router that has not reported.
pub(crate) const fn unreported_part(equal_part: u64) -> u64 {
    equal_part / 8
}

/// Limits of one team on one router, derived from the team's share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamLimits {
    pub(crate) share: TeamShare,
    /// Standing allowance: what the router may use above its lease while the team is
    /// below its share.
    pub(crate) standing: Amount,
    /// The share divided by the number of live routers.
    pub(crate) equal_part: Amount,
    /// Demand that the router need not report.
    pub(crate) unreported: Amount,
}

#[derive(Clone, Debug)]
pub(crate) struct TeamUsage {
    pub(crate) used: Amount,
    pub(crate) lease: Amount,
    pub(crate) deadline: Option<Instant>,
    lease_number: u32,
    /// End of the time for which the team counts as being at its share.
    pub(crate) strict_until: Option<Instant>,
    owner: Option<InstanceId>,
    pending_lease_requests: Vec<(u32, Instant)>,
    next_lease_request_at: Instant,
    last_lease_request_at: Option<Instant>,
    /// Use that the last lease request reported.
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

impl TeamUsage {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            used: Amount::default(),
            lease: Amount::default(),
            deadline: None,
            lease_number: 0,
            strict_until: None,
            owner: None,
            pending_lease_requests: Vec::new(),
            next_lease_request_at: now,
            last_lease_request_at: None,
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

    /// Admits a request, or returns the code of the limit that it would exceed.
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

    /// Returns what the team may use on this router: at its share only the lease,
    /// below its share also the standing allowance.
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

    /// Returns whether the state of the team can be dropped.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        self.used.requests == 0
            && now.saturating_duration_since(self.idle_since) >= IDLE_TIMEOUT
            && self.refused.is_zero()
            // The owner counts a grant in transit against the share until its deadline.
            && self.last_lease_request_at.is_none_or(|at| now >= at + IDLE_TIMEOUT)
    }

    pub(crate) const fn holds_lease(&self) -> bool {
        self.lease_number != 0
    }

    /// Returns whether the owner may count use or a lease for this router.
    pub(crate) const fn is_counted(&self) -> bool {
        self.holds_lease() || self.last_lease_request_at.is_some()
    }

    /// Returns how much callers demand, refused requests included.
    fn demand(&mut self, now: Instant) -> Amount {
        let in_flight = self.peak.max(&self.used).plus(&self.refused);
        Amount {
            requests: in_flight.requests,
            work: in_flight.work,
            requests_per_minute: self.offered_requests.per_minute(now),
            work_per_minute: self.offered_work.per_minute(now),
        }
    }

    /// Returns the next lease request, if one is due.
    pub(crate) fn lease_request(
        &mut self,
        team: u64,
        owner: InstanceId,
        limits: &TeamLimits,
        settings: &LimitsSettings,
        number: u32,
        now: Instant,
    ) -> Option<LeaseRequest> {
        let TeamLimits {
            share,
            standing,
            equal_part,
            unreported,
        } = limits;
        if self.owner != Some(owner) {
            self.change_owner(owner, now);
        }
        if !self.is_due((share, standing, equal_part), settings, now) {
            return None;
        }
        let demand = self.demand(now);
        // After a refusal a lease is needed, however small the demand is.
        let is_small = self.refused.is_zero() && demand.fits_within(unreported);
        if is_small && !self.is_counted() && !self.is_strict(now) {
            return None;
        }
        let earliest_at = self
            .last_lease_request_at
            .map(|at| at + settings.min_lease_request_interval);
        if earliest_at.is_some_and(|at| now < at) {
            return None;
        }
        Some(self.new_lease_request((team, number), demand, settings, now))
    }

    /// Resets the lease numbers: a new owner does not know the leases of the former
    /// one.
    fn change_owner(&mut self, owner: InstanceId, now: Instant) {
        if self.owner.is_some() {
            self.next_lease_request_at = now;
        }
        self.owner = Some(owner);
        self.lease_number = 0;
        self.pending_lease_requests.clear();
    }

    fn is_due(
        &self,
        (share, standing, equal_part): (&TeamShare, &Amount, &Amount),
        settings: &LimitsSettings,
        now: Instant,
    ) -> bool {
        if !self.refused.is_zero() && !self.is_strict(now) {
            return true;
        }
        let limit = self.limit(share, standing, now);
        let is_near_limit =
            self.used.requests * 2 > limit.requests || self.used.work / 2 > limit.work / 4;
        if is_near_limit
            && !self.is_strict(now)
            && self.next_lease_request_at > now + settings.renew_interval_at_share
        {
            return true;
        }
        // An owner that still counted ended requests would leave less for other routers.
        let has_shrunk = self.used.requests * 2 <= self.reported.requests;
        let interval_elapsed = self
            .last_lease_request_at
            .is_none_or(|at| now >= at + IDLE_TIMEOUT);
        if has_shrunk && self.reported.requests > 0 && interval_elapsed {
            return true;
        }
        if self.has_grown(equal_part) && !self.is_strict(now) {
            return true;
        }
        let is_long_running = self.used.requests > 1
            && self
                .busy_since
                .is_some_and(|since| now.saturating_duration_since(since) >= settings.report_after);
        let must_report =
            is_long_running || is_near_limit || self.holds_lease() || self.is_strict(now);
        must_report && now >= self.next_lease_request_at
    }

    /// Returns whether the use has grown since the last report. A single request is
    /// never reported: such reports would take more bytes than all others together.
    const fn has_grown(&self, equal_part: &Amount) -> bool {
        let requests = self.used.requests > self.reported.requests
            && self.used.requests > unreported_part(equal_part.requests);
        let work = self.used.work > self.reported.work
            && self.used.work > unreported_part(equal_part.work);
        self.used.requests > 1 && (requests || work)
    }

    fn new_lease_request(
        &mut self,
        (team, number): (u64, u32),
        demand: Amount,
        settings: &LimitsSettings,
        now: Instant,
    ) -> LeaseRequest {
        self.pending_lease_requests.push((number, now));
        if self.pending_lease_requests.len() > MAX_PENDING_LEASE_REQUESTS {
            self.pending_lease_requests.remove(0);
        }
        let interval = if self.is_strict(now) {
            settings.renew_interval_at_share
        } else {
            settings.renew_interval_below_share
        };
        self.next_lease_request_at = now + interval;
        self.last_lease_request_at = Some(now);
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
            request_number: number,
            lease_number: self.lease_number,
            used: self.used.plus(&rates.min(&self.lease)),
            demand,
        }
    }

    /// Returns the lease request that gives the lease back to the owner.
    pub(crate) const fn return_lease(&self, team: u64, number: u32) -> LeaseRequest {
        LeaseRequest {
            team,
            request_number: number,
            lease_number: self.lease_number,
            used: ZERO,
            demand: ZERO,
        }
    }

    /// Applies a grant. Only answers to pending lease requests count, because the
    /// lifetime starts when the lease request was sent.
    pub(crate) fn grant(&mut self, grant: &LeaseGrant, settings: &LimitsSettings) {
        let pending = self
            .pending_lease_requests
            .iter()
            .find(|(number, _)| *number == grant.request_number);
        let Some((_, requested_at)) = pending.copied() else {
            return;
        };
        if grant.lease_number <= self.lease_number {
            return;
        }
        let lifetime = Duration::from_millis(u64::from(grant.lifetime_ms));
        self.lease = grant.amount;
        self.lease_number = grant.lease_number;
        self.deadline = Some(requested_at + lifetime);
        self.strict_until = grant
            .strict
            .then(|| requested_at + lifetime + settings.owner_grace);
        if grant.strict {
            self.next_lease_request_at = self
                .next_lease_request_at
                .min(requested_at + settings.renew_interval_at_share);
        }
    }

    /// Returns the demand for requests as a percentage of `limit`, from 100 to 1000.
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
