//! Where event streams began, so that a caller can resume them through any router.
//!
//! What two services or two software versions write does not fit together, so a stream goes
//! on only at targets of the service and version that wrote its first event. The router
//! that began a stream may be gone when the caller resumes it. As long as the origin of a
//! stream could be more than one, routers therefore report it to the control instances,
//! which keep it in an [`OriginTable`] and answer routers that ask. While every stream of a
//! service can have begun at one version only, nothing is reported.
//!
//! Which versions those are must not depend on what a process happens to remember. The control
//! group accepts each version before a target with it gets its first request, and keeps it
//! until no such stream goes on, so only its leader can say that it knows all.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboospur_catalog::ServiceName;
use bamboospur_group::{FleetState, ServiceSoftware};
use bamboospur_registry::{Announcement, Registry};
use serde::{Deserialize, Serialize};

/// Longest time from the first event of a stream to its last resume.
pub const MAX_STREAM_AGE: Duration = Duration::from_mins(1);

/// Time for which a report is sent again to a control instance whose link comes up: the
/// instance may have lost its memory, or the link the report. Few streams last longer.
const RESEND_TIME: Duration = Duration::from_secs(15);

/// Stable hash of the id of the request that brought the first event of a stream.
pub type StreamId = u64;

/// Service and software version of the target that began a stream.
pub type StreamOrigin = ServiceSoftware;

/// Returns the origin of the streams that a target begins.
#[must_use]
pub fn origin_at(target: &Announcement) -> StreamOrigin {
    StreamOrigin {
        service: target.service.clone(),
        software: target.software.clone(),
    }
}

/// Streams with the same origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStreams {
    /// Origin of the streams.
    pub origin: StreamOrigin,
    /// Ids of the streams.
    pub streams: Vec<StreamId>,
}

/// Where a stream that was not reported may have begun.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PossibleOrigins {
    /// Every known version that targets of its services had within the last
    /// [`MAX_STREAM_AGE`].
    pub origins: BTreeSet<StreamOrigin>,
    /// Whether the process that says so knows that there was no other version.
    pub is_complete: bool,
}

impl PossibleOrigins {
    /// Returns the possible origins of a stream of these services, as far as a process knows.
    #[must_use]
    pub fn known_to(
        registry: &Registry,
        fleet: &FleetState,
        services: &[ServiceName],
        now: Instant,
    ) -> Self {
        let lately = services.iter().flat_map(|service| {
            let versions = registry.software_versions(service, MAX_STREAM_AGE, now);
            versions.into_iter().map(|software| StreamOrigin {
                service: service.clone(),
                software: software.clone(),
            })
        });
        let accepted = fleet.software().iter();
        let accepted = accepted.filter(|origin| services.contains(&origin.service));
        Self {
            origins: lately.chain(accepted.cloned()).collect(),
            is_complete: false,
        }
    }
}

/// What a control instance knows about the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FoundOrigin {
    /// The stream was reported.
    Reported(StreamOrigin),
    /// The stream was not reported to this instance.
    NotReported(PossibleOrigins),
}

impl FoundOrigin {
    /// Returns the origin if there is only one possibility, also with what the router that
    /// asks knows itself.
    #[must_use]
    pub fn decide(self, mut own: PossibleOrigins) -> Option<StreamOrigin> {
        match self {
            Self::Reported(origin) => Some(origin),
            Self::NotReported(mut possible) => {
                possible.origins.append(&mut own.origins);
                let only = possible.origins.pop_first()?;
                (possible.is_complete && possible.origins.is_empty()).then_some(only)
            }
        }
    }
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

/// A stream that was reported.
#[derive(Clone, Debug)]
struct ReportedStream {
    stream: StreamId,
    origin: StreamOrigin,
    resend_until: Instant,
}

fn group<'a>(streams: impl IntoIterator<Item = (StreamId, &'a StreamOrigin)>) -> Vec<BegunStreams> {
    let mut groups: BTreeMap<&StreamOrigin, Vec<StreamId>> = BTreeMap::new();
    for (stream, origin) in streams {
        groups.entry(origin).or_default().push(stream);
    }
    let begun = groups.into_iter().map(|(origin, streams)| BegunStreams {
        origin: origin.clone(),
        streams,
    });
    begun.collect()
}

/// Streams that began or went on at one router, and those of them that are still to be reported.
#[derive(Clone, Debug, Default)]
pub struct OwnStreams {
    table: OriginTable,
    unreported: VecDeque<UnreportedStream>,
    /// Oldest first.
    reported: VecDeque<ReportedStream>,
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
        let is_due =
            |stream: &UnreportedStream| stream.due || mixed.contains(&stream.origin.service);
        if !self.unreported.iter().any(is_due) {
            return Vec::new();
        }
        let (due, rest) = self.unreported.drain(..).partition(is_due);
        self.unreported = rest;
        let due: VecDeque<UnreportedStream> = due;
        let begun = group(due.iter().map(|due| (due.stream, &due.origin)));
        self.reported.retain(|stream| now < stream.resend_until);
        self.reported
            .extend(due.into_iter().map(|due| ReportedStream {
                stream: due.stream,
                origin: due.origin,
                resend_until: now + RESEND_TIME,
            }));
        begun
    }

    /// Returns the streams that were reported lately, for an instance that may lack them.
    #[must_use]
    pub fn reported_lately(&self, now: Instant) -> Vec<BegunStreams> {
        let lately = self.reported.iter().filter(|s| now < s.resend_until);
        group(lately.map(|reported| (reported.stream, &reported.origin)))
    }

    /// Puts back streams that could not be reported.
    pub fn put_back(&mut self, begun: Vec<BegunStreams>, now: Instant) {
        let put_back = |reported: &ReportedStream| {
            let mut groups = begun.iter();
            groups.any(|group| group.streams.contains(&reported.stream))
        };
        self.reported.retain(|reported| !put_back(reported));
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
