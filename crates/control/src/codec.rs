//! Encoding of commands, requests, answers and copies of the settings.
//!
//! Every format is a wire type encoded by `postcard`. Files start with a header of
//! magic number, version and checksum. Link frames and log entries are protected by
//! their own layers, so the data in them starts with a version byte only.

use std::fmt::Display;

use bamboospur_agreement::checksum;
use bamboospur_settings::{Diff, Follower, SavedFollower, SavedTree};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::command::{Command, Entry};
use crate::member::{MemberError, Request, Response};
use crate::wire::{WireCommand, WireEntry, WireRequest, WireResponse};

/// First byte of all encodings without a header.
const FRAME_VERSION: u8 = 1;
const FOLLOWER_MAGIC: [u8; 4] = *b"BSFC";
const FOLLOWER_VERSION: u16 = 1;
const CHECKSUM_BYTES: usize = 8;
/// Magic number, version and checksum.
const HEADER_BYTES: usize = 4 + 2 + CHECKSUM_BYTES;

quick_error! {
    /// Bytes that cannot be decoded, or a value that cannot be encoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum CodecError {
        /// The bytes are too short, or the magic number is not the expected one.
        WrongFormat {
            display("the data is too short or has the wrong magic number")
        }
        /// The bytes have a format version that this program does not read.
        Version { found: u16, expected: u16 } {
            display("the data has format version {found}, this program reads version {expected}: run the version that wrote the data")
        }
        /// The checksum does not match: the bytes changed after they were written.
        Checksum {
            display("the checksum does not match: restore the data from another instance")
        }
        /// The bytes are not a valid encoding.
        Malformed(error: postcard::Error) {
            from()
            display("the data cannot be decoded: {error}")
        }
        /// A decoded value is invalid, or a value cannot be encoded.
        InvalidContent { message: String } {
            display("{message}")
        }
    }
}

impl CodecError {
    pub(crate) fn invalid_content(error: impl Display) -> Self {
        let message = error.to_string();
        Self::InvalidContent { message }
    }
}

/// Decodes a value; bytes left over are an error.
pub(crate) fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if !rest.is_empty() {
        return Err(CodecError::Malformed(
            postcard::Error::DeserializeBadEncoding,
        ));
    }
    Ok(value)
}

/// Encodes a value behind a header, without copying the encoded value.
pub(crate) fn encode_with_header<T: Serialize>(
    magic: [u8; 4],
    version: u16,
    value: &T,
) -> Result<Vec<u8>, CodecError> {
    let mut bytes = postcard::to_extend(value, vec![0; HEADER_BYTES])?;
    let sum = checksum(&bytes[HEADER_BYTES..]);
    bytes[..4].copy_from_slice(&magic);
    bytes[4..6].copy_from_slice(&version.to_le_bytes());
    bytes[6..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    Ok(bytes)
}

/// Checks magic number, version and checksum, and returns the bytes after the header.
pub(crate) fn check_header(
    magic: [u8; 4],
    version: u16,
    bytes: &[u8],
) -> Result<&[u8], CodecError> {
    let (header, body) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(CodecError::WrongFormat)?;
    if header[..4] != magic {
        return Err(CodecError::WrongFormat);
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

/// Encodes a value behind a version byte.
fn encode_versioned<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_extend(value, vec![FRAME_VERSION])?)
}

fn decode_versioned<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, body) = bytes.split_first().ok_or(CodecError::WrongFormat)?;
    if *version != FRAME_VERSION {
        return Err(CodecError::Version {
            found: u16::from(*version),
            expected: u16::from(FRAME_VERSION),
        });
    }
    decode_exact(body)
}

/// Encodes a command.
///
/// # Errors
///
/// Returns an error when a settings value is nested too deeply.
pub fn encode_command(command: &Command) -> Result<Vec<u8>, CodecError> {
    encode_versioned(&WireCommand::try_from(command)?)
}

/// Decodes a command.
///
/// # Errors
///
/// Returns an error when the bytes are not a valid command.
pub fn decode_command(bytes: &[u8]) -> Result<Command, CodecError> {
    decode_versioned::<WireCommand>(bytes)?.try_into()
}

/// Encodes a log entry.
///
/// # Errors
///
/// Returns an error when a settings value is nested too deeply.
pub fn encode_entry(entry: &Entry) -> Result<Vec<u8>, CodecError> {
    encode_versioned(&WireEntry::try_from(entry)?)
}

/// Decodes a log entry.
///
/// # Errors
///
/// Returns an error when the bytes are not a valid log entry.
pub fn decode_entry(bytes: &[u8]) -> Result<Entry, CodecError> {
    decode_versioned::<WireEntry>(bytes)?.try_into()
}

/// Encodes a client's request, to forward it to the leader.
///
/// # Errors
///
/// Returns an error when a settings value is nested too deeply.
pub fn encode_request(request: &Request) -> Result<Vec<u8>, CodecError> {
    encode_versioned(&WireRequest::try_from(request)?)
}

/// Decodes a client's request.
///
/// # Errors
///
/// Returns an error when the bytes are not a valid request.
pub fn decode_request(bytes: &[u8]) -> Result<Request, CodecError> {
    decode_versioned::<WireRequest>(bytes)?.try_into()
}

/// Encodes the answer to a client's request.
///
/// # Errors
///
/// Returns an error when the answer cannot be encoded.
pub fn encode_response(answer: &Result<Response, MemberError>) -> Result<Vec<u8>, CodecError> {
    encode_versioned(&WireResponse::from(answer))
}

/// Decodes the answer to a client's request.
///
/// # Errors
///
/// Returns an error when the bytes are not a valid answer.
pub fn decode_response(bytes: &[u8]) -> Result<Result<Response, MemberError>, CodecError> {
    decode_versioned::<WireResponse>(bytes)?.try_into()
}

/// Encodes a settings diff, to send to followers.
///
/// # Errors
///
/// Returns an error when the diff cannot be encoded.
pub fn encode_diff(diff: &Diff) -> Result<Vec<u8>, CodecError> {
    encode_versioned(&SavedTree::from(diff))
}

/// Decodes a settings diff.
///
/// # Errors
///
/// Returns an error when the bytes are not a valid diff.
pub fn decode_diff(bytes: &[u8]) -> Result<Diff, CodecError> {
    Diff::try_from(decode_versioned::<SavedTree>(bytes)?).map_err(CodecError::invalid_content)
}

/// Encodes a follower's copy of the settings, to store on disk.
///
/// # Errors
///
/// Returns an error when the copy cannot be encoded.
pub fn encode_follower(follower: &Follower) -> Result<Vec<u8>, CodecError> {
    let saved = SavedFollower::from(follower);
    encode_with_header(FOLLOWER_MAGIC, FOLLOWER_VERSION, &saved)
}

/// Decodes a follower's copy of the settings.
///
/// # Errors
///
/// Returns an error when the version or checksum is wrong, or when the
/// content is invalid.
pub fn decode_follower(bytes: &[u8]) -> Result<Follower, CodecError> {
    let body = check_header(FOLLOWER_MAGIC, FOLLOWER_VERSION, bytes)?;
    let saved: SavedFollower = decode_exact(body)?;
    Follower::try_from(saved).map_err(CodecError::invalid_content)
}
