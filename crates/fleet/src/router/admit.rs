//! Admission of requests: route lookup and key check.

use bamboospur_catalog::{Access, Catalog, Route, Team};
use bamboospur_platform::request::RequestMetadata;
use bamboospur_types::ResultCode;

use super::lease::ConfigState;

/// The route and team of an admitted request.
#[derive(Clone, Copy, Debug)]
pub struct Admitted<'a> {
    /// Route that matches the host and path of the request.
    pub route: &'a Route,
    /// Team that the key belongs to; `None` on a public route.
    pub team: Option<&'a Team>,
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The router has not received a configuration yet.
    NoConfig,
    /// The router's configuration may be out of date.
    Stale,
    /// No route matches the host and path.
    NoRoute,
    /// The route needs a key, and no team has the key of the request.
    NoTeam,
}

impl Refusal {
    /// Returns the result code that the caller gets.
    #[must_use]
    pub const fn code(self) -> ResultCode {
        match self {
            Self::NoConfig | Self::Stale => ResultCode::NotReady,
            Self::NoRoute => ResultCode::UnknownPath,
            Self::NoTeam => ResultCode::Unauthenticated,
        }
    }

    /// Whether the request may be served once the router knows the configuration in force.
    #[must_use]
    pub const fn may_pass(self) -> bool {
        matches!(self, Self::NoConfig | Self::Stale)
    }
}

/// Result of [`admit`].
pub type Admission<'a> = Result<Admitted<'a>, Refusal>;

/// Decides whether a request is served. `state` says whether the catalog is known to be in
/// force; `fail_closed` whether requests with a key are refused once the lease is over.
///
/// Without a recent confirmation, an unknown route or key is refused as
/// [`Refusal::Stale`], which callers may retry: the route or the key may have been
/// added since. With an outdated catalog everything is.
///
/// # Errors
///
/// Returns why the request is not served.
pub fn admit<'a>(
    catalog: Option<&'a Catalog>,
    metadata: &RequestMetadata,
    path: &str,
    state: ConfigState,
    fail_closed: bool,
) -> Admission<'a> {
    let catalog = catalog.ok_or(Refusal::NoConfig)?;
    let refusal_or_stale = |refusal| match state {
        ConfigState::Confirmed => refusal,
        ConfigState::Unconfirmed | ConfigState::Outdated | ConfigState::Expired => Refusal::Stale,
    };
    let route = catalog.route(&metadata.host, path);
    let route = route.ok_or_else(|| refusal_or_stale(Refusal::NoRoute))?;
    if state == ConfigState::Outdated {
        return Err(Refusal::Stale);
    }
    match catalog.access(route, metadata.api_key.as_deref()) {
        Access::Open => Ok(Admitted { route, team: None }),
        Access::Denied => Err(refusal_or_stale(Refusal::NoTeam)),
        Access::Team(_) if fail_closed && state == ConfigState::Expired => Err(Refusal::Stale),
        Access::Team(team) => Ok(Admitted {
            route,
            team: Some(team),
        }),
    }
}
