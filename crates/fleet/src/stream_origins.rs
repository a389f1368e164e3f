//! Where event streams began, so that a caller can resume them through any router.
//!
//! What two services or two software versions write does not fit together, so a stream goes
//! on only at targets of the service and version that wrote its first event. The router
//! that began a stream may be gone when the caller resumes it. As long as the origin of a
//! stream could be more than one, routers therefore report it to the control instances,
//! which keep it in an [`OriginTable`] and answer routers that ask. While every stream of a
//! service can have begun at one version only, nothing is reported.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_catalog::ServiceName;
use bamboospur_registry::{Registry, SoftwareVersion};
use serde::{Deserialize, Serialize};

/// Longest time from the first event of a stream to its last resume.
pub const MAX_STREAM_AGE: Duration = Duration::from_mins(1);

/// Stable hash of the id of the request that brought the first event of a stream.
pub type StreamId = u64;

/// Service and software version of the target that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: ServiceName,
    /// Software version of the target.
    pub software: SoftwareVersion,
}

/// Streams with the same origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStreams {
    /// Origin of the streams.
    pub origin: StreamOrigin,
    /// Ids of the streams.
    pub streams: Vec<StreamId>,
}

/// Returns where a stream with an unknown origin may have begun: every version that targets
/// of these services had within the last [`MAX_STREAM_AGE`].
#[must_use]
pub fn possible_origins(
    registry: &Registry,
    services: &[ServiceName],
    now: Instant,
) -> Vec<StreamOrigin> {
    let origins = services.iter().flat_map(|service| {
        let versions = registry.software_versions(service, MAX_STREAM_AGE, now);
        versions.into_iter().map(|software| StreamOrigin {
            service: service.clone(),
            software: software.clone(),
        })
    });
    origins.collect()
}

/// Origins of streams, kept for [`MAX_STREAM_AGE`] to twice as long.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    /// One copy of each origin, which its streams share.
    origins: BTreeSet<Rc<StreamOrigin>>,
    recent: BTreeMap<StreamId, Rc<StreamOrigin>>,
    older: BTreeMap<StreamId, Rc<StreamOrigin>>,
    /// When `recent` becomes `older`.
    rotate_at: Option<Instant>,
}

impl OriginTable {
    /// Records where a stream began, unless that is known. Returns whether it was unknown.
    pub fn record(&mut self, stream: StreamId, origin: &StreamOrigin, now: Instant) -> bool {
        self.remove_expired(now);
        if self.find(stream).is_some() {
            return false;
        }
        let shared = match self.origins.get(origin) {
            Some(shared) => Rc::clone(shared),
            None => Rc::new(origin.clone()),
        };
        self.origins.insert(Rc::clone(&shared));
        self.recent.insert(stream, shared);
        true
    }

    /// Returns where a stream began.
    #[must_use]
    pub fn find(&self, stream: StreamId) -> Option<&StreamOrigin> {
        let found = self.recent.get(&stream).or_else(|| self.older.get(&stream));
        found.map(Rc::as_ref)
    }

    /// Removes the origins of streams that no caller resumes any more.
    pub fn remove_expired(&mut self, now: Instant) {
        if self.rotate_at.is_some_and(|at| now < at) {
            return;
        }
        if self.rotate_at.is_some_and(|at| now >= at + MAX_STREAM_AGE) {
            self.recent.clear();
        }
        self.rotate_at = Some(now + MAX_STREAM_AGE);
        self.older = std::mem::take(&mut self.recent);
        self.origins.retain(|origin| Rc::strong_count(origin) > 1);
    }

    /// Returns the number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Returns whether no stream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A stream that was not reported yet.
#[derive(Clone, Debug)]
struct UnreportedStream {
    stream: StreamId,
    origin: StreamOrigin,
    /// Whether the stream is reported even if its service has one version.
    due: bool,
    expires_at: Instant,
}

/// Streams that began or went on at one router, and those of them that are still to be reported.
#[derive(Clone, Debug, Default)]
pub struct OwnStreams {
    table: OriginTable,
    unreported: VecDeque<UnreportedStream>,
}

impl OwnStreams {
    /// Records a stream that began or goes on at this router. `several_services`
    /// says whether the stream could have begun at another service.
    pub fn record(
        &mut self,
        stream: StreamId,
        origin: StreamOrigin,
        several_services: bool,
        now: Instant,
    ) {
        if self.table.record(stream, &origin, now) {
            self.unreported.push_back(UnreportedStream {
                stream,
                origin,
                due: several_services,
                expires_at: now + MAX_STREAM_AGE,
            });
        }
    }

    /// Returns where a stream began.
    #[must_use]
    pub fn find(&self, stream: StreamId) -> Option<&StreamOrigin> {
        self.table.find(stream)
    }

    /// Makes all streams due, because routes have changed their services: who resumes a
    /// stream cannot tell any more at which service it began.
    pub fn make_all_due(&mut self) {
        for unreported in &mut self.unreported {
            unreported.due = true;
        }
    }

    /// Removes and returns the streams to report now: those that are due, and those of
    /// services for which `has_versions` says that they have several versions.
    pub fn take_due(
        &mut self,
        has_versions: impl Fn(&ServiceName) -> bool,
        now: Instant,
    ) -> Vec<BegunStreams> {
        self.unreported.retain(|stream| now < stream.expires_at);
        let services: BTreeSet<&ServiceName> =
            self.unreported.iter().map(|u| &u.origin.service).collect();
        let mixed = services
            .into_iter()
            .filter(|&service| has_versions(service));
        let mixed: BTreeSet<ServiceName> = mixed.cloned().collect();
        let mut due: BTreeMap<StreamOrigin, Vec<StreamId>> = BTreeMap::new();
        self.unreported.retain(|unreported| {
            let is_due = unreported.due || mixed.contains(&unreported.origin.service);
            if is_due {
                let streams = due.entry(unreported.origin.clone()).or_default();
                streams.push(unreported.stream);
            }
            !is_due
        });
        let due = due.into_iter();
        due.map(|(origin, streams)| BegunStreams { origin, streams })
            .collect()
    }

    /// Puts back streams that could not be reported.
    pub fn put_back(&mut self, begun: Vec<BegunStreams>, now: Instant) {
        for BegunStreams { origin, streams } in begun {
            for stream in streams {
                self.unreported.push_back(UnreportedStream {
                    stream,
                    origin: origin.clone(),
                    due: true,
                    expires_at: now + MAX_STREAM_AGE,
                });
            }
        }
    }
}
