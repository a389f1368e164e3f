//! Matches requests to routes and authenticates callers.

use crate::model::{Catalog, Route, Team};

/// Result of authenticating a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access<'a> {
    /// The route needs no key.
    Open,
    /// The key belongs to this team.
    Team(&'a Team),
    /// The caller sent no key, or one that belongs to no team.
    Denied,
}

impl Catalog {
    /// Returns the route of a request: the one of its host with the longest path
    /// prefix that matches.
    ///
    /// A port in `host` and a query in `path` are ignored, as is the case of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let positions = self.routes_by_host.get(&name.to_ascii_lowercase())?;
        let mut routes = positions.iter().map(|&position| &self.routes[position]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns whether callers of a route need a key.
    #[must_use]
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.public && !self.teams.is_empty()
    }

    /// Authenticates a caller of a route by its key.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        if !self.needs_key(route) {
            return Access::Open;
        }
        let position = key.and_then(|key| self.teams_by_key.get(key));
        position.map_or(Access::Denied, |&p| Access::Team(&self.teams[p]))
    }

    /// Returns whether the catalog has teams; without teams no caller needs a key.
    #[must_use]
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }
}
