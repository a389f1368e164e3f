//! The follower: appends and heartbeats from the leader.

use std::time::Instant;

use bamboospur_types::InstanceId;

use super::Replica;
use crate::api::{Role, Violation};
use crate::entry::{Entry, LogIndex, Term};
use crate::message::{AppendResult, MessageBody};

impl Replica {
    /// Replies with the current term, so that a leader of an older term steps
    /// down.
    pub(super) fn reply_to_stale_term(&mut self, from: InstanceId, body: &MessageBody) {
        match body {
            MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::SnapshotChunk(_) => {
                self.send(from, MessageBody::HeartbeatReply { round: 0 });
            }
            MessageBody::Vote { .. } => self.send(from, MessageBody::VoteReply { granted: false }),
            _ => {}
        }
    }

    pub(super) fn on_leader_message(&mut self, from: InstanceId, body: MessageBody, now: Instant) {
        if !self.accept_leader(from, now) {
            return;
        }
        match body {
            MessageBody::Append {
                prev_index,
                prev_term,
                entries,
                commit,
            } => self.on_append(from, (prev_index, prev_term), entries, commit),
            MessageBody::Heartbeat { commit, round } => {
                self.advance_commit_to(commit);
                self.send(from, MessageBody::HeartbeatReply { round });
            }
            MessageBody::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, chunk),
            _ => {}
        }
    }

    /// Accepts the sender as leader of the current term. Returns false when another
    /// leader of the term is known.
    fn accept_leader(&mut self, from: InstanceId, now: Instant) -> bool {
        let known = match self.role {
            Role::Leader => Some(self.settings.id),
            _ => self.leader,
        };
        if let Some(known) = known
            && known != from
        {
            let term = self.hard_state.term;
            self.stop_on_violation(Violation::TwoLeaders {
                term,
                known,
                other: from,
            });
            return false;
        }
        if self.role != Role::Follower {
            self.step_down();
        }
        self.identity_error = None;
        self.set_leader(Some(from), now);
        self.leader_heard_until = Some(now + self.settings.election_timeout_min);
        self.reset_election_deadline(now);
        true
    }

    fn on_append(
        &mut self,
        from: InstanceId,
        (prev_index, prev_term): (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
    ) {
        if !is_well_formed(prev_index, prev_term, &entries, self.hard_state.term) {
            return;
        }
        let end = prev_index + entries.len() as u64;
        if !self.log_matches(prev_index, prev_term) {
            let result = self.conflict_at(prev_index);
            self.send_after_sync(from, MessageBody::AppendReply(result));
            return;
        }
        if self.append_missing(entries) {
            self.advance_commit_to(commit.min(end));
            let result = AppendResult::Matched { index: end };
            self.send_after_sync(from, MessageBody::AppendReply(result));
        }
    }

    /// Whether the log has the previous entry of an append. Entries up to the commit
    /// index are the same in the log of every later leader, so their terms need
    /// no check.
    fn log_matches(&self, prev_index: LogIndex, prev_term: Term) -> bool {
        prev_index <= self.commit_index || self.log.term_at(prev_index) == Some(prev_term)
    }

    fn conflict_at(&self, prev_index: LogIndex) -> AppendResult {
        let last_index = self.log.last_index();
        if prev_index > last_index {
            return AppendResult::Conflict {
                prev_index,
                hint_term: None,
                hint_index: last_index + 1,
            };
        }
        AppendResult::Conflict {
            prev_index,
            hint_term: self.log.term_at(prev_index),
            hint_index: self.log.first_index_of_term(prev_index),
        }
    }

    /// Appends the entries that the log lacks, after truncating the log at the
    /// first one that differs. Returns false after an invariant violation.
    fn append_missing(&mut self, entries: Vec<Entry>) -> bool {
        let mut new = Vec::new();
        for entry in entries {
            let index = entry.index;
            let existing_term = self.log.term_at(index);
            if existing_term == Some(entry.term) || index < self.log.first_index() {
                continue;
            }
            if index <= self.commit_index {
                let commit = self.commit_index;
                self.stop_on_violation(Violation::CommittedReplaced { index, commit });
                return false;
            }
            if existing_term.is_some() {
                self.log.truncate(index);
                self.sync_tracker.record_truncation(index);
            }
            self.log.push(entry.clone());
            new.push(entry);
        }
        if !new.is_empty() {
            self.current_write().entries = new;
            self.sync_tracker.record_append(self.log.last_index());
            self.check_own_disk();
        }
        true
    }

    fn advance_commit_to(&mut self, commit: LogIndex) {
        let last_index = self.log.last_index();
        if commit > last_index {
            self.stop_on_violation(Violation::CommitPastEnd { commit, last_index });
            return;
        }
        self.commit_index = self.commit_index.max(commit);
    }
}

/// Whether the entries follow the previous one without a gap, and terms neither
/// decrease nor exceed the leader's.
fn is_well_formed(
    prev_index: LogIndex,
    prev_term: Term,
    entries: &[Entry],
    leader_term: Term,
) -> bool {
    let mut index = prev_index;
    let mut term = prev_term;
    for entry in entries {
        let follows = index.checked_add(1) == Some(entry.index) && entry.term >= term;
        if !follows || entry.term > leader_term {
            return false;
        }
        index = entry.index;
        term = entry.term;
    }
    term <= leader_term
}
