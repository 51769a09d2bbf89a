//! Where in a message the bytes that have passed end.

use super::framing::Head;
use crate::util::body_framing::BodyFraming;

/// Most bytes of a head or of the line with a chunk's size; more are not followed.
const MAX_BUFFERED: usize = 64 * 1024;
/// Bytes of the line end after a chunk's data.
const LINE_END_BYTES: u64 = 2;

/// Where in the messages of one direction the bytes that have passed end.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) enum MessagePosition {
    /// After a message, or before the first one.
    #[default]
    Between,
    /// In a head; holds its bytes.
    Head(Vec<u8>),
    /// Before as many bytes of a body.
    Body(u64),
    /// In the line with a chunk's size; holds its bytes.
    ChunkSize(Vec<u8>),
    /// Before as many bytes of a chunk and its line end.
    ChunkData(u64),
    /// In a line of the trailers that has as many bytes so far, line ends not counted.
    Trailers(usize),
    /// In a body that ends with the connection.
    UntilClose,
    /// In what is not followed: the bytes are no message, or the head is too large.
    Unknown,
}

use MessagePosition::{Between, Body, ChunkData, ChunkSize, Trailers, Unknown, UntilClose};

impl MessagePosition {
    /// Bytes that are allocated for a line or head that is not complete.
    pub(super) fn capacity(&self) -> usize {
        match self {
            Self::Head(bytes) | ChunkSize(bytes) => bytes.capacity(),
            Between | Body(_) | ChunkData(_) | Trailers(_) | UntilClose | Unknown => 0,
        }
    }

    /// Follows bytes of a head, which `parse` decodes: takes what it uses from `bytes`. Returns what
    /// the head states once it is complete; the position is before the body then.
    ///
    /// # Panics
    /// Panics if the position is in a body.
    pub(super) fn pass_head<T: Copy>(
        &mut self,
        bytes: &mut &[u8],
        parse: impl Fn(&[u8]) -> Option<Head<T>>,
        framing: impl Fn(T) -> BodyFraming,
    ) -> Option<T> {
        let mut head = match std::mem::take(self) {
            Between => Vec::new(),
            Self::Head(head) => head,
            other => unreachable!("{other:?} is not before the end of a head"),
        };
        let known = head.len();
        // Most heads come in one read, which needs no copy.
        let parsed = if known == 0 {
            parse(bytes)
        } else {
            head.extend_from_slice(bytes);
            parse(&head)
        };
        let Some(parsed) = parsed else {
            if known == 0 {
                head.extend_from_slice(bytes);
            }
            *bytes = &[];
            *self = if head.len() > MAX_BUFFERED {
                Unknown
            } else {
                Self::Head(head)
            };
            return None;
        };
        let Some(stated) = parsed.stated else {
            *self = Unknown;
            *bytes = &[];
            return None;
        };
        *bytes = &bytes[parsed.len - known..];
        *self = Self::before_body(framing(stated));
        Some(stated)
    }

    fn before_body(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::Length(0) => Between,
            BodyFraming::Length(len) => Body(len),
            BodyFraming::Chunked => ChunkSize(Vec::new()),
            BodyFraming::UntilClose => UntilClose,
        }
    }

    /// Whether the position is in a body, or not followed.
    pub(super) fn is_after_head(&self) -> bool {
        !matches!(self, Between | Self::Head(_))
    }

    /// Follows bytes of a body: takes those that belong to it from `bytes`.
    pub(super) fn pass_body(&mut self, bytes: &mut &[u8]) {
        while !bytes.is_empty() && self.is_after_head() {
            *self = match std::mem::take(self) {
                Body(left) => match skip(bytes, left) {
                    0 => Between,
                    left => Body(left),
                },
                ChunkData(left) => match skip(bytes, left) {
                    0 => ChunkSize(Vec::new()),
                    left => ChunkData(left),
                },
                ChunkSize(line) => pass_chunk_size(bytes, line),
                Trailers(len) => pass_trailers(bytes, len),
                UntilClose => {
                    *bytes = &[];
                    UntilClose
                }
                _ => {
                    *bytes = &[];
                    Unknown
                }
            };
        }
    }
}

/// Skips at most `left` bytes; returns how many of them are left.
fn skip(bytes: &mut &[u8], left: u64) -> u64 {
    let len = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
    *bytes = &bytes[len..];
    left - len as u64
}

fn pass_chunk_size(bytes: &mut &[u8], mut line: Vec<u8>) -> MessagePosition {
    let end = bytes.iter().position(|b| *b == b'\n');
    let (of_line, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
    line.extend_from_slice(of_line);
    *bytes = rest;
    match httparse::parse_chunk_size(&line) {
        Ok(httparse::Status::Complete((_, 0))) => Trailers(0),
        Ok(httparse::Status::Complete((_, len))) => ChunkData(len.saturating_add(LINE_END_BYTES)),
        Ok(httparse::Status::Partial) if end.is_none() && line.len() <= MAX_BUFFERED => {
            ChunkSize(line)
        }
        _ => Unknown,
    }
}

fn pass_trailers(bytes: &mut &[u8], mut len: usize) -> MessagePosition {
    while let Some((first, rest)) = bytes.split_first() {
        *bytes = rest;
        match first {
            b'\r' => {}
            b'\n' if len == 0 => return Between,
            b'\n' => len = 0,
            _ => len += 1,
        }
    }
    Trailers(len)
}
