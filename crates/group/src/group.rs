//! One instance of the group.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_agreement::{
    IdentityError, Input, LogIndex, Message, Output, Persist, PersistedState, Replica, Role,
    Ticket, Violation,
};
use bamboospur_types::InstanceId;
use quick_error::quick_error;

use crate::document::{Document, DocumentVersion};
use crate::members::Contacts;
use crate::settings::GroupSettings;

/// Event handed to a group.
#[derive(Clone, Debug)]
pub enum GroupInput {
    /// The time moved on.
    Tick,
    /// A message of another instance arrived.
    Message {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: Message,
    },
    /// Another instance was heard.
    PeerSeen {
        /// Instance.
        id: InstanceId,
        /// Its address.
        address: SocketAddr,
    },
    /// Every write up to this number is on disk.
    Synced {
        /// Number of the last write.
        sequence: u64,
    },
    /// A write failed.
    DiskFailed,
    /// Sets the document.
    Put {
        /// Returned with the reply.
        ticket: Ticket,
        /// Document.
        document: Document,
    },
    /// Asks, on the leader, for everything accepted before now.
    Read {
        /// Returned with the reply.
        ticket: Ticket,
    },
    /// Hands leadership over before a stop.
    Transfer,
}

/// Result of a [`GroupInput::Put`] or [`GroupInput::Read`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The document, or one with a higher version, is accepted.
    Accepted {
        /// Version in force.
        version: DocumentVersion,
    },
    /// Nothing newer was accepted when the read was asked for; the newest
    /// document is [`Group::document`].
    Newest {
        /// Version in force.
        version: DocumentVersion,
    },
}

quick_error! {
    /// Why there is no reply.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum Unavailable {
        /// Another instance leads.
        NotLeader { leader: Option<InstanceId> } {
            display("this instance does not lead; the leader is {leader:?}")
        }
        /// It is not known whether the document was accepted.
        Unknown {
            display("it is not known whether the document was accepted")
        }
        /// The document cannot be encoded or is too large.
        Refused {
            display("the document cannot be stored")
        }
    }
}

/// Action for the host, in order.
#[derive(Clone, Debug)]
pub enum GroupOutput {
    /// Write this, sync, then feed [`GroupInput::Synced`].
    Persist(Persist),
    /// Send a message; it can be lost.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: Message,
    },
    /// Reply to a ticket.
    Reply {
        /// Ticket.
        ticket: Ticket,
        /// Reply.
        reply: Result<Reply, Unavailable>,
    },
    /// A newer document is in force; it is [`Group::document`].
    Changed,
    /// The known leader changed.
    Leadership {
        /// Leader, when known.
        leader: Option<InstanceId>,
    },
    /// The members changed; for the log.
    MembersChanged {
        /// Voters.
        voters: Vec<InstanceId>,
    },
    /// The group does not know this instance's disk, or a peer's.
    Identity(IdentityError),
    /// An invariant failed.
    Violation(String),
}

/// View for logs and metrics.
#[derive(Clone, Debug)]
pub struct GroupStatus {
    /// Part played in the group.
    pub role: Role,
    /// Version in force here.
    pub version: DocumentVersion,
    /// Number of voters known.
    pub voters: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Put { ticket: Ticket },
    Read { ticket: Ticket },
    Members,
}

/// One instance of the group.
#[derive(Debug)]
pub struct Group {
    settings: GroupSettings,
    replica: Replica,
    document: Document,
    contacts: Contacts,
    leader: Option<InstanceId>,
    waiting: BTreeMap<Ticket, Purpose>,
    next_ticket: Ticket,
    change_pending: bool,
    check_at: Instant,
    bytes_since_snapshot: usize,
    out: Vec<GroupOutput>,
}

impl Group {
    /// Creates an instance from what its disk holds. The first input restores
    /// the document.
    #[must_use]
    pub fn new(settings: GroupSettings, restored: PersistedState, seed: u64, now: Instant) -> Self {
        let replica = Replica::new(settings.replica.clone(), restored, seed, now);
        Self {
            check_at: now + settings.check_interval,
            settings,
            replica,
            document: Document::default(),
            contacts: Contacts::default(),
            leader: None,
            waiting: BTreeMap::new(),
            next_ticket: 0,
            change_pending: false,
            bytes_since_snapshot: 0,
            out: Vec::new(),
        }
    }

    /// Handles one input and returns what the host has to do, in order.
    pub fn handle(&mut self, input: GroupInput, now: Instant) -> Vec<GroupOutput> {
        match input {
            GroupInput::Tick => self.tick(now),
            GroupInput::Message { from, message } => {
                self.feed(Input::Message { from, message }, now);
            }
            GroupInput::PeerSeen { id, address } => self.contacts.heard(id, address, now),
            GroupInput::Synced { sequence } => self.feed(Input::Synced { sequence }, now),
            GroupInput::DiskFailed => self.feed(Input::DiskFailed, now),
            GroupInput::Put { ticket, document } => self.put(ticket, &document, now),
            GroupInput::Read { ticket } => {
                let own = self.wait(Purpose::Read { ticket });
                self.feed(Input::Read { ticket: own }, now);
            }
            GroupInput::Transfer => self.feed(Input::TransferLeadership, now),
        }
        std::mem::take(&mut self.out)
    }

    /// Returns the newest document that is accepted for certain.
    #[must_use]
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the leader, when known.
    #[must_use]
    pub const fn leader(&self) -> Option<InstanceId> {
        self.leader
    }

    /// Time of the next [`GroupInput::Tick`].
    #[must_use]
    pub fn next_deadline(&self) -> Instant {
        self.replica.next_deadline().min(self.check_at)
    }

