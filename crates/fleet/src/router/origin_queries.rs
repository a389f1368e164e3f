//! Queries of control instances for the origin of a stream that a caller resumes.
//!
//! The instances are asked one after the other, since an instance that lacks the stream may
//! have started lately or not have heard of it yet. The query ends with the first instance to
//! which the stream was reported, or with the leader if it leaves one possible origin.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::link::{Requests, Responder, Ticket};
use crate::stream_origins::StreamOrigin;

/// The next instance is asked when one has not answered for this time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// What becomes of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryStep<Q> {
    /// A control instance is to be asked.
    Ask {
        /// Link address of the instance.
        to: SocketAddr,
        /// Number of the query, which the answer repeats.
        ticket: Ticket,
    },
    /// The query has ended with the origin, if an instance knows it.
    End(Q, Option<StreamOrigin>),
}

#[derive(Clone, Debug)]
struct Pending<Q> {
    query: Q,
    /// Instances that are still to be asked.
    left: VecDeque<SocketAddr>,
}

/// Queries in progress; `Q` is their content and who waits for the answer.
#[derive(Clone, Debug)]
pub struct OriginQueries<Q>(Requests<Pending<Q>>);

impl<Q> Default for OriginQueries<Q> {
    fn default() -> Self {
        Self(Requests::default())
    }
}

impl<Q> OriginQueries<Q> {
    /// Starts a query at these instances, the preferred one first.
    pub fn start(
        &mut self,
        query: Q,
        instances: impl IntoIterator<Item = SocketAddr>,
        now: Instant,
    ) -> QueryStep<Q> {
        let pending = Pending {
            query,
            left: instances.into_iter().collect(),
        };
        self.ask_next(pending, now)
    }

    /// Handles the answer of an instance, with the origin if it leaves only one. `None` if the
    /// query has ended or moved on to another instance, or if another one was asked.
    pub fn handle_answer(
        &mut self,
        ticket: Ticket,
        from: SocketAddr,
        origin: Option<StreamOrigin>,
        now: Instant,
    ) -> Option<QueryStep<Q>> {
        let pending = self.0.take(ticket, Responder::Peer(from))?;
        Some(match origin {
            Some(origin) => QueryStep::End(pending.query, Some(origin)),
            None => self.ask_next(pending, now),
        })
    }

    /// Moves on with the queries whose instance has not answered in time.
    pub fn handle_timeouts(&mut self, now: Instant) -> Vec<QueryStep<Q>> {
        let late = self.0.take_expired(now).into_iter();
        late.map(|pending| self.ask_next(pending, now)).collect()
    }

    /// Returns the content of a query that an instance was asked.
    #[must_use]
    pub fn get(&self, ticket: Ticket, asked: SocketAddr) -> Option<&Q> {
        let pending = self.0.get(ticket, Responder::Peer(asked))?;
        Some(&pending.query)
    }

    /// Returns when the next query moves on; `None` without queries.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Instant> {
        self.0.next_deadline()
    }

    /// Each instance is asked under a ticket of its own, so that a late answer of the one
    /// before is not taken for its answer.
    fn ask_next(&mut self, mut pending: Pending<Q>, now: Instant) -> QueryStep<Q> {
        let Some(to) = pending.left.pop_front() else {
            return QueryStep::End(pending.query, None);
        };
        let (responder, deadline) = (Responder::Peer(to), now + ANSWER_TIMEOUT);
        let ticket = self.0.add_sent(pending, responder, deadline);
        QueryStep::Ask { to, ticket }
    }
}
