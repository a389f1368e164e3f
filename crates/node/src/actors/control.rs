//! Control actor: the settings in force and, on control instances, the replica of
//! the control group.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bamboospur_agreement::{DiskId, PersistedState, Ticket};
use bamboospur_claims::ClaimKey;
use bamboospur_control::operator::authorize;
use bamboospur_control::{Command, Member, MemberInput, MemberOutput, Request, RouterReport};
use bamboospur_orders::Order;
use bamboospur_settings::{
    ApplyOutcome, BranchContent, BranchName, Change, Diff, Follower, KeyHash, Share,
};
use bamboospur_types::{InstanceId, TargetId};
use stakker::{Actor, CX, after, call};
use tracing::{error, info, warn};

use super::claim_watches::ClaimWatch;
use super::control_messages::{ControlMessage, Waiter};
use super::counters::OrderCounts;
use super::formation::FormationStart;
use super::inspect::HeardInstances;
use super::links::LeaderContact;
use super::requests::PendingRequest;
use super::router::Router;
use crate::disk::Disk;
use crate::mailbox::ReplySender;
use crate::peers::{PeerMessage, Peers};
use crate::request::Identity;
use crate::status::ControlStatus;

/// Longest time between ticks; the replica can ask for an earlier one.
const MAX_TICK_PERIOD: Duration = Duration::from_millis(20);
/// Violation messages kept for operators.
const MAX_VIOLATION_MESSAGES: usize = 8;

/// Actor that owns the replicated state of this instance.
pub struct Control {
    pub(super) own_id: InstanceId,
    pub(super) own_disk: DiskId,
    /// Whether this instance is a listed member of the control group.
    pub(super) listed: bool,
    pub(super) member: Option<Member>,
    pub(super) formation: Option<FormationStart>,
    /// Initial state of a new group, until its first write is on disk.
    pub(super) bootstrap: Option<PersistedState>,
    pub(super) leader: Option<InstanceId>,
    pub(super) disk: Disk,
    pub(super) follower: Follower,
    router: Actor<Router>,
    pub(super) peers: Peers,
    pub(super) pending_requests: BTreeMap<Ticket, PendingRequest>,
    pub(super) claim_watches: BTreeMap<ClaimKey, ClaimWatch>,
    pub(super) next_ticket: Ticket,
    pub(super) leader_contact: LeaderContact,
    /// Changes to propose in order while the settings tree is empty.
    initial_changes: VecDeque<Change>,
    violations: u64,
    /// Most recent violations, newest last.
    pub(super) violation_messages: VecDeque<String>,
    /// Revision and time of the last message from each instance.
    pub(super) heard_instances: HeardInstances,
    /// Unanswered queries to single members of the group.
    pub(super) member_queries: BTreeMap<Ticket, ReplySender<Vec<RouterReport>>>,
    /// Orders of this leader that no data centre has fetched yet.
    pub(super) orders: BTreeMap<TargetId, Order>,
    pub(super) order_counts: OrderCounts,
}

/// Initial state of the actor.
#[derive(Debug)]
pub struct ControlStart {
    /// Id of this instance.
    pub own_id: InstanceId,
    /// Identity of the data folder; 0 without a replica.
    pub own_disk: DiskId,
    /// Whether this instance is a listed member of the control group.
    pub listed: bool,
    /// Replica to run; `None` on an instance that only follows, and until the group
    /// has formed.
    pub member: Option<Member>,
    /// State of the group's formation; `None` when no group has to be formed.
    pub formation: Option<FormationStart>,
    /// Destination of the replica's writes.
    pub disk: Disk,
    /// Changes to propose while the settings tree is empty.
    pub initial_changes: Vec<Change>,
}

impl ControlStart {
    /// Returns the initial state of an instance without a replica.
    #[must_use]
    pub const fn follower(own: InstanceId) -> Self {
        Self {
            own_id: own,
            own_disk: 0,
            listed: false,
            member: None,
            formation: None,
            disk: Disk::Memory,
            initial_changes: Vec::new(),
        }
    }
}

impl Control {
    /// Creates the actor and starts its timer.
    pub fn init(
        cx: CX![],
        start: ControlStart,
        router: Actor<Router>,
        peers: Peers,
    ) -> Option<Self> {
        call!([cx], tick());
        Some(Self {
            own_id: start.own_id,
            own_disk: start.own_disk,
            listed: start.listed,
            member: start.member,
            formation: start.formation,
            bootstrap: None,
            leader: None,
            disk: start.disk,
            follower: Follower::default(),
            router,
            peers,
            pending_requests: BTreeMap::new(),
            claim_watches: BTreeMap::new(),
            next_ticket: 1,
            leader_contact: LeaderContact::new(cx.now()),
            initial_changes: start.initial_changes.into(),
            violations: 0,
            violation_messages: VecDeque::new(),
            heard_instances: HeardInstances::default(),
            member_queries: BTreeMap::new(),
            orders: BTreeMap::new(),
            order_counts: OrderCounts::default(),
        })
    }

