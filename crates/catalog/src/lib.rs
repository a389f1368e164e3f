//! Routes, services and teams in force.
//!
//! A [`Catalog`] is one version of the configuration that operators set: which
//! requests are served, by which service, for which team. A catalog is validated
//! when it is built and is immutable afterwards. Matching a request and
//! authenticating a caller are look-ups without I/O.

mod build;
mod kind;
mod matching;
mod model;

pub use build::CatalogError;
pub use kind::RequestKind;
pub use matching::Access;
pub use model::{
    CallerLimits, Catalog, EngineCapacity, Route, Service, ServiceShare, Team, UncheckedCatalog,
};

/// Version number of a catalog; the highest one is in force.
pub type CatalogVersion = u64;
/// Name that identifies a service within a catalog.
pub type ServiceName = String;
/// Key that authenticates a caller as a member of a team.
pub type TeamKey = String;
