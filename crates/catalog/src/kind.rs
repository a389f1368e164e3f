//! What may be repeated.

/// Kind of a route, which decides whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NotIdempotent,
    /// Answers with a stream of events; not idempotent unless resumable.
    Stream,
}
