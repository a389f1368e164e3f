//! Input and result of the choice of a target.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_registry::{SoftwareVersion, StartTime, TargetName};
use bamboospur_types::{RequestRate, mix64, stable_id};

/// Part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the content.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// One attempt of a request for which a target is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest<'a> {
    /// Name of the service that handles the request.
    pub service: &'a str,
    /// Parts of the prompt in order; empty if the request has no prompt. The last
    /// of several parts is private to the request or its chat.
    pub prompt: &'a [PromptPart],
    /// Whether the request may be sent again if this attempt fails.
    pub repeatable: bool,
    /// Software version that the target must have; `None` for any.
    pub software: Option<&'a str>,
    /// Targets that have failed or refused the request in earlier attempts.
    pub tried: &'a [TargetName],
    /// Largest number of requests that this router may have in flight at one target.
    pub max_in_flight_per_target: u32,
    /// Requests per second that a cold target bears from all routers together; `None` if as
    /// many as any other.
    pub cold_rate: Option<RequestRate>,
}

/// The target chosen for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenTarget {
    /// Name of the target.
    pub name: TargetName,
    /// Start of the target; results are not counted for a later start.
    pub start: StartTime,
    /// Address to send the attempt to.
    pub address: SocketAddr,
    /// Version of the target's software.
    pub software: SoftwareVersion,
    /// Estimated requests at the target from all routers, for the log.
    pub load: f64,
    /// Load bound that applied to the choice, for the log; infinite for a request without
    /// a prompt.
    pub bound: f64,
    /// Target from which the chosen one can copy the prompt prefix; `None` if the
    /// chosen target has it cached or no target does.
    pub copy_from: Option<SocketAddr>,
    /// Whether the target is believed to have the prompt prefix cached.
    pub is_cached: bool,
    /// Hash of the prompt's prefix, for the log; 0 for a request without a prompt.
    pub prefix_hash: u64,
    /// Time of the choice.
    pub chosen_at: Instant,
    /// Position of the target in the rendezvous order of the prompt prefix among the
    /// targets with capacity; 0 is the first. 0 also where no such order is used.
    pub rank: usize,
}

impl ChosenTarget {
    /// Returns the identity of this start of the target.
    #[must_use]
    pub fn start_id(&self) -> u64 {
        target_start_id(&self.name, self.start)
    }
}

/// Returns the identity of one start of a target.
#[must_use]
pub fn target_start_id(name: &str, start: StartTime) -> u64 {
    mix64(stable_id(name) ^ mix64(start.0))
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooseError {
    /// No target of the service is usable.
    NoTarget,
    /// The usable targets have no capacity for the request.
    Full {
        /// Expected time until a target can take a request.
        available_in: Duration,
    },
}
