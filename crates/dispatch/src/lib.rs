//! Choice of a target for each attempt of a request.
//!
//! A [`Dispatcher`] belongs to one router. It tracks the usable targets of each
//! service, the requests that this router has in flight at them, the load that their
//! answers reported, and the results of earlier attempts. A dispatcher does no I/O and
//! takes the time as a parameter.
//!
//! - Requests with a prompt stay with the targets that have the prompt's prefix cached
//!   while the load of these targets is below a bound. Another target is chosen by
//!   consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2016):
//!   the prefix is hashed to an order of targets that is the same on every router,
//!   and the first targets below the bound take the requests.
//! - Other requests go to the target with the shortest expected wait: requests in
//!   flight times the smoothed latency.
//! - A target that is cold gets requests at a pace that it bears.
//! - A target that fails is ejected for a while (passive outlier ejection) and
//!   readmitted through single repeatable requests.

mod arrivals;
mod cache_map;
mod choice;
mod cold;
mod dispatcher;
mod health;
mod load;
mod pause;
mod pool;
mod request;
mod settings;
mod target;

pub use cache_map::{CacheId, CachedPrefix, PrefixHash};
pub use dispatcher::Dispatcher;
pub use health::Outcome;
pub use load::LoadReport;
pub use request::{ChooseError, ChosenTarget, DispatchRequest, PromptPart, target_start_id};
pub use settings::DispatchSettings;
