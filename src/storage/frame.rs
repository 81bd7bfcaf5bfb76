//! Frames of the write-ahead log: length and CRC32C, four bytes each, then the payload.

/// Bytes before each payload.
pub const HEADER_BYTES: usize = 8;
/// No record is larger than this, in bytes; a larger length is damage.
const RECORD_LIMIT: usize = 256 << 20;

/// What stands at an offset of a log.
pub enum Parsed<'a> {
    /// A whole record and the offset behind it.
    Record(&'a [u8], usize),
    /// The log ends here.
    End,
    /// The bytes are not a whole, intact record.
    Bad,
}

/// Appends a framed payload.
pub fn write(out: &mut Vec<u8>, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// Reads the frame at an offset.
pub fn read(bytes: &[u8], offset: usize) -> Parsed<'_> {
    if offset == bytes.len() {
        return Parsed::End;
    }
    let Some(header) = bytes.get(offset..offset + HEADER_BYTES) else { return Parsed::Bad };
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let crc = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if length == 0 || length > RECORD_LIMIT {
        return Parsed::Bad;
    }
    let start = offset + HEADER_BYTES;
    match bytes.get(start..start + length) {
        Some(payload) if crc32c::crc32c(payload) == crc => Parsed::Record(payload, start + length),
        _ => Parsed::Bad,
    }
}

/// Whether an intact record stands anywhere behind the offset: then the damage is not a torn tail.
pub fn intact_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| matches!(read(bytes, at), Parsed::Record(..)))
}
