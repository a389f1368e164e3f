//! Outcomes of a request that are reported to callers.

use serde::{Deserialize, Serialize};

/// What happened to a request, as far as it can be proved.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The caller has the whole answer.
    Answered,
    /// The request is proved not to have run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}
