//! Team shares: the lease holder and the lease owner of this instance.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::mpsc::TrySendError;
use std::time::{Duration, Instant};

use bamboospur_limits::{
    Admission, Amount, LeaseHolder, LeaseOwner, LimitsCounters, LimitsMessage, LimitsOutput,
    LimitsSettings, Ticket,
};
use bamboospur_settings::{LimitDefaults, Share};
use bamboospur_types::{InstanceId, ResultCode, TeamId, WorkTokens, stable_id};

use crate::mailbox::Reply;
use crate::peers::{PeerMessage, Peers};

/// Longest wait for a larger lease. An owner grants within one round trip and
/// two ticks; without the wait, 150 requests that arrived at once were partly
/// refused, far below the share of 4,096.
const LEASE_WAIT: Duration = Duration::from_millis(250);
/// Requests that wait at once.
const MAX_WAITING: usize = 4096;

/// A request for a team's share.
#[derive(Debug)]
pub struct ShareRequest {
    /// Team.
    pub team: TeamId,
    /// Work of the request.
    pub work_tokens: WorkTokens,
    /// Priority of the team.
    pub priority: u8,
    /// Where the answer goes.
    pub reply: Reply<Admission>,
}

/// Shares of all teams.
#[derive(Debug)]
pub struct Shares {
    own: InstanceId,
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
        // A new owner first hears from all holders. Until other instances are
        // known there are none to wait for.
        let owner_since = now.checked_sub(settings.warm_up).unwrap_or(now);
        Self {
            own,
            holder: LeaseHolder::new(settings.clone(), own, seed, now),
            owner: LeaseOwner::new(settings, own, seed, owner_since),
            defaults: LimitDefaults::default(),
            teams: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Returns the counters of the holder and of the owner.
    #[must_use]
    pub const fn counters(&self) -> [&LimitsCounters; 2] {
        [self.holder.counters(), self.owner.counters()]
    }

    /// Sets the live routers of the data centre.
    pub fn set_routers(&mut self, routers: &[InstanceId], now: Instant) {
        self.holder.set_routers(routers, now);
        self.owner.set_routers(routers, now);
    }

    /// Sets the share of teams that set none.
    pub fn set_defaults(&mut self, defaults: LimitDefaults) {
        if self.defaults == defaults {
            return;
        }
        self.defaults = defaults;
        let teams: Vec<(TeamId, Share)> = self.teams.iter().map(|(t, s)| (*t, *s)).collect();
        for (team, share) in teams {
            self.apply(team, &share);
        }
    }

    /// Sets or removes a team's share.
    pub fn set_team(&mut self, name: &str, share: Option<Share>) {
        let team = stable_id(name);
        if let Some(share) = share {
            self.teams.insert(team, share);
            self.apply(team, &share);
            return;
        }
        self.teams.remove(&team);
        self.holder.remove_team(team);
        self.owner.remove_team(team);
    }

    /// Admits or refuses a request, or lets it wait for a larger lease.
    pub fn admit(&mut self, request: ShareRequest, now: Instant) {
        match self.try_admit(&request, now) {
            Admission::Refused { code, .. }
                if self.may_grow(request.team, code, now) && self.waiting.len() < MAX_WAITING =>
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
    fn may_grow(&self, team: TeamId, code: ResultCode, now: Instant) -> bool {
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

    /// Sends an answer; a share that no one waits for is returned at once.
    fn answer(&mut self, request: &ShareRequest, admission: Admission, now: Instant) {
        let unread = request.reply.try_send(admission).err();
        let admission = unread.map(|error| match error {
            TrySendError::Full(admission) | TrySendError::Disconnected(admission) => admission,
        });
        if let Some(Admission::Granted(ticket)) = admission {
            self.holder.finish(ticket, now);
        }
    }

    /// Asks again for those that wait, in order. The first refusal of a team
    /// ends its turn, so that waiting adds little to its counted demand.
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

    /// Refuses those whose wait is over.
    fn refuse_late(&mut self, now: Instant) {
        while self.waiting.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, request)) = self.waiting.pop_front() else {
                return;
            };
            let admission = self.try_admit(&request, now);
            self.answer(&request, admission, now);
        }
    }

    /// Ends an admitted request.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        self.holder.finish(ticket, now);
    }

    /// Does all timed work.
    pub fn tick(&mut self, peers: &Peers, now: Instant) {
        let mut outputs = self.holder.tick(now);
        outputs.extend(self.owner.tick(now));
        self.deliver(outputs, peers, now);
        self.refuse_late(now);
    }

    /// Takes a message of another instance.
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

    fn apply(&mut self, team: TeamId, share: &Share) {
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

    /// Messages to the own instance go to the other part at once.
    fn deliver(&mut self, outputs: Vec<LimitsOutput>, peers: &Peers, now: Instant) {
        let mut queue = outputs;
        let mut granted = false;
        while let Some(output) = queue.pop() {
            let LimitsOutput::Send { to, message, bytes } = output;
            if to == self.own {
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
