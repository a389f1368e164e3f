//! First bytes on a link, and the keys that come from them.

use bamboospur_types::InstanceId;

use super::{FrameReader, FrameWriter, LinkError};
use crate::key::FleetKey;

/// Version of the frames and their bodies.
pub const PROTOCOL_VERSION: u16 = 1;
/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 32;
/// Bytes of a hello.
pub const HELLO_BYTES: usize = 4 + 2 + 1 + 8 + 8 + NONCE_BYTES;

const MAGIC: [u8; 4] = *b"bspl";

/// End of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Opened the connection.
    Dialler,
    /// Accepted the connection.
    Listener,
}

/// First message in each direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Sender.
    pub from: InstanceId,
    /// Instance that the sender means to reach; 0 from a listener that does
    /// not know yet.
    pub to: InstanceId,
    /// Whether the sender is a listed member of the control group.
    pub control: bool,
    /// Random bytes, never used twice.
    pub nonce: [u8; NONCE_BYTES],
}

impl Hello {
    /// Encodes the hello.
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
    /// Fails for another protocol or another version of it.
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
        let number = |at: usize| u64::from_le_bytes(std::array::from_fn(|i| bytes[at + i]));
        Ok(Self {
            control: bytes[6] == 1,
            from: number(7),
            to: number(15),
            nonce: std::array::from_fn(|i| bytes[23 + i]),
        })
    }
}

/// Derives the two directions of a link from both hellos.
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
