//! The HTTP edge: connections on an event loop, requests on threads.
//!
//! One thread runs an event loop that reads and writes all connections of an
//! edge ([`server`], [`connection`]). The handler of a request runs on a thread
//! of its own, because it waits for other parts of the node. It sees the request
//! as [`Incoming`] and answers through a [`Responder`]; both pass their commands
//! to the task of the connection. [`Caller`] tells the handler that the caller
//! hung up.

pub mod answer;
pub mod body;
pub mod caller;
mod connection;
pub mod incoming;
pub mod server;

pub use answer::{Responder, StreamWriter};
pub use body::BodyError;
pub use caller::Caller;
pub use incoming::Incoming;
pub use server::{Edge, EdgeSettings};
