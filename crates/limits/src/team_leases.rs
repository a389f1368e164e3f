//! Division of one team's share among its holders.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;

use crate::amount::{Amount, TeamShare};
use crate::fair::max_min;
use crate::message::{LeaseGrant, LeaseRequest};
use crate::settings::LimitsSettings;
use crate::team_usage::unreported_part;

/// Part of a share above which a team counts as being at its share. With 90% a team
/// with a share of 52 exceeded it by 3 requests before all routers had been told.
const AT_SHARE_PERCENT: u64 = 85;
/// Size of a lease relative to the demand, which leaves room for growth until the
/// next lease request.
const HEADROOM_PERCENT: u64 = 150;

fn with_headroom(demand: &Amount) -> Amount {
    let larger = demand.percent(HEADROOM_PERCENT);
    larger.map(|value| value.saturating_add(2))
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    lease_number: u32,
    amount: Amount,
    deadline: Instant,
}

#[derive(Clone, Debug)]
struct Holder {
    last_request_number: u32,
    used: Amount,
    demand: Amount,
    /// Grants that the holder may be using; the latest ones may have been lost.
    grants: Vec<Grant>,
    deadline: Instant,
}

impl Holder {
    fn leased(&self, now: Instant) -> Amount {
        let live = self.grants.iter().filter(|grant| now < grant.deadline);
        live.fold(Amount::default(), |leased, grant| leased.max(&grant.amount))
    }

