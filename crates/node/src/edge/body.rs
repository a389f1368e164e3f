//! What is wrong with a request body.

use std::time::Duration;

use bamboospur_http1::server::ReadError;
use quick_error::quick_error;

quick_error! {
    /// What is wrong with a request body.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// The framing is not acceptable.
        Framing(message: &'static str) {
            display("{message}")
        }
        /// The body is larger than the limit.
        TooLarge(limit_bytes: usize) {
            display("the body is larger than {limit_bytes} bytes; send a smaller one")
        }
        /// The caller was too slow.
        TooSlow(limit: Duration) {
            display("the body did not arrive within {} ms; send it faster or raise limits.body_timeout_ms", limit.as_millis())
        }
        /// The connection ended inside the body.
        Cut {
            display("the connection ended before the body was complete; send the request again")
        }
    }
}

impl BodyError {
    /// Returns the error for the end of a read with these limits.
    pub(super) const fn of(end: ReadError, limit_bytes: usize, timeout: Duration) -> Self {
        match end {
            ReadError::Malformed | ReadError::HeadTooLarge => Self::Framing(
                "the length of the body is ambiguous; send one Content-Length or whole chunks",
            ),
            ReadError::BodyTooLarge => Self::TooLarge(limit_bytes),
            ReadError::TooSlow => Self::TooSlow(timeout),
            ReadError::Closed | ReadError::Broken => Self::Cut,
        }
    }
}