    /// Handles a message of the mailbox.
    pub fn handle_message(&mut self, cx: CX![], message: ControlMessage) {
        let now = cx.now();
        match message {
            ControlMessage::Identify { key, reply } => {
                // The send fails only if the request no longer waits.
                let _ = reply.try_send(self.identify(&key));
            }
            ControlMessage::Claim { claim, reply } => {
                let command = Command::Claims(vec![claim]);
                self.propose(command, Waiter::Claim(reply), now);
            }
            ControlMessage::WaitForClaim { key, reply } => self.watch_claim(key, reply, now),
            ControlMessage::OperatorRequest { request, reply } => {
                self.submit(request, Waiter::Operator(reply), now);
            }
            ControlMessage::Authorize {
                token,
                initial,
                action,
                reply,
            } => {
                let tree = self.follower.tree();
                let access = authorize(tree, &token, initial.as_ref(), &action);
                let _ = reply.try_send(access);
            }
            ControlMessage::Settle {
                key,
                attempt,
                stored,
                reply,
            } => {
                let command = Command::Settle {
                    key,
                    attempt,
                    stored,
                };
                self.propose(command, Waiter::Settle(reply), now);
            }
            ControlMessage::Release { key, attempt } => {
                // Drops a pending request for the claim: the claim must not be granted
                // after its release.
                self.pending_requests.retain(|_, pending| {
                    !(matches!(pending.waiter, Waiter::Claim(_))
                        && pending.is_claim_of(&key, attempt))
                });
                self.propose(Command::Release { key, attempt }, Waiter::Nobody, now);
            }
            ControlMessage::Synced { sequence } => {
                if !self.complete_bootstrap(now) {
                    self.handle_input(MemberInput::Synced { sequence }, now);
                }
            }
            ControlMessage::Inspect(query) => self.inspect(query, now),
            ControlMessage::Orders(message) => self.handle_orders_message(message),
            ControlMessage::Link(message) => self.handle_link_message(cx, message),
            ControlMessage::DiskFailed => self.handle_input(MemberInput::DiskFailed, now),
            ControlMessage::DiskReopened { restored, disk } => {
                self.disk = disk;
                self.restart_member(*restored, now);
            }
        }
    }

    /// Starts the replica again from its disk, or forms the group if the write failed with which
    /// it begins.
    fn restart_member(&mut self, restored: PersistedState, now: Instant) {
        if let Some(member) = self.member.as_mut() {
            member.restart(restored, now);
            self.handle_input(MemberInput::Tick, now);
        } else if !restored.is_empty() {
            self.complete_bootstrap(now);
        } else if let Some(bootstrap) = &self.bootstrap
            && self.disk.write(bootstrap.to_persist()).is_some()
        {
            error!("the disk failed again before the control group was formed; trying again");
        }
    }

    /// Transfers leadership to another member before the process ends.
    pub fn leave(&mut self, cx: CX![]) {
        self.handle_input(MemberInput::TransferLeadership, cx.now());
    }

    /// Closes all links before the process ends.
    pub fn close_links(&mut self, _: CX![]) {
        self.peers.links().borrow().close_all();
    }

    /// Returns the state of the replica for the status page.
    pub fn status(&self) -> ControlStatus {
        let status = self.member.as_ref().map(Member::status);
        ControlStatus {
            revision: self.follower.revision(),
            role: status
                .as_ref()
                .map_or_else(String::new, |status| status.replica.role.to_string()),
            has_leader: self.leader_contact.lost_at.is_none(),
            cut_off_since_unix_ms: self.leader_contact.lost_at.map(|(_, at)| unix_ms(at)),
            disk: format!("{:016x}", self.own_disk),
            problem: status
                .as_ref()
                .and_then(|status| status.replica.identity_error.as_ref())
                .map(ToString::to_string),
            links: self.peers.links().borrow().status(),
            traffic: self.peers.traffic(),
            claims: status.as_ref().map_or(0, |status| status.claims),
            violations: self.violation_count(),
        }
    }

    /// Returns the number of invariant violations found.
    pub(super) const fn violation_count(&self) -> u64 {
        self.violations + self.follower.violations().count
    }