    /// Returns the lease, or the use where that is larger, for example within the
    /// standing allowance.
    fn leased_or_used(&self, now: Instant) -> Amount {
        self.leased(now).max(&self.used)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct TeamLeases {
    owned_since: Instant,
    last_lease_number: u32,
    holders: BTreeMap<InstanceId, Holder>,
    /// Set when the leases exceed the share after a grant, which is a bug.
    pub(crate) exceeded_share: bool,
}

impl TeamLeases {
    pub(crate) const fn new(owned_since: Instant) -> Self {
        Self {
            owned_since,
            last_lease_number: 0,
            holders: BTreeMap::new(),
            exceeded_share: false,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        for holder in self.holders.values_mut() {
            holder.grants.retain(|grant| now < grant.deadline);
        }
        self.holders
            .retain(|_, holder| now < holder.deadline || !holder.grants.is_empty());
    }

    /// Records a lease request and returns the grant, if the holder needs one.
    pub(crate) fn handle_request(
        &mut self,
        from: InstanceId,
        request: &LeaseRequest,
        (share, router_count): (&TeamShare, usize),
        settings: &LimitsSettings,
        now: Instant,
    ) -> Option<LeaseGrant> {
        self.expire(now);
        // The holder accepts only rising grant numbers, and this owner may have dropped
        // the state of an earlier grant.
        self.last_lease_number = self.last_lease_number.max(request.lease_number);
        if !self.record_report(from, request, settings, now) {
            return None;
        }
        // A new owner first waits for the reports of all holders, which keep the leases
        // of the former owner.
        let is_warming_up = now < self.owned_since + settings.warm_up;
        if request.demand.is_zero() || is_warming_up {
            return None;
        }
        let share = &self.unreserved_share(share, router_count);
        let strict = self.is_at_share(share);
        let standing = Amount {
            requests: settings.standing_requests / 2,
            work: settings.standing_work / 2,
            ..Amount::UNLIMITED
        };
        let needs_no_lease = request
            .demand
            .fits_within(&standing.min(&share.percent(50)));
        if !strict && needs_no_lease && request.lease_number == 0 {
            return None;
        }
        if !strict && self.is_covered(from, request, settings, now) {
            return None;
        }
        let desired = self.desired_lease(from, request, share, strict);
        let room = share.minus(&self.leased_or_used_by_others(from, now));
        Some(self.grant(
            from,
            request,
            desired.min(&room),
            (share, strict),
            settings,
            now,
        ))
    }

    /// Returns whether the holder's lease is large enough and lasts beyond the next
    /// lease request. Answering every report of a growing team would use up the byte
    /// budget.
    fn is_covered(
        &self,
        from: InstanceId,
        request: &LeaseRequest,
        settings: &LimitsSettings,
        now: Instant,
    ) -> bool {
        let Some(holder) = self.holders.get(&from) else {
            return false;
        };
        let confirmed = holder
            .grants
            .iter()
            .find(|grant| grant.lease_number == request.lease_number);
        confirmed.is_some_and(|grant| {
            let lasts =
                now + settings.renew_interval_below_share + settings.lease_lifetime_at_share
                    < grant.deadline;
            lasts
                && request.demand.requests < grant.amount.requests
                && request.demand.work < grant.amount.work
        })
    }

    /// Records what a holder uses; returns false for an outdated lease request.
    fn record_report(
        &mut self,
        from: InstanceId,
        request: &LeaseRequest,
        settings: &LimitsSettings,
        now: Instant,
    ) -> bool {
        let deadline = now + settings.lease_lifetime_below_share;
        let holder = self.holders.entry(from).or_insert_with(|| Holder {
            last_request_number: 0,
            used: Amount::default(),
            demand: Amount::default(),
            grants: Vec::new(),
            deadline,
        });
        // A restarted holder begins at another number and has no lease.
        if request.request_number <= holder.last_request_number && request.lease_number != 0 {
            return false;
        }
        holder.last_request_number = request.request_number;
        holder.used = request.used;
        holder.demand = request.demand;
        holder.deadline = deadline;
        holder
            .grants
            .retain(|grant| grant.lease_number >= request.lease_number);
        if request.demand.is_zero() {
            holder
                .grants
                .retain(|grant| grant.lease_number > request.lease_number);
            if holder.grants.is_empty() {
                self.holders.remove(&from);
            }
        }
        true
    }

    /// Returns whether the team is at its share. The check adds up use, not peak
    /// demand, because routers may reach their peaks at different times.
    fn is_at_share(&self, share: &TeamShare) -> bool {
        let used = self
            .holders
            .values()
            .fold(Amount::default(), |sum, holder| {
                let rates = Amount {
                    requests: 0,
                    work: 0,
                    ..holder.demand
                };
                sum.plus(&holder.used.max(&rates))
            });
        !used.fits_within(&share.percent(AT_SHARE_PERCENT))
    }

    /// Returns the share minus what is reserved for routers that have not reported.
    fn unreserved_share(&self, share: &TeamShare, router_count: usize) -> TeamShare {
        let silent = u64::try_from(router_count.saturating_sub(self.holders.len())).unwrap_or(0);
        let count = u64::try_from(router_count).unwrap_or(1).max(1);
        let unreported = Amount {
            requests: unreported_part(share.requests / count) * silent,
            work: unreported_part(share.work / count) * silent,
            ..Amount::default()
        };
        share.minus(&unreported)
    }

    fn desired_lease(
        &self,
        from: InstanceId,
        request: &LeaseRequest,
        share: &TeamShare,
        strict: bool,
    ) -> Amount {
        if !strict {
            return with_headroom(&request.demand);
        }
        let part = |quantity: fn(&Amount) -> u64| {
            let demands: Vec<u64> = self
                .holders
                .values()
                .map(|holder| quantity(&with_headroom(&holder.demand)))
                .collect();
            let index = self.holders.keys().position(|id| *id == from).unwrap_or(0);
            max_min(&demands, quantity(share), index)
        };
        Amount {
            requests: part(|amount| amount.requests),
            work: part(|amount| amount.work),
            requests_per_minute: part(|amount| amount.requests_per_minute),
            work_per_minute: part(|amount| amount.work_per_minute),
        }
    }

    fn leased_by_others(&self, except: InstanceId, now: Instant) -> Amount {
        let others = self.holders.iter().filter(|(id, _)| **id != except);
        others.fold(Amount::default(), |sum, (_, holder)| {
            sum.plus(&holder.leased(now))
        })
    }

    fn leased_or_used_by_others(&self, except: InstanceId, now: Instant) -> Amount {
        let others = self.holders.iter().filter(|(id, _)| **id != except);
        others.fold(Amount::default(), |sum, (_, holder)| {
            sum.plus(&holder.leased_or_used(now))
        })
    }

    fn grant(
        &mut self,
        from: InstanceId,
        request: &LeaseRequest,
        amount: Amount,
        (share, strict): (&TeamShare, bool),
        settings: &LimitsSettings,
        now: Instant,
    ) -> LeaseGrant {
        self.last_lease_number = self.last_lease_number.wrapping_add(1);
        let lifetime: Duration = if strict {
            settings.lease_lifetime_at_share
        } else {
            settings.lease_lifetime_below_share
        };
        let lease_number = self.last_lease_number;
        let others = self.leased_by_others(from, now);
        self.exceeded_share |=
            !amount.is_zero() && !others.plus(&amount).fits_within(&share.max(&others));
        if let Some(holder) = self.holders.get_mut(&from) {
            let deadline = now + lifetime;
            holder.grants.push(Grant {
                lease_number,
                amount,
                deadline,
            });
            holder.deadline = holder.deadline.max(deadline);
        }
        LeaseGrant {
            team: request.team,
            request_number: request.request_number,
            lease_number,
            amount,
            strict,
            lifetime_ms: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
        }
    }
}
