//! HTTP/1.1 heads, bodies, event streams and connections.
//!
//! [`body`], [`events`], [`head`] and [`headers`] parse and serialise bytes and do no
//! I/O; nor does [`connections`], which decides which connections a listener keeps. [`door`]
//! carries that out, [`turns`] divides the time of a thread, [`io`] reads and writes sockets,
//! [`socket`] sets their options, [`server`] reads requests from callers and writes responses,
//! and [`client`] sends requests to targets.
//!
//! Routers need details that a general HTTP library hides: a caller that closes the
//! connection while it waits, bytes that follow a complete response, a response that
//! belongs to an earlier request, and whether any byte of a request was sent.

pub mod body;
pub mod client;
pub mod connections;
pub mod door;
pub mod events;
pub mod head;
pub mod headers;
pub mod io;
pub mod server;
pub mod socket;
pub mod turns;

pub use body::{BodyDecoder, BodyError, Framing};
pub use door::{Door, DoorSettings, Place};
pub use events::{Event, EventSplitter, has_only_fields};
pub use head::{HeadError, RequestHead, ResponseHead};
pub use headers::Headers;
