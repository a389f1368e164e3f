//! Framing of message bodies, and a decoder that finds where a body ends.

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;

/// Longest chunk-size line, extensions included.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Longest trailer section after the last chunk.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

quick_error! {
    /// Why a body cannot be decoded.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// `Content-Length` is repeated, is not a number or comes with
        /// `Transfer-Encoding`, or the transfer coding is not just `chunked`.
        Ambiguous {
            display("the length of the body is ambiguous")
        }
        /// A chunk size, the line end after a chunk or the trailer section is malformed
        /// or too long.
        BadChunk {
            display("a chunk of the body is malformed")
        }
        /// The connection was closed before the body was complete.
        Truncated {
            display("the body ended before its stated end")
        }
    }
}

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length` in bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecoderState {
    /// In a body of known length; holds the bytes left.
    FixedLength(u64),
    /// At a chunk-size line.
    ChunkSize,
    /// In a chunk; holds the bytes left.
    ChunkData(u64),
    /// At the CRLF after a chunk.
    ChunkEnd,
    Trailer,
    UntilClose,
    /// The end of a body that ends with the connection.
    Closed,
    Done,
}

/// Incremental decoder of one body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for the body that follows a head.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => DecoderState::Done,
            Framing::Length(length) => DecoderState::FixedLength(length),
            Framing::Chunked => DecoderState::ChunkSize,
            Framing::UntilClose => DecoderState::UntilClose,
        };
        Self {
            state,
            trailer_bytes: 0,
        }
    }

    /// Whether the whole body was decoded.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        matches!(self.state, DecoderState::Done | DecoderState::Closed)
    }

    /// Whether the body ended only with the connection.
    #[must_use]
    pub const fn ended_by_close(&self) -> bool {
        matches!(self.state, DecoderState::Closed)
    }

    /// Removes the next bytes of the body from the buffer. Returns `None` when the
    /// buffer holds no more of them: either more input is needed or the body is
    /// complete.
    ///
    /// # Errors
    ///
    /// Fails when a chunk is malformed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                DecoderState::Done | DecoderState::Closed => return Ok(None),
                DecoderState::UntilClose => return Ok(take_up_to(buffer, u64::MAX)),
                DecoderState::FixedLength(left) => {
                    let data = take_up_to(buffer, left);
                    self.state = state_after(
                        left,
                        data.as_ref(),
                        DecoderState::FixedLength,
                        DecoderState::Done,
                    );
                    return Ok(data);
                }
                DecoderState::ChunkData(left) => {
                    let data = take_up_to(buffer, left);
                    self.state = state_after(
                        left,
                        data.as_ref(),
                        DecoderState::ChunkData,
                        DecoderState::ChunkEnd,
                    );
                    return Ok(data);
                }
                DecoderState::ChunkSize => {
                    let Some(line) = take_line(buffer, MAX_SIZE_LINE_BYTES)? else {
                        return Ok(None);
                    };
                    self.state = match chunk_size(&line)? {
                        0 => DecoderState::Trailer,
                        size => DecoderState::ChunkData(size),
                    };
                }
                DecoderState::ChunkEnd => {
                    let Some(line) = take_line(buffer, 0)? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(BodyError::BadChunk);
                    }
                    self.state = DecoderState::ChunkSize;
                }
                DecoderState::Trailer => {
                    let Some(line) = take_line(buffer, MAX_TRAILER_BYTES)? else {
                        return Ok(None);
                    };
                    self.trailer_bytes += line.len();
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(BodyError::BadChunk);
                    }
                    if line.is_empty() {
                        self.state = DecoderState::Done;
                    }
                }
            }
        }
    }

    /// Tells the decoder that the peer closed the connection without an error.
    ///
    /// # Errors
    ///
    /// Fails when the body is not complete.
    pub fn end(&mut self) -> Result<(), BodyError> {
        match self.state {
            DecoderState::Done | DecoderState::Closed => Ok(()),
            DecoderState::UntilClose => {
                self.state = DecoderState::Closed;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }
}

fn state_after(
    left: u64,
    data: Option<&Bytes>,
    more: fn(u64) -> DecoderState,
    end: DecoderState,
) -> DecoderState {
    let taken = data.map_or(0, |d| d.len() as u64);
    if taken == left {
        end
    } else {
        more(left - taken)
    }
}

fn take_up_to(buffer: &mut BytesMut, max_bytes: u64) -> Option<Bytes> {
    let length = usize::try_from(max_bytes)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    (length > 0).then(|| buffer.split_to(length).freeze())
}

/// Removes a line from the buffer and returns it without its CRLF.
fn take_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>, BodyError> {
    let Some(end) = buffer.iter().position(|&byte| byte == b'\n') else {
        let too_long = buffer.len() > max_bytes + 1;
        return if too_long {
            Err(BodyError::BadChunk)
        } else {
            Ok(None)
        };
    };
    let mut line = buffer.split_to(end);
    buffer.advance(1);
    if line.last() != Some(&b'\r') || line.len() > max_bytes + 1 {
        return Err(BodyError::BadChunk);
    }
    line.truncate(line.len() - 1);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::BadChunk)?;
    let text = text.trim_end();
    let valid = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());
    let size = u64::from_str_radix(text, 16).ok().filter(|_| valid);
    size.ok_or(BodyError::BadChunk)
}
