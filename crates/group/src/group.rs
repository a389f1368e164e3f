//! State machine of one instance of the group.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_agreement::{
    IdentityError, Input, LogIndex, Message, Output, Persist, PersistedState, Replica, Role,
    Ticket, Violation,
};
use bamboospur_types::InstanceId;
use quick_error::quick_error;

use crate::change::{Change, LogEntry};
use crate::document::{Document, DocumentVersion};
use crate::fleet_state::{FleetChange, FleetState};
use crate::members::Contacts;
use crate::settings::GroupSettings;

/// Event that the host passes to [`Group::handle`].
#[derive(Clone, Debug)]
pub enum GroupInput {
    /// Time has passed; due at [`Group::next_deadline`].
    Tick,
    /// A message from another instance arrived.
    Message {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: Message,
    },
    /// The host received something from another instance, on any link.
    PeerSeen {
        /// Id of that instance.
        id: InstanceId,
        /// Address of that instance.
        address: SocketAddr,
    },
    /// Every [`GroupOutput::Persist`] up to this number is on disk.
    Synced {
        /// Number of the last write that was synced.
        sequence: u64,
    },
    /// A write or sync failed; the replica stops until the next start.
    DiskFailed,
    /// Proposes a document. Succeeds on the leader, or when this or a higher
    /// version is already in force here.
    Put {
        /// Returned with the reply.
        ticket: Ticket,
        /// Document to accept.
        document: Document,
    },
    /// Proposes a change of the fleet. Succeeds on the leader, if the change takes effect or
    /// asks for what is already so.
    ChangeFleet {
        /// Returned with the reply.
        ticket: Ticket,
        /// Change to accept.
        change: FleetChange,
    },
    /// Linearizable read; succeeds on the leader only.
    Read {
        /// Returned with the reply.
        ticket: Ticket,
    },
    /// Transfers leadership to another voter before this instance stops.
    Transfer,
}

/// Result of a [`GroupInput::Put`], [`GroupInput::ChangeFleet`] or [`GroupInput::Read`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// This version or a higher one, or the change of the fleet, is accepted.
    Accepted {
        /// Version in force.
        version: DocumentVersion,
    },
    /// [`Group::document`] and [`Group::fleet`] are at least as new as every change that was
    /// accepted before the read began.
    Newest {
        /// Version in force.
        version: DocumentVersion,
    },
}

quick_error! {
    /// Why a [`GroupInput::Put`], [`GroupInput::ChangeFleet`] or [`GroupInput::Read`] failed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum Unavailable {
        /// Another instance leads, or this replica is stopped or has too many
        /// pending operations. `leader` is `None` in the last two cases, and when
        /// it is not known.
        NotLeader { leader: Option<InstanceId> } {
            display("this instance is not the leader or cannot take requests; the known leader is {leader:?}")
        }
        /// The result was lost, for example by a change of the leader, and the change may or
        /// may not have been accepted, or another change of the fleet overtook it.
        Unknown {
            display("it is not known whether the change was accepted")
        }
        /// The change cannot be encoded or is too large.
        Refused {
            display("the change cannot be encoded or is too large")
        }
    }
}

/// Action that the host has to take.
#[derive(Clone, Debug)]
pub enum GroupOutput {
    /// Write the change, sync it, then pass [`GroupInput::Synced`] to the group.
    Persist(Persist),
    /// Send a message; delivery is not required.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: Message,
    },
    /// Answer a [`GroupInput::Put`], [`GroupInput::ChangeFleet`] or [`GroupInput::Read`].
    Reply {
        /// Ticket of the input.
        ticket: Ticket,
        /// Result of the operation.
        reply: Result<Reply, Unavailable>,
    },
    /// The known leader changed.
    LeaderChanged {
        /// Current leader; `None` while it is not known.
        leader: Option<InstanceId>,
    },
    /// The committed members changed; the host only logs this.
    MembersChanged {
        /// Voters after the change.
        voters: Vec<InstanceId>,
    },
    /// The disk of this instance or of a peer is not the one that the group
    /// knows, or this instance was removed from the group.
    Identity(IdentityError),
    /// An invariant was violated; log it and count it.
    Violation(String),
}

/// Status of an instance, for logs and metrics.
#[derive(Clone, Debug)]
pub struct GroupStatus {
    /// Role of this instance in the log's protocol.
    pub role: Role,
    /// Version in force here.
    pub version: DocumentVersion,
    /// Number of voters in the members known to this instance.
    pub voters: usize,
}

