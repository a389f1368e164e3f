//! Types of a catalog.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::kind::RequestKind;
use crate::{CatalogVersion, ServiceName, TeamKey};

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Service.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Requests that are treated alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host name that the request asks for.
    pub host: String,
    /// Start of the path; it begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub latency_objective: Duration,
    /// Rank among requests; 0 goes first.
    pub priority: u8,
    /// Services that take the requests.
    pub shares: Vec<Share>,
    /// Most targets that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests name the parts of their prompt.
    pub has_prompt: bool,
    /// Whether a broken stream can go on at another target.
    pub resumable: bool,
    /// Longest pause between events of a stream that is on time.
    pub event_gap_objective: Duration,
}

impl Route {
    /// Whether a request of this route may run more than once.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NotIdempotent => false,
            RequestKind::Stream => self.resumable,
        }
    }

    /// Picks the service for a number that is evenly distributed over requests.
    ///
    /// Equal numbers give equal services, so a resend stays where it was.
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

/// What the engines of a service can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Memory of one engine for prompts and running requests, in tokens.
    pub memory_tokens: u64,
}

/// Targets that serve the same requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that one target accepts from all routers together.
    pub max_connections: u32,
    /// Present when the targets are model engines.
    pub engine: Option<EngineCapacity>,
}

/// Bounds on what a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub head_bytes: usize,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open without a request.
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

/// Customer's unit of administration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<TeamKey>,
    /// Rank that replaces the route's.
    pub priority: Option<u8>,
}

/// Content of a catalog before it is checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UncheckedCatalog {
    /// Number of the catalog.
    pub version: CatalogVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Teams; callers need no key when there are none.
    pub teams: Vec<Team>,
}

/// A checked catalog with its indexes.
#[derive(Clone, Debug)]
pub struct Catalog {
    pub(crate) version: CatalogVersion,
    pub(crate) routes: Vec<Route>,
    pub(crate) services: BTreeMap<ServiceName, Service>,
    pub(crate) limits: CallerLimits,
    pub(crate) teams: Vec<Team>,
    /// Positions in `routes` by host, longest prefix first.
    pub(crate) by_host: BTreeMap<String, Vec<usize>>,
    /// Positions in `teams` by key.
    pub(crate) by_key: BTreeMap<TeamKey, usize>,
}

impl Catalog {
    /// Returns the number of the catalog.
    #[must_use]
    pub const fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Returns the bounds on callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the routes.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}
