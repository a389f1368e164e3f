//! Encoding of limits that targets state.

use bamboospur_target_limits::{MAX_STATED_PER_MESSAGE, StatedLimit};

use super::{DatagramError, HEADER_BYTES, IP_UDP_HEADER_BYTES};

/// Largest encoding of a target with its limit.
const STATED_BYTES: usize = 16;
/// Largest encoding of the number of limits.
const PREFIX_BYTES: usize = 3;

/// Budgeted size of a packet, including the IP and UDP headers.
pub(super) const PACKET_BYTES: usize =
    IP_UDP_HEADER_BYTES + HEADER_BYTES + PREFIX_BYTES + MAX_STATED_PER_MESSAGE * STATED_BYTES;

pub(super) fn write(stated: &[StatedLimit], bytes: &mut Vec<u8>) -> Result<(), DatagramError> {
    bytes.extend(postcard::to_stdvec(stated)?);
    Ok(())
}

pub(super) fn read(bytes: &[u8]) -> Result<Vec<StatedLimit>, DatagramError> {
    let (stated, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(stated)
    } else {
        Err(DatagramError::Malformed)
    }
}
