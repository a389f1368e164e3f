//! Stand-in targets for `--dev` and for tests: a model engine and a records
//! service. Both announce themselves over the same HTTP protocol as real targets
//! and run on threads of the calling process.

pub mod announcer;
pub mod cache;
pub mod engine;
mod http;
pub mod orders;
pub mod records;

pub use engine::{Engine, EngineSettings};
pub use records::{RecordsService, RecordsSettings};
