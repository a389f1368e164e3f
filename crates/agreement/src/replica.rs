//! State of a replica, dispatch of its inputs, and its status.

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

use self::disk::SyncTracker;
use self::install::IncomingSnapshot;
use self::leader::LeaderState;
use crate::api::{IdentityError, Input, Output, ProposeError, Role, Status, Ticket, Violation};
use crate::entry::{Entry, HardState, LogIndex, Persist, PersistedState, Snapshot, Term};
use crate::log::Log;
use crate::message::{Message, MessageBody};
use crate::random::Random;
use crate::settings::ReplicaSettings;

/// State machine of one member of the group.
#[derive(Debug)]
pub struct Replica {
    settings: ReplicaSettings,
    /// Time of the latest input.
    latest_input_at: Instant,
    random: Random,
    log: Log,
    snapshot: Option<Snapshot>,
    hard_state: HardState,
    role: Role,
    leader: Option<InstanceId>,
    leaderless_since: Option<Instant>,
    commit_index: LogIndex,
    last_applied: LogIndex,
    sync_tracker: SyncTracker,
    /// Present while this replica leads.
    leader_state: Option<LeaderState>,
    /// Instances that granted a vote or pre-vote, this one included.
    votes: BTreeSet<InstanceId>,
    /// Sequence number of the write with the candidate's vote for itself.
    vote_sequence: u64,
    /// Whether the former leader requested the current election.
    is_leadership_transfer: bool,
    election_deadline: Instant,
    /// Until then, or until it hears from a leader or grants a vote, a replica that elects at
    /// its start requests pre-votes without waiting for an election time-out. Pre-votes do
    /// not disturb a leader, and without one the group is back as soon as a quorum is.
    starts_until: Option<Instant>,
    /// End of the minimum election time-out after the leader's last message. Until
    /// then vote requests are ignored, except in a leadership transfer, and
    /// pre-votes are denied.
    leader_heard_until: Option<Instant>,
    incoming_snapshot: Option<IncomingSnapshot>,
    /// Proposals and membership changes that wait for a result. One index can
    /// have proposals of several terms, because an entry that was replaced in
    /// this log can still be committed.
    pending_proposals: BTreeMap<(LogIndex, Term), Ticket>,
    /// Size of the entries after the commit index; counted on the leader.
    uncommitted_bytes: usize,
    /// Write that the current call to [`Replica::handle`] assembles.
    pending_write: Option<Persist>,
    outputs: Vec<Output>,
    identity_error: Option<IdentityError>,
    /// Peers that were reported with a disk that is not the recorded one.
    reported_disks: BTreeSet<(InstanceId, u64)>,
    violations: u64,
    refused_messages: u64,
}