    /// Returns a view for logs and metrics.
    #[must_use]
    pub fn status(&self) -> GroupStatus {
        let status = self.replica.status();
        GroupStatus {
            role: status.role,
            version: self.document.version,
            voters: status.members.voters().count(),
        }
    }

    fn tick(&mut self, now: Instant) {
        self.feed(Input::Tick, now);
        if now < self.check_at {
            return;
        }
        self.check_at = now + self.settings.check_interval;
        self.contacts.forget_old(&self.settings, now);
        if self.leader == Some(self.settings.replica.id) && !self.change_pending {
            self.check_members(now);
        }
    }

    fn check_members(&mut self, now: Instant) {
        let members = self.replica.status().members;
        let own = self.settings.replica.id;
        let Some(change) = self.contacts.due(own, &members, &self.settings, now) else {
            return;
        };
        self.change_pending = true;
        let ticket = self.wait(Purpose::Members);
        self.feed(Input::ChangeMembers { ticket, change }, now);
    }

    fn put(&mut self, ticket: Ticket, document: &Document, now: Instant) {
        // What is applied here is accepted, whoever leads now.
        if document.version <= self.document.version {
            let version = self.document.version;
            return self.reply(ticket, Ok(Reply::Accepted { version }));
        }
        match postcard::to_stdvec(document) {
            Ok(data) => {
                let own = self.wait(Purpose::Put { ticket });
                self.feed(Input::Propose { ticket: own, data }, now);
            }
            Err(_) => self.reply(ticket, Err(Unavailable::Refused)),
        }
    }

    fn wait(&mut self, purpose: Purpose) -> Ticket {
        self.next_ticket += 1;
        self.waiting.insert(self.next_ticket, purpose);
        self.next_ticket
    }

    fn feed(&mut self, input: Input, now: Instant) {
        let mut outputs = VecDeque::from(self.replica.handle(input, now));
        while let Some(output) = outputs.pop_front() {
            if let Some(input) = self.carry_out(output) {
                outputs.extend(self.replica.handle(input, now));
            }
        }
    }

    fn carry_out(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Persist(persist) => self.out.push(GroupOutput::Persist(persist)),
            Output::Send { to, message } => self.out.push(GroupOutput::Send { to, message }),
            Output::Apply { index, data, .. } => return self.apply(index, &data),
            Output::Restore { index, state } => self.restore(index, &state),
            Output::Done { ticket, result } => {
                let result = result.map(|_| ()).map_err(|error| unavailable(&error));
                self.done(ticket, &result);
            }
            Output::LeaderChanged { leader, .. } => {
                self.leader = leader;
                self.out.push(GroupOutput::Leadership { leader });
            }
            Output::MembersChanged { members, .. } => {
                let voters = members.voters().collect();
                self.out.push(GroupOutput::MembersChanged { voters });
            }
            Output::Identity(problem) => self.out.push(GroupOutput::Identity(problem)),
            Output::Violation(violation) => self.violation(&violation),
        }
        None
    }

    fn apply(&mut self, index: LogIndex, data: &[u8]) -> Option<Input> {
        match postcard::from_bytes::<Document>(data) {
            Ok(document) => self.adopt(document),
            Err(error) => {
                let message = format!("entry {index} cannot be read: {error}");
                self.out.push(GroupOutput::Violation(message));
            }
        }
        self.bytes_since_snapshot += data.len();
        if self.bytes_since_snapshot < self.settings.snapshot_bytes {
            return None;
        }
        self.bytes_since_snapshot = 0;
        match postcard::to_stdvec(&self.document) {
            Ok(state) => Some(Input::Compact { index, state }),
            Err(error) => {
                let message = format!("the state at {index} cannot be encoded: {error}");
                self.out.push(GroupOutput::Violation(message));
                None
            }
        }
    }

    /// The highest version wins, and the first content of a version.
    fn adopt(&mut self, document: Document) {
        if document.version > self.document.version {
            self.document = document;
            self.out.push(GroupOutput::Changed);
        }
    }

    fn restore(&mut self, index: LogIndex, state: &[u8]) {
        if state.is_empty() {
            return;
        }
        match postcard::from_bytes::<Document>(state) {
            Ok(document) => self.adopt(document),
            Err(error) => {
                let message = format!("the snapshot at {index} cannot be read: {error}");
                self.out.push(GroupOutput::Violation(message));
            }
        }
    }

    fn done(&mut self, own: Ticket, result: &Result<(), Unavailable>) {
        let version = self.document.version;
        match self.waiting.remove(&own) {
            Some(Purpose::Put { ticket }) => {
                self.reply(ticket, (*result).map(|()| Reply::Accepted { version }));
            }
            Some(Purpose::Read { ticket }) => {
                self.reply(ticket, (*result).map(|()| Reply::Newest { version }));
            }
            Some(Purpose::Members) => self.change_pending = false,
            None => {}
        }
    }

    fn reply(&mut self, ticket: Ticket, reply: Result<Reply, Unavailable>) {
        self.out.push(GroupOutput::Reply { ticket, reply });
    }

    fn violation(&mut self, violation: &Violation) {
        let message = violation.to_string();
        self.out.push(GroupOutput::Violation(message));
    }
}

fn unavailable(error: &bamboospur_agreement::ProposeError) -> Unavailable {
    use bamboospur_agreement::ProposeError;
    match error {
        ProposeError::NotLeader { leader } => Unavailable::NotLeader { leader: *leader },
        ProposeError::Unknown | ProposeError::Overwritten => Unavailable::Unknown,
        ProposeError::Unavailable | ProposeError::Busy => Unavailable::NotLeader { leader: None },
        ProposeError::TooLarge { .. } | ProposeError::ChangeRefused { .. } => Unavailable::Refused,
    }
}
