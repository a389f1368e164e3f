//! Tests validation, matching of requests and authentication of callers.

use std::time::Duration;

use bamboospur_catalog::{
    Access, CallerLimits, Catalog, CatalogError, RequestKind, Route, Service, ServiceShare, Team,
    UncheckedCatalog,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        priority: 1,
        shares: vec![share("records", 1)],
        max_attempts: 2,
        public: false,
        has_prompt: false,
        resumable: false,
        event_gap_objective: Duration::ZERO,
    }
}

fn share(service: &str, weight: u32) -> ServiceShare {
    ServiceShare {
        service: service.to_owned(),
        weight,
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        max_connections: 10,
        cold_rate: None,
        engine: None,
    }
}

fn team(name: &str, keys: &[&str]) -> Team {
    Team {
        name: name.to_owned(),
        keys: keys.iter().map(|&k| k.to_owned()).collect(),
        priority: None,
    }
}

fn parts() -> UncheckedCatalog {
    UncheckedCatalog {
        version: 3,
        routes: vec![
            route("a", "one.example", "/x/"),
            route("b", "one.example", "/x/y/"),
        ],
        services: vec![service("records"), service("chat")],
        limits: CallerLimits::default(),
        teams: vec![team("red", &["k1", "k2"]), team("blue", &["k3"])],
    }
}

fn catalog_error(change: impl FnOnce(&mut UncheckedCatalog)) -> CatalogError {
    let mut parts = parts();
    change(&mut parts);
    Catalog::try_from(parts).expect_err("the catalog is invalid")
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let catalog = Catalog::try_from(parts()).expect("valid");
    let name = |host, path| catalog.route(host, path).map(|r| r.name.as_str());
    assert_eq!(name("one.example", "/x/1"), Some("a"));
    assert_eq!(name("one.example", "/x/y/1"), Some("b"));
    assert_eq!(name("ONE.example:80", "/x/y/1?q=/z/"), Some("b"));
    assert_eq!(name("one.example", "/x"), None);
    assert_eq!(name("two.example", "/x/1"), None);
}

#[test]
fn a_key_authenticates_its_team() {
    let catalog = Catalog::try_from(parts()).expect("valid");
    let route = catalog.route("one.example", "/x/1").expect("a route");
    assert!(matches!(catalog.access(route, Some("k2")), Access::Team(t) if t.name == "red"));
    assert_eq!(catalog.access(route, Some("k9")), Access::Denied);
    assert_eq!(catalog.access(route, None), Access::Denied);
}

#[test]
fn public_routes_need_no_key() {
    let mut parts = parts();
    parts.routes[0].public = true;
    let catalog = Catalog::try_from(parts).expect("valid");
    let route = catalog.route("one.example", "/x/1").expect("a route");
    assert_eq!(catalog.access(route, None), Access::Open);
}

#[test]
fn invalid_catalogs_are_rejected_with_the_reason() {
    use CatalogError::{
        BadPrefix, DuplicateKey, DuplicateRoute, NoTimeout, NoWeight, UnknownService,
    };
    let unknown = catalog_error(|p| p.routes[0].shares = vec![share("none", 1)]);
    assert!(matches!(unknown, UnknownService { .. }));
    let same = catalog_error(|p| p.routes[1].path_prefix = "/x/".to_owned());
    assert!(matches!(same, DuplicateRoute { .. }));
    let weight =
        catalog_error(|p| p.routes[0].shares = vec![share("records", 0), share("chat", 0)]);
    assert!(matches!(weight, NoWeight { .. }));
    let timeout = catalog_error(|p| p.routes[0].timeout = Duration::ZERO);
    assert!(matches!(timeout, NoTimeout { .. }));
    let prefix = catalog_error(|p| p.routes[0].path_prefix = "x/".to_owned());
    assert!(matches!(prefix, BadPrefix { .. }));
    let shared = catalog_error(|p| p.teams[1].keys.push("k1".to_owned()));
    assert!(matches!(shared, DuplicateKey { .. }));
}

#[test]
fn requests_are_divided_by_weight() {
    let mut route = route("a", "one.example", "/x/");
    route.shares = vec![share("records", 90), share("none", 0), share("chat", 10)];
    let chat = (0..1_000).filter(|&n| route.service_for(n).is_some_and(|s| s == "chat"));
    assert_eq!(chat.count(), 100);
    assert!((0..1_000).all(|n| route.service_for(n).is_some_and(|s| s != "none")));
}

#[test]
fn only_resumable_streams_are_repeatable() {
    let mut route = route("a", "one.example", "/x/");
    assert!(route.is_repeatable());
    route.kind = RequestKind::NotIdempotent;
    assert!(!route.is_repeatable());
    route.kind = RequestKind::Stream;
    assert!(!route.is_repeatable());
    route.resumable = true;
    assert!(route.is_repeatable());
}
