//! Cap'n Proto encoding of the messages of the replicated log.

use bamboospur_agreement::{
    AppendResult, Entry, Member, MemberKind, Members, Message, MessageBody, Payload, SnapshotChunk,
};

use super::LinkError;
use crate::generated::link_capnp as schema;

/// Most log entries in a message, enough for a full append of the smallest entries.
const MAX_ENTRY_COUNT: u32 = 16 * 1024;
/// Most current or retired members in a message.
pub(super) const MAX_MEMBER_COUNT: u32 = 4 * 1024;

/// Refuses a list that is longer than any sender produces. A list of empty items takes
/// almost no space in a packed frame but much memory once decoded.
pub(super) fn check_list_length(length: u32, limit: u32) -> Result<(), LinkError> {
    if length > limit {
        return Err(LinkError::Malformed(format!(
            "a list has {length} items and the limit is {limit}"
        )));
    }
    Ok(())
}

pub(super) fn list_length(length: usize) -> Result<u32, LinkError> {
    u32::try_from(length).map_err(|_| LinkError::TooLarge { bytes: length })
}

pub(super) fn write(
    message: &Message,
    mut builder: schema::agreement::Builder<'_>,
) -> Result<(), LinkError> {
    builder.set_from_disk(message.from_disk);
    builder.set_to_disk(message.to_disk);
    builder.set_term(message.term);
    write_body(&message.body, builder.init_body())
}

fn write_body(
    body: &MessageBody,
    mut builder: schema::agreement::body::Builder<'_>,
) -> Result<(), LinkError> {
    match body {
        MessageBody::PreVote {
            last_index,
            last_term,
        } => {
            let mut vote = builder.init_pre_vote();
            vote.set_last_index(*last_index);
            vote.set_last_term(*last_term);
        }
        MessageBody::PreVoteReply { granted } => builder.set_pre_vote_reply(*granted),
        MessageBody::Vote {
            last_index,
            last_term,
            transfer,
        } => {
            let mut vote = builder.init_vote();
            vote.set_last_index(*last_index);
            vote.set_last_term(*last_term);
            vote.set_transfer(*transfer);
        }
        MessageBody::VoteReply { granted } => builder.set_vote_reply(*granted),
        MessageBody::Append {
            prev_index,
            prev_term,
            entries,
            commit,
        } => {
            let mut append = builder.init_append();
            append.set_prev_index(*prev_index);
            append.set_prev_term(*prev_term);
            append.set_commit(*commit);
            let mut list = append.init_entries(list_length(entries.len())?);
            for (at, entry) in (0..).zip(entries) {
                write_entry(entry, list.reborrow().get(at))?;
            }
        }
        MessageBody::AppendReply(result) => write_result(result, builder),
        MessageBody::Heartbeat { commit, round } => {
            let mut heartbeat = builder.init_heartbeat();
            heartbeat.set_commit(*commit);
            heartbeat.set_round(*round);
        }
        MessageBody::HeartbeatReply { round } => builder.set_heartbeat_reply(*round),
        MessageBody::SnapshotChunk(chunk) => write_chunk(chunk, builder.init_snapshot_chunk())?,
        MessageBody::SnapshotReply { index, offset } => {
            let mut reply = builder.init_snapshot_reply();
            reply.set_index(*index);
            reply.set_offset(*offset);
        }
        MessageBody::TimeoutNow => builder.set_timeout_now(()),
        MessageBody::Refused { known_disk } => builder.set_refused(*known_disk),
    }
    Ok(())
}

fn write_result(result: &AppendResult, mut builder: schema::agreement::body::Builder<'_>) {
    match result {
        AppendResult::Matched { index } => builder.set_matched(*index),
        AppendResult::Conflict {
            prev_index,
            hint_term,
            hint_index,
        } => {
            let mut conflict = builder.init_conflict();
            conflict.set_prev_index(*prev_index);
            conflict.set_hint_index(*hint_index);
            conflict.set_hint_term(hint_term.unwrap_or(0));
            conflict.set_has_hint_term(hint_term.is_some());
        }
    }
}

fn write_entry(entry: &Entry, mut builder: schema::entry::Builder<'_>) -> Result<(), LinkError> {
    builder.set_index(entry.index);
    builder.set_term(entry.term);
    let mut payload = builder.init_payload();
    match &entry.payload {
        Payload::Empty => payload.set_empty(()),
        Payload::Data(data) => payload.set_data(data),
        Payload::Members(members) => write_members(members, payload.init_members())?,
    }
    Ok(())
}

fn write_members(
    members: &Members,
    mut builder: schema::members::Builder<'_>,
) -> Result<(), LinkError> {
    let mut current = builder
        .reborrow()
        .init_current(list_length(members.current.len())?);
    for (at, (id, member)) in (0..).zip(&members.current) {
        let mut builder = current.reborrow().get(at);
        builder.set_id(*id);
        builder.set_disk(member.disk);
        builder.set_voter(member.kind == MemberKind::Voter);
    }
    let mut retired = builder.init_retired(list_length(members.retired.len())?);
    for (at, (id, disk)) in (0..).zip(&members.retired) {
        let mut builder = retired.reborrow().get(at);
        builder.set_id(*id);
        builder.set_disk(*disk);
    }
    Ok(())
}

