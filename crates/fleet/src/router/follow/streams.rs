//! Reports and queries of the origins of streams.

use std::net::SocketAddr;
use std::time::Instant;

use tracing::info;

use super::Follower;
use crate::link::{Frame, Ticket};
use crate::router::origin_queries::QueryStep;
use crate::router::state::OriginQuery;
use crate::stream_origins::FoundOrigin;

impl Follower {
    /// Reports the origins of streams that callers could otherwise not resume through other
    /// routers. A majority of the control instances keeps each, like entries of the log, so
    /// that the loss of a minority loses none.
    pub(super) fn report_begun_streams(&self) {
        let begun = self.router.take_begun_streams();
        if begun.is_empty() {
            return;
        }
        let majority = self.controls.len() / 2 + 1;
        let frame = Frame::StreamsBegun(begun);
        let links = self.ranked(&self.controls);
        let sent = links.filter(|(_, followed)| followed.link.send(frame.clone()));
        let count = sent.take(majority).count();
        if count == 0
            && let Frame::StreamsBegun(begun) = frame
        {
            self.router.put_back_streams(begun);
        }
    }

    pub(super) fn query_origin(&mut self, query: OriginQuery) {
        let linked = self.ranked(&self.controls);
        let mut instances: Vec<SocketAddr> = linked.map(|(&address, _)| address).collect();
        // Only the leader can tell that a stream that was not reported has one possible origin.
        instances.sort_by_key(|&address| Some(address) != self.leader);
        let step = self.origin_queries.start(query, instances, Instant::now());
        self.continue_query(step);
    }

    pub(super) fn handle_found_stream(
        &mut self,
        ticket: Ticket,
        from: SocketAddr,
        found: FoundOrigin,
    ) {
        let Some(query) = self.origin_queries.get(ticket, from) else {
            return;
        };
        let origin = found.decide(self.router.possible_origins(&query.services));
        let now = Instant::now();
        let step = self.origin_queries.handle_answer(ticket, from, origin, now);
        if let Some(step) = step {
            self.continue_query(step);
        }
    }

    pub(super) fn handle_origin_timeouts(&mut self) {
        for step in self.origin_queries.handle_timeouts(Instant::now()) {
            self.continue_query(step);
        }
    }

    fn continue_query(&self, step: QueryStep<OriginQuery>) {
        match step {
            QueryStep::Ask { to, ticket } => {
                let query = self.origin_queries.get(ticket, to);
                if let (Some(query), Some(followed)) = (query, self.controls.get(&to)) {
                    // If the frame is lost, the next instance is asked after a time-out.
                    let _sent = followed.link.send(Frame::FindStream {
                        ticket,
                        stream: query.stream,
                        services: query.services.clone(),
                    });
                }
            }
            QueryStep::End(query, origin) => {
                if origin.is_none() {
                    info!(
                        stream = query.stream,
                        "no control instance knows where a resumed stream began; refusing it"
                    );
                }
                // The caller may have left.
                let _sent = query.reply.send(origin);
            }
        }
    }
}
