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
            let ticket = self.pending_requests.add(request, now);
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
        let found = self.find_stream(query, now);
        let is_complete =
            confirmed && self.knows_software(now) && self.route_history.is_complete(now);
        let found = match found {
            FoundOrigin::NotReported(possible) => FoundOrigin::NotReported(PossibleOrigins {
                is_complete,
                ..possible
            }),
            reported @ FoundOrigin::Reported(_) => reported,
        };
        self.send_found_stream(query, found);
    }

    fn send_found_stream(&self, query: &StreamQuery, found: FoundOrigin) {
        let ticket = query.ticket;
        // The router asks another instance if the answer is lost.
        self.send_to_link(query.link, &Frame::StreamFound { ticket, found });
    }

    /// Returns what this instance knows of the origin of a stream, and where else it can have
    /// begun.
    fn find_stream(&mut self, query: &StreamQuery, now: Instant) -> FoundOrigin {
        let reported = query
            .stream
            .and_then(|stream| self.stream_origins.find(stream));
        if let Some(origin) = reported {
            return FoundOrigin::Reported(origin.clone());
        }
        let services =
            self.route_history
                .services_lately(&query.services, self.group.document(), now);
        let services: Vec<ServiceName> = services.into_iter().collect();
        let (registry, fleet) = (&self.registry, self.group.fleet());
        FoundOrigin::NotReported(PossibleOrigins::known_to(registry, fleet, &services, now))
    }
}
