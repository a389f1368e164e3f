//! Encoding of frames: a length of four bytes, then the frame. Long frames are
//! compressed; the highest bit of the length marks them.

use std::io;

use bamboospur_types::BufferBudget;
use bytes::{Buf, Bytes};
use quick_error::quick_error;
use tokio::net::TcpStream;

use bamboospur_http1::io::{ReadBuffer, read};

use super::frame::Frame;

/// Size limit of a frame, large enough for a snapshot chunk with a large configuration.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;
/// Bit of the length that marks a compressed frame.
const COMPRESSED_BIT: u32 = 1 << 31;
/// Frames from this size on are compressed; announcements shrink to a third of their
/// size.
const COMPRESS_FROM_BYTES: usize = 1_024;

quick_error! {
    /// Reason why a link ended or a frame could not be read or written.
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
        /// The received bytes are not a frame, or a frame to send exceeds the size limit.
        Malformed {
            display("the peer sent bytes that are not a frame, or a frame to send is too large")
        }
    }
}

/// Encodes a frame; returns `None` when it exceeds the size limit.
#[must_use]
pub fn encode(frame: &Frame) -> Option<Bytes> {
    let plain = postcard::to_stdvec(frame).ok()?;
    if plain.len() > MAX_FRAME_BYTES {
        return None;
    }
    let (payload, flag) = compress(plain);
    let length = u32::try_from(payload.len()).ok()? | flag;
    let mut bytes = Vec::with_capacity(payload.len() + LENGTH_BYTES);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&payload);
    Some(bytes.into())
}

/// Compresses a payload if that makes it shorter. Returns the payload and the bits to
/// set in its length.
fn compress(uncompressed: Vec<u8>) -> (Vec<u8>, u32) {
    if uncompressed.len() < COMPRESS_FROM_BYTES {
        return (uncompressed, 0);
    }
    let payload = lz4_flex::compress_prepend_size(&uncompressed);
    if payload.len() < uncompressed.len() {
        (payload, COMPRESSED_BIT)
    } else {
        (uncompressed, 0)
    }
}

fn decompress(payload: &[u8]) -> Result<Vec<u8>, FrameError> {
    let size = payload.first_chunk().ok_or(FrameError::Malformed)?;
    let size = usize::try_from(u32::from_le_bytes(*size));
    if size.map_err(|_| FrameError::Malformed)? > MAX_FRAME_BYTES {
        return Err(FrameError::Malformed);
    }
    lz4_flex::decompress_size_prepended(payload).map_err(|_| FrameError::Malformed)
}

/// Reads frames from a connection. A read that is cancelled loses no bytes.
#[derive(Debug)]
pub struct FrameReader {
    buffer: ReadBuffer,
}

impl FrameReader {
    /// Creates a reader that buffers within `budget`.
    #[must_use]
    pub fn new(budget: &BufferBudget) -> Self {
        Self {
            buffer: ReadBuffer::new(budget),
        }
    }

    /// Reads the next frame.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends, the budget has no room or the bytes are not a frame.
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

    /// Takes the next frame from the buffer; returns `None` until it is complete.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a frame.
    pub fn take(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(prefix) = self.buffer.bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let prefix = u32::from_be_bytes(*prefix);
        let length =
            usize::try_from(prefix & !COMPRESSED_BIT).map_err(|_| FrameError::Malformed)?;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::Malformed);
        }
        if self.buffer.bytes.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.bytes.advance(LENGTH_BYTES);
        let payload = self.buffer.bytes.split_to(length);
        self.buffer.free_removed();
        let frame = if prefix & COMPRESSED_BIT == 0 {
            postcard::from_bytes(&payload)
        } else {
            postcard::from_bytes(&decompress(&payload)?)
        };
        frame.map(Some).map_err(|_| FrameError::Malformed)
    }

    /// Appends bytes to the buffer, for tests of the codec.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.bytes.extend_from_slice(bytes);
    }
}
