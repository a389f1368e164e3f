//! Validates a catalog and builds its indexes.

use std::collections::BTreeMap;

use quick_error::quick_error;

use crate::ServiceName;
use crate::model::{Catalog, Route, Service, Team, UncheckedCatalog};

quick_error! {
    /// Reason why a catalog is invalid.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum CatalogError {
        /// A route names a service that is not in the catalog.
        UnknownService { route: String, service: String } {
            display("route {route:?} names the service {service:?}, which does not exist")
        }
        /// Two routes have the same host and path prefix.
        DuplicateRoute { route: String, other: String } {
            display("routes {route:?} and {other:?} have the same host and path prefix")
        }
        /// A route has no services, or all of their weights are 0.
        NoWeight { route: String } {
            display("the weights of route {route:?} add up to 0")
        }
        /// The timeout of a route is 0.
        NoTimeout { route: String } {
            display("the timeout of route {route:?} is 0")
        }
        /// The path prefix of a route does not begin and end with a slash.
        BadPrefix { route: String } {
            display("the path prefix of route {route:?} does not begin and end with a slash")
        }
        /// Two services have the same name.
        DuplicateService { service: String } {
            display("service {service:?} is defined twice")
        }
        /// A key belongs to two teams.
        DuplicateKey { team: String, other: String } {
            display("teams {team:?} and {other:?} have a key in common")
        }
    }
}

impl TryFrom<UncheckedCatalog> for Catalog {
    type Error = CatalogError;

    fn try_from(parts: UncheckedCatalog) -> Result<Self, CatalogError> {
        let services = index_services(parts.services)?;
        for route in &parts.routes {
            check_route(route, &services)?;
        }
        Ok(Self {
            version: parts.version,
            routes_by_host: index_routes(&parts.routes)?,
            teams_by_key: index_keys(&parts.teams)?,
            routes: parts.routes,
            services,
            limits: parts.limits,
            teams: parts.teams,
        })
    }
}

fn index_services(services: Vec<Service>) -> Result<BTreeMap<ServiceName, Service>, CatalogError> {
    let mut index = BTreeMap::new();
    for service in services {
        let name = service.name.clone();
        if index.insert(name.clone(), service).is_some() {
            return Err(CatalogError::DuplicateService { service: name });
        }
    }
    Ok(index)
}

fn check_route(
    route: &Route,
    services: &BTreeMap<ServiceName, Service>,
) -> Result<(), CatalogError> {
    let name = || route.name.clone();
    let unknown = route
        .shares
        .iter()
        .find(|share| !services.contains_key(&share.service));
    if let Some(share) = unknown {
        return Err(CatalogError::UnknownService {
            route: name(),
            service: share.service.clone(),
        });
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        return Err(CatalogError::NoWeight { route: name() });
    }
    if route.timeout.is_zero() {
        return Err(CatalogError::NoTimeout { route: name() });
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(CatalogError::BadPrefix { route: name() });
    }
    Ok(())
}

fn index_routes(routes: &[Route]) -> Result<BTreeMap<String, Vec<usize>>, CatalogError> {
    let mut known = BTreeMap::new();
    let mut index: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (position, route) in routes.iter().enumerate() {
        let host = route.host.to_ascii_lowercase();
        if let Some(other) = known.insert((host.clone(), &route.path_prefix), position) {
            return Err(CatalogError::DuplicateRoute {
                route: route.name.clone(),
                other: routes[other].name.clone(),
            });
        }
        index.entry(host).or_default().push(position);
    }
    for positions in index.values_mut() {
        positions.sort_by_key(|&p| std::cmp::Reverse(routes[p].path_prefix.len()));
    }
    Ok(index)
}

fn index_keys(teams: &[Team]) -> Result<BTreeMap<String, usize>, CatalogError> {
    let mut index = BTreeMap::new();
    for (position, team) in teams.iter().enumerate() {
        for key in &team.keys {
            let other = index.insert(key.clone(), position);
            if let Some(other) = other.filter(|&other| other != position) {
                return Err(CatalogError::DuplicateKey {
                    team: team.name.clone(),
                    other: teams[other].name.clone(),
                });
            }
        }
    }
    Ok(index)
}
