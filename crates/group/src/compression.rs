//! Compressed texts, with a limit on what a malformed one can allocate.

/// Longest text that is decompressed, in bytes.
pub const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// Compresses a text.
pub fn compress(text: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(text)
}

/// Returns the text, or why the bytes are none.
pub fn decompress(compressed: &[u8]) -> Result<Vec<u8>, String> {
    let (size, _) =
        lz4_flex::block::uncompressed_size(compressed).map_err(|error| error.to_string())?;
    if size > MAX_TEXT_BYTES {
        return Err(format!("{size} bytes exceed the limit"));
    }
    lz4_flex::decompress_size_prepended(compressed).map_err(|error| error.to_string())
}
