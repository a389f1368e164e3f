//! Figures printed as JSON on the last line of the output.

use serde::Serialize;

/// Figures of `cargo measure control`. A figure that was not measured in this run is
/// absent.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Commits per second of 3 replicas under the saturating load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub commits_per_s: Option<f64>,
    /// Time from a proposal to its result under the same load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub commit_p99_ms: Option<f64>,
    /// Longest time from a fault of the leader to the next commit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaderless_s: Option<f64>,
    /// Longest time from the acceptance of a change until it is in force on all 420
    /// followers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_420_s: Option<f64>,
    /// Longest time from the acceptance of a change until it is in force on all seven
    /// node processes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_7_nodes_s: Option<f64>,
    /// Longest time until a restarted router has the settings of 11,000 teams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub catch_up_s: Option<f64>,
    /// Bytes of settings that the restarted router receives.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub catch_up_bytes: Option<u64>,
    /// Claims granted per second to 256 clients by 3 members.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub claims_per_s: Option<f64>,
    /// Time from a request to its grant under the same load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub claim_p99_ms: Option<f64>,
    /// Memory of the decoded settings tree of 11,000 teams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tree_bytes: Option<u64>,
    /// Size of the same tree when encoded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tree_encoded_bytes: Option<usize>,
    /// Memory of a million settled claims.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub million_claims_bytes: Option<u64>,
    /// Memory of all control state of a router: settings, placement, limits and
    /// membership.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_bytes_total: Option<u64>,
}

impl Report {
    pub fn print(&self) {
        match serde_json::to_string(self) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("cannot encode the report: {error}"),
        }
    }
}
