//! First start of a control group with several members.
//!
//! A member whose disk is empty may have been a member before and lost its
//! disk, so it must not start a group on its own. It starts one only when all
//! listed members are reachable, all of their disks are empty, and all name the
//! same disk for each member. When one member holds a group already, the others
//! adopt its members, but only when these include their own disk. A member
//! whose disk is not among them waits to be added under a new name.
//!
//! Two groups cannot form: a group that formed includes the disk of each
//! member, every member had named the same disks before, and a member that has
//! named other disks since adopts the group as soon as it hears of it.

use std::collections::BTreeMap;

use bamboospur_agreement::{DiskId, Members};
use bamboospur_types::InstanceId;
use bamboospur_wire::link::Formation;

/// What a member does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormationStep {
    /// It waits for the other members.
    Wait,
    /// It starts as a member of this group.
    Start(Members),
    /// A group exists that does not know its disk.
    Outside,
}

/// A member that has no group yet.
#[derive(Clone, Debug)]
pub struct FormationState {
    own: InstanceId,
    disk: DiskId,
    others: Vec<InstanceId>,
    heard: BTreeMap<InstanceId, Formation>,
}

impl FormationState {
    /// Creates a member with an empty disk and the other listed members.
    #[must_use]
    pub const fn new(own: InstanceId, disk: DiskId, others: Vec<InstanceId>) -> Self {
        Self {
            own,
            disk,
            others,
            heard: BTreeMap::new(),
        }
    }

    /// Returns what to tell the other members.
    #[must_use]
    pub fn view(&self) -> Formation {
        let mut members: Vec<_> = self.heard.iter().map(|(id, f)| (*id, f.disk)).collect();
        members.push((self.own, self.disk));
        members.sort_unstable();
        Formation {
            disk: self.disk,
            formed: false,
            members,
        }
    }

    /// Forgets what a member said, when the link to it has ended: it may come
    /// back with another disk.
    pub fn forget_peer(&mut self, peer: InstanceId) {
        self.heard.remove(&peer);
    }

    /// Takes what another member says.
    pub fn receive(&mut self, from: InstanceId, said: Formation) -> FormationStep {
        if !self.others.contains(&from) {
            return FormationStep::Wait;
        }
        if said.formed {
            if !said.members.contains(&(self.own, self.disk)) {
                return FormationStep::Outside;
            }
            return FormationStep::Start(Members::from_voters(&said.members));
        }
        self.heard.insert(from, said);
        let view = self.view();
        let all = self.others.iter().all(|other| {
            let heard = self.heard.get(other);
            heard.is_some_and(|heard| heard.members == view.members)
        });
        if !all {
            return FormationStep::Wait;
        }
        FormationStep::Start(Members::from_voters(&view.members))
    }
}
