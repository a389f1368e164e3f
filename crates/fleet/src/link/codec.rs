//! Frames as bytes: a length of four bytes, then the frame. Long frames are
//! compressed, which the highest bit of the length tells.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;
use tokio::net::TcpStream;

use bamboospur_http1::io::read;

use super::frame::Frame;

/// Largest frame; a snapshot chunk with a large configuration fits.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;
/// Bit of the length that marks a compressed frame.
const COMPRESSED: u32 = 1 << 31;
/// Frames from this size on are compressed; announcements shrink to a third.
const COMPRESS_FROM_BYTES: usize = 1_024;

quick_error! {
    /// Why no frame was read.
    #[derive(Debug)]
    pub enum FrameError {
        /// The connection failed.
        Io(error: io::Error) {
            display("the link failed: {error}")
            from()
        }
        /// The peer closed the connection.
        Closed {
            display("the peer closed the link")
        }
        /// The bytes are not a frame.
        Malformed {
            display("the peer sent bytes that are not a frame")
        }
    }
}

/// Returns a frame as bytes, or `None` when it is too large.
#[must_use]
pub fn encode(frame: &Frame) -> Option<Bytes> {
    let plain = postcard::to_stdvec(frame).ok()?;
    if plain.len() > MAX_FRAME_BYTES {
        return None;
    }
    let (payload, flag) = compressed(plain);
    let length = u32::try_from(payload.len()).ok()? | flag;
    let mut bytes = Vec::with_capacity(payload.len() + LENGTH_BYTES);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&payload);
    Some(bytes.into())
}

/// Returns a payload in its shorter form and the flag of that form.
fn compressed(plain: Vec<u8>) -> (Vec<u8>, u32) {
    if plain.len() < COMPRESS_FROM_BYTES {
        return (plain, 0);
    }
    let payload = lz4_flex::compress_prepend_size(&plain);
    if payload.len() < plain.len() {
        (payload, COMPRESSED)
    } else {
        (plain, 0)
    }
}

fn decompressed(payload: &[u8]) -> Result<Vec<u8>, FrameError> {
    let size = payload.first_chunk().ok_or(FrameError::Malformed)?;
    let size = usize::try_from(u32::from_le_bytes(*size));
    if size.map_err(|_| FrameError::Malformed)? > MAX_FRAME_BYTES {
        return Err(FrameError::Malformed);
    }
    lz4_flex::decompress_size_prepended(payload).map_err(|_| FrameError::Malformed)
}

/// Reads frames from a connection. A read that is dropped loses nothing.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
}

impl FrameReader {
    /// Reads the next frame.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends or the bytes are not a frame.
    pub async fn next(&mut self, stream: &TcpStream) -> Result<Frame, FrameError> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(frame);
            }
            if read(stream, &mut self.buffer).await? == 0 {
                return Err(FrameError::Closed);
            }
        }
    }

    /// Takes a frame from the buffer.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a frame.
    pub fn take(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let prefix = u32::from_be_bytes(*prefix);
        let length = usize::try_from(prefix & !COMPRESSED).map_err(|_| FrameError::Malformed)?;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::Malformed);
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let payload = self.buffer.split_to(length);
        let frame = if prefix & COMPRESSED == 0 {
            postcard::from_bytes(&payload)
        } else {
            postcard::from_bytes(&decompressed(&payload)?)
        };
        frame.map(Some).map_err(|_| FrameError::Malformed)
    }

    /// Adds bytes, for tests of the codec.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }
}
