//! Checks that accepted changes of the settings reach the routers and are kept.

use std::collections::BTreeMap;

use bamboospur_agreement::Role;
use bamboospur_control::Member as Core;
use bamboospur_settings::{AuditQuery, BranchName};

use super::control::Member;
use super::message::Node;
use super::oracle::ViolationKind;
use super::world::{Event, ROUTERS, World};

/// Time within which an accepted change must be in force.
const IN_FORCE_US: u64 = 4_000_000;

impl World {
    /// Version of a branch at a member, or 0 if the member is down.
    pub fn version_at(&self, id: u64, branch: &BranchName) -> u64 {
        let core = self
            .members
            .get(&id)
            .and_then(|member| member.core.as_ref());
        core.map_or(0, |core| core.state().settings().tree().version(branch))
    }

    /// The leader of the highest term, if it reaches a quorum.
    pub fn leader(&self) -> Option<u64> {
        let leads = |member: &&Member| {
            let core = member.core.as_ref();
            core.is_some_and(|core| core.status().replica.role == Role::Leader)
        };
        let term = |member: &&Member| member.core.as_ref().map(|core| core.status().replica.term);
        let leader = self.members.values().filter(leads).max_by_key(term)?;
        let members = leader.core.as_ref()?.status().replica.members;
        let heard = members.voters().filter(|voter| {
            let node = Node::Member(*voter);
            *voter == leader.id
                || (self.start_number(node) > 0
                    && self.is_link_open_both_ways(Node::Member(leader.id), node))
        });
        (heard.count() >= members.quorum()).then_some(leader.id)
    }

    /// Runs every 100 ms: checks agreement, advances a repair, and records since when each
    /// router can reach a member that follows the leader.
    pub fn periodic_check(&mut self) {
        self.schedule_after(100_000, Event::PeriodicCheck);
        self.check_agreement();
        self.step_repair();
        let leader = self.leader();
        let mut connected = BTreeMap::new();
        for member in self.members.values() {
            let node = Node::Member(member.id);
            let follows = member
                .core
                .as_ref()
                .is_some_and(|core| leader.is_some() && core.status().replica.leader == leader);
            let reaches_leader = leader.is_some_and(|leader| {
                leader == member.id || self.is_link_open_both_ways(node, Node::Member(leader))
            });
            for router in (0..ROUTERS).filter(|_| follows && reaches_leader) {
                let key = (router, member.id);
                let other = Node::Router(router);
                if self.start_number(other) > 0 && self.is_link_open_both_ways(node, other) {
                    let since = self.linked_since.get(&key).copied().unwrap_or(self.now_us);
                    connected.insert(key, since);
                }
            }
        }
        self.linked_since = connected;
    }

    /// Checks, 4 s after a change was accepted, that the change is in force on all routers
    /// that were connected since.
    pub fn check_change(&mut self, revision: u64) {
        let accepted_us = self.now_us.saturating_sub(IN_FORCE_US);
        for router in 0..ROUTERS {
            let is_connected = self
                .linked_since
                .iter()
                .any(|((r, _), since)| *r == router && *since <= accepted_us);
            let Some(have) = self.routers[router].revision().filter(|_| is_connected) else {
                continue;
            };
            self.oracle.tally.checked_changes += 1;
            if have < revision {
                let what = format!(
                    "router {router} is at revision {have} 4 s after {revision} was accepted"
                );
                self.fail(ViolationKind::Settings, what);
            }
        }
    }

    /// Checks at the end that all members hold the same settings with every accepted
    /// change, and that all routers have them.
    pub fn check_control(&mut self) {
        let cores: Vec<&Core> = self
            .members
            .values()
            .filter_map(|m| m.core.as_ref())
            .collect();
        let leader = self.leader().and_then(|id| self.members[&id].core.as_ref());
        let Some(leader_core) = leader else {
            return self.fail(ViolationKind::Settings, "no leader at the end".to_owned());
        };
        let audit = leader_core.state().settings().audit(&AuditQuery::default());
        let known: BTreeMap<u64, String> = audit
            .into_iter()
            .map(|entry| (entry.revision, entry.change_id))
            .collect();
        let mut wrong = Vec::new();
        for (revision, (id, _)) in &self.oracle.accepted {
            if known.get(revision) != Some(id) {
                wrong.push(format!(
                    "accepted change {id} of revision {revision} is lost"
                ));
            }
        }
        let newest = leader_core.state().settings().tree().revision();
        let snapshot = leader_core.state().settings().tree().clone();
        for core in cores {
            let tree = core.state().settings().tree();
            let status = core.status();
            if status.replica.members.is_voter(0) || tree.revision() != newest || *tree != snapshot
            {
                wrong.push(format!(
                    "a member differs: {} and {newest}",
                    tree.revision()
                ));
            }
            if status.violations.count + status.replica.violations > 0 {
                wrong.push(format!("a member counted violations: {status:?}"));
            }
        }
        for router in 0..ROUTERS {
            let have = self.routers[router].revision();
            if have.is_some_and(|have| have != newest) {
                wrong.push(format!(
                    "router {router} ends at revision {have:?}, not {newest}"
                ));
            }
        }
        for what in wrong {
            self.fail(ViolationKind::Settings, what);
        }
    }
}
