//! The replica: state, dispatch of inputs and the status.

mod change;
mod disk;
mod election;
mod follower;
mod identity;
mod install;
mod leader;
mod peer;
mod progress;
mod tickets;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use bamboospur_types::InstanceId;

use self::disk::Disk;
use self::install::Incoming;
use self::leader::Leading;
use crate::api::{IdentityError, Input, Output, ProposeError, Role, Status, Ticket, Violation};
use crate::entry::{Entry, HardState, LogIndex, Persist, PersistedState, Snapshot, Term};
use crate::log::Log;
use crate::message::{Body, Message};
use crate::random::Random;
use crate::settings::ReplicaSettings;

/// One member of the group.
#[derive(Debug)]
pub struct Replica {
    settings: ReplicaSettings,
    /// Time of the latest input.
    clock: Instant,
    random: Random,
    log: Log,
    snapshot: Option<Snapshot>,
    hard: HardState,
    role: Role,
    leader: Option<InstanceId>,
    leaderless_since: Option<Instant>,
    commit: LogIndex,
    applied: LogIndex,
    disk: Disk,
    /// Present on the leader.
    leading: Option<Leading>,
    /// Votes or pre-votes received.
    votes: BTreeSet<InstanceId>,
    /// Number of the write that holds a candidate's own vote.
    vote_sequence: u64,
    /// Whether the election was asked for by the former leader.
    taking_over: bool,
    election_deadline: Instant,
    /// Until then a leader was heard, and no vote is granted against it.
    leader_heard_until: Option<Instant>,
    /// Snapshot being received.
    incoming: Option<Incoming>,
    /// Proposals waiting for a result. One index can hold proposals of several
    /// terms, because an entry that was replaced here can still be committed.
    pending: BTreeMap<(LogIndex, Term), Ticket>,
    /// Bytes of entries after the commit index, on the leader.
    uncommitted_bytes: usize,
    /// The write being assembled by the current call.
    write: Option<Persist>,
    out: Vec<Output>,
    identity: Option<IdentityError>,
    reported_disks: BTreeSet<(InstanceId, u64)>,
    violations: u64,
    refused_messages: u64,
}

impl Replica {
    /// Creates a replica from what its disk holds.
    #[must_use]
    pub fn new(
        settings: ReplicaSettings,
        restored: PersistedState,
        seed: u64,
        now: Instant,
    ) -> Self {
        let snapshot = restored.snapshot;
        let (index, term) = snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let members = snapshot.as_ref().map(|s| s.members.clone());
        let mut replica = Self {
            clock: now,
            random: Random::new(seed),
            log: Log::new(index, term, members.unwrap_or_default()),
            snapshot,
            hard: restored.hard,
            role: Role::Follower,
            leader: None,
            leaderless_since: Some(now),
            commit: index,
            applied: index,
            disk: Disk::new(index),
            leading: None,
            votes: BTreeSet::new(),
            vote_sequence: 0,
            taking_over: false,
            election_deadline: now,
            leader_heard_until: None,
            incoming: None,
            pending: BTreeMap::new(),
            uncommitted_bytes: 0,
            write: None,
            out: Vec::new(),
            identity: None,
            reported_disks: BTreeSet::new(),
            violations: 0,
            refused_messages: 0,
            settings,
        };
        replica.restore(restored.entries);
        if !replica.is_only_voter() {
            replica.reset_election_deadline(now);
        }
        replica
    }

