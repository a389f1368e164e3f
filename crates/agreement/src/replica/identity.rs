//! Checks of disk identities.
//!
//! A vote or an acknowledgement is valid only for the disk that stores it. A
//! message is refused when sender and receiver disagree on the disk of either.

use bamboospur_types::InstanceId;

use super::Replica;
use crate::api::{IdentityError, Output};
use crate::members::DiskId;
use crate::message::{Message, MessageBody};

impl Replica {
    /// Returns whether the message may be handled. Counts a message that is refused
    /// because of a disk identity.
    pub(super) fn check_identity(&mut self, from: InstanceId, message: &Message) -> bool {
        if from == self.settings.id {
            return false;
        }
        if let MessageBody::Refused { known_disk } = message.body {
            self.on_refused(known_disk);
            return false;
        }
        if message.to_disk != 0 && message.to_disk != self.settings.disk {
            self.refused_messages += 1;
            self.on_own_disk_mismatch(message.to_disk);
            return false;
        }
        if matches!(self.identity_error, Some(IdentityError::OwnDisk { .. })) {
            self.refused_messages += 1;
            return false;
        }
        self.check_peer(from, message)
    }

    fn check_peer(&mut self, from: InstanceId, message: &Message) -> bool {
        let known = self.log.members().known_disk(from);
        if let Some(known_disk) = known
            && known_disk != message.from_disk
        {
            self.refused_messages += 1;
            self.on_peer_disk_mismatch(from, known_disk, message.from_disk);
            return false;
        }
        let asks_vote = matches!(
            message.body,
            MessageBody::PreVote { .. } | MessageBody::Vote { .. }
        );
        let committed = self.log.members_at(self.commit_index);
        if asks_vote && let Some(&known_disk) = committed.retired.get(&from) {
            self.send(from, MessageBody::Refused { known_disk });
            return false;
        }
        true
    }

    /// Compares this instance's disk with the one recorded in the newest members.
    pub(super) fn check_own_disk(&mut self) {
        let known = self.log.members().known_disk(self.settings.id);
        if let Some(known_disk) = known
            && known_disk != self.settings.disk
        {
            self.on_own_disk_mismatch(known_disk);
        }
    }

    fn on_refused(&mut self, known_disk: DiskId) {
        if known_disk != self.settings.disk {
            self.on_own_disk_mismatch(known_disk);
        } else if self.identity_error.is_none() {
            self.identity_error = Some(IdentityError::Retired);
            self.outputs.push(Output::Identity(IdentityError::Retired));
        }
    }

    fn on_own_disk_mismatch(&mut self, known_disk: DiskId) {
        if matches!(self.identity_error, Some(IdentityError::OwnDisk { .. })) {
            return;
        }
        let error = IdentityError::OwnDisk {
            known_disk,
            own_disk: self.settings.disk,
        };
        self.step_down();
        self.identity_error = Some(error.clone());
        self.outputs.push(Output::Identity(error));
    }

    fn on_peer_disk_mismatch(&mut self, peer: InstanceId, known_disk: DiskId, peer_disk: DiskId) {
        // A peer that is refused takes no further part in the group. The refusal is
        // sent only when the recorded disk is committed, because uncommitted members
        // can still be replaced.
        let committed = self.log.members_at(self.commit_index).known_disk(peer);
        if committed.is_some_and(|disk| disk != peer_disk) {
            self.send(peer, MessageBody::Refused { known_disk });
        }
        // At most 64 mismatches are reported, which bounds the set.
        if self.reported_disks.len() < 64 && self.reported_disks.insert((peer, peer_disk)) {
            self.outputs.push(Output::Identity(IdentityError::PeerDisk {
                peer,
                known_disk,
                peer_disk,
            }));
        }
    }
}
