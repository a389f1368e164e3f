//! Encoding of messages about parts of requests that crash targets.

use bamboospur_crashes::{CrashMessage, MAX_PARTS_PER_MESSAGE};

use super::{DatagramError, HEADER_BYTES, IP_UDP_HEADER_BYTES};

/// Largest encoding of a part with a time span.
const PART_BYTES: usize = 15;
/// Largest encoding of what precedes the parts.
const PREFIX_BYTES: usize = 13;

/// Budgeted size of a packet, including the IP and UDP headers.
pub(super) const PACKET_BYTES: usize =
    IP_UDP_HEADER_BYTES + HEADER_BYTES + PREFIX_BYTES + MAX_PARTS_PER_MESSAGE * PART_BYTES;

pub(super) fn write(message: &CrashMessage, bytes: &mut Vec<u8>) -> Result<(), DatagramError> {
    bytes.extend(postcard::to_stdvec(message)?);
    Ok(())
}

pub(super) fn read(bytes: &[u8]) -> Result<CrashMessage, DatagramError> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(DatagramError::Malformed)
    }
}
