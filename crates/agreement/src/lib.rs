//! Replicated log in the manner of Raft, as a deterministic state machine.
//!
//! A [`Replica`] takes one [`Input`] at a time and returns [`Output`]s. It has
//! no socket, thread, file or wall clock: the host carries messages, writes
//! [`Persist`] records to disk, and passes the current time in.
//!
//! The host follows these rules:
//!
//! - It processes outputs in order. The first call to [`Replica::handle`]
//!   returns [`Output::Restore`] when a snapshot was loaded.
//! - It writes [`Output::Persist`] records in order and feeds
//!   [`Input::Synced`] after an fsync that covers them. One fsync can cover any
//!   number of records. [`Output::Send`] never waits for the disk: the replica
//!   itself holds back votes and acknowledgements until the writes behind them
//!   are synced.
//! - It feeds [`Input::Tick`] at [`Replica::next_deadline`] at the latest.
//! - After a failed write or fsync it feeds [`Input::DiskFailed`] and restarts
//!   the replica from the disk before it continues.
//!
//! docs/agreement.md describes the protocol.

mod api;
mod entry;
mod log;
mod members;
mod message;
mod random;
mod replica;
mod settings;

pub use api::{IdentityError, Input, Output, ProposeError, Role, Status, Ticket, Violation};
pub use entry::{
    Entry, HardState, LogIndex, Payload, Persist, PersistedState, Snapshot, Term, checksum,
};
pub use members::{DiskId, Member, MemberChange, MemberKind, Members};
pub use message::{AppendResult, Message, MessageBody, SnapshotChunk};
pub use replica::Replica;
pub use settings::ReplicaSettings;
