//! Members of the group and changes to them.

use std::collections::BTreeMap;

use bamboospur_types::InstanceId;
use serde::{Deserialize, Serialize};

/// Random identity of a data folder, recorded when an instance joins; 0 when
/// unknown. The data folder that replaces a lost disk has a new identity, so a
/// replica that lost its votes and entries cannot act as the member that granted
/// and acknowledged them.
pub type DiskId = u64;

/// Largest number of voters in a group.
pub const MAX_VOTERS: usize = 7;
/// Largest number of members in a group, learners included.
pub const MAX_MEMBERS: usize = 14;

/// Whether a member is a voter or a learner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberKind {
    /// Counts in quorums.
    Voter,
    /// Receives the log without counting in quorums.
    Learner,
}

/// A member of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Voter or learner.
    pub kind: MemberKind,
    /// Identity of its data folder when it joined.
    pub disk: DiskId,
}

/// Change of one member. Only one change can be in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds an instance that receives the log without counting in quorums.
    AddLearner {
        /// Instance to add.
        id: InstanceId,
        /// Identity of its data folder.
        disk: DiskId,
    },
    /// Makes a caught-up learner a voter.
    Promote {
        /// Learner to promote.
        id: InstanceId,
    },
    /// Removes a member and records it as retired.
    Remove {
        /// Member to remove.
        id: InstanceId,
    },
}

/// Members of the group, and removed instances, which can join again only with
/// the same data folder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members by instance.
    pub current: BTreeMap<InstanceId, Member>,
    /// Removed instances with the disk identity they had.
    pub retired: BTreeMap<InstanceId, DiskId>,
}

impl Members {
    /// Returns members that are all voters.
    #[must_use]
    pub fn from_voters(voters: &[(InstanceId, DiskId)]) -> Self {
        let kind = MemberKind::Voter;
        let current = voters.iter().map(|&(id, disk)| (id, Member { kind, disk }));
        Self {
            current: current.collect(),
            retired: BTreeMap::new(),
        }
    }

    /// Whether the instance counts in quorums.
    #[must_use]
    pub fn is_voter(&self, id: InstanceId) -> bool {
        self.current
            .get(&id)
            .is_some_and(|m| m.kind == MemberKind::Voter)
    }

    /// Instances that count in quorums.
    pub fn voters(&self) -> impl Iterator<Item = InstanceId> + '_ {
        let voters = self
            .current
            .iter()
            .filter(|(_, m)| m.kind == MemberKind::Voter);
        voters.map(|(&id, _)| id)
    }

    /// Number of voters that make a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the disk identity of a current or retired member.
    #[must_use]
    pub fn known_disk(&self, id: InstanceId) -> Option<DiskId> {
        let current = self.current.get(&id).map(|m| m.disk);
        current.or_else(|| self.retired.get(&id).copied())
    }

    /// Returns the members after a change.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change is refused.
    pub fn with_change(&self, change: MemberChange) -> Result<Self, &'static str> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner { id, disk } => next.add_learner(id, disk)?,
            MemberChange::Promote { id } => next.promote(id)?,
            MemberChange::Remove { id } => next.remove(id)?,
        }
        Ok(next)
    }

    fn add_learner(&mut self, id: InstanceId, disk: DiskId) -> Result<(), &'static str> {
        if disk == 0 {
            return Err("a member needs a disk identity");
        }
        if self.current.contains_key(&id) {
            return Err("the instance is a member already");
        }
        if self.retired.get(&id).is_some_and(|&old| old != disk) {
            return Err("the instance lost its disk; it must join under a new name");
        }
        if self.current.len() >= MAX_MEMBERS {
            return Err("the group is full");
        }
        self.retired.remove(&id);
        let kind = MemberKind::Learner;
        self.current.insert(id, Member { kind, disk });
        Ok(())
    }

    fn promote(&mut self, id: InstanceId) -> Result<(), &'static str> {
        if self.voters().count() >= MAX_VOTERS {
            return Err("the group has as many voters as it can");
        }
        let Some(member) = self.current.get_mut(&id) else {
            return Err("the instance is not a member");
        };
        if member.kind == MemberKind::Voter {
            return Err("the instance is a voter already");
        }
        member.kind = MemberKind::Voter;
        Ok(())
    }

    fn remove(&mut self, id: InstanceId) -> Result<(), &'static str> {
        let Some(member) = self.current.remove(&id) else {
            return Err("the instance is not a member");
        };
        if self.voters().next().is_none() {
            return Err("the last voter cannot be removed");
        }
        self.retired.insert(id, member.disk);
        Ok(())
    }

    pub(crate) fn size_bytes(&self) -> usize {
        // 8 bytes each for an id, a disk identity and the kind of a member.
        self.current.len() * 24 + self.retired.len() * 16
    }
}
