//! Routes, services and teams in force.
//!
//! A [`Catalog`] is one version of what operators have set: which requests are
//! served, by which service, for which team. It is checked once, when it is
//! built, and then only read. Matching a request and authenticating a caller
//! are look-ups without I/O.

mod build;
mod kind;
mod matching;
mod model;

pub use build::CatalogError;
pub use kind::RequestKind;
pub use matching::Access;
pub use model::{
    CallerLimits, Catalog, EngineCapacity, Route, Service, Share, Team, UncheckedCatalog,
};

/// Number of a catalog; the highest one is in force.
pub type CatalogVersion = u64;
/// Name of a service.
pub type ServiceName = String;
/// Key that authenticates a caller as a member of a team.
pub type TeamKey = String;
