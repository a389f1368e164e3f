//! Encoding and authentication of messages between instances.
//!
//! [`datagram`] encodes and verifies UDP packets: gossip, placement messages and leases
//! in a compact `postcard` format. [`link`] implements the handshake and the frames of
//! TCP links, whose bodies are Cap'n Proto. This crate opens no sockets, reads no clock
//! and generates no random numbers.

pub mod datagram;
pub mod link;

mod key;

#[allow(
    missing_docs,
    unreachable_pub,
    unused_qualifications,
    elided_lifetimes_in_paths,
    clippy::all,
    clippy::pedantic,
    reason = "generated from schema/link.capnp"
)]
mod generated {
    pub mod link_capnp;
}

pub use key::{FleetKey, MAC_BYTES};