    fn record_violation(&mut self, what: String) {
        self.violations += 1;
        self.violation_messages.push_back(what);
        if self.violation_messages.len() > MAX_VIOLATION_MESSAGES {
            self.violation_messages.pop_front();
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        self.handle_input(MemberInput::Tick, now);
        self.check_leader_contact(now);
        self.tick_requests(now);
        self.expire_watches(now);
        self.tick_orders(now);
        self.tick_formation(now);
        let next = self.member.as_ref().map(Member::next_deadline);
        let wait = next.map_or(MAX_TICK_PERIOD, |next| next.saturating_duration_since(now));
        after!(
            wait.clamp(Duration::from_millis(1), MAX_TICK_PERIOD),
            [cx],
            tick()
        );
    }

    fn identify(&self, key: &KeyHash) -> Option<Identity> {
        let tree = self.follower.tree();
        let (name, team) = tree.team_by_key(key)?;
        let BranchContent::Fleet(fleet) = tree.branch(&BranchName::Fleet)?.content else {
            return None;
        };
        Some(Identity {
            team_name: name.to_owned(),
            team: Arc::clone(team),
            fleet,
        })
    }

    fn propose(&mut self, command: Command, waiter: Waiter, now: Instant) {
        self.submit(Request::Command(command), waiter, now);
    }

    /// Passes an input to the replica and handles its outputs, including the inputs
    /// that follow from them.
    pub(super) fn handle_input(&mut self, input: MemberInput, now: Instant) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(member) = self.member.as_mut() else {
                return;
            };
            for output in member.handle(input, now, SystemTime::now()) {
                if let Some(input) = self.handle_output(output, now) {
                    inputs.push_back(input);
                }
            }
        }
    }

    fn handle_output(&mut self, output: MemberOutput, now: Instant) -> Option<MemberInput> {
        match output {
            MemberOutput::Persist(persist) => return self.disk.write(persist),
            MemberOutput::Send { to, message } => {
                let message = Box::new(message);
                self.peers.send(PeerMessage::Agreement { to, message });
            }
            MemberOutput::Reply { ticket, answer } => self.handle_answer(ticket, answer, now),
            MemberOutput::Settings(diff) => {
                self.apply_diff(&diff);
                self.peers.send(PeerMessage::Settings(Box::new(diff)));
            }
            MemberOutput::Leadership { term, leader } => {
                info!(term, leader, "leadership of the control group changed");
                self.leader = leader;
                // Orders are valid only from the leader of the term that issued them.
                self.orders.clear();
                self.peers.set_heartbeat(self.follower.revision(), leader);
                if leader.is_some() && self.follower.revision() == 0 {
                    self.propose_initial_change(now);
                }
            }
            MemberOutput::MembersChanged { index, .. } => {
                info!(index, "members of the control group changed");
            }
            MemberOutput::Identity(problem) => {
                error!(%problem, "wrong disk identity; the replica takes no part in the control group");
            }
            MemberOutput::Violation(what) => {
                error!(what, "an invariant was violated");
                self.record_violation(what);
            }
            MemberOutput::Fatal(what) => {
                error!(what, "fatal error in the replica; continuing without it");
                self.member = None;
                self.leader = None;
            }
            MemberOutput::Order(order) => self.queue_order(order),
        }
        None
    }

    pub(super) fn propose_initial_change(&mut self, now: Instant) {
        if let Some(change) = self.initial_changes.pop_front() {
            self.propose(Command::Change(change), Waiter::InitialChange, now);
        }
    }

    /// Applies a settings change on this instance and passes it on to the router
    /// actor.
    pub(super) fn apply_diff(&mut self, diff: &Diff) {
        match self.follower.apply(diff) {
            ApplyOutcome::Applied { revision } => {
                info!(revision, "settings applied");
                self.peers.set_heartbeat(revision, self.leader);
            }
            ApplyOutcome::Stale => return,
            ApplyOutcome::Gap { have } => {
                warn!(
                    have,
                    "ignoring a settings change: earlier changes are missing"
                );
                return;
            }
            ApplyOutcome::Refused => {
                error!("ignoring a settings change: it contradicts the settings in force");
                return;
            }
        }
        for changed in &diff.branches {
            let content = changed.branch.as_ref().map(|branch| &branch.content);
            match (&changed.name, content) {
                (BranchName::Fleet, Some(BranchContent::Fleet(fleet))) => {
                    let fleet = Arc::clone(fleet);
                    call!([self.router], set_fleet(fleet));
                }
                (BranchName::Team(name), content) => {
                    let share = content.and_then(share);
                    let name = name.clone();
                    call!([self.router], set_team(name, share));
                }
                _ => {}
            }
        }
    }
}

fn share(content: &BranchContent) -> Option<Share> {
    match content {
        BranchContent::Team(team) => Some(team.share),
        BranchContent::Fleet(_) => None,
    }
}

fn unix_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
