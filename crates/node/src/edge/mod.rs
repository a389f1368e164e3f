//! The HTTP server: connections on an event loop, requests on threads.
//!
//! Each [`HttpServer`] has one thread with an event loop that reads and writes all its
//! connections ([`server`], `connection`). The handler of a request runs on a
//! thread of its own, because a handler blocks while it waits for other parts of
//! the node. The handler reads the request through [`IncomingRequest`] and answers through
//! a [`Responder`]; both send commands to the task of the connection. [`Caller`]
//! shows the handler whether the caller has hung up.

pub mod answer;
pub mod body;
pub mod caller;
mod connection;
pub mod incoming;
pub mod server;

pub use answer::{Responder, StreamWriter};
pub use body::BodyError;
pub use caller::Caller;
pub use incoming::IncomingRequest;
pub use server::{BodyPlan, HttpServer, HttpServerSettings};
