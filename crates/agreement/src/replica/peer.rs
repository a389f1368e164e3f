//! Replication to one follower: pipelined appends, limited in number, and
//! snapshots.

use std::time::Instant;

use bamboospur_types::InstanceId;

use super::Replica;
use super::progress::SnapshotTransfer;
use crate::api::Violation;
use crate::entry::{LogIndex, Term, checksum};
use crate::message::{AppendResult, MessageBody, SnapshotChunk};

impl Replica {
    pub(super) fn replicate_all(&mut self, now: Instant) {
        let ids = self.leader_state.as_ref().map(|l| l.peers.keys().copied());
        let ids: Vec<_> = ids.into_iter().flatten().collect();
        for id in ids {
            self.replicate(id, now);
        }
    }

    /// Sends appends until the limit of appends without a reply is reached.
    pub(super) fn replicate(&mut self, to: InstanceId, now: Instant) {
        while self.send_next_append(to, now) {}
    }

    /// Sends one append, or starts a snapshot when the entries were compacted.
    /// Returns whether another append may follow.
    fn send_next_append(&mut self, to: InstanceId, now: Instant) -> bool {
        let last_index = self.log.last_index();
        let max_inflight = self.settings.max_inflight_appends;
        let Some(peer) = self.peer(to) else {
            return false;
        };
        let (next, probing) = (peer.next_index, peer.probing);
        let full = peer.inflight.len() >= if probing { 1 } else { max_inflight };
        if full || peer.snapshot_transfer.is_some() || (!probing && next > last_index) {
            return false;
        }
        let prev_index = next - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.start_snapshot_transfer(to, now);
            return false;
        };
        self.send_append(to, (prev_index, prev_term), now);
        !probing
    }

    fn send_append(&mut self, to: InstanceId, prev: (LogIndex, Term), now: Instant) {
        let (prev_index, prev_term) = prev;
        let resend_deadline = now + self.settings.resend_timeout;
        let limit_bytes = self.settings.max_append_bytes;
        let probing = self.peer(to).is_none_or(|p| p.probing);
        let entries = if probing {
            Vec::new()
        } else {
            self.log.slice(prev_index + 1, limit_bytes)
        };
        let end = prev_index + entries.len() as u64;
        let commit = self.commit_index;
        if let Some(peer) = self.peer(to) {
            if peer.inflight.is_empty() {
                peer.resend_deadline = resend_deadline;
            }
            peer.inflight.push_back(end);
            peer.next_index = end + 1;
        }
        self.send(
            to,
            MessageBody::Append {
                prev_index,
                prev_term,
                entries,
                commit,
            },
        );
    }

    pub(super) fn on_append_reply(&mut self, from: InstanceId, result: AppendResult, now: Instant) {
        let Some(peer) = self.peer(from) else {
            return;
        };
        peer.last_reply_at = now;
        match result {
            AppendResult::Matched { index } => self.on_matched(from, index, now),
            AppendResult::Conflict {
                prev_index,
                hint_term,
                hint_index,
            } => self.on_conflict(from, prev_index, (hint_term, hint_index)),
        }
        self.replicate(from, now);
    }

    fn on_matched(&mut self, from: InstanceId, index: LogIndex, now: Instant) {
        if index > self.log.last_index() {
            self.stop_on_violation(Violation::AcknowledgedPastEnd { peer: from, index });
            return;
        }
        let resend_deadline = now + self.settings.resend_timeout;
        let Some(peer) = self.peer(from) else {
            return;
        };
        peer.acknowledge(index);
        peer.resend_deadline = resend_deadline;
        if peer
            .snapshot_transfer
            .as_ref()
            .is_some_and(|t| t.snapshot.index <= index)
        {
            peer.snapshot_transfer = None;
        }
        self.advance_commit(now);
        self.advance_leadership_transfer(now);
    }

    /// Probes again from before the follower's whole conflicting term, instead of
    /// one entry earlier.
    fn on_conflict(
        &mut self,
        from: InstanceId,
        prev_index: LogIndex,
        (hint_term, hint_index): (Option<Term>, LogIndex),
    ) {
        let after_shared_term = hint_term.and_then(|term| {
            let last = self.log.last_index_up_to_term(prev_index, term);
            (self.log.term_at(last) == Some(term)).then_some(last + 1)
        });
        let next = after_shared_term.unwrap_or(hint_index).min(prev_index);
        let Some(peer) = self.peer(from) else {
            return;
        };
        // Replies to appends sent before the last probe can arrive late.
        if prev_index < peer.match_index || peer.snapshot_transfer.is_some() {
            return;
        }
        peer.probe(next);
    }

    /// Sends appends and snapshot chunks without a timely reply again.
    pub(super) fn resend_unanswered(&mut self, now: Instant) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let timed_out = leader_state
            .peers
            .iter_mut()
            .filter(|(_, p)| now >= p.resend_deadline);
        let mut chunks = Vec::new();
        for (&id, peer) in timed_out {
            if peer.snapshot_transfer.is_some() {
                chunks.push(id);
            } else if !peer.inflight.is_empty() {
                let next = if peer.probing {
                    peer.next_index
                } else {
                    peer.match_index + 1
                };
                peer.probe(next);
            }
        }
        self.abort_stalled_snapshots(now);
        for id in chunks {
            self.send_snapshot_chunk(id, now);
        }
        self.replicate_all(now);
    }

    /// Ends snapshot transfers to members that stopped replying, because they
    /// would hold back compaction.
    fn abort_stalled_snapshots(&mut self, now: Instant) {
        let quorum_timeout = self.settings.quorum_timeout;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for peer in leader_state.peers.values_mut() {
            if now >= peer.last_reply_at + quorum_timeout * 4 {
                peer.snapshot_transfer = None;
            }
        }
    }

    fn start_snapshot_transfer(&mut self, to: InstanceId, now: Instant) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let transfer = SnapshotTransfer {
            checksum: checksum(&snapshot.state),
            snapshot,
            offset: 0,
        };
        if let Some(peer) = self.peer(to) {
            peer.inflight.clear();
            peer.snapshot_transfer = Some(transfer);
        }
        self.send_snapshot_chunk(to, now);
    }

    fn send_snapshot_chunk(&mut self, to: InstanceId, now: Instant) {
        let chunk_bytes = self.settings.snapshot_chunk_bytes;
        let resend_deadline = now + self.settings.resend_timeout;
        let Some(peer) = self.peer(to) else {
            return;
        };
        let Some(transfer) = &peer.snapshot_transfer else {
            return;
        };
        peer.resend_deadline = resend_deadline;
        let state = &transfer.snapshot.state;
        let start = usize::try_from(transfer.offset)
            .unwrap_or(usize::MAX)
            .min(state.len());
        let end = start.saturating_add(chunk_bytes).min(state.len());
        let data = state[start..end].to_vec();
        let chunk = SnapshotChunk {
            index: transfer.snapshot.index,
            snapshot_term: transfer.snapshot.term,
            members: transfer.snapshot.members.clone(),
            total_bytes: state.len() as u64,
            total_checksum: transfer.checksum,
            offset: start as u64,
            checksum: checksum(&data),
            data,
        };
        self.send(to, MessageBody::SnapshotChunk(chunk));
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        from: InstanceId,
        index: LogIndex,
        offset: u64,
        now: Instant,
    ) {
        let Some(peer) = self.peer(from) else {
            return;
        };
        peer.last_reply_at = now;
        let Some(transfer) = &mut peer.snapshot_transfer else {
            return;
        };
        // An unchanged offset is the reply to a duplicate or to the last chunk,
        // which is acknowledged only when it is on disk.
        if transfer.snapshot.index != index || transfer.offset == offset {
            return;
        }
        transfer.offset = offset;
        self.send_snapshot_chunk(from, now);
    }

    /// Index of the oldest snapshot that is being sent to a follower.
    pub(super) fn oldest_snapshot_in_transfer(&self) -> Option<LogIndex> {
        let peers = &self.leader_state.as_ref()?.peers;
        let transfers = peers.values().filter_map(|p| p.snapshot_transfer.as_ref());
        transfers.map(|t| t.snapshot.index).min()
    }
}