/// Documents that were in force before the present one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplacedDocuments {
    /// Documents that this instance applied, oldest first.
    pub documents: Vec<Document>,
    /// Whether others may have been in force that this instance has not seen.
    pub has_gap: bool,
}

/// Operation that waits for a result from the replica. `ticket` is the host's.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PendingOperation {
    Put { ticket: Ticket, document: Document },
    ChangeFleet { ticket: Ticket, change: FleetChange },
    Read { ticket: Ticket },
    Members,
}

/// One instance of the group: a state machine without I/O.
#[derive(Debug)]
pub struct Group {
    settings: GroupSettings,
    replica: Replica,
    document: Document,
    fleet: FleetState,
    contacts: Contacts,
    leader: Option<InstanceId>,
    /// Operations by the ticket given to the replica.
    pending: BTreeMap<Ticket, PendingOperation>,
    last_ticket: Ticket,
    member_change_pending: bool,
    next_member_check: Instant,
    bytes_since_snapshot: usize,
    replaced: ReplacedDocuments,
    outputs: Vec<GroupOutput>,
}

impl Group {
    /// Creates an instance from the state on its disk. The document is restored
    /// when the first input is handled.
    #[must_use]
    pub fn new(settings: GroupSettings, restored: PersistedState, seed: u64, now: Instant) -> Self {
        let replica = Replica::new(settings.replica.clone(), restored, seed, now);
        Self {
            next_member_check: now + settings.check_interval,
            settings,
            replica,
            document: Document::default(),
            fleet: FleetState::default(),
            contacts: Contacts::default(),
            leader: None,
            pending: BTreeMap::new(),
            last_ticket: 0,
            member_change_pending: false,
            bytes_since_snapshot: 0,
            replaced: ReplacedDocuments::default(),
            outputs: Vec::new(),
        }
    }

