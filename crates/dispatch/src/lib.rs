//! Choice of a target for each attempt of a request.
//!
//! A [`Dispatcher`] belongs to one router. It knows the usable targets of each
//! service, the requests that this router has on them, what their answers said
//! about their load, and how its requests fared. It does no I/O and takes the
//! time as a parameter.
//!
//! - Requests with a prompt stay with the targets that have read the shared parts
//!   of the prompt while those are below a bound. A new place follows consistent
//!   hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2016): the
//!   shared parts are hashed to an order of targets that is the same on every
//!   router, and the first target below the bound takes the request.
//! - Other requests go where the wait is expected to be shortest: requests under
//!   way times the smoothed latency.
//! - A target that fails is left out for a while (passive outlier ejection) and
//!   let back in through single repeatable requests.

mod arrivals;
mod cache_map;
mod demand;
mod dispatcher;
mod health;
mod load;
mod pool;
mod settings;

pub use cache_map::{CacheId, CachedPrefix, SharedHash};
pub use demand::{ChooseError, ChosenTarget, DispatchRequest, PromptPart};
pub use dispatcher::Dispatcher;
pub use health::Outcome;
pub use load::LoadReport;
pub use settings::DispatchSettings;
