//! Routes, services and teams of a catalog.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboospur_types::RequestRate;

use crate::kind::RequestKind;
use crate::{CatalogVersion, ServiceName, TeamKey};

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Requests of one host and path prefix, which are handled alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host name in the request, without a port.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of the requests, which decides whether they may be repeated.
    pub kind: RequestKind,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Time within which an answer must arrive to have its full value.
    pub latency_objective: Duration,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Services that receive the requests, with their weights.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key, even if the catalog has teams.
    pub public: bool,
    /// Whether requests identify the parts of their prompt.
    pub has_prompt: bool,
    /// Whether a broken stream can be resumed at another target.
    pub resumable: bool,
    /// Maximum time between two events of a stream that counts as on time.
    pub event_gap_objective: Duration,
}

impl Route {
    /// Returns whether a request of this route may run more than once.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NotIdempotent => false,
            RequestKind::Stream => self.resumable,
        }
    }

    /// Picks a service by weight for a number that is evenly distributed over
    /// requests. Returns `None` if the weights add up to 0.
    ///
    /// The same number always gives the same service, so a repeated request goes to
    /// the same service as before.
    #[must_use]
    pub fn service_for(&self, number: u64) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut rest = number.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.service);
            }
            rest -= weight;
        }
        None
    }
}

/// Capacity of each model engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Memory of one engine for prompts and running requests, in tokens.
    pub memory_tokens: u64,
}

/// Group of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, unique in the catalog.
    pub name: ServiceName,
    /// Maximum number of connections that one target accepts from all routers
    /// together.
    pub max_connections: u32,
    /// Requests per second that a cold target bears from all routers together; `None` if as
    /// many as any other.
    pub cold_rate: Option<RequestRate>,
    /// Capacity of each target; `None` if the targets are not model engines.
    pub engine: Option<EngineCapacity>,
}

/// Limits on the size of a caller's requests and on the time for which a connection waits
/// for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request head to its end.
    pub head_timeout: Duration,
    /// Maximum time for which a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Administrative unit of a customer, to which callers belong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Keys that authenticate the team's callers.
    pub keys: Vec<TeamKey>,
    /// Priority that replaces the route's; `None` keeps the route's.
    pub priority: Option<u8>,
}

/// Content of a catalog before validation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UncheckedCatalog {
    /// Version number of the catalog.
    pub version: CatalogVersion,
    /// Routes; no two have the same host and path prefix in a valid catalog.
    pub routes: Vec<Route>,
    /// Services that the routes refer to by name.
    pub services: Vec<Service>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Teams; callers need no key when there are none.
    pub teams: Vec<Team>,
}

/// Validated catalog with its indexes.
#[derive(Clone, Debug)]
pub struct Catalog {
    pub(crate) version: CatalogVersion,
    pub(crate) routes: Vec<Route>,
    pub(crate) services: BTreeMap<ServiceName, Service>,
    pub(crate) limits: CallerLimits,
    pub(crate) teams: Vec<Team>,
    /// Positions in `routes` by host, longest prefix first.
    pub(crate) routes_by_host: BTreeMap<String, Vec<usize>>,
    /// Positions in `teams` by key.
    pub(crate) teams_by_key: BTreeMap<TeamKey, usize>,
}

impl Catalog {
    /// Returns the version number of the catalog.
    #[must_use]
    pub const fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Returns the limits on what callers send.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the service with this name, if the catalog has one.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the routes in the order in which they were given.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}
