//! Origins of the streams that routers report and ask for.

use std::time::Instant;

use bamboospur_catalog::ServiceName;

use super::Host;
use crate::link::{Frame, LinkId};
use crate::stream_origins::{BegunStreams, StreamId, StreamOrigin, possible_origins};

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
                let origins = self.find_stream(stream, &services, now);
                // The router asks another instance if the answer is lost.
                self.send_to_link(link, &Frame::StreamFound { ticket, origins });
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

    /// Returns the origin of a stream, or all possible ones if it was not reported.
    fn find_stream(
        &self,
        stream: Option<StreamId>,
        services: &[ServiceName],
        now: Instant,
    ) -> Vec<StreamOrigin> {
        let known = stream.and_then(|stream| self.stream_origins.find(stream));
        known.map_or_else(
            || possible_origins(&self.registry, services, now),
            |origin| vec![origin.clone()],
        )
    }
}
