//! Wire types of commands and log entries.

use std::sync::Arc;

use bamboospur_claims::{Attempt, ClaimKey, SavedStored, StoredAnswer};
use bamboospur_orders::{FencingToken, OrderResult, PlannedOrder, SavedPlannedOrder};
use bamboospur_settings::{Change, Edit, Path, Revision, Value};
use bamboospur_types::TargetId;
use serde::{Deserialize, Serialize};

use crate::codec::CodecError;
use crate::command::{ClaimCommand, Command, Entry, ProposalId};
use crate::wire::claim::{WireAttempt, WireClaim, WireClaimKey, from_unix_ms, to_unix_ms};
use crate::wire::value::WireValue;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum WireEdit {
    Set(WireValue),
    Unset,
    Rollback(Revision),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireChange {
    id: String,
    operator: String,
    path: String,
    base_version: Revision,
    edit: WireEdit,
}

impl TryFrom<&Change> for WireChange {
    type Error = CodecError;

    fn try_from(change: &Change) -> Result<Self, Self::Error> {
        let edit = match &change.edit {
            Edit::Set(value) => WireEdit::Set(value.try_into()?),
            Edit::Unset => WireEdit::Unset,
            Edit::Rollback { revision } => WireEdit::Rollback(*revision),
        };
        Ok(Self {
            id: change.id.clone(),
            operator: change.operator.clone(),
            path: change.path.to_string(),
            base_version: change.base_version,
            edit,
        })
    }
}

impl TryFrom<WireChange> for Change {
    type Error = CodecError;

    fn try_from(wire: WireChange) -> Result<Self, Self::Error> {
        let edit = match wire.edit {
            WireEdit::Set(value) => Edit::Set(Value::try_from(value)?),
            WireEdit::Unset => Edit::Unset,
            WireEdit::Rollback(revision) => Edit::Rollback { revision },
        };
        Ok(Self {
            id: wire.id,
            operator: wire.operator,
            path: wire
                .path
                .parse::<Path>()
                .map_err(CodecError::invalid_content)?,
            base_version: wire.base_version,
            edit,
        })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireCommand {
    Change(WireChange),
    Claims(Vec<WireClaim>),
    Settle(WireClaimKey, WireAttempt, SavedStored),
    Release(WireClaimKey, WireAttempt),
    Expire(u32),
    IssueOrders(u64, Vec<SavedPlannedOrder>),
    FinishOrder(TargetId, FencingToken, OrderResult),
}

impl TryFrom<&Command> for WireCommand {
    type Error = CodecError;

    fn try_from(command: &Command) -> Result<Self, Self::Error> {
        Ok(match command {
            Command::Change(change) => Self::Change(change.try_into()?),
            Command::Claims(claims) => Self::Claims(claims.iter().map(WireClaim::from).collect()),
            Command::Settle {
                key,
                attempt,
                stored,
            } => Self::Settle(key.into(), attempt.into(), stored.as_ref().into()),
            Command::Release { key, attempt } => Self::Release(key.into(), attempt.into()),
            Command::Expire { count } => Self::Expire(u32::try_from(*count).unwrap_or(u32::MAX)),
            Command::IssueOrders { term, wanted } => {
                Self::IssueOrders(*term, wanted.iter().map(SavedPlannedOrder::from).collect())
            }
            Command::FinishOrder {
                target,
                fencing,
                result,
            } => Self::FinishOrder(*target, *fencing, *result),
        })
    }
}

impl TryFrom<WireCommand> for Command {
    type Error = CodecError;

    fn try_from(wire: WireCommand) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireCommand::Change(change) => Self::Change(Change::try_from(change)?),
            WireCommand::Claims(claims) => {
                Self::Claims(claims.into_iter().map(ClaimCommand::from).collect())
            }
            WireCommand::Settle(key, attempt, stored) => Self::Settle {
                key: ClaimKey::from(key),
                attempt: Attempt::from(attempt),
                stored: Arc::new(StoredAnswer::from(stored)),
            },
            WireCommand::Release(key, attempt) => Self::Release {
                key: ClaimKey::from(key),
                attempt: Attempt::from(attempt),
            },
            WireCommand::Expire(count) => Self::Expire {
                count: usize::try_from(count).unwrap_or(usize::MAX),
            },
            WireCommand::IssueOrders(term, wanted) => Self::IssueOrders {
                term,
                wanted: wanted.into_iter().map(PlannedOrder::from).collect(),
            },
            WireCommand::FinishOrder(target, fencing, result) => Self::FinishOrder {
                target,
                fencing,
                result,
            },
        })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireEntry {
    process: u64,
    proposal: u64,
    at_unix_ms: u64,
    command: WireCommand,
}

impl TryFrom<&Entry> for WireEntry {
    type Error = CodecError;

    fn try_from(entry: &Entry) -> Result<Self, Self::Error> {
        Ok(Self {
            process: entry.origin.process,
            proposal: entry.origin.proposal,
            at_unix_ms: to_unix_ms(entry.at),
            command: WireCommand::try_from(&entry.command)?,
        })
    }
}

impl TryFrom<WireEntry> for Entry {
    type Error = CodecError;

    fn try_from(wire: WireEntry) -> Result<Self, Self::Error> {
        Ok(Self {
            origin: ProposalId {
                process: wire.process,
                proposal: wire.proposal,
            },
            at: from_unix_ms(wire.at_unix_ms),
            command: Command::try_from(wire.command)?,
        })
    }
}
