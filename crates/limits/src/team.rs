//! Division of one team's share among its holders.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;

use crate::amount::{Amount, TeamShare};
use crate::fair::max_min;
use crate::holding::unreported;
use crate::message::{LeaseGrant, LeaseRequest};
use crate::settings::LimitsSettings;

/// A team is at its share above this part of it. With 90% a team with a share of
/// 52 went 3 requests above it before all routers had heard.
const STRICT_PERCENT: u64 = 85;
/// Leases below the share leave room for growth until the next ask.
const HEADROOM_PERCENT: u64 = 150;

fn with_headroom(demand: &Amount) -> Amount {
    let larger = demand.percent(HEADROOM_PERCENT);
    larger.map(|value| value.saturating_add(2))
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    lease: u32,
    amount: Amount,
    deadline: Instant,
}

#[derive(Clone, Debug)]
struct Holder {
    ask: u32,
    used: Amount,
    demand: Amount,
    /// Grants that the holder may be using: it can have missed the last ones.
    grants: Vec<Grant>,
    deadline: Instant,
}

impl Holder {
    fn charge(&self, now: Instant) -> Amount {
        let live = self.grants.iter().filter(|grant| now < grant.deadline);
        live.fold(Amount::default(), |charge, grant| charge.max(&grant.amount))
    }

    /// Leases and uses above them, for example within the standing allowance.
    fn occupied(&self, now: Instant) -> Amount {
        self.charge(now).max(&self.used)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Team {
    owned_since: Instant,
    last_lease: u32,
    holders: BTreeMap<InstanceId, Holder>,
    /// A grant went above the share.
    pub(crate) is_broken: bool,
}

impl Team {
    pub(crate) const fn new(owned_since: Instant) -> Self {
        Self {
            owned_since,
            last_lease: 0,
            holders: BTreeMap::new(),
            is_broken: false,
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

    /// Takes an ask and returns the grant, if the holder needs one.
    pub(crate) fn ask(
        &mut self,
        from: InstanceId,
        ask: &LeaseRequest,
        (share, routers): (&TeamShare, usize),
        settings: &LimitsSettings,
        now: Instant,
    ) -> Option<LeaseGrant> {
        self.expire(now);
        // The holder takes only rising numbers, and this owner may have forgotten it.
        self.last_lease = self.last_lease.max(ask.lease);
        if !self.note(from, ask, settings, now) {
            return None;
        }
        // A new owner first hears from all holders, which go on as before.
        let is_warming = now < self.owned_since + settings.warm_up;
        if ask.demand.is_zero() || is_warming {
            return None;
        }
        let share = &self.reported_share(share, routers);
        let strict = self.is_at_share(share);
        let standing = Amount {
            requests: settings.standing_requests / 2,
            work: settings.standing_work / 2,
            ..Amount::UNLIMITED
        };
        let needs_no_lease = ask.demand.fits_within(&standing.min(&share.percent(50)));
        if !strict && needs_no_lease && ask.lease == 0 {
            return None;
        }
        if !strict && self.is_covered(from, ask, settings, now) {
            return None;
        }
        let target = self.target(from, ask, share, strict);
        let room = share.minus(&self.occupied_by_others(from, now));
        Some(self.grant(from, ask, target.min(&room), (share, strict), settings, now))
    }

    /// Returns whether the holder's lease is large enough and will last; an answer
    /// to every report of a growing team would use up the byte budget.
    fn is_covered(
        &self,
        from: InstanceId,
        ask: &LeaseRequest,
        settings: &LimitsSettings,
        now: Instant,
    ) -> bool {
        let Some(holder) = self.holders.get(&from) else {
            return false;
        };
        let confirmed = holder.grants.iter().find(|grant| grant.lease == ask.lease);
        confirmed.is_some_and(|grant| {
            let lasts = now + settings.quiet_renew + settings.lease < grant.deadline;
            lasts
                && ask.demand.requests < grant.amount.requests
                && ask.demand.work < grant.amount.work
        })
    }

    /// Notes what a holder uses; returns false for an outdated ask.
    fn note(
        &mut self,
        from: InstanceId,
        ask: &LeaseRequest,
        settings: &LimitsSettings,
        now: Instant,
    ) -> bool {
        let deadline = now + settings.quiet_lease;
        let holder = self.holders.entry(from).or_insert_with(|| Holder {
            ask: 0,
            used: Amount::default(),
            demand: Amount::default(),
            grants: Vec::new(),
            deadline,
        });
        // A restarted holder counts its asks from 1 again and has no lease.
        if ask.ask <= holder.ask && ask.lease != 0 {
            return false;
        }
        holder.ask = ask.ask;
        holder.used = ask.used;
        holder.demand = ask.demand;
        holder.deadline = deadline;
        holder.grants.retain(|grant| grant.lease >= ask.lease);
        if ask.demand.is_zero() {
            holder.grants.retain(|grant| grant.lease > ask.lease);
            if holder.grants.is_empty() {
                self.holders.remove(&from);
            }
        }
        true
    }

    /// Counts uses, not peaks of demand: the peaks of different routers need not
    /// have been at the same time.
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
        !used.fits_within(&share.percent(STRICT_PERCENT))
    }

    /// Returns the share without what routers that have not reported may use.
    fn reported_share(&self, share: &TeamShare, routers: usize) -> TeamShare {
        let silent = u64::try_from(routers.saturating_sub(self.holders.len())).unwrap_or(0);
        let count = u64::try_from(routers).unwrap_or(1).max(1);
        let unreported = Amount {
            requests: unreported(share.requests / count) * silent,
            work: unreported(share.work / count) * silent,
            ..Amount::default()
        };
        share.minus(&unreported)
    }

    fn target(
        &self,
        from: InstanceId,
        ask: &LeaseRequest,
        share: &TeamShare,
        strict: bool,
    ) -> Amount {
        if !strict {
            return with_headroom(&ask.demand);
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
            sum.plus(&holder.charge(now))
        })
    }

    fn occupied_by_others(&self, except: InstanceId, now: Instant) -> Amount {
        let others = self.holders.iter().filter(|(id, _)| **id != except);
        others.fold(Amount::default(), |sum, (_, holder)| {
            sum.plus(&holder.occupied(now))
        })
    }

    fn grant(
        &mut self,
        from: InstanceId,
        ask: &LeaseRequest,
        amount: Amount,
        (share, strict): (&TeamShare, bool),
        settings: &LimitsSettings,
        now: Instant,
    ) -> LeaseGrant {
        self.last_lease = self.last_lease.wrapping_add(1);
        let lifetime: Duration = if strict {
            settings.lease
        } else {
            settings.quiet_lease
        };
        let lease = self.last_lease;
        let others = self.leased_by_others(from, now);
        self.is_broken |=
            !amount.is_zero() && !others.plus(&amount).fits_within(&share.max(&others));
        if let Some(holder) = self.holders.get_mut(&from) {
            let deadline = now + lifetime;
            holder.grants.push(Grant {
                lease,
                amount,
                deadline,
            });
            holder.deadline = holder.deadline.max(deadline);
        }
        LeaseGrant {
            team: ask.team,
            ask: ask.ask,
            lease,
            amount,
            strict,
            lifetime_ms: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
        }
    }
}
