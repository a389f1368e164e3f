//! Which route a request belongs to, and which team its caller.

use crate::model::{Catalog, Route, Team};

/// Result of authenticating a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access<'a> {
    /// The route needs no key.
    Open,
    /// The key belongs to this team.
    Team(&'a Team),
    /// There is no key, or nobody has it.
    Denied,
}

impl Catalog {
    /// Returns the route of a request: the longest path prefix of its host.
    ///
    /// `host` can have a port, and `path` a query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let positions = self.by_host.get(&name.to_ascii_lowercase())?;
        let mut routes = positions.iter().map(|&position| &self.routes[position]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether callers of a route need a key.
    #[must_use]
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.public && !self.teams.is_empty()
    }

    /// Authenticates a caller of a route.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        if !self.needs_key(route) {
            return Access::Open;
        }
        let position = key.and_then(|key| self.by_key.get(key));
        position.map_or(Access::Denied, |&p| Access::Team(&self.teams[p]))
    }

    /// Whether any team exists, so that keys have a meaning.
    #[must_use]
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }
}
