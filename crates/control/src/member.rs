//! One member of the control group: the log, the state and waiting clients.
//!
//! The host passes messages, client requests, finished writes and the time in,
//! and carries out the outputs in order. It feeds [`MemberInput::Tick`] at
//! [`Member::next_deadline`] at the latest.

mod api;
mod engines;
mod settings;
mod waiting;
mod watch;

use std::collections::VecDeque;
use std::time::{Instant, SystemTime};

use bamboospur_agreement::{Input, LogIndex, Output, PersistedState, Replica, Term, Ticket};
use bamboospur_settings::Revision;
use bamboospur_types::InstanceId;

use crate::codec::{decode_entry, encode_entry};
use crate::command::{Command, Entry, ProposalId};
use crate::state::ControlState;

pub use api::{
    MemberError, MemberInput, MemberOutput, MemberStatus, Request, Response, RouterReport,
};
use engines::Engines;
pub use settings::MemberSettings;
use waiting::{Purpose, Waiting};
use watch::Watchers;

/// A member of the control group.
#[derive(Debug)]
pub struct Member {
    settings: MemberSettings,
    replica: Replica,
    state: ControlState,
    term: Term,
    leader: Option<InstanceId>,
    waiting: Waiting,
    watchers: Watchers,
    engines: Engines,
    /// Last time stamped on a proposal.
    stamped: SystemTime,
    /// Entries and bytes applied since the last snapshot.
    entries_since: u64,
    bytes_since: usize,
    next_expire: Instant,
    reported_violations: u64,
    out: Vec<MemberOutput>,
}