    /// Handles one input and returns the actions for the host, in order.
    pub fn handle(&mut self, input: GroupInput, now: Instant) -> Vec<GroupOutput> {
        match input {
            GroupInput::Tick => self.tick(now),
            GroupInput::Message { from, message } => {
                self.step_replica(Input::Message { from, message }, now);
            }
            GroupInput::PeerSeen { id, address } => self.contacts.record(id, address, now),
            GroupInput::Synced { sequence } => self.step_replica(Input::Synced { sequence }, now),
            GroupInput::DiskFailed => self.step_replica(Input::DiskFailed, now),
            GroupInput::Put { ticket, document } => self.put(ticket, &document, now),
            GroupInput::ChangeFleet { ticket, change } => self.change_fleet(ticket, change, now),
            GroupInput::Read { ticket } => {
                let replica_ticket = self.add_pending(PendingOperation::Read { ticket });
                self.step_replica(
                    Input::Read {
                        ticket: replica_ticket,
                    },
                    now,
                );
            }
            GroupInput::Transfer => self.step_replica(Input::TransferLeadership, now),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the newest document that this instance knows to be accepted.
    #[must_use]
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the newest state of the fleet that this instance knows to be accepted.
    #[must_use]
    pub const fn fleet(&self) -> &FleetState {
        &self.fleet
    }

    /// Returns the current leader; `None` while it is not known.
    #[must_use]
    pub const fn leader(&self) -> Option<InstanceId> {
        self.leader
    }

    /// Returns the time at which the next [`GroupInput::Tick`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> Instant {
        self.replica.next_deadline().min(self.next_member_check)
    }

    /// Returns the current status, for logs and metrics.
    #[must_use]
    pub fn status(&self) -> GroupStatus {
        let status = self.replica.status();
        GroupStatus {
            role: status.role,
            version: self.document.version,
            voters: status.members.voters().count(),
        }
    }

    /// Removes and returns the documents that newer ones have replaced since the last call.
    pub fn take_replaced(&mut self) -> ReplacedDocuments {
        std::mem::take(&mut self.replaced)
    }

    /// Returns the voters in the members known to this instance.
    #[must_use]
    pub fn voters(&self) -> Vec<InstanceId> {
        self.replica.status().members.voters().collect()
    }

    fn tick(&mut self, now: Instant) {
        self.step_replica(Input::Tick, now);
        if now < self.next_member_check {
            return;
        }
        self.next_member_check = now + self.settings.check_interval;
        self.contacts.remove_expired(&self.settings, now);
        if self.leader == Some(self.settings.replica.id) && !self.member_change_pending {
            self.check_members(now);
        }
    }

    fn check_members(&mut self, now: Instant) {
        let members = self.replica.status().members;
        let own_id = self.settings.replica.id;
        let Some(change) = self
            .contacts
            .next_change(own_id, &members, &self.settings, now)
        else {
            return;
        };
        self.member_change_pending = true;
        let ticket = self.add_pending(PendingOperation::Members);
        self.step_replica(Input::ChangeMembers { ticket, change }, now);
    }

    fn put(&mut self, ticket: Ticket, document: &Document, now: Instant) {
        // An applied document is accepted, so no leader has to be asked.
        if document.version <= self.document.version {
            let version = self.document.version;
            return self.reply(ticket, Ok(Reply::Accepted { version }));
        }
        // The documents proposed before this one come first in the log.
        let pending = self
            .pending
            .values()
            .filter_map(|operation| match operation {
                PendingOperation::Put { document, .. } => Some(document),
                _ => None,
            });
        let base = pending.max_by_key(|proposed| proposed.version);
        let change = Change::between(base.unwrap_or(&self.document), document);
        if let Some(input) = self.propose_document(ticket, document.clone(), change) {
            self.step_replica(input, now);
        }
    }

    fn change_fleet(&mut self, ticket: Ticket, change: FleetChange, now: Instant) {
        let entry = LogEntry::Fleet(change.clone());
        let operation = PendingOperation::ChangeFleet { ticket, change };
        if let Some(input) = self.propose(ticket, operation, &entry) {
            self.step_replica(input, now);
        }
    }

    fn propose_document(
        &mut self,
        ticket: Ticket,
        document: Document,
        change: Change,
    ) -> Option<Input> {
        let operation = PendingOperation::Put { ticket, document };
        self.propose(ticket, operation, &LogEntry::Document(change))
    }

    /// Returns the input that proposes an entry; refuses one that cannot be encoded. `ticket`
    /// is the host's.
    fn propose(
        &mut self,
        ticket: Ticket,
        operation: PendingOperation,
        entry: &LogEntry,
    ) -> Option<Input> {
        let Some(data) = entry.encode() else {
            self.reply(ticket, Err(Unavailable::Refused));
            return None;
        };
        let ticket = self.add_pending(operation);
        Some(Input::Propose { ticket, data })
    }

    fn add_pending(&mut self, operation: PendingOperation) -> Ticket {
        self.last_ticket += 1;
        self.pending.insert(self.last_ticket, operation);
        self.last_ticket
    }

    fn step_replica(&mut self, input: Input, now: Instant) {
        let mut outputs = VecDeque::from(self.replica.handle(input, now));
        while let Some(output) = outputs.pop_front() {
            if let Some(input) = self.handle_output(output) {
                outputs.extend(self.replica.handle(input, now));
            }
        }
    }

    fn handle_output(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Persist(persist) => self.outputs.push(GroupOutput::Persist(persist)),
            Output::Send { to, message } => self.outputs.push(GroupOutput::Send { to, message }),
            Output::Apply { index, data, .. } => return self.apply(index, &data),
            Output::Restore { index, state } => self.restore(index, &state),
            Output::Done { ticket, result } => {
                let result = result.map(|_| ()).map_err(|error| to_unavailable(&error));
                return self.finish_pending(ticket, &result);
            }
            Output::LeaderChanged { leader, .. } => {
                self.leader = leader;
                self.outputs.push(GroupOutput::LeaderChanged { leader });
            }
            Output::MembersChanged { members, .. } => {
                let voters = members.voters().collect();
                self.outputs.push(GroupOutput::MembersChanged { voters });
            }
            Output::Identity(problem) => self.outputs.push(GroupOutput::Identity(problem)),
            Output::Violation(violation) => self.report_violation(&violation),
        }
        None
    }

