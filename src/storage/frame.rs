//! Frames of the write-ahead log. A frame holds one batch, which is written and synced at once.
//!
//! The header is the payload's length, the payload's CRC32C and the CRC32C of those eight bytes,
//! four bytes each. The header's own checksum lets a scan for intact frames pass damaged bytes in
//! time linear in their number.

/// Bytes before each payload.
pub const HEADER_BYTES: usize = 12;

/// What stands at an offset of a log.
pub enum Parsed<'a> {
    /// A whole payload and the offset behind it.
    Payload(&'a [u8], usize),
    /// The log ends here.
    End,
    /// The bytes are not a whole, intact frame.
    Bad,
}

/// Appends a framed payload.
pub fn write(out: &mut Vec<u8>, payload: &[u8]) {
    let start = out.len();
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    let check = crc32c::crc32c(&out[start..]);
    out.extend_from_slice(&check.to_le_bytes());
    out.extend_from_slice(payload);
}

/// Reads the frame at an offset.
pub fn read(bytes: &[u8], offset: usize) -> Parsed<'_> {
    if offset == bytes.len() {
        return Parsed::End;
    }
    let Some(header) = bytes.get(offset..offset + HEADER_BYTES) else { return Parsed::Bad };
    let word = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|i| header[at + i]));
    if crc32c::crc32c(&header[..8]) != word(8) {
        return Parsed::Bad;
    }
    let start = offset + HEADER_BYTES;
    let end = start + word(0) as usize;
    match bytes.get(start..end) {
        Some(payload) if crc32c::crc32c(payload) == word(4) => Parsed::Payload(payload, end),
        _ => Parsed::Bad,
    }
}

/// Whether an intact frame stands anywhere behind the offset: then the damage is not a torn tail.
pub fn intact_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| matches!(read(bytes, at), Parsed::Payload(..)))
}
