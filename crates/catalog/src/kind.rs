//! Kinds of requests, which decide whether a request may be repeated.

/// Kind of a route's requests, which decides whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once for each attempt of a caller.
    NotIdempotent,
    /// The answer is a stream of events; the request may run again only if the route
    /// is resumable.
    Stream,
}
