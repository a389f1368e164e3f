//! HTTP/1.1 heads, bodies, event streams and connections.
//!
//! The first four modules parse and write bytes and do no I/O. [`io`] waits for
//! a socket, [`server`] reads requests of callers and writes answers, and
//! [`client`] exchanges requests with targets.
//!
//! The edge needs to see things that a general HTTP library hides: a caller that
//! closes while it waits, bytes that follow a complete answer, an answer that
//! belongs to an earlier request, and whether any byte of a request left.

pub mod body;
pub mod client;
pub mod events;
pub mod head;
pub mod headers;
pub mod io;
pub mod server;
pub mod socket;

pub use body::{BodyDecoder, BodyError, Framing};
pub use events::{Event, EventSplitter};
pub use head::{HeadError, RequestHead, ResponseHead};
pub use headers::Headers;