    fn restore(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.log.last_index() {
                continue;
            }
            if entry.index != self.log.last_index() + 1 || entry.term < self.log.last_term() {
                self.violate(Violation::BadRestore { index: entry.index });
                return;
            }
            self.log.push(entry);
        }
        self.disk = Disk::new(self.log.last_index());
        if let Some(snapshot) = &self.snapshot {
            self.out.push(Output::Restore {
                index: snapshot.index,
                state: snapshot.state.to_vec(),
            });
        }
        self.check_own_disk();
    }

    /// Handles one input and returns what the host has to do, in order.
    pub fn handle(&mut self, input: Input, now: Instant) -> Vec<Output> {
        self.clock = now;
        if self.role == Role::Stopped {
            self.refuse(&input, now);
        } else {
            self.dispatch(input, now);
        }
        self.apply_committed();
        self.finish_reads();
        let mut out = std::mem::take(&mut self.out);
        if let Some(write) = self.write.take() {
            out.insert(0, Output::Persist(write));
        }
        out
    }

    /// Time of the next [`Input::Tick`].
    #[must_use]
    pub fn next_deadline(&self) -> Instant {
        let heartbeat = self.leading.as_ref().map(|l| l.heartbeat_deadline);
        heartbeat.unwrap_or(self.election_deadline)
    }

    /// Returns a view for operators and metrics.
    #[must_use]
    pub fn status(&self) -> Status {
        let peers = self.leading.as_ref().map(|l| &l.peers);
        let peers = peers.into_iter().flatten();
        Status {
            role: self.role,
            term: self.hard.term,
            leader: self.leader,
            leaderless_since: self.leaderless_since,
            commit_index: self.commit,
            last_index: self.log.last_index(),
            synced_index: self.disk.synced_index(),
            snapshot_index: self.snapshot.as_ref().map_or(0, |s| s.index),
            members: self.log.members().clone(),
            peers: peers.map(|(&id, p)| (id, p.matched, p.answered)).collect(),
            violations: self.violations,
            refused_messages: self.refused_messages,
            identity: self.identity.clone(),
        }
    }

    fn dispatch(&mut self, input: Input, now: Instant) {
        match input {
            Input::Tick => self.tick(now),
            Input::Message { from, message } => self.on_message(from, message, now),
            Input::Propose { ticket, data } => self.propose(ticket, data, now),
            Input::Read { ticket } => self.read(ticket, now),
            Input::ChangeMembers { ticket, change } => self.change_members(ticket, change, now),
            Input::Synced { sequence } => self.on_synced(sequence, now),
            Input::Compact { index, state } => self.compact(index, state),
            Input::TransferLeadership => self.transfer(now),
            Input::DiskFailed => self.stop(),
        }
    }

    fn refuse(&mut self, input: &Input, now: Instant) {
        match *input {
            Input::Propose { ticket, .. }
            | Input::Read { ticket }
            | Input::ChangeMembers { ticket, .. } => {
                self.done(ticket, Err(ProposeError::Unavailable));
            }
            Input::Tick => self.reset_election_deadline(now),
            _ => {}
        }
    }

    fn tick(&mut self, now: Instant) {
        if self.role == Role::Leader {
            self.leader_tick(now);
        } else if now >= self.election_deadline {
            self.election_tick(now);
        }
    }

    fn on_message(&mut self, from: InstanceId, message: Message, now: Instant) {
        if !message.is_in_range() || !self.check_identity(from, &message) {
            return;
        }
        let Message { term, body, .. } = message;
        match body {
            Body::PreVote { .. } => return self.on_pre_vote(from, term, &body, now),
            Body::PreVoteReply { granted: true } => {
                return self.on_pre_vote_granted(from, term, now);
            }
            _ => {}
        }
        if term > self.hard.term {
            if self.ignores_vote(&body, now) {
                return;
            }
            self.become_follower(term, now);
        }
        if term < self.hard.term {
            return self.answer_old_term(from, &body);
        }
        self.on_current_term(from, body, now);
    }

    fn on_current_term(&mut self, from: InstanceId, body: Body, now: Instant) {
        match body {
            Body::Vote { .. } => self.on_vote(from, &body, now),
            Body::VoteReply { granted } => self.on_vote_reply(from, granted, now),
            Body::Append { .. } | Body::Heartbeat { .. } | Body::SnapshotChunk(_) => {
                self.on_leader_message(from, body, now);
            }
            Body::TimeoutNow => self.on_timeout_now(from, now),
            Body::AppendReply(result) => self.on_append_reply(from, result, now),
            Body::HeartbeatReply { round } => self.on_heartbeat_reply(from, round, now),
            Body::SnapshotReply { index, offset } => {
                self.on_snapshot_reply(from, index, offset, now);
            }
            Body::PreVote { .. } | Body::PreVoteReply { .. } | Body::Refused { .. } => {}
        }
    }

    fn message(&self, to: InstanceId, term: Term, body: Body) -> Message {
        Message {
            from_disk: self.settings.disk,
            to_disk: self.log.members().known_disk(to).unwrap_or(0),
            term,
            body,
        }
    }

    fn send(&mut self, to: InstanceId, body: Body) {
        let message = self.message(to, self.hard.term, body);
        self.out.push(Output::Send { to, message });
    }

    /// Sends a message once every write issued so far is on disk.
    fn send_after_sync(&mut self, to: InstanceId, body: Body) {
        let message = self.message(to, self.hard.term, body);
        if let Some(message) = self.disk.hold(to, message) {
            self.out.push(Output::Send { to, message });
        }
    }

    fn is_only_voter(&self) -> bool {
        let mut voters = self.log.members().voters();
        voters.next() == Some(self.settings.id) && voters.next().is_none()
    }

    /// Reports a broken invariant and stops.
    fn violate(&mut self, violation: Violation) {
        self.report(violation);
        self.stop();
    }

    fn report(&mut self, violation: Violation) {
        self.violations += 1;
        self.out.push(Output::Violation(violation));
    }

    fn stop(&mut self) {
        self.step_down();
        self.role = Role::Stopped;
        let tickets = std::mem::take(&mut self.pending);
        for ticket in tickets.into_values() {
            self.done(ticket, Err(ProposeError::Unknown));
        }
    }

    fn done(&mut self, ticket: Ticket, result: Result<LogIndex, ProposeError>) {
        self.out.push(Output::Done { ticket, result });
    }
}
