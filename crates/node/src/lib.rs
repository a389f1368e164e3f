//! Router node.
//!
//! The main thread runs the actors in [`mainloop`]. Edge threads accept and
//! serve HTTP requests ([`edge`], [`request`], [`operators`]) and send messages
//! to the actors through one [`mailbox`].

pub mod actors;
pub mod args;
pub mod dev;
pub mod disk;
pub mod edge;
mod essential;
pub mod file;
pub mod log;
pub mod mailbox;
pub mod mainloop;
pub mod metrics;
pub mod operators;
pub mod peers;
mod probe;
pub mod request;
pub mod run;
pub mod secret;
pub mod settings;
pub mod status;
