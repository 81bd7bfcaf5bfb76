//! Frames of the write-ahead log and of the snapshot file. In the log, a frame holds one batch of
//! records, which is written and synced as a unit.
//!
//! The header holds the payload length, the CRC32C of the payload and the CRC32C of these eight
//! bytes, each as four little-endian bytes. Because the header has a checksum of its own, a scan
//! for valid frames skips corrupt bytes in time linear in their number.

/// Size of the header before each payload.
pub const HEADER_BYTES: usize = 12;

/// Result of parsing a frame.
pub enum ParsedFrame<'a> {
    /// A valid frame: its payload and the offset of the next frame.
    Payload(&'a [u8], usize),
    /// The offset is the end of the file.
    End,
    /// The frame is incomplete or a checksum does not match.
    Invalid,
}

/// Appends a frame with the payload to `out`.
pub fn append(out: &mut Vec<u8>, payload: &[u8]) {
    let start = out.len();
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    let header_crc = crc32c::crc32c(&out[start..]);
    out.extend_from_slice(&header_crc.to_le_bytes());
    out.extend_from_slice(payload);
}

/// Parses the frame that starts at an offset.
pub fn parse(bytes: &[u8], offset: usize) -> ParsedFrame<'_> {
    if offset == bytes.len() {
        return ParsedFrame::End;
    }
    let Some(header) = bytes.get(offset..offset + HEADER_BYTES) else {
        return ParsedFrame::Invalid;
    };
    let read_u32 = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|i| header[at + i]));
    if crc32c::crc32c(&header[..8]) != read_u32(8) {
        return ParsedFrame::Invalid;
    }
    let start = offset + HEADER_BYTES;
    let end = start + read_u32(0) as usize;
    match bytes.get(start..end) {
        Some(payload) if crc32c::crc32c(payload) == read_u32(4) => {
            ParsedFrame::Payload(payload, end)
        }
        _ => ParsedFrame::Invalid,
    }
}

/// Whether a valid frame starts anywhere after the offset. If so, the invalid frame at the offset
/// is not an incomplete last write but corruption.
pub fn has_valid_frame_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| matches!(parse(bytes, at), ParsedFrame::Payload(..)))
}
