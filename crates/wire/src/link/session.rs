//! Signing and verification of the frames in one direction of a link.

use super::{Frame, LinkError};
use crate::key::{FleetKey, MAC_BYTES};

/// Size of a frame header: the body length and the HMAC.
pub const FRAME_HEADER_BYTES: usize = 4 + MAC_BYTES;
/// Largest body; a settings tree of 11,000 teams takes less than 16 MB.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Largest body of the first frame, which is received before the other end has proved
/// that it has the secret.
pub const MAX_FIRST_BODY_BYTES: usize = 4 * 1024;

/// Encodes and signs the frames of one direction.
#[derive(Debug)]
pub struct FrameWriter {
    key: FleetKey,
    sequence: u64,
}

/// Verifies and decodes the frames of one direction.
#[derive(Debug)]
pub struct FrameReader {
    key: FleetKey,
    sequence: u64,
}

impl FrameWriter {
    pub(super) const fn new(key: FleetKey) -> Self {
        Self { key, sequence: 0 }
    }

    /// Encodes and signs the next frame, including its header.
    ///
    /// # Errors
    ///
    /// Fails when the frame is too large; other frames can still be sent.
    pub fn write(&mut self, frame: &Frame) -> Result<Vec<u8>, LinkError> {
        let body = frame.encode()?;
        if body.len() > MAX_BODY_BYTES {
            return Err(LinkError::TooLarge { bytes: body.len() });
        }
        let length = u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes();
        let sequence = self.sequence.to_le_bytes();
        let tag = self.key.sign(&[&sequence, &length, &body]);
        self.sequence += 1;
        let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + body.len());
        bytes.extend(length);
        bytes.extend(tag);
        bytes.extend(body);
        Ok(bytes)
    }
}

impl FrameReader {
    pub(super) const fn new(key: FleetKey) -> Self {
        Self { key, sequence: 0 }
    }

    /// Returns the length in bytes of the body that follows a header. The header is not
    /// verified yet.
    ///
    /// # Errors
    ///
    /// Fails when the body is larger than [`MAX_BODY_BYTES`], or than
    /// [`MAX_FIRST_BODY_BYTES`] in the first frame.
    pub fn body_bytes(&self, header: &[u8; FRAME_HEADER_BYTES]) -> Result<usize, LinkError> {
        let length = u32::from_le_bytes(std::array::from_fn(|at| header[at]));
        let bytes = usize::try_from(length).unwrap_or(usize::MAX);
        let limit = if self.sequence == 0 {
            MAX_FIRST_BODY_BYTES
        } else {
            MAX_BODY_BYTES
        };
        if bytes > limit {
            return Err(LinkError::TooLarge { bytes });
        }
        Ok(bytes)
    }

    /// Verifies and decodes the next frame.
    ///
    /// # Errors
    ///
    /// Fails when the frame is forged, out of order or malformed. The link must then be
    /// closed.
    pub fn read(
        &mut self,
        header: &[u8; FRAME_HEADER_BYTES],
        body: &[u8],
    ) -> Result<Frame, LinkError> {
        let tag = std::array::from_fn(|at| header[4 + at]);
        let sequence = self.sequence.to_le_bytes();
        if !self.key.verify(&[&sequence, &header[..4], body], &tag) {
            return Err(LinkError::Forged);
        }
        self.sequence += 1;
        Frame::decode(body)
    }
}
