//! One member of the control group: log replica, state and waiting clients.
//!
//! The host passes messages, client requests, completed writes and the time to
//! [`Member::handle`], and carries out the outputs in order. The host passes
//! [`MemberInput::Tick`] at [`Member::next_deadline`] at the latest.

mod api;
mod order_planner;
mod settings;
mod waiting;
mod watch;

use std::collections::VecDeque;
use std::time::{Instant, SystemTime};

use bamboospur_agreement::{Input, LogIndex, Output, PersistedState, Replica, Term, Ticket};
use bamboospur_settings::Revision;
use bamboospur_types::{InstanceId, mix64};

use crate::codec::{decode_entry, encode_entry};
use crate::command::{Command, Entry, ProposalId};
use crate::state::ControlState;

pub use api::{
    MemberError, MemberInput, MemberOutput, MemberStatus, Request, Response, RouterReport,
};
use order_planner::OrderPlanner;
pub use settings::MemberSettings;
use waiting::{PendingOperations, Purpose};
use watch::Watchers;

/// Member of the control group.
#[derive(Debug)]
pub struct Member {
    settings: MemberSettings,
    replica: Replica,
    state: ControlState,
    term: Term,
    leader: Option<InstanceId>,
    pending: PendingOperations,
    watchers: Watchers,
    order_planner: OrderPlanner,
    /// Timestamp of the last proposal.
    last_stamped: SystemTime,
    entries_since_snapshot: u64,
    bytes_since_snapshot: usize,
    next_expiry: Instant,
    reported_violations: u64,
    outputs: Vec<MemberOutput>,
}

impl Member {
    /// Creates a member from its state on disk. The first call to
    /// [`Member::handle`] restores the control state.
    #[must_use]
    pub fn new(
        settings: MemberSettings,
        restored: PersistedState,
        seed: u64,
        now: Instant,
    ) -> Self {
        let replica = Replica::new(settings.replica.clone(), restored, seed, now);
        Self {
            state: ControlState::new(settings.claims),
            pending: PendingOperations::default(),
            watchers: Watchers::default(),
            order_planner: OrderPlanner::new(now),
            last_stamped: SystemTime::UNIX_EPOCH,
            term: 0,
            leader: None,
            entries_since_snapshot: 0,
            bytes_since_snapshot: 0,
            next_expiry: now + settings.expire_interval,
            reported_violations: 0,
            outputs: Vec::new(),
            replica,
            settings,
        }
    }

    /// Starts the member again from its state on disk, after a failed write has stopped its
    /// replica. Entries of the stopped run do not answer requests of the new one.
    pub fn restart(&mut self, restored: PersistedState, now: Instant) {
        let process = mix64(self.settings.process);
        let settings = MemberSettings {
            process,
            ..self.settings.clone()
        };
        let last_stamped = self.last_stamped;
        *self = Self::new(settings, restored, process, now);
        self.last_stamped = last_stamped;
    }