impl Member {
    /// Creates a member from what its disk holds. The first call to
    /// [`Member::handle`] restores the state.
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
            waiting: Waiting::default(),
            watchers: Watchers::default(),
            engines: Engines::new(now),
            stamped: SystemTime::UNIX_EPOCH,
            term: 0,
            leader: None,
            entries_since: 0,
            bytes_since: 0,
            next_expire: now + settings.expire_interval,
            reported_violations: 0,
            out: Vec::new(),
            replica,
            settings,
        }
    }

    /// Handles one input. `now` times the log, `at` is the wall clock.
    pub fn handle(
        &mut self,
        input: MemberInput,
        now: Instant,
        at: SystemTime,
    ) -> Vec<MemberOutput> {
        match input {
            MemberInput::Tick => self.tick(now, at),
            MemberInput::Peer { from, message } => {
                self.feed(Input::Message { from, message }, now, at);
            }
            MemberInput::Synced { sequence } => self.feed(Input::Synced { sequence }, now, at),
            MemberInput::DiskFailed => self.feed(Input::DiskFailed, now, at),
            MemberInput::Transfer => self.feed(Input::TransferLeadership, now, at),
            MemberInput::Request { ticket, request } => self.request(ticket, request, now, at),
            MemberInput::Report { target, report } if self.is_leader() => {
                self.engines.report(target, report);
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
                self.propose(Purpose::Own, command, now, at);
            }
        }
        self.report_violations();
        std::mem::take(&mut self.out)
    }

    /// Returns the state as far as it is applied here.
    #[must_use]
    pub const fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the time of the next [`MemberInput::Tick`].
    #[must_use]
    pub fn next_deadline(&self) -> Instant {
        let own = self.engines.next_plan().min(self.next_expire);
        self.replica.next_deadline().min(own)
    }

    /// Returns a view for operators and metrics.
    #[must_use]
    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            replica: self.replica.status(),
            revision: self.state.settings().tree().revision(),
            claims: self.state.claims().len(),
            waiting: self.waiting.len() + self.watchers.len(),
            violations: self.state.violations(),
        }
    }

    fn is_leader(&self) -> bool {
        self.leader == Some(self.settings.replica.id)
    }

    fn tick(&mut self, now: Instant, at: SystemTime) {
        self.feed(Input::Tick, now, at);
        let time = self.time(at);
        let settled = self.watchers.due(&self.state, time);
        self.out.extend(settled);
        if now >= self.engines.next_plan() {
            self.plan(now, at);
        }
        if now >= self.next_expire {
            self.next_expire = now + self.settings.expire_interval;
            if self.is_leader() && !self.state.claims().is_empty() {
                let count = self.settings.expire_claims;
                self.propose(Purpose::Own, Command::Expire { count }, now, at);
            }
        }
    }

    fn request(&mut self, ticket: Ticket, request: Request, now: Instant, at: SystemTime) {
        match request {
            Request::Changes { since } => {
                let diff = self.state.settings().changes_since(since);
                self.reply(ticket, Ok(Response::Changes(diff)));
            }
            // Links and calls belong to the host.
            Request::Routers | Request::Engines { .. } => {
                let message = "the host of the member answers this request".to_owned();
                self.reply(ticket, Err(MemberError::Invalid { message }));
            }
            // An order is fenced by the term of the member that sends it.
            Request::Command(Command::IssueOrders { .. }) => {
                let message = "only the leader itself issues orders".to_owned();
                self.reply(ticket, Err(MemberError::Invalid { message }));
            }
            Request::Command(command) => self.propose(Purpose::Client(ticket), command, now, at),
            Request::Watch { key } if self.is_leader() => {
                let time = self.time(at);
                let settled = self.watchers.add(&self.state, key, ticket, time);
                self.out.extend(settled);
            }
            Request::Watch { .. } => {
                let leader = self.leader;
                self.reply(ticket, Err(MemberError::NotLeader { leader }));
            }
            Request::Read => {
                let own = self.waiting.add(Purpose::Read(ticket));
                self.feed(Input::Read { ticket: own }, now, at);
            }
            Request::Members(change) => {
                let own = self.waiting.add(Purpose::Members(ticket));
                self.feed(
                    Input::ChangeMembers {
                        ticket: own,
                        change,
                    },
                    now,
                    at,
                );
            }
        }
    }

    /// Stamps and proposes a command. The time never goes backwards.
    fn propose(&mut self, purpose: Purpose, command: Command, now: Instant, at: SystemTime) {
        self.stamped = self.time(at);
        let proposal = self.waiting.add(purpose);
        let process = self.settings.process;
        let entry = Entry {
            origin: ProposalId { process, proposal },
            at: self.stamped,
            command,
        };
        match encode_entry(&entry) {
            Ok(data) => {
                let ticket = proposal;
                self.feed(Input::Propose { ticket, data }, now, at);
            }
            Err(error) => {
                let message = error.to_string();
                self.finish(proposal, Err(MemberError::Invalid { message }));
            }
        }
    }

    fn time(&self, at: SystemTime) -> SystemTime {
        at.max(self.stamped).max(self.state.clock())
    }

    fn feed(&mut self, input: Input, now: Instant, at: SystemTime) {
        let mut outputs = VecDeque::from(self.replica.handle(input, now));
        while let Some(output) = outputs.pop_front() {
            let next = self.carry_out(output, now, at);
            if let Some(input) = next {
                outputs.extend(self.replica.handle(input, now));
            }
        }
        self.drop_skipped();
    }

    fn carry_out(&mut self, output: Output, now: Instant, at: SystemTime) -> Option<Input> {
        match output {
            Output::Persist(persist) => self.out.push(MemberOutput::Persist(persist)),
            Output::Send { to, message } => self.out.push(MemberOutput::Send { to, message }),
            Output::Apply { index, term, data } => return self.apply(index, term, &data, at),
            Output::Restore { index, state } => self.restore(index, &state, at),
            Output::Done { ticket, result } => self.done(ticket, result),
            Output::LeaderChanged { term, leader } => return self.leadership(term, leader, now),
            Output::MembersChanged { index, members } => {
                self.out
                    .push(MemberOutput::MembersChanged { index, members });
            }
            Output::Identity(problem) => self.out.push(MemberOutput::Identity(problem)),
            Output::Violation(violation) => {
                self.out
                    .push(MemberOutput::Violation(violation.to_string()));
            }
        }
        None
    }

    fn apply(&mut self, index: LogIndex, term: Term, data: &[u8], at: SystemTime) -> Option<Input> {
        let entry = match decode_entry(data) {
            Ok(entry) => entry,
            Err(error) => {
                let message = format!("entry {index} of term {term} cannot be read: {error}");
                self.out.push(MemberOutput::Violation(message));
                return None;
            }
        };
        let before = self.state.settings().tree().revision();
        let reply = self.state.apply(index, entry.at, &entry.command);
        self.send_changes(before);
        let own = entry.origin.process == self.settings.process;
        if own {
            self.send_orders(&reply, at);
            self.finish(entry.origin.proposal, Ok(reply));
        }
        let time = self.time(at);
        let settled = self.watchers.after(&self.state, &entry.command, time);
        self.out.extend(settled);
        self.entries_since += 1;
        self.bytes_since += data.len();
        self.compact()
    }

    fn compact(&mut self) -> Option<Input> {
        let few = self.entries_since < self.settings.snapshot_entries;
        if few && self.bytes_since < self.settings.snapshot_bytes {
            return None;
        }
        self.entries_since = 0;
        self.bytes_since = 0;
        let index = self.state.applied();
        match self.state.snapshot() {
            Ok(state) => Some(Input::Compact { index, state }),
            Err(error) => {
                let message = format!("the state at {index} cannot be encoded: {error}");
                self.out.push(MemberOutput::Violation(message));
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
                self.send_changes(before);
                let time = self.time(at);
                let settled = self.watchers.due(&self.state, time);
                self.out.extend(settled);
            }
            Err(error) => {
                let message = format!("the snapshot at {index} cannot be read: {error}");
                self.out.push(MemberOutput::Fatal(message));
            }
        }
    }

    fn send_changes(&mut self, before: Revision) {
        if self.state.settings().tree().revision() > before {
            let diff = self.state.settings().changes_since(before);
            self.out.push(MemberOutput::Settings(diff));
        }
    }

    fn leadership(
        &mut self,
        term: Term,
        leader: Option<InstanceId>,
        now: Instant,
    ) -> Option<Input> {
        let led = self.is_leader() && self.term == term;
        self.term = term;
        self.leader = leader;
        self.out.push(MemberOutput::Leadership { term, leader });
        if self.is_leader() {
            if led {
                return None;
            }
            self.engines.start(now);
            let ticket = self.waiting.add(Purpose::Ready(term));
            return Some(Input::Read { ticket });
        }
        self.engines.stop();
        let deposed = self.watchers.refuse(leader);
        self.out.extend(deposed);
        None
    }

    fn report_violations(&mut self) {
        let violations = self.state.violations();
        if violations.count > self.reported_violations {
            self.reported_violations = violations.count;
            let messages = violations.messages.into_iter();
            self.out.extend(messages.map(MemberOutput::Violation));
        }
    }

    fn reply(&mut self, ticket: Ticket, answer: Result<Response, MemberError>) {
        self.out.push(MemberOutput::Reply { ticket, answer });
    }
}
