//! Services to which routes have led lately.
//!
//! A stream that no router has reported can have begun at any service to which its route led
//! while it lasts: at one from which the route has moved, whose weight has become 0, or of a
//! route that was removed and added again. The control instances see every configuration that was
//! in force, and keep those of the last [`MAX_STREAM_AGE`]. After a gap, such as a snapshot of the
//! log, an instance does not know them all, and says so until they are too old to matter.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use bamboospur_catalog::{Catalog, ServiceName};
use bamboospur_group::{Document, DocumentVersion};
use bamboospur_platform::config;
use tracing::warn;

use crate::stream_origins::MAX_STREAM_AGE;

/// Most bytes of configurations that are kept; more changes in a minute leave a gap.
const MAX_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of configurations after which a query reads no further one. An instance answers nothing
/// else meanwhile.
const MAX_READ_BYTES: usize = 512 * 1024;

/// Services that get requests, by host and path prefix of the route.
type RouteServices = BTreeMap<(String, String), BTreeSet<ServiceName>>;

/// A configuration that a newer one has replaced.
#[derive(Clone, Debug)]
struct Replaced {
    document: Document,
    /// When it was replaced, or this instance heard of that.
    until: Instant,
    /// Content of the document, once a query has needed it.
    services: Option<RouteServices>,
}

/// Configurations that were in force lately.
#[derive(Clone, Debug, Default)]
pub struct RouteHistory {
    replaced: VecDeque<Replaced>,
    newest: Option<(DocumentVersion, RouteServices)>,
    /// When all configurations that matter are known; `None` if they are.
    complete_at: Option<Instant>,
}

impl RouteHistory {
    /// Adds a configuration that was replaced now or before.
    pub fn push(&mut self, document: Document, now: Instant) {
        self.remove_expired(now);
        self.replaced.push_back(Replaced {
            document,
            until: now,
            services: None,
        });
        let size = |all: &VecDeque<Replaced>| -> usize {
            all.iter().map(|r| r.document.text().len()).sum()
        };
        while size(&self.replaced) > MAX_BYTES {
            self.replaced.pop_front();
            self.record_gap(now);
        }
    }

    /// Records that configurations may have been in force that are not known here.
    pub fn record_gap(&mut self, now: Instant) {
        self.complete_at = Some(now + MAX_STREAM_AGE);
    }

    /// Whether all configurations are known that were in force lately.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        self.complete_at.is_none_or(|at| now >= at)
    }

    /// Returns the services at which a stream can have begun whose route leads to `services` now
    /// or did so lately; `newest` is the configuration in force. `None` if not all of them are
    /// known yet: each call reads a part of the configurations.
    pub fn services_lately(
        &mut self,
        services: &[ServiceName],
        newest: &Document,
        now: Instant,
    ) -> Option<BTreeSet<ServiceName>> {
        self.remove_expired(now);
        let wanted: BTreeSet<ServiceName> = services.iter().cloned().collect();
        if self.replaced.is_empty() {
            return self.is_complete(now).then_some(wanted);
        }
        let is_whole = self.read_documents(newest, now);
        if !is_whole || !self.is_complete(now) {
            return None;
        }
        let replaced = self.replaced.iter().filter_map(|r| r.services.as_ref());
        let all: Vec<&RouteServices> = replaced
            .chain(self.newest.as_ref().map(|(_, services)| services))
            .collect();
        let routes = all.iter().flat_map(|routes| routes.iter());
        let places: BTreeSet<_> = routes
            .filter(|(_, services)| **services == wanted)
            .map(|(place, _)| place)
            .collect();
        let lately = all
            .iter()
            .flat_map(|routes| places.iter().filter_map(|place| routes.get(place)));
        Some(wanted.iter().chain(lately.flatten()).cloned().collect())
    }

    /// Reads configurations that no query has needed yet; returns whether all are read.
    fn read_documents(&mut self, newest: &Document, now: Instant) -> bool {
        let mut read_bytes = 0;
        if self.newest.as_ref().map(|(version, _)| *version) != Some(newest.version) {
            self.newest = Some((newest.version, self.read(newest, now)));
            read_bytes += newest.text().len();
        }
        for index in 0..self.replaced.len() {
            if self.replaced[index].services.is_some() {
                continue;
            }
            if read_bytes > MAX_READ_BYTES {
                return false;
            }
            let document = self.replaced[index].document.clone();
            read_bytes += document.text().len();
            self.replaced[index].services = Some(self.read(&document, now));
        }
        true
    }

    fn remove_expired(&mut self, now: Instant) {
        self.replaced
            .retain(|replaced| now < replaced.until + MAX_STREAM_AGE);
    }

    fn read(&mut self, document: &Document, now: Instant) -> RouteServices {
        match config::parse_catalog(document.text()) {
            Ok(catalog) => route_services(&catalog),
            Err(error) => {
                warn!(
                    version = document.version,
                    %error,
                    "an accepted configuration cannot be read; origins of streams stay unknown"
                );
                self.record_gap(now);
                RouteServices::new()
            }
        }
    }
}

fn route_services(catalog: &Catalog) -> RouteServices {
    let routes = catalog.routes().iter().map(|route| {
        let place = (route.host.to_ascii_lowercase(), route.path_prefix.clone());
        let shares = route.shares.iter().filter(|share| share.weight > 0);
        (place, shares.map(|share| share.service.clone()).collect())
    });
    routes.collect()
}
