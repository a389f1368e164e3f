//! Errors of reading a request body.

use std::time::Duration;

use bamboospur_http1::server::ReadError;
use quick_error::quick_error;

quick_error! {
    /// Why a request body could not be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// The framing is malformed or ambiguous.
        Framing(message: &'static str) {
            display("{message}")
        }
        /// The body is larger than this limit in bytes.
        TooLarge(limit_bytes: usize) {
            display("the body is larger than {limit_bytes} bytes; send a smaller one")
        }
        /// The body was not complete within this time.
        TooSlow(limit: Duration) {
            display("the body did not arrive within {} ms; send it faster or raise limits.body_timeout_ms", limit.as_millis())
        }
        /// The budget for buffers has no room for the body.
        NoMemory {
            display("the node has no memory for the body; send the request again later or to another node")
        }
        /// The connection had to give way to others.
        Displaced {
            display("the node has too many connections, and the body was not complete; send the request again later or to another node")
        }
        /// The connection was closed or broke before the end of the body.
        Incomplete {
            display("the connection ended before the body was complete; send the request again")
        }
    }
}

impl BodyError {
    /// Converts the error of a read that had these limits.
    pub(super) const fn from_read_error(
        error: ReadError,
        limit_bytes: usize,
        timeout: Duration,
    ) -> Self {
        match error {
            ReadError::Malformed | ReadError::HeadTooLarge => Self::Framing(
                "the length of the body is ambiguous; send one Content-Length or whole chunks",
            ),
            ReadError::BodyTooLarge => Self::TooLarge(limit_bytes),
            ReadError::TooSlow => Self::TooSlow(timeout),
            ReadError::NoMemory => Self::NoMemory,
            ReadError::Displaced => Self::Displaced,
            ReadError::Closed | ReadError::Broken => Self::Incomplete,
        }
    }
}
