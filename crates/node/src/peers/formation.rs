//! First start of a control group with several members.
//!
//! A member whose disk is empty may have been a member before and lost its
//! disk, so it must not start a group on its own. It starts a group only when
//! all listed members are reachable, all of their disks are empty, and all
//! report the same disk for each member. When one member already belongs to a
//! group, the others adopt the members of that group, but only when these
//! include their own disk. A member whose disk is not among them waits to be
//! added under a new name.
//!
//! Two groups cannot form: a formed group includes the disk of each member,
//! every member reported the same disks before, and a member that has reported
//! other disks since adopts the group as soon as it receives its members.

use std::collections::BTreeMap;

use bamboospur_agreement::{DiskId, Members};
use bamboospur_types::InstanceId;
use bamboospur_wire::link::Formation;

/// Next step of a member that has no group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormationStep {
    /// Wait for the other members.
    Wait,
    /// Start as a member of this group.
    Start(Members),
    /// A group exists that does not include the disk of this member.
    UnknownDisk,
}

/// State of a member that has no group yet.
#[derive(Clone, Debug)]
pub struct FormationState {
    own_id: InstanceId,
    disk: DiskId,
    others: Vec<InstanceId>,
    received: BTreeMap<InstanceId, Formation>,
}

impl FormationState {
    /// Creates the state of a member with an empty disk. `others` are the other
    /// listed members.
    #[must_use]
    pub const fn new(own_id: InstanceId, disk: DiskId, others: Vec<InstanceId>) -> Self {
        Self {
            own_id,
            disk,
            others,
            received: BTreeMap::new(),
        }
    }

    /// Returns the report to send to the other members, with the disks that this
    /// member knows.
    #[must_use]
    pub fn own_formation(&self) -> Formation {
        let mut members: Vec<_> = self
            .received
            .iter()
            .map(|(id, report)| (*id, report.disk))
            .collect();
        members.push((self.own_id, self.disk));
        members.sort_unstable();
        Formation {
            disk: self.disk,
            formed: false,
            members,
        }
    }

    /// Discards the report of a member when the link to it has ended, because
    /// the member may come back with another disk.
    pub fn forget_peer(&mut self, peer: InstanceId) {
        self.received.remove(&peer);
    }

    /// Processes the report of another member.
    pub fn receive(&mut self, from: InstanceId, report: Formation) -> FormationStep {
        if !self.others.contains(&from) {
            return FormationStep::Wait;
        }
        if report.formed {
            if !report.members.contains(&(self.own_id, self.disk)) {
                return FormationStep::UnknownDisk;
            }
            return FormationStep::Start(Members::from_voters(&report.members));
        }
        self.received.insert(from, report);
        let own = self.own_formation();
        let all_agree = self.others.iter().all(|other| {
            let report = self.received.get(other);
            report.is_some_and(|report| report.members == own.members)
        });
        if !all_agree {
            return FormationStep::Wait;
        }
        FormationStep::Start(Members::from_voters(&own.members))
    }
}
