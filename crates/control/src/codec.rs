//! Encoding of commands, requests, answers and copies of the settings.
//!
//! Everything is `postcard` of a wire type. What is kept on disk carries a
//! kind, a version and a checksum; what travels in a frame or a log entry is
//! protected there and carries a version byte.

use std::fmt::Display;

use bamboospur_agreement::checksum;
use bamboospur_settings::{Diff, Follower, SavedFollower, SavedTree};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::command::{Command, Entry};
use crate::member::{MemberError, Request, Response};
use crate::wire::{WireAnswer, WireCommand, WireEntry, WireRequest};

const FRAME_VERSION: u8 = 1;
const FOLLOWER_KIND: [u8; 4] = *b"BSFC";
const FOLLOWER_VERSION: u16 = 1;
const CHECKSUM_BYTES: usize = 8;
const HEADER_BYTES: usize = 4 + 2 + CHECKSUM_BYTES;

quick_error! {
    /// Bytes that cannot be decoded, or a value that cannot be encoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum CodecError {
        /// The bytes are of another kind or too short.
        Kind {
            display("the bytes are not of the expected kind")
        }
        /// The bytes were written by another version.
        Version { found: u16, expected: u16 } {
            display("the bytes have version {found}, this program reads version {expected}: run the version that wrote them")
        }
        /// The bytes were changed after they were written.
        Checksum {
            display("the checksum does not match: restore the data from another instance")
        }
        /// The bytes have no valid form.
        Form(error: postcard::Error) {
            from()
            display("the bytes cannot be read: {error}")
        }
        /// The content contradicts itself.
        Content { message: String } {
            display("{message}")
        }
    }
}

impl CodecError {
    pub(crate) fn content(error: impl Display) -> Self {
        let message = error.to_string();
        Self::Content { message }
    }
}

pub(crate) fn from_postcard<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if !rest.is_empty() {
        return Err(CodecError::Form(postcard::Error::DeserializeBadEncoding));
    }
    Ok(value)
}

/// Encodes a value behind a header, without a second copy of it.
pub(crate) fn seal<T: Serialize>(
    kind: [u8; 4],
    version: u16,
    value: &T,
) -> Result<Vec<u8>, CodecError> {
    let mut bytes = postcard::to_extend(value, vec![0; HEADER_BYTES])?;
    let sum = checksum(&bytes[HEADER_BYTES..]);
    bytes[..4].copy_from_slice(&kind);
    bytes[4..6].copy_from_slice(&version.to_le_bytes());
    bytes[6..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    Ok(bytes)
}

pub(crate) fn unseal(kind: [u8; 4], version: u16, bytes: &[u8]) -> Result<&[u8], CodecError> {
    let (header, body) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(CodecError::Kind)?;
    if header[..4] != kind {
        return Err(CodecError::Kind);
    }
    let found = u16::from_le_bytes([header[4], header[5]]);
    if found != version {
        let expected = version;
        return Err(CodecError::Version { found, expected });
    }
    if header[6..] != checksum(body).to_le_bytes() {
        return Err(CodecError::Checksum);
    }
    Ok(body)
}

fn frame<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_extend(value, vec![FRAME_VERSION])?)
}

fn unframe<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, body) = bytes.split_first().ok_or(CodecError::Kind)?;
    if *version != FRAME_VERSION {
        return Err(CodecError::Version {
            found: u16::from(*version),
            expected: u16::from(FRAME_VERSION),
        });
    }
    from_postcard(body)
}

/// Encodes a command.
///
/// # Errors
///
/// Returns an error when a value is nested too deeply.
pub fn encode_command(command: &Command) -> Result<Vec<u8>, CodecError> {
    frame(&WireCommand::try_from(command)?)
}

/// Decodes a command.
///
/// # Errors
///
/// Returns an error when the bytes are not a command.
pub fn decode_command(bytes: &[u8]) -> Result<Command, CodecError> {
    unframe::<WireCommand>(bytes)?.try_into()
}

/// Encodes an entry of the log.
///
/// # Errors
///
/// Returns an error when a value is nested too deeply.
pub fn encode_entry(entry: &Entry) -> Result<Vec<u8>, CodecError> {
    frame(&WireEntry::try_from(entry)?)
}

/// Decodes an entry of the log.
///
/// # Errors
///
/// Returns an error when the bytes are not an entry.
pub fn decode_entry(bytes: &[u8]) -> Result<Entry, CodecError> {
    unframe::<WireEntry>(bytes)?.try_into()
}

/// Encodes a client's request, to forward it to the leader.
///
/// # Errors
///
/// Returns an error when a value is nested too deeply.
pub fn encode_request(request: &Request) -> Result<Vec<u8>, CodecError> {
    frame(&WireRequest::try_from(request)?)
}

/// Decodes a client's request.
///
/// # Errors
///
/// Returns an error when the bytes are not a request.
pub fn decode_request(bytes: &[u8]) -> Result<Request, CodecError> {
    unframe::<WireRequest>(bytes)?.try_into()
}

/// Encodes the answer to a client's request.
///
/// # Errors
///
/// Returns an error when the answer cannot be encoded.
pub fn encode_response(answer: &Result<Response, MemberError>) -> Result<Vec<u8>, CodecError> {
    frame(&WireAnswer::from(answer))
}

/// Decodes the answer to a client's request.
///
/// # Errors
///
/// Returns an error when the bytes are not an answer.
pub fn decode_response(bytes: &[u8]) -> Result<Result<Response, MemberError>, CodecError> {
    unframe::<WireAnswer>(bytes)?.try_into()
}

/// Encodes a difference of the settings, for followers.
///
/// # Errors
///
/// Returns an error when the difference cannot be encoded.
pub fn encode_diff(diff: &Diff) -> Result<Vec<u8>, CodecError> {
    frame(&SavedTree::from(diff))
}

/// Decodes a difference of the settings.
///
/// # Errors
///
/// Returns an error when the bytes are not a difference.
pub fn decode_diff(bytes: &[u8]) -> Result<Diff, CodecError> {
    Diff::try_from(unframe::<SavedTree>(bytes)?).map_err(CodecError::content)
}

/// Encodes a follower's copy of the settings, for its disk.
///
/// # Errors
///
/// Returns an error when the copy cannot be encoded.
pub fn encode_follower(follower: &Follower) -> Result<Vec<u8>, CodecError> {
    let saved = SavedFollower::from(follower);
    seal(FOLLOWER_KIND, FOLLOWER_VERSION, &saved)
}

/// Decodes a follower's copy of the settings.
///
/// # Errors
///
/// Returns an error when version or checksum are wrong.
pub fn decode_follower(bytes: &[u8]) -> Result<Follower, CodecError> {
    let body = unseal(FOLLOWER_KIND, FOLLOWER_VERSION, bytes)?;
    let saved: SavedFollower = from_postcard(body)?;
    Follower::try_from(saved).map_err(CodecError::content)
}
