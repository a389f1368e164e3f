//! Measures the memory of a router's tree with 11,000 teams:
//! `cargo run --release -p bamboospur-settings --example tree_bytes`.

use std::fs;
use std::sync::Arc;

use bamboospur_settings::{
    Branch, BranchContent, BranchDiff, BranchName, Diff, Fleet, Follower, KeyHash, ModelUse,
    RequestRule, Share, Team, WithoutKey,
};

const TEAMS: u64 = 11_000;
const PAGE_BYTES: u64 = 4096;

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

/// A team with two keys, three models with a version and an adapter each, and
/// two rules for requests that must run at most once.
fn team(number: u64) -> Team {
    let model = |index: u64| {
        let used = ModelUse {
            versions: ["2026-11-01".into()].into(),
            adapters: [format!("adapter-{number:05}-{index}").into_boxed_str()].into(),
        };
        (format!("model-{:02}", (number + index) % 9), used)
    };
    let key = |name: &str| {
        (
            name.to_owned(),
            KeyHash::from_secret(&format!("{number}-{name}")),
        )
    };
    let rules = ["POST /services/records/*", "POST /services/charges"];
    let rules = rules
        .iter()
        .filter_map(|text| text.parse::<RequestRule>().ok());
    Team {
        priority: 5,
        without_key: WithoutKey::Refuse,
        not_repeatable: rules.collect(),
        share: Share {
            requests: Some(16),
            work_tokens: Some(200_000),
            work_tokens_per_minute: Some(1_000_000),
        },
        models: (0..3).map(model).collect(),
        keys: [key("production"), key("staging")].into_iter().collect(),
    }
}

fn tree() -> Diff {
    let fleet = BranchDiff {
        name: BranchName::Fleet,
        branch: Some(Branch {
            version: 1,
            content: BranchContent::Fleet(Arc::new(Fleet::default())),
        }),
    };
    let teams = (0..TEAMS).map(|number| BranchDiff {
        name: BranchName::Team(format!("team-{number:05}")),
        branch: Some(Branch {
            version: number + 2,
            content: BranchContent::Team(Arc::new(team(number))),
        }),
    });
    Diff {
        full: true,
        from: 0,
        to: TEAMS + 1,
        branches: std::iter::once(fleet).chain(teams).collect(),
    }
}

fn main() {
    let before = resident_bytes();
    let mut follower = Follower::default();
    follower.apply(&tree());
    let used = resident_bytes() - before;
    let teams = follower.tree().teams().count();
    println!("{teams} teams use {used} bytes, {} a team", used / TEAMS);
}
