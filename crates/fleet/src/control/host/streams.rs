//! Origins of the streams that routers report and ask for.

use std::time::Instant;

use bamboospur_catalog::ServiceName;
use bamboospur_group::GroupInput;

use super::Host;
use crate::control::operators::{PendingRequest, StreamQuery};
use crate::link::{Frame, LinkId};
use crate::stream_origins::{BegunStreams, FoundOrigin, PossibleOrigins};

impl Host {
    /// Handles reports and queries of routers about the origins of streams.
    pub(super) fn handle_stream_frame(&mut self, link: LinkId, frame: Frame, now: Instant) {
        match frame {
            Frame::StreamsBegun(begun) => self.record_begun_streams(&begun, now),
            Frame::FindStream {
                ticket,
                stream,
                services,
            } => {
                let query = StreamQuery {
                    link,
                    ticket,
                    stream,
                    services,
                };
                self.handle_find_stream(query, now);
            }
            _ => {}
        }
    }

    fn record_begun_streams(&mut self, begun: &[BegunStreams], now: Instant) {
        for BegunStreams { origin, streams } in begun {
            for &stream in streams {
                self.stream_origins.record(stream, origin, now);
            }
        }
    }

    /// Answers at once if the stream was reported. Which versions it can have begun at
    /// otherwise, only the leader can say for certain.
    fn handle_find_stream(&mut self, query: StreamQuery, now: Instant) {
        let found = self.find_stream(&query, now);
        if self.is_leader() && matches!(found, FoundOrigin::NotReported(_)) {
            let request = PendingRequest::FindStream(query);
            let ticket = self.pending_requests.add_own(request, now);
            self.handle_group_input(GroupInput::Read { ticket });
        } else {
            self.send_found_stream(&query, found);
        }
    }

    /// Answers a query after the read that it waited for. `confirmed` says whether the group
    /// has confirmed that this instance has its newest state.
    pub(super) fn answer_find_stream(
        &mut self,
        query: &StreamQuery,
        confirmed: bool,
        now: Instant,
    ) {
        let mut found = self.find_stream(query, now);
        if let FoundOrigin::NotReported(possible) = &mut found {
            possible.is_complete = confirmed && self.add_earlier_origins(query, possible, now);
        }
        self.send_found_stream(query, found);
    }

    /// Adds the origins of streams that began before their route led where it leads now. Returns
    /// whether all possible origins are known.
    fn add_earlier_origins(
        &mut self,
        query: &StreamQuery,
        possible: &mut PossibleOrigins,
        now: Instant,
    ) -> bool {
        let newest = self.group.document();
        let services = self
            .route_history
            .services_lately(&query.services, newest, now);
        let Some(services) = services else {
            return false;
        };
        let services: Vec<ServiceName> = services.into_iter().collect();
        let (registry, fleet) = (&self.registry, self.group.fleet());
        let mut all = PossibleOrigins::known_to(registry, fleet, &services, now);
        possible.origins.append(&mut all.origins);
        self.knows_software(now)
    }

    fn send_found_stream(&self, query: &StreamQuery, found: FoundOrigin) {
        let ticket = query.ticket;
        // The router asks another instance if the answer is lost.
        self.send_to_link(query.link, &Frame::StreamFound { ticket, found });
    }

    fn find_stream(&self, query: &StreamQuery, now: Instant) -> FoundOrigin {
        let reported = query
            .stream
            .and_then(|stream| self.stream_origins.find(stream));
        if let Some(origin) = reported {
            return FoundOrigin::Reported(origin.clone());
        }
        let (registry, fleet) = (&self.registry, self.group.fleet());
        let services = &query.services;
        FoundOrigin::NotReported(PossibleOrigins::known_to(registry, fleet, services, now))
    }
}
