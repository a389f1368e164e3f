//! Ids, outcomes, result codes and target records shared by all crates.
//!
//! The crate has no I/O and no clock, and its random numbers come from a seed.

mod bounded_time;
mod buffer_budget;
mod id;
mod offer;
mod outcome;
mod request_rate;
mod response_status;
mod result_code;
mod rng;
mod target;

pub use bounded_time::{MAX_TIME, deserialize_time, time_at_rate, time_from_ms, time_from_s};
pub use buffer_budget::{
    BudgetExceeded, BudgetedBuffer, BufferBudget, BufferReservation, ChunkedBuffer,
};
pub use id::{ChatId, InstanceId, OfferId, PoolId, TargetId, TeamId, mix64, stable_id};
pub use offer::{Offer, ParseOfferError};
pub use outcome::Outcome;
pub use request_rate::RequestRate;
pub use response_status::ResponseStatus;
pub use result_code::ResultCode;
pub use rng::Rng;
pub use target::{Incarnation, TargetKind, TargetRecord, TargetState, WorkTokens};
