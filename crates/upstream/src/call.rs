//! Description of one call to one target.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// Whether the response must repeat the `x-request-id` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdEcho {
    /// A response without the header is a failure.
    Required,
    /// A response without the header is accepted as the first one on its connection, which is
    /// not reused.
    Optional,
}

/// Longest waits for bytes of a response.
#[derive(Clone, Copy, Debug)]
pub struct ReadTimeouts {
    /// Longest wait for the next bytes until the response head is complete.
    pub head: Duration,
    /// Longest wait for the next bytes of the body.
    pub body: Duration,
}

/// Request to a target, with its deadline and connection options.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the target.
    pub address: SocketAddr,
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Request headers other than `x-request-id`.
    pub headers: Vec<(String, String)>,
    /// Request body; empty for none.
    pub body: Bytes,
    /// Value of the `x-request-id` header.
    pub request_id: String,
    /// Whether the response must repeat the request id.
    pub echo: RequestIdEcho,
    /// Whether the call opens a new connection, which is closed afterwards.
    pub new_connection: bool,
    /// Longest waits for bytes of the response.
    pub timeouts: ReadTimeouts,
    /// When the call fails if its response is not complete.
    pub deadline: Instant,
}
