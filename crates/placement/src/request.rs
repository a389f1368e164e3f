//! Description of a request by the host.

use bamboospur_types::{ChatId, OfferId, TargetId, TeamId, WorkTokens};

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Team of the caller.
    pub team: TeamId,
    /// Chat that the request belongs to, or a random value for a request without one.
    pub chat: ChatId,
    /// Offer that the target must serve; `None`, for a service without offers, accepts
    /// every target of the pool.
    pub offer: Option<OfferId>,
    /// Work of the request if no prefix is cached, in tokens.
    pub work_tokens: WorkTokens,
    /// Part of the prompt that may be cached, in tokens; 0 for a new chat.
    pub prefix_tokens: WorkTokens,
    /// Targets not to use, such as one that just failed.
    pub excluded: &'a [TargetId],
    /// Target that served the chat last, as stated by the caller.
    pub hint: Option<TargetId>,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
}
