//! Frames: marker, length, checksum and payload.

/// Marks the start of a frame, so that a complete frame after a damaged one can be found.
const MARKER: [u8; 4] = *b"cfn1";
/// Size of marker, length and checksum.
const HEADER_BYTES: usize = 12;

/// Result of reading a frame at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FrameAt<'a> {
    /// A complete frame, and the offset of the next one.
    Complete { payload: &'a [u8], end: usize },
    /// The end of the file, or bytes that are not a complete frame.
    Invalid,
}

fn checksum(len: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&len);
    hasher.update(payload);
    hasher.finalize()
}

/// Appends a frame with `payload` to `buf`; `None` if the payload is too long for a frame.
pub(super) fn encode(payload: &[u8], buf: &mut Vec<u8>) -> Option<()> {
    let len = u32::try_from(payload.len()).ok()?.to_le_bytes();
    buf.extend_from_slice(&MARKER);
    buf.extend_from_slice(&len);
    buf.extend_from_slice(&checksum(len, payload).to_le_bytes());
    buf.extend_from_slice(payload);
    Some(())
}

/// Reads the frame that starts at `offset`.
pub(super) fn read_at(buf: &[u8], offset: usize) -> FrameAt<'_> {
    match buf.get(offset..).and_then(parse) {
        Some(payload) => FrameAt::Complete {
            payload,
            end: offset + HEADER_BYTES + payload.len(),
        },
        None => FrameAt::Invalid,
    }
}

fn parse(rest: &[u8]) -> Option<&[u8]> {
    let (marker, rest) = rest.split_first_chunk::<4>()?;
    let (len, rest) = rest.split_first_chunk::<4>()?;
    let (crc, rest) = rest.split_first_chunk::<4>()?;
    let payload = rest.get(..u32::from_le_bytes(*len) as usize)?;
    let valid = *marker == MARKER && checksum(*len, payload) == u32::from_le_bytes(*crc);
    valid.then_some(payload)
}

/// Whether a complete frame starts anywhere after `offset`.
pub(super) fn has_frame_after(buf: &[u8], offset: usize) -> bool {
    let starts = offset + 1..buf.len();
    starts
        .filter(|at| buf[*at..].starts_with(&MARKER))
        .any(|at| parse(&buf[at..]).is_some())
}