impl Replica {
    /// Creates a replica from the state on its disk. The seed determines the
    /// random election time-outs.
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
            latest_input_at: now,
            random: Random::new(seed),
            log: Log::new(index, term, members.unwrap_or_default()),
            snapshot,
            hard_state: restored.hard_state,
            role: Role::Follower,
            leader: None,
            leaderless_since: Some(now),
            commit_index: index,
            last_applied: index,
            sync_tracker: SyncTracker::new(index),
            leader_state: None,
            votes: BTreeSet::new(),
            vote_sequence: 0,
            is_leadership_transfer: false,
            election_deadline: now,
            starts_until: settings
                .elects_at_start
                .then_some(now + settings.election_timeout_max),
            leader_heard_until: None,
            incoming_snapshot: None,
            pending_proposals: BTreeMap::new(),
            uncommitted_bytes: 0,
            pending_write: None,
            outputs: Vec::new(),
            identity_error: None,
            reported_disks: BTreeSet::new(),
            violations: 0,
            refused_messages: 0,
            settings,
        };
        replica.restore(restored.entries);
        if !replica.is_only_voter() {
            replica.start_election_timer(now);
        }
        replica
    }

    fn restore(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.log.last_index() {
                continue;
            }
            if entry.index != self.log.last_index() + 1 || entry.term < self.log.last_term() {
                self.stop_on_violation(Violation::InconsistentLog { index: entry.index });
                return;
            }
            self.log.push(entry);
        }
        self.sync_tracker = SyncTracker::new(self.log.last_index());
        if let Some(snapshot) = &self.snapshot {
            self.outputs.push(Output::Restore {
                index: snapshot.index,
                state: snapshot.state.to_vec(),
            });
        }
        self.check_own_disk();
    }

    /// Handles one input and returns the actions for the host, in order.
    pub fn handle(&mut self, input: Input, now: Instant) -> Vec<Output> {
        self.latest_input_at = now;
        if self.role == Role::Stopped {
            self.handle_while_stopped(&input, now);
        } else {
            self.dispatch(input, now);
        }
        self.apply_committed();
        self.complete_reads();
        let mut outputs = std::mem::take(&mut self.outputs);
        if let Some(write) = self.pending_write.take() {
            outputs.insert(0, Output::Persist(write));
        }
        outputs
    }

    /// Time at which the next [`Input::Tick`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> Instant {
        let heartbeat = self.leader_state.as_ref().map(|l| l.heartbeat_deadline);
        heartbeat.unwrap_or(self.election_deadline)
    }

    /// Returns the current state for operators and metrics.
    #[must_use]
    pub fn status(&self) -> Status {
        let peers = self.leader_state.as_ref().map(|l| &l.peers);
        let peers = peers.into_iter().flatten();
        Status {
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader,
            leaderless_since: self.leaderless_since,
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            synced_index: self.sync_tracker.synced_index(),
            snapshot_index: self.snapshot.as_ref().map_or(0, |s| s.index),
            members: self.log.members().clone(),
            peers: peers
                .map(|(&id, p)| (id, p.match_index, p.last_reply_at))
                .collect(),
            violations: self.violations,
            refused_messages: self.refused_messages,
            identity_error: self.identity_error.clone(),
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
            Input::TransferLeadership => self.start_leadership_transfer(now),
            Input::DiskFailed => self.stop(),
        }
    }

    fn handle_while_stopped(&mut self, input: &Input, now: Instant) {
        match *input {
            Input::Propose { ticket, .. }
            | Input::Read { ticket }
            | Input::ChangeMembers { ticket, .. } => {
                self.report_result(ticket, Err(ProposeError::Unavailable));
            }
            // Without a new deadline, the next tick would be due at once.
            Input::Tick => self.reset_election_deadline(now),
            _ => {}
        }
    }

    fn tick(&mut self, now: Instant) {
        if self.role == Role::Leader {
            self.leader_tick(now);
        } else if now >= self.election_deadline {
            self.on_election_timeout(now);
        }
    }

    fn on_message(&mut self, from: InstanceId, message: Message, now: Instant) {
        if !message.is_in_range() || !self.check_identity(from, &message) {
            return;
        }
        let Message { term, body, .. } = message;
        match body {
            MessageBody::PreVote { .. } => return self.on_pre_vote(from, term, &body, now),
            MessageBody::PreVoteReply { granted: true } => {
                return self.on_pre_vote_granted(from, term, now);
            }
            _ => {}
        }
        if term > self.hard_state.term {
            if self.ignores_vote_request(&body, now) {
                return;
            }
            self.become_follower(term, now);
        }
        if term < self.hard_state.term {
            return self.reply_to_stale_term(from, &body);
        }
        self.on_current_term(from, body, now);
    }

    fn on_current_term(&mut self, from: InstanceId, body: MessageBody, now: Instant) {
        match body {
            MessageBody::Vote { .. } => self.on_vote(from, &body, now),
            MessageBody::VoteReply { granted } => self.on_vote_reply(from, granted, now),
            MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::SnapshotChunk(_) => {
                self.on_leader_message(from, body, now);
            }
            MessageBody::TimeoutNow => self.on_timeout_now(from, now),
            MessageBody::AppendReply(result) => self.on_append_reply(from, result, now),
            MessageBody::HeartbeatReply { round } => self.on_heartbeat_reply(from, round, now),
            MessageBody::SnapshotReply { index, offset } => {
                self.on_snapshot_reply(from, index, offset, now);
            }
            MessageBody::PreVote { .. }
            | MessageBody::PreVoteReply { .. }
            | MessageBody::Refused { .. } => {}
        }
    }

    fn message(&self, to: InstanceId, term: Term, body: MessageBody) -> Message {
        Message {
            from_disk: self.settings.disk,
            to_disk: self.log.members().known_disk(to).unwrap_or(0),
            term,
            body,
        }
    }

    fn send(&mut self, to: InstanceId, body: MessageBody) {
        let message = self.message(to, self.hard_state.term, body);
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends a message once all writes issued so far are on disk.
    fn send_after_sync(&mut self, to: InstanceId, body: MessageBody) {
        let message = self.message(to, self.hard_state.term, body);
        if let Some(message) = self.sync_tracker.hold_until_synced(to, message) {
            self.outputs.push(Output::Send { to, message });
        }
    }

    fn is_only_voter(&self) -> bool {
        let mut voters = self.log.members().voters();
        voters.next() == Some(self.settings.id) && voters.next().is_none()
    }

    /// Reports an invariant violation and stops the replica.
    fn stop_on_violation(&mut self, violation: Violation) {
        self.report_violation(violation);
        self.stop();
    }

    fn report_violation(&mut self, violation: Violation) {
        self.violations += 1;
        self.outputs.push(Output::Violation(violation));
    }

    fn stop(&mut self) {
        self.step_down();
        // A stopped replica does not hear of the next leader.
        self.set_leader(None, self.latest_input_at);
        self.role = Role::Stopped;
        let tickets = std::mem::take(&mut self.pending_proposals);
        for ticket in tickets.into_values() {
            self.report_result(ticket, Err(ProposeError::Unknown));
        }
    }

    fn report_result(&mut self, ticket: Ticket, result: Result<LogIndex, ProposeError>) {
        self.outputs.push(Output::Done { ticket, result });
    }
}
