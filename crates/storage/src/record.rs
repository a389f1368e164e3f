//! Framing of records: a header with two checksums, then the payload.
//!
//! The checksum of a header is initialised with a key, which in logs is a part of
//! the folder's identity. Without the key, a caller could put the bytes of a
//! header into an entry, and the search for later records would accept them.

/// Marks the start of a record; the last byte is the version of the format.
const MAGIC: [u8; 4] = *b"bsl\x01";
pub const HEADER_BYTES: usize = 32;

/// Decoded header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Length of the payload in bytes.
    pub length_bytes: usize,
    /// Number of the record.
    pub sequence: u64,
    /// Number of the last record that was synced when this one was written.
    pub synced: u64,
    payload_crc: u32,
}

/// A whole and undamaged record.
#[derive(Clone, Copy, Debug)]
pub struct Record<'a> {
    pub header: Header,
    pub payload: &'a [u8],
}

/// Appends a record to a buffer.
pub fn encode(out: &mut Vec<u8>, key: u32, sequence: u64, synced: u64, payload: &[u8]) {
    let start = out.len();
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&synced.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let header_crc = keyed_crc(key, &out[start..]);
    out.extend_from_slice(&header_crc.to_le_bytes());
    out.extend_from_slice(payload);
}

/// Decodes the header at the start of the bytes.
pub fn decode_header(bytes: &[u8], key: u32) -> Option<Header> {
    let header = bytes.get(..HEADER_BYTES)?;
    if header[..4] != MAGIC || keyed_crc(key, &header[..28]) != read_u32(&header[28..]) {
        return None;
    }
    Some(Header {
        length_bytes: read_u32(&header[4..]) as usize,
        sequence: read_u64(&header[8..]),
        synced: read_u64(&header[16..]),
        payload_crc: read_u32(&header[24..]),
    })
}

/// Decodes the record at the start of the bytes.
pub fn decode(bytes: &[u8], key: u32) -> Option<Record<'_>> {
    let header = decode_header(bytes, key)?;
    let payload = bytes[HEADER_BYTES..].get(..header.length_bytes)?;
    (crc32fast::hash(payload) == header.payload_crc).then_some(Record { header, payload })
}

/// Returns whether the bytes contain a header which proves that the record with
/// this number was synced.
pub fn is_proven_synced(bytes: &[u8], key: u32, sequence: u64) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate();
    let mut starts = starts.filter(|(_, window)| *window == MAGIC);
    starts.any(|(at, _)| decode_header(&bytes[at..], key).is_some_and(|h| h.synced >= sequence))
}

fn keyed_crc(key: u32, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(key);
    hasher.update(bytes);
    hasher.finalize()
}

fn read_u32(bytes: &[u8]) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[..4]);
    u32::from_le_bytes(word)
}

fn read_u64(bytes: &[u8]) -> u64 {
    let mut long = [0; 8];
    long.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(long)
}