    /// Handles one input. `now` drives the timers of the member; `at` is the wall
    /// clock time for log entries.
    pub fn handle(
        &mut self,
        input: MemberInput,
        now: Instant,
        at: SystemTime,
    ) -> Vec<MemberOutput> {
        match input {
            MemberInput::Tick => self.tick(now, at),
            MemberInput::PeerMessage { from, message } => {
                self.step_replica(Input::Message { from, message }, now, at);
            }
            MemberInput::Synced { sequence } => {
                self.step_replica(Input::Synced { sequence }, now, at);
            }
            MemberInput::DiskFailed => self.step_replica(Input::DiskFailed, now, at),
            MemberInput::TransferLeadership => {
                self.step_replica(Input::TransferLeadership, now, at);
            }
            MemberInput::Request { ticket, request } => {
                self.handle_request(ticket, request, now, at);
            }
            MemberInput::Report { target, report } if self.is_leader() => {
                self.order_planner.report(target, report);
            }
            MemberInput::Report { .. } => {}
            MemberInput::OrderResult {
                target,
                fencing,
                result,
            } => {
                let command = Command::FinishOrder {
                    target,
                    fencing,
                    result,
                };
                self.propose(Purpose::Internal, command, now, at);
            }
        }
        self.report_violations();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the state with all entries that this member has applied.
    #[must_use]
    pub const fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the latest time for the next [`MemberInput::Tick`].
    #[must_use]
    pub fn next_deadline(&self) -> Instant {
        let member_deadline = self.order_planner.next_plan().min(self.next_expiry);
        self.replica.next_deadline().min(member_deadline)
    }

    /// Returns the status for operators and metrics.
    #[must_use]
    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            replica: self.replica.status(),
            revision: self.state.settings().tree().revision(),
            claims: self.state.claims().len(),
            waiting: self.pending.len() + self.watchers.len(),
            violations: self.state.violations(),
        }
    }

    fn is_leader(&self) -> bool {
        self.leader == Some(self.settings.replica.id)
    }

    fn tick(&mut self, now: Instant, at: SystemTime) {
        self.step_replica(Input::Tick, now, at);
        let time = self.stamp_time(at);
        let answers = self.watchers.answer_expired(&self.state, time);
        self.outputs.extend(answers);
        if now >= self.order_planner.next_plan() {
            self.propose_orders(now, at);
        }
        if now >= self.next_expiry {
            self.next_expiry = now + self.settings.expire_interval;
            if self.is_leader() && !self.state.claims().is_empty() {
                let count = self.settings.expire_claims_count;
                self.propose(Purpose::Internal, Command::Expire { count }, now, at);
            }
        }
    }

    fn handle_request(&mut self, ticket: Ticket, request: Request, now: Instant, at: SystemTime) {
        match request {
            Request::Changes { since } => {
                let diff = self.state.settings().changes_since(since);
                self.reply(ticket, Ok(Response::Changes(diff)));
            }
            // The host owns the links and engine calls, so it answers these.
            Request::Routers | Request::Engines { .. } => {
                let message = "the host of the member answers this request".to_owned();
                self.reply(ticket, Err(MemberError::Invalid { message }));
            }
            // An order carries the term of the issuing leader as its fencing token, so
            // no client may choose the term.
            Request::Command(Command::IssueOrders { .. }) => {
                let message = "only the leader itself issues orders".to_owned();
                self.reply(ticket, Err(MemberError::Invalid { message }));
            }
            Request::Command(command) => self.propose(Purpose::Command(ticket), command, now, at),
            Request::Watch { key } if self.is_leader() => {
                let time = self.stamp_time(at);
                let answers = self.watchers.add(&self.state, key, ticket, time);
                self.outputs.extend(answers);
            }
            Request::Watch { .. } => {
                let leader = self.leader;
                self.reply(ticket, Err(MemberError::NotLeader { leader }));
            }
            Request::Read => {
                let log_ticket = self.pending.add(Purpose::Read(ticket));
                self.step_replica(Input::Read { ticket: log_ticket }, now, at);
            }
            Request::Members(change) => {
                let log_ticket = self.pending.add(Purpose::MemberChange(ticket));
                self.step_replica(
                    Input::ChangeMembers {
                        ticket: log_ticket,
                        change,
                    },
                    now,
                    at,
                );
            }
        }
    }

    /// Proposes a command with a timestamp that never goes backwards.
    fn propose(&mut self, purpose: Purpose, command: Command, now: Instant, at: SystemTime) {
        self.last_stamped = self.stamp_time(at);
        let proposal = self.pending.add(purpose);
        let process = self.settings.process;
        let entry = Entry {
            origin: ProposalId { process, proposal },
            at: self.last_stamped,
            command,
        };
        match encode_entry(&entry) {
            Ok(data) => {
                let ticket = proposal;
                self.step_replica(Input::Propose { ticket, data }, now, at);
            }
            Err(error) => {
                let message = error.to_string();
                self.complete(proposal, Err(MemberError::Invalid { message }));
            }
        }
    }

    /// Returns the latest of the wall clock and all earlier timestamps.
    fn stamp_time(&self, at: SystemTime) -> SystemTime {
        at.max(self.last_stamped).max(self.state.clock())
    }

    fn step_replica(&mut self, input: Input, now: Instant, at: SystemTime) {
        let mut outputs = VecDeque::from(self.replica.handle(input, now));
        while let Some(output) = outputs.pop_front() {
            let next = self.handle_replica_output(output, now, at);
            if let Some(input) = next {
                outputs.extend(self.replica.handle(input, now));
            }
        }
        self.answer_skipped();
    }

    fn handle_replica_output(
        &mut self,
        output: Output,
        now: Instant,
        at: SystemTime,
    ) -> Option<Input> {
        match output {
            Output::Persist(persist) => self.outputs.push(MemberOutput::Persist(persist)),
            Output::Send { to, message } => self.outputs.push(MemberOutput::Send { to, message }),
            Output::Apply { index, term, data } => return self.apply(index, term, &data, at),
            Output::Restore { index, state } => self.restore(index, &state, at),
            Output::Done { ticket, result } => self.handle_log_result(ticket, result),
            Output::LeaderChanged { term, leader } => {
                return self.handle_leader_change(term, leader, now);
            }
            Output::MembersChanged { index, members } => {
                self.outputs
                    .push(MemberOutput::MembersChanged { index, members });
            }
            Output::Identity(problem) => self.outputs.push(MemberOutput::Identity(problem)),
            Output::Violation(violation) => {
                self.outputs
                    .push(MemberOutput::Violation(violation.to_string()));
            }
        }
        None
    }

    fn apply(&mut self, index: LogIndex, term: Term, data: &[u8], at: SystemTime) -> Option<Input> {
        let entry = match decode_entry(data) {
            Ok(entry) => entry,
            Err(error) => {
                let message =
                    format!("log entry {index} of term {term} cannot be decoded: {error}");
                self.outputs.push(MemberOutput::Violation(message));
                return None;
            }
        };
        let before = self.state.settings().tree().revision();
        let reply = self.state.apply(index, entry.at, &entry.command);
        self.send_settings_changes(before);
        let proposed_here = entry.origin.process == self.settings.process;
        if proposed_here {
            self.send_orders(&reply, at);
            self.complete(entry.origin.proposal, Ok(reply));
        }
        let time = self.stamp_time(at);
        let answers = self
            .watchers
            .answer_affected(&self.state, &entry.command, time);
        self.outputs.extend(answers);
        self.entries_since_snapshot += 1;
        self.bytes_since_snapshot += data.len();
        self.compact()
    }

    fn compact(&mut self) -> Option<Input> {
        let few_entries = self.entries_since_snapshot < self.settings.snapshot_entries;
        if few_entries && self.bytes_since_snapshot < self.settings.snapshot_bytes {
            return None;
        }
        self.entries_since_snapshot = 0;
        self.bytes_since_snapshot = 0;
        let index = self.state.applied();
        match self.state.snapshot() {
            Ok(state) => Some(Input::Compact { index, state }),
            Err(error) => {
                let message =
                    format!("the snapshot at log index {index} cannot be encoded: {error}");
                self.outputs.push(MemberOutput::Violation(message));
                None
            }
        }
    }

    fn restore(&mut self, index: LogIndex, state: &[u8], at: SystemTime) {
        let bounds = self.settings.claims;
        let restored = if state.is_empty() {
            Ok(ControlState::new(bounds))
        } else {
            ControlState::restore(state, bounds)
        };
        match restored {
            Ok(state) => {
                let before = self.state.settings().tree().revision();
                self.state = state;
                self.send_settings_changes(before);
                let time = self.stamp_time(at);
                let answers = self.watchers.answer_expired(&self.state, time);
                self.outputs.extend(answers);
            }
            Err(error) => {
                let message =
                    format!("the snapshot at log index {index} cannot be decoded: {error}");
                self.outputs.push(MemberOutput::Fatal(message));
            }
        }
    }

    fn send_settings_changes(&mut self, before: Revision) {
        if self.state.settings().tree().revision() > before {
            let diff = self.state.settings().changes_since(before);
            self.outputs.push(MemberOutput::Settings(diff));
        }
    }

    fn handle_leader_change(
        &mut self,
        term: Term,
        leader: Option<InstanceId>,
        now: Instant,
    ) -> Option<Input> {
        let already_leading = self.is_leader() && self.term == term;
        self.term = term;
        self.leader = leader;
        self.outputs.push(MemberOutput::Leadership { term, leader });
        if self.is_leader() {
            if already_leading {
                return None;
            }
            self.order_planner.start(now);
            let ticket = self.pending.add(Purpose::NewLeader(term));
            return Some(Input::Read { ticket });
        }
        self.order_planner.stop();
        let redirected = self.watchers.redirect_all(leader);
        self.outputs.extend(redirected);
        None
    }

    fn report_violations(&mut self) {
        let violations = self.state.violations();
        if violations.count > self.reported_violations {
            self.reported_violations = violations.count;
            let messages = violations.messages.into_iter();
            self.outputs.extend(messages.map(MemberOutput::Violation));
        }
    }

    fn reply(&mut self, ticket: Ticket, answer: Result<Response, MemberError>) {
        self.outputs.push(MemberOutput::Reply { ticket, answer });
    }
}
