//! What a request needs, and what was chosen for it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_registry::{StartTime, TargetName};

/// Part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of its content.
    pub hash: u64,
    /// Length.
    pub tokens: u64,
}

/// What an attempt needs.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest<'a> {
    /// Service that takes the request.
    pub service: &'a str,
    /// Parts of the prompt in order; empty without a prompt. The last one
    /// belongs to the request or its chat alone.
    pub prompt: &'a [PromptPart],
    /// Whether the request may run again if this attempt fails.
    pub repeatable: bool,
    /// Targets that failed or refused the request.
    pub tried: &'a [TargetName],
    /// Connections that this router may have to one target.
    pub connection_share: u32,
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenTarget {
    /// Target.
    pub name: TargetName,
    /// Start that was chosen.
    pub start: StartTime,
    /// Address.
    pub address: SocketAddr,
    /// Requests believed to be at the target, for the log.
    pub load: f64,
    /// Load above which the target would not have been chosen, for the log.
    pub bound: f64,
    /// Target from which the chosen one can copy the shared parts of the prompt
    /// that it lacks.
    pub copy_from: Option<SocketAddr>,
    /// Whether the target is believed to have read the shared parts.
    pub is_cached: bool,
    /// When it was chosen.
    pub chosen_at: Instant,
    /// Place of the target in the order of this prompt; 0 is the first choice.
    pub rank: usize,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooseError {
    /// No target of the service is usable.
    NoTarget,
    /// Every target has as many requests as it can take; room is expected after
    /// this time.
    Full {
        /// Expected time until there is room.
        available_in: Duration,
    },
}
