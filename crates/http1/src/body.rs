//! Bodies: where they end.

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;

/// Longest line that gives the size of a chunk, extensions included.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Longest trailer after the last chunk.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

quick_error! {
    /// Why a body cannot be read.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// The length is stated twice or not as a number.
        Ambiguous {
            display("the length of the body is ambiguous")
        }
        /// A chunk is malformed.
        BadChunk {
            display("a chunk of the body is malformed")
        }
        /// The connection ended before the body.
        Truncated {
            display("the body ended before its stated end")
        }
    }
}

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes.
    Length(u64),
    /// Chunks with their sizes.
    Chunked,
    /// All bytes until the connection is closed.
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Bytes left of the body.
    Plain(u64),
    /// At the line with the size of a chunk.
    ChunkSize,
    /// Bytes left of a chunk.
    ChunkData(u64),
    /// At the line end after a chunk.
    ChunkEnd,
    /// In the trailer.
    Trailer,
    /// Until the connection is closed.
    Open,
    /// Complete.
    Done,
}

/// Takes the bytes of one body from a buffer.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Plain(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::Open,
        };
        Self {
            state,
            trailer_bytes: 0,
        }
    }

    /// Whether the whole body was taken.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes the next bytes of the body. Returns `None` when the buffer holds
    /// none, because it is empty or the body is complete.
    ///
    /// # Errors
    ///
    /// Fails when a chunk is malformed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Open => return Ok(take(buffer, u64::MAX)),
                State::Plain(left) => {
                    let data = take(buffer, left);
                    self.state = rest(left, data.as_ref(), State::Plain, State::Done);
                    return Ok(data);
                }
                State::ChunkData(left) => {
                    let data = take(buffer, left);
                    self.state = rest(left, data.as_ref(), State::ChunkData, State::ChunkEnd);
                    return Ok(data);
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buffer, MAX_SIZE_LINE_BYTES)? else {
                        return Ok(None);
                    };
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailer,
                        size => State::ChunkData(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buffer, 0)? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(BodyError::BadChunk);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailer => {
                    let Some(line) = take_line(buffer, MAX_TRAILER_BYTES)? else {
                        return Ok(None);
                    };
                    self.trailer_bytes += line.len();
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(BodyError::BadChunk);
                    }
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }

    /// Reports that the connection was closed in an orderly way.
    ///
    /// # Errors
    ///
    /// Fails when the body is not complete.
    pub fn end(&mut self) -> Result<(), BodyError> {
        match self.state {
            State::Done => Ok(()),
            State::Open => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }
}

fn rest(left: u64, data: Option<&Bytes>, more: fn(u64) -> State, end: State) -> State {
    let taken = data.map_or(0, |d| d.len() as u64);
    if taken == left {
        end
    } else {
        more(left - taken)
    }
}

fn take(buffer: &mut BytesMut, most: u64) -> Option<Bytes> {
    let length = usize::try_from(most)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    (length > 0).then(|| buffer.split_to(length).freeze())
}

/// Takes a line without its end.
fn take_line(buffer: &mut BytesMut, most_bytes: usize) -> Result<Option<BytesMut>, BodyError> {
    let Some(end) = buffer.iter().position(|&byte| byte == b'\n') else {
        let too_long = buffer.len() > most_bytes + 1;
        return if too_long {
            Err(BodyError::BadChunk)
        } else {
            Ok(None)
        };
    };
    let mut line = buffer.split_to(end);
    buffer.advance(1);
    if line.last() != Some(&b'\r') || line.len() > most_bytes + 1 {
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
