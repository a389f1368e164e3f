//! Control actor: the replica of the control group, on instances that have
//! one, and the settings in force.

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

use super::control_mail::{ControlMessage, Waiter};
use super::counters::OrderCounts;
use super::forming::FormationStart;
use super::inspect::Seen;
use super::links::Contact;
use super::looks::Look;
use super::requests::Pending;
use super::router::Router;
use crate::disk::Disk;
use crate::mailbox::Reply;
use crate::peers::{PeerMessage, Peers};
use crate::request::Identity;
use crate::status::ControlStatus;

/// Longest time between two ticks of the replica.
const TICK: Duration = Duration::from_millis(20);
/// Violations kept for operators.
const MAX_MESSAGES: usize = 8;

/// Owner of the replicated state on this instance.
pub struct Control {
    pub(super) own: InstanceId,
    pub(super) own_disk: DiskId,
    /// Whether this instance is a listed member of the control group.
    pub(super) listed: bool,
    pub(super) member: Option<Member>,
    pub(super) forming: Option<FormationStart>,
    /// Group whose first write is not on disk yet.
    pub(super) bootstrap: Option<PersistedState>,
    pub(super) leader: Option<InstanceId>,
    pub(super) disk: Disk,
    pub(super) follower: Follower,
    router: Actor<Router>,
    pub(super) peers: Peers,
    pub(super) waiting: BTreeMap<Ticket, Pending>,
    pub(super) looks: BTreeMap<ClaimKey, Look>,
    pub(super) next_ticket: Ticket,
    pub(super) contact: Contact,
    /// Changes to make once on an empty tree, in order.
    first_changes: VecDeque<Change>,
    violations: u64,
    /// Last violations, newest last.
    pub(super) violation_messages: VecDeque<String>,
    /// Revision and time of the last message of each instance.
    pub(super) seen: Seen,
    /// Questions to single members of the group.
    pub(super) asked: BTreeMap<Ticket, Reply<Vec<RouterReport>>>,
    /// Orders of this leader that no data centre has asked for.
    pub(super) orders: BTreeMap<TargetId, Order>,
    pub(super) order_counts: OrderCounts,
}

/// What the actor starts with.
#[derive(Debug)]
pub struct ControlStart {
    /// Id of this instance.
    pub own: InstanceId,
    /// Identity of the disk; 0 without a replica.
    pub own_disk: DiskId,
    /// Whether this instance is a listed member of the control group.
    pub listed: bool,
    /// Replica; none on an instance that only follows.
    pub member: Option<Member>,
    /// Replica to start when the group has formed.
    pub forming: Option<FormationStart>,
    /// Disk of the replica.
    pub disk: Disk,
    /// Changes to make on an empty tree.
    pub first_changes: Vec<Change>,
}

impl ControlStart {
    /// Start of an instance without a replica.
    #[must_use]
    pub const fn follower(own: InstanceId) -> Self {
        Self {
            own,
            own_disk: 0,
            listed: false,
            member: None,
            forming: None,
            disk: Disk::Memory,
            first_changes: Vec::new(),
        }
    }
}

impl Control {
    /// Creates the actor.
    pub fn init(
        cx: CX![],
        start: ControlStart,
        router: Actor<Router>,
        peers: Peers,
    ) -> Option<Self> {
        call!([cx], tick());
        Some(Self {
            own: start.own,
            own_disk: start.own_disk,
            listed: start.listed,
            member: start.member,
            forming: start.forming,
            bootstrap: None,
            leader: None,
            disk: start.disk,
            follower: Follower::default(),
            router,
            peers,
            waiting: BTreeMap::new(),
            looks: BTreeMap::new(),
            next_ticket: 1,
            contact: Contact::new(cx.now()),
            first_changes: start.first_changes.into(),
            violations: 0,
            violation_messages: VecDeque::new(),
            seen: Seen::default(),
            asked: BTreeMap::new(),
            orders: BTreeMap::new(),
            order_counts: OrderCounts::default(),
        })
    }