    fn apply(&mut self, index: LogIndex, data: &[u8]) -> Option<Input> {
        match LogEntry::decode(data) {
            // A patch that a new leader made before it knew the end of its log does not
            // apply. All instances skip it, and the leader proposes the whole document.
            Ok(LogEntry::Document(change)) => {
                if let Some(document) = change.apply(&self.document) {
                    self.replace_if_newer(document);
                }
            }
            Ok(LogEntry::Fleet(change)) => self.fleet.apply(change, self.document.version),
            Err(error) => {
                let message = format!("the change in log entry {index} cannot be decoded: {error}");
                self.outputs.push(GroupOutput::Violation(message));
            }
        }
        self.bytes_since_snapshot += data.len();
        if self.bytes_since_snapshot < self.settings.snapshot_bytes {
            return None;
        }
        self.bytes_since_snapshot = 0;
        match encode_snapshot(&self.document, &self.fleet) {
            Ok(state) => Some(Input::Compact { index, state }),
            Err(error) => {
                let message =
                    format!("the state cannot be encoded for a snapshot at index {index}: {error}");
                self.outputs.push(GroupOutput::Violation(message));
                None
            }
        }
    }

    /// Keeps the highest version, and of one version the content applied first.
    fn replace_if_newer(&mut self, document: Document) {
        if document.version > self.document.version {
            let replaced = std::mem::replace(&mut self.document, document);
            if replaced.version > 0 {
                self.replaced.documents.push(replaced);
            }
        }
    }

    fn restore(&mut self, index: LogIndex, state: &[u8]) {
        if state.is_empty() {
            return;
        }
        match decode_snapshot(state) {
            Ok((document, fleet)) => {
                // Others may have been in force between the two.
                self.replaced.has_gap |= document.version > self.document.version;
                self.replace_if_newer(document);
                if fleet.revision() > self.fleet.revision() {
                    self.fleet = fleet;
                }
            }
            Err(error) => {
                let message = format!(
                    "the state in the snapshot at index {index} cannot be decoded: {error}"
                );
                self.outputs.push(GroupOutput::Violation(message));
            }
        }
    }

    /// Answers an operation. Returns the next input when its patch did not apply.
    fn finish_pending(
        &mut self,
        replica_ticket: Ticket,
        result: &Result<(), Unavailable>,
    ) -> Option<Input> {
        let version = self.document.version;
        match self.pending.remove(&replica_ticket) {
            Some(PendingOperation::Put { ticket, document })
                if result.is_ok() && document.version > version =>
            {
                let whole = Change::Whole(document.clone());
                return self.propose_document(ticket, document, whole);
            }
            Some(PendingOperation::ChangeFleet { ticket, change }) => {
                let is_overtaken = result.is_ok() && !self.fleet.satisfies(&change);
                let result = if is_overtaken {
                    Err(Unavailable::Unknown)
                } else {
                    *result
                };
                self.reply(ticket, result.map(|()| Reply::Accepted { version }));
            }
            Some(PendingOperation::Put { ticket, .. }) => {
                self.reply(ticket, (*result).map(|()| Reply::Accepted { version }));
            }
            Some(PendingOperation::Read { ticket }) => {
                self.reply(ticket, (*result).map(|()| Reply::Newest { version }));
            }
            Some(PendingOperation::Members) => self.member_change_pending = false,
            None => {}
        }
        None
    }

    fn reply(&mut self, ticket: Ticket, reply: Result<Reply, Unavailable>) {
        self.outputs.push(GroupOutput::Reply { ticket, reply });
    }

    fn report_violation(&mut self, violation: &Violation) {
        let message = violation.to_string();
        self.outputs.push(GroupOutput::Violation(message));
    }
}

/// Encodes the state of the group. The document comes first, so that snapshots of releases
/// without a state of the fleet can be read.
fn encode_snapshot(document: &Document, fleet: &FleetState) -> Result<Vec<u8>, postcard::Error> {
    let document = postcard::to_stdvec(document)?;
    postcard::to_extend(fleet, document)
}

fn decode_snapshot(state: &[u8]) -> Result<(Document, FleetState), postcard::Error> {
    let (document, rest) = postcard::take_from_bytes(state)?;
    let fleet = if rest.is_empty() {
        FleetState::default()
    } else {
        postcard::from_bytes(rest)?
    };
    Ok((document, fleet))
}

fn to_unavailable(error: &bamboospur_agreement::ProposeError) -> Unavailable {
    use bamboospur_agreement::ProposeError;
    match error {
        ProposeError::NotLeader { leader } => Unavailable::NotLeader { leader: *leader },
        ProposeError::Unknown | ProposeError::Overwritten => Unavailable::Unknown,
        ProposeError::Unavailable | ProposeError::Busy => Unavailable::NotLeader { leader: None },
        ProposeError::TooLarge { .. } | ProposeError::ChangeRefused { .. } => Unavailable::Refused,
    }
}
