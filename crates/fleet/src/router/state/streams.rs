//! Where streams began: at this router, and as far as control instances know.

use std::time::{Duration, Instant};

use bamboospur_catalog::{Route, ServiceName};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::{OriginQuery, Router};
use crate::stream_origins::{BegunStreams, PossibleOrigins, StreamId, StreamOrigin};

/// Longest wait for the answers of control instances about the origin of a stream.
const MAX_ORIGIN_WAIT: Duration = Duration::from_millis(500);

impl Router {
    /// Records where a stream began: its first event was delivered, or it goes on here.
    pub fn begin_stream(&self, stream: StreamId, origin: &StreamOrigin, route: &Route) {
        let several_services = route.shares.len() > 1;
        let mut streams = self.own_streams.borrow_mut();
        streams.record(stream, origin.clone(), several_services, Instant::now());
        drop(streams);
        self.stream_began.notify_one();
    }

    /// Removes and returns the streams whose origin is to be reported now.
    pub fn take_begun_streams(&self) -> Vec<BegunStreams> {
        let now = Instant::now();
        let has_versions = |service: &ServiceName| {
            let possible = self.possible_origins(std::slice::from_ref(service));
            possible.origins.len() > 1
        };
        self.own_streams.borrow_mut().take_due(has_versions, now)
    }

    /// Returns the streams whose origin was reported lately.
    pub fn reported_streams(&self) -> Vec<BegunStreams> {
        self.own_streams.borrow().reported_lately(Instant::now())
    }

    /// Puts back streams whose origin could not be reported.
    pub fn put_back_streams(&self, begun: Vec<BegunStreams>) {
        self.own_streams
            .borrow_mut()
            .put_back(begun, Instant::now());
    }

    /// Returns where a stream that was not reported may have begun, as far as this router
    /// knows.
    pub fn possible_origins(&self, services: &[ServiceName]) -> PossibleOrigins {
        let (registry, fleet) = (self.registry.borrow(), self.fleet.borrow());
        PossibleOrigins::known_to(&registry, &fleet, services, Instant::now())
    }

    /// Returns where a stream that a caller resumes began; `None` if neither this router nor
    /// a control instance can tell.
    pub async fn find_origin(
        &self,
        stream: Option<StreamId>,
        services: Vec<ServiceName>,
    ) -> Option<StreamOrigin> {
        let known = stream.and_then(|stream| self.own_streams.borrow().find(stream).cloned());
        if known.is_some() {
            return known;
        }
        let (reply, answer) = oneshot::channel();
        let query = OriginQuery {
            stream,
            services,
            reply,
        };
        self.origin_queries.try_send(query).ok()?;
        timeout(MAX_ORIGIN_WAIT, answer).await.ok()?.ok()?
    }
}
