//! Emulated parts of a deployment, for tests and load experiments in virtual time.
//!
//! [`fleet`] runs the dispatchers of many routers against emulated engines: requests with
//! shared prompt prefixes arrive, and routers exchange loads and cached prefixes with a
//! delay. [`network`] is a network link with a rate and a queue. Nothing here opens a
//! socket, and a seed determines every result.

pub mod engine;
pub mod fleet;
pub mod network;
