//! Whether a request is served, and by which route.

use bamboospur_catalog::{Access, Catalog, Route, Team};
use bamboospur_platform::request::RequestMetadata;
use bamboospur_types::ResultCode;

/// A request that is served.
#[derive(Clone, Copy, Debug)]
pub struct Admitted<'a> {
    /// Route.
    pub route: &'a Route,
    /// Team of the caller, when the route needs a key.
    pub team: Option<&'a Team>,
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is held yet.
    NoConfig,
    /// The configuration held may be out of date.
    Stale,
    /// No route matches.
    NoRoute,
    /// No team has the key.
    NoTeam,
}

impl Refusal {
    /// Returns the result code.
    #[must_use]
    pub const fn code(self) -> ResultCode {
        match self {
            Self::NoConfig | Self::Stale => ResultCode::NotReady,
            Self::NoRoute => ResultCode::UnknownPath,
            Self::NoTeam => ResultCode::Unauthenticated,
        }
    }
}

/// Decision on a request.
pub type Admission<'a> = Result<Admitted<'a>, Refusal>;

/// Decides on a request. `is_current` says whether the catalog is known to be in
/// force; `fail_closed` whether keys stop working when it is not.
///
/// A catalog that may be out of date refuses nothing for good: a route or a key
/// that it lacks can exist by now.
///
/// # Errors
///
/// Returns why the request is not served.
pub fn admit<'a>(
    catalog: Option<&'a Catalog>,
    terms: &RequestMetadata,
    path: &str,
    is_current: bool,
    fail_closed: bool,
) -> Admission<'a> {
    let catalog = catalog.ok_or(Refusal::NoConfig)?;
    let sure = |refusal| if is_current { refusal } else { Refusal::Stale };
    let route = catalog.route(&terms.host, path);
    let route = route.ok_or_else(|| sure(Refusal::NoRoute))?;
    match catalog.access(route, terms.key.as_deref()) {
        Access::Open => Ok(Admitted { route, team: None }),
        Access::Denied => Err(sure(Refusal::NoTeam)),
        Access::Team(_) if fail_closed && !is_current => Err(Refusal::Stale),
        Access::Team(team) => Ok(Admitted {
            route,
            team: Some(team),
        }),
    }
}
