//! Guards against a router whose tree goes back to an older revision, lacks a
//! change, or matches no revision, when diffs are lost, duplicated or late.

mod common;

use bamboospur_settings::{
    ApplyOutcome, Diff, Edit, Follower, SavedFollower, Settings, Tree, Value,
};
use common::{at, change};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 12;

#[derive(Default)]
struct Simulation {
    settings: Settings,
    /// The tree at each revision.
    trees: Vec<Tree>,
    in_flight: Vec<Diff>,
    follower: Follower,
}

impl Simulation {
    fn step(&mut self, (kind, first, second): (u8, u8, u8)) {
        match kind % 6 {
            0 | 1 => self.change(first, second),
            2 => {
                let since = u64::from(first) % (self.settings.tree().revision() + 1);
                self.in_flight.push(self.settings.changes_since(since));
            }
            3 => {
                let have = self.follower.revision();
                self.in_flight.push(self.settings.changes_since(have));
            }
            4 if second.is_multiple_of(8) => {
                let saved = SavedFollower::from(&self.follower);
                self.follower = Follower::try_from(saved).expect("a saved copy is valid");
            }
            _ => self.deliver(first, second),
        }
    }

    fn change(&mut self, team: u8, value: u8) {
        let path = format!("teams.t{}.priority", team % 4);
        let edit = Edit::Set(Value::Integer(i64::from(value % 10)));
        let id = format!("c{}", self.trees.len());
        let mut step = change(&id, &path, 0, edit);
        step.base_version = self.settings.tree().version(&step.path.branch);
        if value > 200 && step.base_version > 0 {
            step.path.names.clear();
            step.edit = Edit::Unset;
        }
        self.settings.apply(&step, at(1)).expect("valid");
        self.trees.push(self.settings.tree().clone());
    }

    /// Delivers one of the diffs in flight, which stays in flight when `then` is odd.
    fn deliver(&mut self, which: u8, then: u8) {
        let index = usize::from(which) % self.in_flight.len().max(1);
        let Some(diff) = self.in_flight.get(index).cloned() else {
            return;
        };
        let before = self.follower.revision();
        let expected = if diff.to <= before {
            ApplyOutcome::Stale
        } else if !diff.full && diff.from > before {
            ApplyOutcome::Gap { have: before }
        } else {
            ApplyOutcome::Applied { revision: diff.to }
        };
        assert_eq!(self.follower.apply(&diff), expected);
        assert!(self.follower.revision() >= before, "the follower went back");
        if then.is_multiple_of(2) {
            self.in_flight.swap_remove(index);
        }
    }

    fn compare(&self) {
        let revision = usize::try_from(self.follower.revision()).expect("small");
        let expected = revision.checked_sub(1).map(|index| &self.trees[index]);
        assert_eq!(self.follower.tree(), expected.unwrap_or(&Tree::default()));
        assert_eq!(self.follower.violations().count, 0);
    }
}

fn holds_trees_that_existed(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut run = Simulation::default();
    for step in steps {
        run.step(step);
        run.compare();
    }
    true
}

#[test]
fn a_follower_holds_only_trees_that_existed() {
    println!("seed {SEED}");
    QuickCheck::new()
        .tests(400)
        .rng(Gen::from_size_and_seed(120, SEED))
        .quickcheck(holds_trees_that_existed as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn a_full_copy_replaces_a_copy_that_is_too_old() {
    let mut run = Simulation::default();
    for value in 0..1200_u32 {
        run.change(u8::try_from(value % 4).expect("small"), 5);
    }
    let mut late = Follower::default();
    let diff = run.settings.changes_since(1);
    assert!(diff.full);
    assert_eq!(late.apply(&diff), ApplyOutcome::Applied { revision: 1200 });
    assert_eq!(late.tree(), run.settings.tree());
}

#[test]
fn a_diff_with_an_older_branch_is_refused() {
    let mut run = Simulation::default();
    run.change(0, 1);
    let mut old = run.settings.changes_since(0);
    run.change(0, 2);
    run.follower.apply(&run.settings.changes_since(0));
    old.to = 3;
    assert_eq!(run.follower.apply(&old), ApplyOutcome::Refused);
    assert_eq!(run.follower.violations().count, 1);
    assert_eq!(run.follower.tree(), run.settings.tree());
}
