//! Handshake of a link: hello messages and the keys derived from them.

use bamboospur_types::InstanceId;

use super::{FrameReader, FrameWriter, LinkError};
use crate::key::FleetKey;

/// Version of the handshake, the frames and their bodies.
pub const PROTOCOL_VERSION: u16 = 1;
/// Size of the nonce in a hello.
pub const NONCE_BYTES: usize = 32;
/// Size of an encoded hello.
pub const HELLO_BYTES: usize = 4 + 2 + 1 + 8 + 8 + NONCE_BYTES;

const MAGIC: [u8; 4] = *b"bspl";

/// Which end of a link an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection.
    Dialler,
    /// The end that accepted the connection.
    Listener,
}

/// First message in each direction of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Instance that sends the hello.
    pub from: InstanceId,
    /// Instance that the sender expects at the other end. A listener takes this id from
    /// the dialler's hello.
    pub to: InstanceId,
    /// Whether the sender is a configured member of the control group.
    pub control: bool,
    /// Random bytes that must never be reused.
    pub nonce: [u8; NONCE_BYTES],
}

impl Hello {
    /// Encodes the hello as [`HELLO_BYTES`] bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HELLO_BYTES);
        bytes.extend(MAGIC);
        bytes.extend(PROTOCOL_VERSION.to_le_bytes());
        bytes.push(u8::from(self.control));
        bytes.extend(self.from.to_le_bytes());
        bytes.extend(self.to.to_le_bytes());
        bytes.extend(self.nonce);
        bytes
    }

    /// Decodes a hello.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a hello or have another protocol version.
    pub fn decode(bytes: &[u8]) -> Result<Self, LinkError> {
        let bytes: &[u8; HELLO_BYTES] = bytes.try_into().map_err(|_| LinkError::NotAHello)?;
        if bytes[..4] != MAGIC {
            return Err(LinkError::NotAHello);
        }
        let found = u16::from_le_bytes([bytes[4], bytes[5]]);
        if found != PROTOCOL_VERSION {
            return Err(LinkError::Version { found });
        }
        if bytes[6] > 1 {
            return Err(LinkError::NotAHello);
        }
        let read_u64 = |at: usize| u64::from_le_bytes(std::array::from_fn(|i| bytes[at + i]));
        Ok(Self {
            control: bytes[6] == 1,
            from: read_u64(7),
            to: read_u64(15),
            nonce: std::array::from_fn(|i| bytes[23 + i]),
        })
    }
}

/// Derives the keys of both directions from both hellos, and returns the writer and the
/// reader for this side.
#[must_use]
pub fn open_session(
    key: &FleetKey,
    side: Side,
    dialler: &Hello,
    listener: &Hello,
) -> (FrameWriter, FrameReader) {
    let (dialler, listener) = (dialler.encode(), listener.encode());
    let direction = |name: &[u8]| key.derive(&[name, &dialler, &listener]);
    let from_dialler = direction(b"link, from the dialler");
    let from_listener = direction(b"link, from the listener");
    match side {
        Side::Dialler => (
            FrameWriter::new(from_dialler),
            FrameReader::new(from_listener),
        ),
        Side::Listener => (
            FrameWriter::new(from_listener),
            FrameReader::new(from_dialler),
        ),
    }
}
