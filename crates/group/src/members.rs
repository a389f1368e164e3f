//! Which change of members is due.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_agreement::{MemberChange, MemberKind, Members};
use bamboospur_types::InstanceId;

use crate::settings::GroupSettings;

/// What is known of an instance.
#[derive(Clone, Copy, Debug)]
struct Contact {
    address: SocketAddr,
    heard: Instant,
}

/// Instances that were heard.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    by_id: BTreeMap<InstanceId, Contact>,
}

impl Contacts {
    pub fn heard(&mut self, id: InstanceId, address: SocketAddr, now: Instant) {
        let contact = Contact {
            address,
            heard: now,
        };
        self.by_id.insert(id, contact);
    }

    pub fn forget_old(&mut self, settings: &GroupSettings, now: Instant) {
        self.by_id
            .retain(|_, c| now < c.heard + settings.forget_after);
    }

    fn in_contact(&self, id: InstanceId, settings: &GroupSettings, now: Instant) -> bool {
        let contact = self.by_id.get(&id);
        contact.is_some_and(|c| now < c.heard + settings.contact_timeout)
    }

    /// Whether an instance was silent for long, or another one has its address.
    fn is_lost(&self, id: InstanceId, settings: &GroupSettings, now: Instant) -> bool {
        let Some(contact) = self.by_id.get(&id) else {
            return true;
        };
        let replaced = |(&other, c): (&InstanceId, &Contact)| {
            other != id && c.address == contact.address && c.heard > contact.heard
        };
        now >= contact.heard + settings.replace_after || self.by_id.iter().any(replaced)
    }

    /// Returns the change that the leader `own` should make now.
    ///
    /// A place is filled before a lost voter is removed, so that the group never
    /// has fewer voters than it needs to bear a loss.
    pub fn due(
        &self,
        own: InstanceId,
        members: &Members,
        settings: &GroupSettings,
        now: Instant,
    ) -> Option<MemberChange> {
        let live = |id: InstanceId| id == own || self.in_contact(id, settings, now);
        let lost = |id: InstanceId| id != own && self.is_lost(id, settings, now);
        let voters: Vec<InstanceId> = members.voters().collect();
        let lost_voter = voters.iter().copied().find(|&id| lost(id));
        let known = members.current.keys().chain(self.by_id.keys());
        let live_ids: BTreeSet<InstanceId> = known.copied().filter(|&id| live(id)).collect();
        // A voter that is away is not given up without another one in its place:
        // it still has what it acknowledged.
        let count = live_ids.len().max(voters.len());
        let wanted = odd_at_most(count.min(settings.max_voters));
        let sound = voters.iter().filter(|&&id| !lost(id)).count();

        let learners = members.current.iter();
        let learner = learners
            .filter(|(_, m)| m.kind == MemberKind::Learner)
            .map(|(&id, _)| id);
        let learner: Vec<InstanceId> = learner.collect();
        if sound < wanted
            && let Some(&id) = learner.iter().find(|&&id| live(id))
        {
            return Some(MemberChange::Promote { id });
        }
        if let Some(id) = lost_voter
            && sound >= wanted
        {
            return Some(MemberChange::Remove { id });
        }
        if let Some(&id) = learner.iter().find(|&&id| lost(id)) {
            return Some(MemberChange::Remove { id });
        }
        let newcomer = self.by_id.keys().copied();
        let mut newcomer = newcomer.filter(|&id| live(id) && !members.current.contains_key(&id));
        newcomer
            .next()
            .map(|id| MemberChange::AddLearner { id, disk: id })
    }
}

/// An even number of voters bears no more losses than one voter fewer.
const fn odd_at_most(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    }
}