fn write_chunk(
    chunk: &SnapshotChunk,
    mut builder: schema::snapshot_chunk::Builder<'_>,
) -> Result<(), LinkError> {
    builder.set_index(chunk.index);
    builder.set_snapshot_term(chunk.snapshot_term);
    write_members(&chunk.members, builder.reborrow().init_members())?;
    builder.set_total_bytes(chunk.total_bytes);
    builder.set_total_checksum(chunk.total_checksum);
    builder.set_offset(chunk.offset);
    builder.set_data(&chunk.data);
    builder.set_checksum(chunk.checksum);
    Ok(())
}

pub(super) fn read(reader: schema::agreement::Reader<'_>) -> Result<Message, LinkError> {
    Ok(Message {
        from_disk: reader.get_from_disk(),
        to_disk: reader.get_to_disk(),
        term: reader.get_term(),
        body: read_body(reader.get_body())?,
    })
}

fn read_body(reader: schema::agreement::body::Reader<'_>) -> Result<MessageBody, LinkError> {
    use schema::agreement::body::Which;
    Ok(match reader.which()? {
        Which::PreVote(vote) => MessageBody::PreVote {
            last_index: vote.get_last_index(),
            last_term: vote.get_last_term(),
        },
        Which::PreVoteReply(granted) => MessageBody::PreVoteReply { granted },
        Which::Vote(vote) => MessageBody::Vote {
            last_index: vote.get_last_index(),
            last_term: vote.get_last_term(),
            transfer: vote.get_transfer(),
        },
        Which::VoteReply(granted) => MessageBody::VoteReply { granted },
        Which::Append(append) => {
            let entries = append.get_entries()?;
            check_list_length(entries.len(), MAX_ENTRY_COUNT)?;
            MessageBody::Append {
                prev_index: append.get_prev_index(),
                prev_term: append.get_prev_term(),
                commit: append.get_commit(),
                entries: entries.iter().map(read_entry).collect::<Result<_, _>>()?,
            }
        }
        Which::Matched(index) => MessageBody::AppendReply(AppendResult::Matched { index }),
        Which::Conflict(conflict) => {
            let hint_term = conflict.get_hint_term();
            MessageBody::AppendReply(AppendResult::Conflict {
                prev_index: conflict.get_prev_index(),
                hint_term: conflict.get_has_hint_term().then_some(hint_term),
                hint_index: conflict.get_hint_index(),
            })
        }
        Which::Heartbeat(heartbeat) => MessageBody::Heartbeat {
            commit: heartbeat.get_commit(),
            round: heartbeat.get_round(),
        },
        Which::HeartbeatReply(round) => MessageBody::HeartbeatReply { round },
        Which::SnapshotChunk(chunk) => MessageBody::SnapshotChunk(read_chunk(chunk?)?),
        Which::SnapshotReply(reply) => MessageBody::SnapshotReply {
            index: reply.get_index(),
            offset: reply.get_offset(),
        },
        Which::TimeoutNow(()) => MessageBody::TimeoutNow,
        Which::Refused(known_disk) => MessageBody::Refused { known_disk },
    })
}

fn read_entry(reader: schema::entry::Reader<'_>) -> Result<Entry, LinkError> {
    use schema::entry::payload::Which;
    Ok(Entry {
        index: reader.get_index(),
        term: reader.get_term(),
        payload: match reader.get_payload().which()? {
            Which::Empty(()) => Payload::Empty,
            Which::Data(data) => Payload::Data(data?.to_vec()),
            Which::Members(members) => Payload::Members(read_members(members?)?),
        },
    })
}

fn read_members(reader: schema::members::Reader<'_>) -> Result<Members, LinkError> {
    let (current, retired) = (reader.get_current()?, reader.get_retired()?);
    check_list_length(current.len(), MAX_MEMBER_COUNT)?;
    check_list_length(retired.len(), MAX_MEMBER_COUNT)?;
    let current = current.iter().map(|member| {
        let kind = if member.get_voter() {
            MemberKind::Voter
        } else {
            MemberKind::Learner
        };
        let disk = member.get_disk();
        (member.get_id(), Member { kind, disk })
    });
    let retired = retired.iter();
    Ok(Members {
        current: current.collect(),
        retired: retired.map(|m| (m.get_id(), m.get_disk())).collect(),
    })
}

fn read_chunk(reader: schema::snapshot_chunk::Reader<'_>) -> Result<SnapshotChunk, LinkError> {
    Ok(SnapshotChunk {
        index: reader.get_index(),
        snapshot_term: reader.get_snapshot_term(),
        members: read_members(reader.get_members()?)?,
        total_bytes: reader.get_total_bytes(),
        total_checksum: reader.get_total_checksum(),
        offset: reader.get_offset(),
        data: reader.get_data()?.to_vec(),
        checksum: reader.get_checksum(),
    })
}
