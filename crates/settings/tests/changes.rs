//! Guards against lost, reverted or repeated changes: operators race, resend and
//! roll back at random while the state is restored from its saved form. The
//! test oracle keeps one number for each team.

mod common;

use std::collections::BTreeMap;

use bamboospur_settings::{
    Accepted, AuditQuery, Change, Edit, Refusal, SavedSettings, Settings, Value,
};
use bamboospur_types::ResultCode;
use common::{at, change};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 11;
const TEAMS: u8 = 3;
const OPERATORS: u8 = 3;

type TeamValues = BTreeMap<u8, (u64, i64)>;
type Answer = Result<Accepted, Refusal>;

/// Expected content of the tree, as one number for each team.
#[derive(Default)]
struct Oracle {
    /// Version and value of each team after each revision.
    revisions: Vec<TeamValues>,
    answers: BTreeMap<String, Answer>,
}

impl Oracle {
    fn now(&self) -> TeamValues {
        self.revisions.last().cloned().unwrap_or_default()
    }

    fn accept(&mut self, team: u8, value: Option<i64>) -> u64 {
        let mut teams = self.now();
        let revision = self.revisions.len() as u64 + 1;
        match value {
            Some(value) => teams.insert(team, (revision, value)),
            None => teams.remove(&team),
        };
        self.revisions.push(teams);
        revision
    }

    fn at_revision(&self, revision: u64) -> TeamValues {
        let index = usize::try_from(revision).expect("small");
        index
            .checked_sub(1)
            .map_or_else(TeamValues::new, |index| self.revisions[index].clone())
    }

    /// Returns the revision that the change gets, or the code of its refusal.
    fn apply(&mut self, team: u8, change: &Change) -> Result<u64, ResultCode> {
        let version = self.now().get(&team).map_or(0, |(version, _)| *version);
        if version != change.base_version {
            return Err(ResultCode::VersionConflict);
        }
        let value = match &change.edit {
            Edit::Set(Value::Integer(value)) => Some(*value),
            Edit::Set(_) => unreachable!("the test sets numbers"),
            Edit::Unset if version == 0 => return Err(ResultCode::NotFound),
            Edit::Unset => None,
            Edit::Rollback { revision } if *revision > self.revisions.len() as u64 => {
                return Err(ResultCode::NotFound);
            }
            Edit::Rollback { revision } => self
                .at_revision(*revision)
                .get(&team)
                .map(|(_, value)| *value),
        };
        Ok(self.accept(team, value))
    }
}

#[derive(Default)]
struct Simulation {
    settings: Settings,
    oracle: Oracle,
    /// Versions as each operator last read them.
    read_versions: BTreeMap<(u8, u8), u64>,
    sent: Vec<(u8, Change)>,
}

impl Simulation {
    fn step(&mut self, (kind, operator, team, value): (u8, u8, u8, u8)) {
        let operator = operator % OPERATORS;
        let team = team % TEAMS;
        match kind % 8 {
            0 => {
                let name = format!("teams.t{team}").parse::<bamboospur_settings::Path>();
                let version = self.settings.tree().version(&name.expect("a path").branch);
                self.read_versions.insert((operator, team), version);
            }
            1 => self.restart(),
            2 => {
                let index = usize::from(value) % self.sent.len().max(1);
                if let Some((team, change)) = self.sent.get(index).cloned() {
                    self.send(team, &change);
                }
            }
            kind => self.new_change(kind, operator, team, value),
        }
    }

    fn new_change(&mut self, kind: u8, operator: u8, team: u8, value: u8) {
        let revisions = self.oracle.revisions.len() as u64;
        let (suffix, edit) = match kind {
            6 => ("", Edit::Unset),
            7 => (
                "",
                Edit::Rollback {
                    revision: u64::from(value) % (revisions + 2),
                },
            ),
            _ => (
                ".share.requests",
                Edit::Set(Value::Integer(i64::from(value) + 1)),
            ),
        };
        let base = self
            .read_versions
            .get(&(operator, team))
            .copied()
            .unwrap_or_default();
        let id = format!("change-{}", self.sent.len());
        let path = format!("teams.t{team}{suffix}");
        let change = change(&id, &path, base, edit);
        self.sent.push((team, change.clone()));
        self.send(team, &change);
    }

    fn send(&mut self, team: u8, change: &Change) {
        let answer = self.settings.apply(change, at(self.sent.len() as u64));
        if let Some(first) = self.oracle.answers.get(&change.id) {
            assert_eq!(first, &answer, "a resend got another answer");
            return;
        }
        let expected = self.oracle.apply(team, change);
        let got = answer.as_ref().map(|accepted| accepted.revision);
        assert_eq!(got.map_err(|refusal| refusal.code), expected, "{change:?}");
        if let Err(refusal) = &answer {
            let present = self
                .oracle
                .now()
                .get(&team)
                .map_or(0, |(version, _)| *version);
            assert_eq!(refusal.present_version, present);
        }
        self.oracle.answers.insert(change.id.clone(), answer);
    }

    fn restart(&mut self) {
        let saved = SavedSettings::from(&self.settings);
        self.settings = Settings::try_from(saved).expect("a saved state is valid");
    }

    fn compare(&self) {
        let teams = self.settings.tree().teams().map(|(name, team)| {
            let number = name[1..].parse::<u8>().expect("a team of the test");
            let branch = format!("teams.{name}").parse::<bamboospur_settings::Path>();
            let version = self
                .settings
                .tree()
                .version(&branch.expect("a path").branch);
            let value = team.share.requests.expect("the test sets it");
            (number, (version, i64::from(value)))
        });
        assert_eq!(teams.collect::<TeamValues>(), self.oracle.now());
        let revision = self.oracle.revisions.len() as u64;
        assert_eq!(self.settings.tree().revision(), revision);
        let ids: Vec<_> = self.settings.audit(&AuditQuery::default());
        let distinct: std::collections::BTreeSet<_> = ids.iter().map(|e| &e.change_id).collect();
        assert_eq!(distinct.len(), ids.len(), "a change id was applied twice");
        assert_eq!(ids.len() as u64, revision);
        assert_eq!(self.settings.violations().count, 0);
    }
}

fn matches_oracle(steps: Vec<(u8, u8, u8, u8)>) -> bool {
    let mut run = Simulation::default();
    for step in steps {
        run.step(step);
        run.compare();
    }
    true
}

#[test]
fn no_change_is_lost_reverted_or_doubled() {
    println!("seed {SEED}");
    QuickCheck::new()
        .tests(400)
        .rng(Gen::from_size_and_seed(80, SEED))
        .quickcheck(matches_oracle as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}