    /// Takes a message.
    pub fn handle_message(&mut self, cx: CX![], handle_message: ControlMessage) {
        let now = cx.now();
        match handle_message {
            ControlMessage::Identify { key, reply } => {
                // A request that no longer waits needs no answer.
                let _ = reply.try_send(self.identify(&key));
            }
            ControlMessage::Claim { claim, reply } => {
                let command = Command::Claims(vec![claim]);
                self.propose(command, Waiter::Claim(reply), now);
            }
            ControlMessage::WaitForClaim { key, reply } => self.look(key, reply, now),
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
                // A claim that is still being asked for must not follow its release.
                self.waiting.retain(|_, pending| {
                    !(matches!(pending.waiter, Waiter::Claim(_)) && pending.claims(&key, attempt))
                });
                self.propose(Command::Release { key, attempt }, Waiter::Nobody, now);
            }
            ControlMessage::Synced { sequence } => {
                if !self.first_write_done(now) {
                    self.feed(MemberInput::Synced { sequence }, now);
                }
            }
            ControlMessage::Inspect(ask) => self.inspect(ask, now),
            ControlMessage::Orders(mail) => self.handle_orders_message(mail),
            ControlMessage::Link(mail) => self.link(cx, mail),
            ControlMessage::DiskFailed => self.feed(MemberInput::DiskFailed, now),
        }
    }

    /// Hands leadership over before the process ends.
    pub fn leave(&mut self, cx: CX![]) {
        self.feed(MemberInput::TransferLeadership, cx.now());
    }

    /// Ends all links before the process ends.
    pub fn close_links(&mut self, _: CX![]) {
        self.peers.links().borrow().close_all();
    }

    /// Reports the replica for the status page.
    pub fn status(&self) -> ControlStatus {
        let status = self.member.as_ref().map(Member::status);
        ControlStatus {
            revision: self.follower.revision(),
            role: status
                .as_ref()
                .map_or_else(String::new, |status| status.replica.role.to_string()),
            has_leader: self.contact.lost_at.is_none(),
            cut_off_since_unix_ms: self.contact.lost_at.map(|(_, at)| unix_ms(at)),
            disk: format!("{:016x}", self.own_disk),
            problem: status
                .as_ref()
                .and_then(|status| status.replica.identity_error.as_ref())
                .map(ToString::to_string),
            links: self.peers.links().borrow().status(),
            traffic: self.peers.traffic(),
            claims: status.as_ref().map_or(0, |status| status.claims),
            violations: self.broken_invariants(),
        }
    }

    /// Returns how many invariants were found broken.
    pub(super) const fn broken_invariants(&self) -> u64 {
        self.violations + self.follower.violations().count
    }

    fn violated(&mut self, what: String) {
        self.violations += 1;
        self.violation_messages.push_back(what);
        if self.violation_messages.len() > MAX_MESSAGES {
            self.violation_messages.pop_front();
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        self.feed(MemberInput::Tick, now);
        self.watch_contact(now);
        self.tick_requests(now);
        self.answer_looks(now);
        self.tick_orders(now);
        self.tick_forming(now);
        let next = self.member.as_ref().map(Member::next_deadline);
        let wait = next.map_or(TICK, |next| next.saturating_duration_since(now));
        after!(wait.clamp(Duration::from_millis(1), TICK), [cx], tick());
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

    /// Passes an input to the replica and carries out what comes out.
    pub(super) fn feed(&mut self, input: MemberInput, now: Instant) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(member) = self.member.as_mut() else {
                return;
            };
            for output in member.handle(input, now, SystemTime::now()) {
                if let Some(input) = self.carry_out(output, now) {
                    inputs.push_back(input);
                }
            }
        }
    }

    fn carry_out(&mut self, output: MemberOutput, now: Instant) -> Option<MemberInput> {
        match output {
            MemberOutput::Persist(persist) => return self.disk.write(persist),
            MemberOutput::Send { to, message } => {
                let message = Box::new(message);
                self.peers.send(PeerMessage::Agreement { to, message });
            }
            MemberOutput::Reply { ticket, answer } => self.answer(ticket, answer, now),
            MemberOutput::Settings(diff) => {
                self.follow(&diff);
                self.peers.send(PeerMessage::Settings(Box::new(diff)));
            }
            MemberOutput::Leadership { term, leader } => {
                info!(term, leader, "leadership of the control group changed");
                self.leader = leader;
                // Only the leader of their term may hand out orders.
                self.orders.clear();
                self.peers.set_heartbeat(self.follower.revision(), leader);
                if leader.is_some() && self.follower.revision() == 0 {
                    self.next_first_change(now);
                }
            }
            MemberOutput::MembersChanged { index, .. } => {
                info!(index, "members of the control group changed");
            }
            MemberOutput::Identity(problem) => error!(%problem, "wrong disk identity"),
            MemberOutput::Violation(what) => {
                error!(what, "an invariant was violated");
                self.violated(what);
            }
            MemberOutput::Fatal(what) => {
                error!(what, "the replica cannot go on");
                self.member = None;
                self.leader = None;
            }
            MemberOutput::Order(order) => self.queue_order(order),
        }
        None
    }

    pub(super) fn next_first_change(&mut self, now: Instant) {
        if let Some(change) = self.first_changes.pop_front() {
            self.propose(Command::Change(change), Waiter::Start, now);
        }
    }

    /// Puts settings in force on this instance.
    pub(super) fn follow(&mut self, diff: &Diff) {
        match self.follower.apply(diff) {
            ApplyOutcome::Applied { revision } => {
                info!(revision, "settings are in force");
                self.peers.set_heartbeat(revision, self.leader);
            }
            ApplyOutcome::Stale => return,
            ApplyOutcome::Gap { have } => {
                warn!(have, "settings changes are missing");
                return;
            }
            ApplyOutcome::Refused => {
                error!("a settings change contradicts the settings in force");
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
