//! Choice of the next membership change.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_agreement::{MemberChange, MemberKind, Members};
use bamboospur_types::InstanceId;

use crate::settings::GroupSettings;

/// Address and last contact time of an instance.
#[derive(Clone, Copy, Debug)]
struct Contact {
    address: SocketAddr,
    last_heard: Instant,
}

/// Other instances that were heard from, with their last contact.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    by_id: BTreeMap<InstanceId, Contact>,
}

impl Contacts {
    pub fn record(&mut self, id: InstanceId, address: SocketAddr, now: Instant) {
        let contact = Contact {
            address,
            last_heard: now,
        };
        self.by_id.insert(id, contact);
    }

    pub fn remove_expired(&mut self, settings: &GroupSettings, now: Instant) {
        self.by_id
            .retain(|_, c| now < c.last_heard + settings.forget_after);
    }

    fn is_reachable(&self, id: InstanceId, settings: &GroupSettings, now: Instant) -> bool {
        let contact = self.by_id.get(&id);
        contact.is_some_and(|c| now < c.last_heard + settings.contact_timeout)
    }

    /// Whether an instance was silent for `replace_after`, or another instance
    /// was heard from its address later.
    fn is_lost(&self, id: InstanceId, settings: &GroupSettings, now: Instant) -> bool {
        let Some(contact) = self.by_id.get(&id) else {
            return true;
        };
        let has_successor = |(&other, c): (&InstanceId, &Contact)| {
            other != id && c.address == contact.address && c.last_heard > contact.last_heard
        };
        now >= contact.last_heard + settings.replace_after || self.by_id.iter().any(has_successor)
    }

    /// Returns the change that the leader `own_id` should propose now.
    ///
    /// A replacement is promoted before a lost voter is removed, so that the
    /// group always has enough voters to tolerate a loss.
    pub fn next_change(
        &self,
        own_id: InstanceId,
        members: &Members,
        settings: &GroupSettings,
        now: Instant,
    ) -> Option<MemberChange> {
        let reachable = |id: InstanceId| id == own_id || self.is_reachable(id, settings, now);
        let lost = |id: InstanceId| id != own_id && self.is_lost(id, settings, now);
        let voters: Vec<InstanceId> = members.voters().collect();
        let lost_voter = voters.iter().copied().find(|&id| lost(id));
        let known = members.current.keys().chain(self.by_id.keys());
        let reachable_ids: BTreeSet<InstanceId> =
            known.copied().filter(|&id| reachable(id)).collect();
        // A lost voter is kept until there is a replacement, because its
        // disk still holds the entries that it acknowledged.
        let instance_count = reachable_ids.len().max(voters.len());
        let wanted_voters = odd_at_most(instance_count.min(settings.max_voters));
        let healthy_voters = voters.iter().filter(|&&id| !lost(id)).count();

        let learners = members.current.iter();
        let learner_ids = learners
            .filter(|(_, m)| m.kind == MemberKind::Learner)
            .map(|(&id, _)| id);
        let learner_ids: Vec<InstanceId> = learner_ids.collect();
        if healthy_voters < wanted_voters
            && let Some(&id) = learner_ids.iter().find(|&&id| reachable(id))
        {
            return Some(MemberChange::Promote { id });
        }
        if let Some(id) = lost_voter
            && healthy_voters >= wanted_voters
        {
            return Some(MemberChange::Remove { id });
        }
        if let Some(&id) = learner_ids.iter().find(|&&id| lost(id)) {
            return Some(MemberChange::Remove { id });
        }
        let new_instances = self.by_id.keys().copied();
        let mut new_instances =
            new_instances.filter(|&id| reachable(id) && !members.current.contains_key(&id));
        new_instances
            .next()
            .map(|id| MemberChange::AddLearner { id, disk: id })
    }
}

/// Rounds down to an odd number: an even number of voters tolerates no more
/// losses than one voter fewer.
const fn odd_at_most(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    }
}
