//! Origins of the streams that routers report and ask for.

use std::time::Instant;

use bamboospur_catalog::ServiceName;

use super::Host;
use crate::link::{Frame, LinkId};
use crate::stream_origins::{BegunStreams, FoundOrigin, PossibleOrigins, StreamId};

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
                let found = self.find_stream(stream, &services, now);
                // The router asks another instance if the answer is lost.
                self.send_to_link(link, &Frame::StreamFound { ticket, found });
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

    fn find_stream(
        &self,
        stream: Option<StreamId>,
        services: &[ServiceName],
        now: Instant,
    ) -> FoundOrigin {
        match stream.and_then(|stream| self.stream_origins.find(stream)) {
            Some(origin) => FoundOrigin::Reported(origin.clone()),
            None => FoundOrigin::NotReported(PossibleOrigins::new(
                &self.registry,
                services,
                self.knows_targets_at,
                now,
            )),
        }
    }
}
