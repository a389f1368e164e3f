//! Team shares: admits requests by the leases of this instance, and grants leases as
//! an owner.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::mpsc::TrySendError;
use std::time::{Duration, Instant};

use bamboospur_limits::{
    Admission, AdmissionTicket, Amount, LeaseHolder, LeaseOwner, LimitsCounters, LimitsMessage,
    LimitsOutput, LimitsSettings,
};
use bamboospur_settings::{LimitDefaults, Share};
use bamboospur_types::{InstanceId, ResultCode, TeamId, WorkTokens, stable_id};

use crate::mailbox::ReplySender;
use crate::peers::{PeerMessage, Peers};

/// Longest wait of a request for a larger lease. An owner grants within one round
/// trip and two ticks. Without the wait, some of 150 simultaneous requests were
/// refused, far below the share of 4,096.
const LEASE_WAIT: Duration = Duration::from_millis(250);
/// Requests that wait for a larger lease at one time.
const MAX_WAITING_REQUESTS: usize = 4096;

/// A request for admission under a team's share.
#[derive(Debug)]
pub struct ShareRequest {
    /// Team of the caller.
    pub team: TeamId,
    /// Estimated work of the request, in tokens.
    pub work_tokens: WorkTokens,
    /// Priority of the team.
    pub priority: u8,
    /// Channel for the answer.
    pub reply: ReplySender<Admission>,
}

/// Shares of all teams.
#[derive(Debug)]
pub struct Shares {
    own_id: InstanceId,
    holder: LeaseHolder,
    owner: LeaseOwner,
    defaults: LimitDefaults,
    teams: BTreeMap<TeamId, Share>,
    waiting: VecDeque<(Instant, ShareRequest)>,
}

