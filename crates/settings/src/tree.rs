//! The tree of all branches.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::branch::{Branch, BranchContent, BranchName};
use crate::fleet::{Fleet, Operator};
use crate::key_hash::KeyHash;
use crate::team::Team;

/// Number of an accepted change, counted from 1 for the whole tree.
pub type Revision = u64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TeamBranch {
    pub(crate) version: Revision,
    pub(crate) team: Arc<Team>,
}

/// All branches at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    pub(crate) revision: Revision,
    pub(crate) fleet_version: Revision,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) teams: BTreeMap<Arc<str>, TeamBranch>,
    /// Name of the team that each key belongs to.
    keys: BTreeMap<KeyHash, Arc<str>>,
}

impl Tree {
    /// Returns the revision of the last change in the tree.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the fleet's settings.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns a team's settings.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Arc<Team>> {
        self.teams.get(name).map(|branch| &branch.team)
    }

    /// Iterates over the teams in the order of their names.
    pub fn teams(&self) -> impl Iterator<Item = (&str, &Arc<Team>)> {
        self.teams
            .iter()
            .map(|(name, branch)| (name.as_ref(), &branch.team))
    }

    /// Returns the team that a key belongs to.
    #[must_use]
    pub fn team_by_key(&self, key: &KeyHash) -> Option<(&str, &Arc<Team>)> {
        let name = self.keys.get(key)?;
        let team = self.team(name)?;
        Some((name, team))
    }

    /// Returns the operator that a token belongs to.
    #[must_use]
    pub fn operator_by_token(&self, token: &KeyHash) -> Option<(&str, &Operator)> {
        let operators = self.fleet.operators.iter();
        let mut found = operators.filter(|(_, operator)| operator.token_hash == *token);
        found
            .next()
            .map(|(name, operator)| (name.as_str(), operator))
    }

    /// Returns a branch; the fleet's branch always exists.
    #[must_use]
    pub fn branch(&self, name: &BranchName) -> Option<Branch> {
        match name {
            BranchName::Fleet => Some(Branch {
                version: self.fleet_version,
                content: BranchContent::Fleet(Arc::clone(&self.fleet)),
            }),
            BranchName::Team(team) => self.teams.get(team.as_str()).map(|branch| Branch {
                version: branch.version,
                content: BranchContent::Team(Arc::clone(&branch.team)),
            }),
        }
    }

    /// Returns the version to base a change on; 0 for a branch that does not exist.
    #[must_use]
    pub fn version(&self, name: &BranchName) -> Revision {
        match name {
            BranchName::Fleet => self.fleet_version,
            BranchName::Team(team) => self.teams.get(team.as_str()).map_or(0, |b| b.version),
        }
    }

    /// Returns the names of all branches.
    pub fn branch_names(&self) -> impl Iterator<Item = BranchName> {
        let teams = self.teams.keys();
        std::iter::once(BranchName::Fleet).chain(teams.map(|n| BranchName::Team(n.to_string())))
    }

    pub(crate) fn key_count(&self) -> usize {
        self.keys.len()
    }

    pub(crate) fn key_owner(&self, key: &KeyHash) -> Option<&str> {
        self.keys.get(key).map(AsRef::as_ref)
    }

    /// Replaces a branch, or removes it when `branch` is `None`.
    pub(crate) fn put(&mut self, name: &BranchName, branch: Option<Branch>) {
        match (name, branch) {
            (BranchName::Fleet, Some(branch)) => {
                if let BranchContent::Fleet(fleet) = branch.content {
                    self.fleet_version = branch.version;
                    self.fleet = fleet;
                }
            }
            (BranchName::Fleet, None) => {
                self.fleet_version = 0;
                self.fleet = Arc::default();
            }
            (BranchName::Team(team), branch) => self.put_team(team, branch),
        }
    }

    fn put_team(&mut self, name: &str, branch: Option<Branch>) {
        self.remove_team(name);
        let Some(branch) = branch else { return };
        let BranchContent::Team(team) = branch.content else {
            return;
        };
        let name: Arc<str> = name.into();
        for (_, key) in team.keys.iter() {
            self.keys.insert(*key, Arc::clone(&name));
        }
        let version = branch.version;
        self.teams.insert(name, TeamBranch { version, team });
    }

    fn remove_team(&mut self, name: &str) {
        let Some(old) = self.teams.remove(name) else {
            return;
        };
        for (_, key) in old.team.keys.iter() {
            if self.keys.get(key).is_some_and(|owner| **owner == *name) {
                self.keys.remove(key);
            }
        }
    }
}
