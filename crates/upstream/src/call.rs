//! One call to one target.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Whether the answer has to repeat the request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdEcho {
    /// An answer without the id is refused.
    Required,
    /// An answer without the id is taken, and its connection is not reused.
    Optional,
}

/// Longest waits for a target.
#[derive(Clone, Copy, Debug)]
pub struct ReadTimeouts {
    /// Silence before the head of the answer.
    pub head: Duration,
    /// Silence between two parts of the body.
    pub body: Duration,
}

/// What is sent, where, and until when.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the target.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers without `x-request-id`.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Vec<u8>,
    /// Id sent as `x-request-id`.
    pub request_id: String,
    /// Whether the answer has to repeat the id.
    pub echo: RequestIdEcho,
    /// Whether a new connection is opened and not kept.
    pub fresh: bool,
    /// Longest waits for the target.
    pub wait: ReadTimeouts,
    /// When the call is given up.
    pub deadline: Instant,
}