impl Shares {
    /// Creates shares without teams.
    #[must_use]
    pub fn new(own: InstanceId, seed: u64, now: Instant) -> Self {
        let settings = LimitsSettings::default();
        // A new owner normally waits for `warm_up` to hear from all holders. At the
        // start no other instances are known, so that the wait is skipped.
        let owner_since = now.checked_sub(settings.warm_up).unwrap_or(now);
        Self {
            own_id: own,
            holder: LeaseHolder::new(settings.clone(), own, seed, now),
            owner: LeaseOwner::new(settings, own, seed, owner_since),
            defaults: LimitDefaults::default(),
            teams: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Returns the counters of the lease holder and of the lease owner.
    #[must_use]
    pub const fn counters(&self) -> [&LimitsCounters; 2] {
        [self.holder.counters(), self.owner.counters()]
    }

    /// Sets the live routers of the data centre.
    pub fn set_routers(&mut self, routers: &[InstanceId], now: Instant) {
        self.holder.set_routers(routers, now);
        self.owner.set_routers(routers, now);
    }

    /// Sets the default limits, for teams whose share does not set them.
    pub fn set_defaults(&mut self, defaults: LimitDefaults) {
        if self.defaults == defaults {
            return;
        }
        self.defaults = defaults;
        let teams: Vec<(TeamId, Share)> = self.teams.iter().map(|(t, s)| (*t, *s)).collect();
        for (team, share) in teams {
            self.set_limits(team, &share);
        }
    }

    /// Sets or removes a team's share.
    pub fn set_team(&mut self, name: &str, share: Option<Share>) {
        let team = stable_id(name);
        if let Some(share) = share {
            self.teams.insert(team, share);
            self.set_limits(team, &share);
            return;
        }
        self.teams.remove(&team);
        self.holder.remove_team(team);
        self.owner.remove_team(team);
    }

    /// Admits or refuses a request, or queues it until the lease grows.
    pub fn admit(&mut self, request: ShareRequest, now: Instant) {
        match self.try_admit(&request, now) {
            Admission::Refused { code, .. }
                if self.may_get_larger_lease(request.team, code, now)
                    && self.waiting.len() < MAX_WAITING_REQUESTS =>
            {
                let until = now + LEASE_WAIT;
                self.waiting.push_back((until, request));
            }
            admission => self.answer(&request, admission, now),
        }
    }

    fn try_admit(&mut self, request: &ShareRequest, now: Instant) -> Admission {
        let ShareRequest {
            team,
            work_tokens,
            priority,
            ..
        } = *request;
        self.holder.admit(team, work_tokens, priority, now)
    }

    /// Returns whether the owner may still grant more of the refused quantity.
    fn may_get_larger_lease(&self, team: TeamId, code: ResultCode, now: Instant) -> bool {
        let Some(share) = self.teams.get(&team) else {
            return false;
        };
        let share = share.with_defaults(&self.defaults);
        let lease = self.holder.lease(team, now);
        match code {
            ResultCode::TeamRequestLimit => lease.requests < u64::from(share.requests),
            _ => lease.work < share.work_tokens,
        }
    }

    /// Sends an answer. If the request no longer waits, an admission ends immediately.
    fn answer(&mut self, request: &ShareRequest, admission: Admission, now: Instant) {
        let unread = request.reply.try_send(admission).err();
        let admission = unread.map(|error| match error {
            TrySendError::Full(admission) | TrySendError::Disconnected(admission) => admission,
        });
        if let Some(Admission::Granted(ticket)) = admission {
            self.holder.finish(ticket, now);
        }
    }

    /// Tries to admit the waiting requests in order. After the first refusal of a team,
    /// its other requests are skipped, because each refusal adds to the demand that
    /// is counted for the team.
    fn retry_waiting(&mut self, now: Instant) {
        let mut refused = BTreeSet::new();
        for (until, request) in std::mem::take(&mut self.waiting) {
            if refused.contains(&request.team) {
                self.waiting.push_back((until, request));
                continue;
            }
            match self.try_admit(&request, now) {
                Admission::Refused { .. } => {
                    refused.insert(request.team);
                    self.waiting.push_back((until, request));
                }
                admission @ Admission::Granted(_) => self.answer(&request, admission, now),
            }
        }
    }

    /// Tries the requests whose wait is over a last time, and refuses them otherwise.
    fn refuse_expired(&mut self, now: Instant) {
        while self.waiting.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, request)) = self.waiting.pop_front() else {
                return;
            };
            let admission = self.try_admit(&request, now);
            self.answer(&request, admission, now);
        }
    }

    /// Ends an admitted request and frees its part of the lease.
    pub fn finish(&mut self, ticket: AdmissionTicket, now: Instant) {
        self.holder.finish(ticket, now);
    }

    /// Runs the timers of the holder and the owner and ends expired waits.
    pub fn tick(&mut self, peers: &Peers, now: Instant) {
        let mut outputs = self.holder.tick(now);
        outputs.extend(self.owner.tick(now));
        self.deliver(outputs, peers, now);
        self.refuse_expired(now);
    }

    /// Handles a message of another instance.
    pub fn handle(
        &mut self,
        from: InstanceId,
        message: &LimitsMessage,
        peers: &Peers,
        now: Instant,
    ) {
        let outputs = self.route(from, message, now);
        self.deliver(outputs, peers, now);
        if matches!(message, LimitsMessage::Grant(_)) {
            self.retry_waiting(now);
        }
    }

    fn set_limits(&mut self, team: TeamId, share: &Share) {
        let share = share.with_defaults(&self.defaults);
        let amount = Amount {
            requests: u64::from(share.requests),
            work: share.work_tokens,
            requests_per_minute: u64::MAX,
            work_per_minute: share.work_tokens_per_minute,
        };
        self.holder.set_team(team, amount);
        self.owner.set_team(team, amount);
    }

    fn route(
        &mut self,
        from: InstanceId,
        message: &LimitsMessage,
        now: Instant,
    ) -> Vec<LimitsOutput> {
        match message {
            LimitsMessage::Ask(_) => self.owner.handle(from, message, now),
            LimitsMessage::Grant(_) => self.holder.handle(from, message, now),
        }
    }

    /// Sends the outputs; messages to this instance are handled immediately.
    fn deliver(&mut self, outputs: Vec<LimitsOutput>, peers: &Peers, now: Instant) {
        let mut queue = outputs;
        let mut granted = false;
        while let Some(output) = queue.pop() {
            let LimitsOutput::Send { to, message, bytes } = output;
            if to == self.own_id {
                granted |= matches!(message, LimitsMessage::Grant(_));
                queue.extend(self.route(to, &message, now));
            } else {
                peers.send(PeerMessage::Limits { to, message, bytes });
            }
        }
        if granted {
            self.retry_waiting(now);
        }
    }
}
